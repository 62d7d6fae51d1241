/**
 * What users may ask: submit, look, cancel. Any node answers: the records decide, and nothing is said to a user
 * before the record says it.
 */
import { LRUCache } from "lru-cache";
import type { Settings } from "../config/settings.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { StateStoreError } from "../state/state-store-error.js";
import type { ReadBarrier } from "../state/read-barrier.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { Logger } from "../runtime/log.js";
import type { RecordChange, JobSpec, JobStage, JobStatus, MachineType } from "../wire/index.js";
import { checkAdmission } from "./admission.js";
import type { ShardAssignment } from "./shard-assignment.js";
import { countDurablyDone } from "./progress-pages.js";
import { readEnded, readJob, type EndedRecord, type JobRecord } from "./job-records.js";

/** How a submission ended. */
export type SubmitResult =
  | { kind: "accepted"; stage: JobStage; fresh: boolean }
  | { kind: "malformed" | "impossible"; reason: string }
  | { kind: "unavailable" };

/** How a question after a job, or its cancellation, ended. */
export type JobLookup = { kind: "found"; status: JobStatus } | { kind: "unknown" } | { kind: "unavailable" };

/** Counts for display, from the shard's owner; null where it does not answer. */
export type TaskCountsLookup = (
  shard: number,
  job: string,
) => Promise<{ done: number; running: number } | null>;

const REMEMBERED_ENDED_JOBS = 10_000;
const MAX_CANCEL_ATTEMPTS = 4;

/** Accepts, looks up and cancels jobs, each by the state service and never by memory alone unless final. */
export class JobService {
  /** Final states never change, so that they may be answered from memory. */
  private readonly ended = new LRUCache<string, EndedRecord>({ max: REMEMBERED_ENDED_JOBS });

  constructor(
    private readonly settings: Settings,
    private readonly state: StateStoreClient,
    private readonly view: ReplicaView,
    private readonly readBarrier: ReadBarrier,
    private readonly types: () => Map<string, MachineType>,
    private readonly shardAssignment: ShardAssignment,
    private readonly taskCounts: TaskCountsLookup,
    /** Tells the owner of a job's shard that it is cancelled. */
    private readonly notifyOwnerOfCancellation: (shard: number, job: string) => void,
    /** How long a submission may wait for its turn to be written. */
    private readonly queueTimeoutMs: number,
    private readonly log: Logger,
  ) {}

  /** Takes in from the feed which jobs are over, so that few questions about them need a read. */
  applyChanges(changes: RecordChange[]): void {
    for (const change of changes) {
      if (!change.key.startsWith(prefixes.endedJobs)) continue;
      const ended = readEnded(change.value);
      if (ended !== null) this.ended.set(change.key.slice(prefixes.endedJobs.length), ended);
    }
  }

  async submit(spec: JobSpec): Promise<SubmitResult> {
    const types = [...this.types().values()];
    return this.guarded(async (): Promise<SubmitResult> => {
      const admission = types.length === 0 ? null : checkAdmission(spec, this.settings, types);
      if (admission?.kind !== "ok") {
        // A job that was accepted once stays accepted, whatever the types or a repeat say by now.
        const known = await this.lookUp(spec.id);
        if (known.kind === "found") return { kind: "accepted", stage: known.status.stage, fresh: false };
        return admission === null || known.kind === "unavailable" ? { kind: "unavailable" } : admission;
      }
      const record: JobRecord = { spec, shard: this.shardAssignment.shardFor(spec), acceptedAt: Date.now() };
      const commit = await this.state.compareAndSwap(
        [
          { key: keys.job(spec.id), version: 0 },
          { key: keys.endedJob(spec.id), version: 0 },
        ],
        [{ put: keys.job(spec.id), value: record }],
        "user",
        this.queueTimeoutMs,
      );
      if (commit.ok) return { kind: "accepted", stage: "pending", fresh: true };
      const known = await this.lookUp(spec.id);
      if (known.kind === "found") return { kind: "accepted", stage: known.status.stage, fresh: false };
      return { kind: "unavailable" };
    });
  }

  async lookUp(id: string): Promise<JobLookup> {
    const final = this.ended.get(id);
    if (final !== undefined) return { kind: "found", status: endedStatus(id, final) };
    return this.guarded(async (): Promise<JobLookup> => {
      // Another node may have told a later state than our copy shows: it catches up first.
      await this.readBarrier.waitUntilCurrent();
      const entry = this.view.get(keys.job(id));
      // A job goes from live to ended in one step, so that looking in this order cannot miss it.
      if (entry === undefined) return this.lookUpEnded(id);
      const job = readJob(entry.value);
      if (job === null) return { kind: "unavailable" };
      const counts = (await this.taskCounts(job.shard, id)) ?? {
        done: countDurablyDone(this.view, job.shard, id, job.spec.tasks),
        running: 0,
      };
      const done = Math.min(counts.done, job.spec.tasks);
      return {
        kind: "found",
        status: { id, stage: counts.running > 0 ? "running" : "pending", done, running: counts.running },
      };
    });
  }

  async cancel(id: string): Promise<JobLookup> {
    return this.guarded(async (): Promise<JobLookup> => {
      for (let i = 0; i < MAX_CANCEL_ATTEMPTS; i++) {
        const entry = await this.state.read(keys.job(id));
        if (entry === null) return this.lookUpEnded(id);
        const job = readJob(entry.value);
        const done = job === null ? 0 : countDurablyDone(this.view, job.shard, id, job.spec.tasks);
        const ended: EndedRecord = { stage: "cancelled", done };
        // Whoever changes the job's record first wins: a completion on its way then fails, or this does.
        const commit = await this.state.compareAndSwap(
          [{ key: keys.job(id), version: entry.version }],
          [{ put: keys.endedJob(id), value: ended }, { remove: keys.job(id) }],
          "user",
          this.queueTimeoutMs,
        );
        if (!commit.ok) continue;
        this.log.info({ job: id, shard: job?.shard, revision: commit.revision }, "job cancelled");
        if (job !== null) this.notifyOwnerOfCancellation(job.shard, id);
        this.ended.set(id, ended);
        return { kind: "found", status: endedStatus(id, ended) };
      }
      return { kind: "unavailable" };
    });
  }

  private async lookUpEnded(id: string): Promise<JobLookup> {
    const known = this.ended.get(id);
    if (known !== undefined) return { kind: "found", status: endedStatus(id, known) };
    const entry = await this.state.read(keys.endedJob(id));
    if (entry === null) return { kind: "unknown" };
    const ended = readEnded(entry.value);
    if (ended === null) return { kind: "unavailable" };
    this.ended.set(id, ended);
    return { kind: "found", status: endedStatus(id, ended) };
  }

  private async guarded<R>(work: () => Promise<R>): Promise<R | { kind: "unavailable" }> {
    try {
      return await work();
    } catch (err) {
      if (!(err instanceof StateStoreError)) throw err;
      this.log.debug({ err: err.message }, "state service does not answer a user's request");
      return { kind: "unavailable" };
    }
  }
}

function endedStatus(id: string, ended: EndedRecord): JobStatus {
  return { id, stage: ended.stage, done: ended.done, running: 0 };
}
