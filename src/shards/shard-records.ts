/** Keeps the jobs, machines and quota reservations of one shard in step with the records. */
import { decodeEndedJob, decodeQuotaReservation } from "../jobs/job-records.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange } from "../wire/index.js";
import type { JobTable } from "./job-table.js";
import type { MachineTable } from "./machine-table.js";
import type { QuotaReservations } from "./quota-reservations.js";

/** The state of one shard to which its records are applied. */
export interface ShardRecordsDependencies {
  readonly shard: number;
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly quotaReservations: QuotaReservations;
}

/** Applies changed records to the state of one shard, and tracks up to which time that state is complete. */
export class ShardRecords {
  /** Whether the last change was applied in full. */
  private isSynchronized = false;
  private readonly quotaPrefix: string;

  constructor(private readonly dependencies: ShardRecordsDependencies) {
    this.quotaPrefix = prefixes.quotaReservations(dependencies.shard);
  }

  /**
   * Steady time in milliseconds up to which the shard's state is known to be complete. After a change that could not be
   * applied it is -Infinity until all records have been read again: the state may lack that change, however recent the
   * process's replica is.
   */
  get viewCompleteAsOf(): number {
    return this.isSynchronized ? this.dependencies.jobs.completeAsOf : -Infinity;
  }

  /**
   * Applies changes, after which the state is complete up to `asOf`, steady time in milliseconds. If `changes` is null,
   * or the previous change could not be applied, all records are read again instead.
   *
   * @throws Error whatever a record that cannot be applied causes.
   */
  sync(view: ReplicaView, changes: RecordChange[] | null, now: number, asOf: number): void {
    const applicable = this.isSynchronized ? changes : null;
    this.isSynchronized = false;
    this.applyChanges(view, applicable ?? this.readAll(view, now), now);
    this.isSynchronized = true;
    this.dependencies.jobs.completeAsOf = asOf;
  }

  /**
   * Ends jobs and removes machines that the records no longer contain, and returns all records as changes. Machine
   * groups are already applied before that removal.
   */
  private readAll(view: ReplicaView, now: number): RecordChange[] {
    const { jobs, machines } = this.dependencies;
    jobs.endMissing(view, now);
    const records = [
      ...view.list(prefixes.jobs),
      ...view.list(prefixes.completedTasks),
      ...view.list(prefixes.machineGroups),
      ...view.list(this.quotaPrefix),
    ];
    for (const record of records)
      if (record.key.startsWith(prefixes.machineGroups)) machines.applyGroup(record, now);
    machines.removeMissingGroups(view, now);
    return records;
  }

  private applyChanges(view: ReplicaView, changes: RecordChange[], now: number): void {
    const { quotaReservations } = this.dependencies;
    for (const change of changes) this.applyChange(view, change, now);
    for (const id of quotaReservations.jobs)
      if (view.get(keys.job(id)) === undefined) quotaReservations.jobEnded(id, now);
  }

  private applyChange(view: ReplicaView, change: RecordChange, now: number): void {
    const { jobs, machines } = this.dependencies;
    const { key } = change;
    if (key.startsWith(prefixes.jobs)) jobs.applyJob(change, now);
    else if (key.startsWith(this.quotaPrefix)) this.applyQuotaReservation(change);
    else if (key.startsWith(prefixes.endedJobs)) this.applyEndedJob(change);
    else if (key.startsWith(prefixes.machineGroups)) machines.applyGroup(change, now);
    else if (key.startsWith(prefixes.completedTasks)) jobs.applyCompletedTasks(change, view);
  }

  private applyQuotaReservation({ key, value }: RecordChange): void {
    const reservation = decodeQuotaReservation(value);
    if (reservation === null) return;
    this.dependencies.quotaReservations.reserve(key.slice(this.quotaPrefix.length), reservation);
  }

  /**
   * Releases the quota reservation of a migrated job. The other shard writes a job as done only once none of its tasks
   * is running, so nothing needs to be reserved for it any more.
   */
  private applyEndedJob({ key, value }: RecordChange): void {
    const { shard, jobs, quotaReservations } = this.dependencies;
    const id = key.slice(prefixes.endedJobs.length);
    if (!quotaReservations.has(id) || decodeEndedJob(value)?.stage !== "done") return;
    quotaReservations.release(id);
    jobs.completions.scheduleRemoval(keys.quotaReservation(shard, id));
  }
}
