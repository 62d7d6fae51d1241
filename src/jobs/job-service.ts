/**
 * Submits, looks up and cancels jobs for users. Any controller can answer: the records are authoritative, and no result
 * is returned to a user before it is recorded.
 */
import { LRUCache } from "lru-cache";
import type { Settings } from "../config/settings.js";
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReadBarrier } from "../state/read-barrier.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { StateStoreError } from "../state/state-store-error.js";
import type {
  JobSpec,
  JobStage,
  JobStatus,
  MachineType,
  RecordChange,
  RecordEntry,
  Write,
} from "../wire/index.js";
import { checkAdmission, type Rejection } from "./admission.js";
import { encodeJob, decodeEndedJob, decodeJob, type EndedJobRecord, type JobRecord } from "./job-records.js";
import { countDurablyDone } from "./progress-pages.js";
import type { ShardAssignment } from "./shard-assignment.js";

/** The state store did not respond in time, or the job's record is unreadable to this version. */
interface Unavailable {
  kind: "unavailable";
}

/** The job is recorded. */
interface Accepted {
  kind: "accepted";
  /** The job's current stage; may be any stage if the job was accepted earlier. */
  stage: JobStage;
  /** False if the job was accepted earlier under the same id. */
  isNew: boolean;
}

/** The result of a submission. */
export type SubmitResult = Accepted | Rejection | Unavailable;

/** The result of looking up or cancelling a job; `unknown`: no such job was ever accepted. */
export type JobLookup = { kind: "found"; status: JobStatus } | { kind: "unknown" } | Unavailable;

/** The number of completed and running tasks of a job, for display. */
export interface TaskProgress {
  done: number;
  running: number;
}

/** The dependencies of the job service. */
export interface JobServiceDependencies {
  readonly settings: Settings;
  readonly state: StateStoreClient;
  readonly replica: ReplicaView;
  readonly readBarrier: ReadBarrier;
  /** The recorded machine types by name; empty until they are known. */
  readonly machineTypes: () => Map<string, MachineType>;
  readonly shardAssignment: ShardAssignment;
  /** Asks the shard's owner for a job's progress; null if it does not respond. */
  readonly taskCounts: (shard: number, job: string) => Promise<TaskProgress | null>;
  /** Notifies the owner of a job's shard that the job has been cancelled. */
  readonly notifyOwnerOfCancellation: (shard: number, job: string) => void;
  /** How long a submission or cancellation may be queued before it is sent to the state store, in milliseconds. */
  readonly queueTimeoutMs: number;
  readonly log: Logger;
}

const REMEMBERED_ENDED_JOBS = 10_000;
const MAX_CANCEL_ATTEMPTS = 4;

const UNAVAILABLE: Unavailable = { kind: "unavailable" };

/** Submits, looks up and cancels jobs in the state store; only final states are answered from memory alone. */
export class JobService {
  /** A cache of ended jobs. It cannot be stale, since final states never change. */
  private readonly endedJobs = new LRUCache<string, EndedJobRecord>({ max: REMEMBERED_ENDED_JOBS });

  constructor(private readonly dependencies: JobServiceDependencies) {}

  /** Caches the ended jobs in changed records, so that looking them up rarely needs a read. */
  applyChanges(changes: RecordChange[]): void {
    for (const change of changes) {
      if (!change.key.startsWith(prefixes.endedJobs)) continue;
      const ended = decodeEndedJob(change.value);
      if (ended !== null) this.endedJobs.set(change.key.slice(prefixes.endedJobs.length), ended);
    }
  }

  /** Records a job if it could ever run. Repeated submissions under one id record it once. */
  async submit(spec: JobSpec): Promise<SubmitResult> {
    const { settings, machineTypes } = this.dependencies;
    const types = [...machineTypes().values()];
    return this.unavailableOnStateError(async (): Promise<SubmitResult> => {
      const admission = types.length === 0 ? UNAVAILABLE : checkAdmission(spec, settings, types);
      if (admission.kind !== "ok") return this.acceptedEarlierOr(spec.id, admission);
      const committed = await this.commitSubmission(spec);
      if (committed) return { kind: "accepted", stage: "pending", isNew: true };
      return this.acceptedEarlierOr(spec.id, UNAVAILABLE);
    });
  }

  /** Looks up the status of a job; at least as recent as any response that a controller has given before. */
  async lookUp(id: string): Promise<JobLookup> {
    const ended = this.endedJobs.get(id);
    if (ended !== undefined) return foundEnded(id, ended);
    return this.unavailableOnStateError(async (): Promise<JobLookup> => {
      // Another controller may have answered from a newer state, so wait until this replica has caught up.
      await this.dependencies.readBarrier.waitUntilCurrent();
      const entry = this.dependencies.replica.get(keys.job(id));
      // One transaction moves a job from live to ended, so looking for the live record first cannot miss the job.
      if (entry === undefined) return this.lookUpEnded(id);
      const job = decodeJob(entry.value);
      return job === null ? UNAVAILABLE : this.lookUpLive(job);
    });
  }

