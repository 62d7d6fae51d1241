/** The jobs and machines of one shard, followed from the records. */
import { LRUCache } from "lru-cache";
import {
  readCompletedTasksChunk,
  readEnded,
  readJob,
  readCompletedTasksPage,
  readQuotaReservation,
} from "../jobs/job-records.js";
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { RecordChange } from "../wire/index.js";
import { Job } from "../workers/job.js";
import { Machine } from "../workers/machine.js";
import { machineRecordFrom, readMachineGroup, type MachineRecord } from "../workers/machine-records.js";
import { releaseAll } from "../workers/placement.js";
import { CompletionLog } from "./completion-log.js";
import type { DecisionMetrics } from "./decision-metrics.js";
import { EndedJobs } from "./ended-jobs.js";
import { QuotaReservations } from "./quota-reservations.js";

/**
 * How many machines that have left are remembered, so that late copies of their reports are known for what they are: more
 * than a shard with every machine of a large fleet loses within the minutes for which copies may be late.
 */
const REMEMBERED_REMOVED_MACHINES = 10_000;

/** How many cancellations that were told are remembered: many more than are made while the feed is behind. */
const REMEMBERED_CANCELLATIONS = 10_000;

/** Follows the records of one shard; what is decided about it is left to the shard itself. */
export abstract class ShardRecords {
  readonly jobs = new Map<string, Job>();
  readonly machines = new Map<string, Machine>();
  /** Jobs that have come since the last whole round. */
  protected newJobs: Job[] = [];
  /** Which machines of which group's record are here. */
  private readonly groups = new Map<string, Set<string>>();
  protected readonly completions: CompletionLog;
  /** What is kept of teams' limits for jobs that have passed to other shards. */
  protected readonly reservations: QuotaReservations;
  /** How new the last report was of machines that have left. */
  private readonly departed = new LRUCache<string, { session: number; seq: number }>({
    max: REMEMBERED_REMOVED_MACHINES,
  });
  /** Jobs of which another told that they are cancelled. */
  private readonly cancellations = new LRUCache<string, true>({ max: REMEMBERED_CANCELLATIONS });

  /** Jobs that are over while tasks of theirs are still on machines. */
  protected readonly endedJobs: EndedJobs;
  private completeAsOf = -Infinity;
  /** Whether the last change was taken in whole. */
  private synchronized = false;

  protected constructor(
    readonly id: number,
    valueBytes: number,
    cancelMs: number,
    protected readonly log: Logger,
    metrics: DecisionMetrics,
  ) {
    this.endedJobs = new EndedJobs(id, metrics, log);
    this.reservations = new QuotaReservations(cancelMs);
    this.completions = new CompletionLog(id, valueBytes, log, (id) => {
      this.dropJob(id, Infinity);
    });
  }

  /** A machine's record is gone, or with another shard. */
  protected abstract onMachineRemoved(machine: Machine): void;

  /**
   * Up to when what is known here is surely complete. Guards against a change that could not be taken in: until all has
   * been read anew, nothing that is known here counts, however new the process's copy of the records is.
   */
  get viewCompleteAsOf(): number {
    return this.synchronized ? this.completeAsOf : -Infinity;
  }

  /** Follows the records, which are complete up to `asOf`: what is new, what is gone. */
  sync(view: ReplicaView, changes: RecordChange[] | null, now: number, asOf = view.completeAsOf): void {
    const news = this.synchronized ? changes : null;
    this.synchronized = false;
    this.applyChanges(view, news, now);
    this.synchronized = true;
    this.completeAsOf = asOf;
  }

  private applyChanges(view: ReplicaView, changes: RecordChange[] | null, now: number): void {
    if (changes === null) {
      for (const id of this.jobs.keys()) if (!view.get(keys.job(id))) this.dropJob(id, now);
      changes = [
        ...view.list(prefixes.jobs),
        ...view.list(prefixes.completedTasks),
        ...view.list(prefixes.machineGroups),
        ...view.list(prefixes.quotaReservations(this.id)),
      ];
      for (const change of changes)
        if (change.key.startsWith(prefixes.machineGroups)) this.syncGroup(change, now);
      for (const key of [...this.groups.keys()])
        if (view.get(key) === undefined) this.syncGroup({ key, value: undefined, version: 0 }, now);
    }
    for (const change of changes) {
      if (change.key.startsWith(prefixes.jobs)) this.syncJob(change, now);
      else if (change.key.startsWith(prefixes.quotaReservations(this.id))) this.syncQuota(change);
      else if (change.key.startsWith(prefixes.endedJobs)) this.syncEnded(change);
      else if (change.key.startsWith(prefixes.machineGroups)) this.syncGroup(change, now);
      else if (change.key.startsWith(prefixes.completedTasks)) this.syncDone(change, view);
    }
    for (const id of this.reservations.jobs)
      if (view.get(keys.job(id)) === undefined) this.reservations.ended(id, now);
  }