  /** Cancels a job. The result has its final state, which differs from cancelled if the job had ended before. */
  async cancel(id: string): Promise<JobLookup> {
    return this.unavailableOnStateError(async (): Promise<JobLookup> => {
      for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
        const entry = await this.dependencies.state.read(keys.job(id));
        if (entry === null) return this.lookUpEnded(id);
        const ended = await this.tryCancel(id, entry);
        if (ended !== null) return foundEnded(id, ended);
      }
      return UNAVAILABLE;
    });
  }

  /** Writes the record of a new job. Returns false if a job with its id has been recorded before. */
  private async commitSubmission(spec: JobSpec): Promise<boolean> {
    const { state, shardAssignment, queueTimeoutMs } = this.dependencies;
    const record: JobRecord = {
      spec,
      shard: shardAssignment.shardFor(spec),
      acceptedAt: Date.now(),
      maxParallelTasks: null,
      migratedIn: false,
    };
    const absentConditions = [
      { key: keys.job(spec.id), version: 0 },
      { key: keys.endedJob(spec.id), version: 0 },
    ];
    const writes: Write[] = [{ put: keys.job(spec.id), value: encodeJob(record) }];
    const result = await state.compareAndSwap(absentConditions, writes, "user", queueTimeoutMs);
    return result.ok;
  }

  /**
   * Returns the earlier acceptance of a job, or `otherwise` if there is none. An accepted job stays accepted, even if
   * machine types have changed or a repeated submission differs.
   */
  private async acceptedEarlierOr(id: string, otherwise: Rejection | Unavailable): Promise<SubmitResult> {
    const known = await this.lookUp(id);
    if (known.kind === "found") return { kind: "accepted", stage: known.status.stage, isNew: false };
    return known.kind === "unavailable" ? UNAVAILABLE : otherwise;
  }

  private async lookUpLive({ spec, shard }: JobRecord): Promise<JobLookup> {
    const { replica, taskCounts } = this.dependencies;
    const progress = (await taskCounts(shard, spec.id)) ?? {
      done: countDurablyDone(replica, shard, spec.id, spec.tasks),
      running: 0,
    };
    const stage = progress.running > 0 ? "running" : "pending";
    const done = Math.min(progress.done, spec.tasks);
    return { kind: "found", status: { id: spec.id, stage, done, running: progress.running } };
  }

  private async lookUpEnded(id: string): Promise<JobLookup> {
    const known = this.endedJobs.get(id);
    if (known !== undefined) return foundEnded(id, known);
    const entry = await this.dependencies.state.read(keys.endedJob(id));
    if (entry === null) return { kind: "unknown" };
    const ended = decodeEndedJob(entry.value);
    if (ended === null) return UNAVAILABLE;
    this.endedJobs.set(id, ended);
    return foundEnded(id, ended);
  }

  /** Replaces the live record by an ended one; null if another transaction has changed the live record. */
  private async tryCancel(
    id: string,
    entry: Pick<RecordEntry, "value" | "version">,
  ): Promise<EndedJobRecord | null> {
    const { state, replica, queueTimeoutMs, notifyOwnerOfCancellation, log } = this.dependencies;
    const job = decodeJob(entry.value);
    const done = job === null ? 0 : countDurablyDone(replica, job.shard, id, job.spec.tasks);
    const ended: EndedJobRecord = { stage: "cancelled", done };
    // The first transaction to change the job's record wins: a concurrent completion fails, or this cancellation does.
    const unchangedConditions = [{ key: keys.job(id), version: entry.version }];
    const writes: Write[] = [{ put: keys.endedJob(id), value: ended }, { remove: keys.job(id) }];
    const result = await state.compareAndSwap(unchangedConditions, writes, "user", queueTimeoutMs);
    if (!result.ok) return null;
    log.info({ job: id, shard: job?.shard, revision: result.revision }, "job cancelled");
    if (job !== null) notifyOwnerOfCancellation(job.shard, id);
    this.endedJobs.set(id, ended);
    return ended;
  }

  private async unavailableOnStateError<Result>(
    operation: () => Promise<Result>,
  ): Promise<Result | Unavailable> {
    try {
      return await operation();
    } catch (err) {
      if (!(err instanceof StateStoreError)) throw err;
      this.dependencies.log.debug({ err }, "state store failed to serve a user request");
      return UNAVAILABLE;
    }
  }
}

function foundEnded(id: string, { stage, done }: EndedJobRecord): JobLookup {
  return { kind: "found", status: { id, stage, done, running: 0 } };
}