  /** A cancellation is durable, whether or not the feed has shown it yet. */
  cancelled(id: string, now: number): void {
    this.cancellations.set(id, true);
    this.dropJob(id, now);
    this.sweepJobs(now);
  }

  private syncJob(change: RecordChange, now: number): void {
    const id = change.key.slice(prefixes.jobs.length);
    if (change.value === undefined) {
      this.dropJob(id, now);
      return;
    }
    // Guards against starting a cancelled job again from records read before the cancellation.
    if (this.jobs.get(id)?.version === change.version || this.cancellations.has(id)) return;
    const record = readJob(change.value);
    if (record === null) {
      this.log.error({ key: change.key }, "unreadable job record");
      return;
    }
    // It may have passed to another shard.
    if (record.shard !== this.id) {
      this.dropJob(id, now);
      return;
    }
    if (this.jobs.has(id)) return;
    const job = Job.fromRecord(record, change.version);
    this.jobs.set(id, job);
    this.newJobs.push(job);
  }

  private syncDone(change: RecordChange, view: ReplicaView): void {
    const [of = "", part = ""] = change.key.slice(prefixes.completedTasks.length).split("/");
    if (of === String(this.id)) {
      this.syncProgress(Number(part), readCompletedTasksPage(change.value));
      return;
    }
    const job = this.jobs.get(of);
    const bits = readCompletedTasksChunk(change.value);
    if (bits === null) return;
    if (job) job.mergeDone(Number(part), bits);
    else if (this.id === 0 && !view.get(keys.job(of))) this.completions.removeLater(change.key);
  }

  private syncQuota({ key, value }: RecordChange): void {
    const reservation = readQuotaReservation(value);
    if (reservation !== null)
      this.reservations.hold(key.slice(prefixes.quotaReservations(this.id).length), reservation);
  }

  /** A job is told done by another shard only once none of its tasks runs: nothing need be kept for it any more. */
  private syncEnded({ key, value }: RecordChange): void {
    const id = key.slice(prefixes.endedJobs.length);
    if (!this.reservations.has(id) || readEnded(value)?.stage !== "done") return;
    this.reservations.release(id);
    this.completions.removeLater(keys.quotaReservation(this.id, id));
  }

  /** What this owner wrote itself comes back as well, and changes nothing. */
  private syncProgress(page: number, jobs: Record<string, string> | null): void {
    if (jobs === null) return;
    for (const [id, bits] of Object.entries(jobs)) {
      const job = this.jobs.get(id);
      if (job === undefined) continue;
      if (job.durable.count === 0) this.completions.load(page, id, bits);
      job.mergeDone(0, bits);
    }
  }

  private syncGroup(change: RecordChange, now: number): void {
    const { key } = change;
    const group = change.value === undefined ? null : readMachineGroup(change.value);
    // A record that cannot be read proves nothing: what is on its machines still counts.
    if (group === null && change.value !== undefined) {
      this.log.error({ key }, "unreadable machine record");
      return;
    }
    const here = group?.shard === this.id ? Object.keys(group.machines) : [];
    const former = this.groups.get(key);
    const present = new Set(here);
    if (present.size > 0) this.groups.set(key, present);
    else this.groups.delete(key);
    for (const host of here) {
      const record = machineRecordFrom(key, group!, host);
      const machine = this.machines.get(host);
      if (machine) machine.record = record;
      else this.machines.set(host, this.newMachine(host, record, now));
    }
    for (const host of former ?? [])
      if (!present.has(host) && this.machines.get(host)?.record.groupKey === key) this.dropMachine(host, now);
  }

  private newMachine(host: string, record: MachineRecord, now: number): Machine {
    const machine = new Machine(host, record, now);
    // Guards against late copies from an earlier stay in this shard: they are no newer than what was seen then.
    const known = this.departed.get(host);
    if (known !== undefined) [machine.epoch, machine.sequence] = [known.session, known.seq];
    return machine;
  }

  /** The record is gone: over or cancelled. Tasks still on machines are stopped and count until proven gone. */
  private dropJob(id: string, now: number): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    // The view before this one lacked its end, which is therefore no older than that view.
    if (!job.terminating && job.active.size > 0) this.endedJobs.begin(job, Math.min(now, this.completeAsOf));
    job.terminating = true;
    this.completions.forget(job);
    if (job.active.size === 0) this.jobs.delete(id);
  }

  /** A machine's record goes only after the cloud's 200 to its return, or when it is passed on empty. */
  private dropMachine(host: string, now: number): void {
    const machine = this.machines.get(host);
    if (machine === undefined) return;
    releaseAll(machine);
    this.machines.delete(host);
    this.onMachineRemoved(machine);
    const { epoch: session, sequence: seq } = machine;
    this.departed.set(host, { session, seq });
    this.sweepJobs(now);
  }

  protected sweepJobs(now: number): void {
    this.endedJobs.sweep(now);
    for (const [id, job] of this.jobs) if (job.terminating && job.active.size === 0) this.jobs.delete(id);
  }
}
