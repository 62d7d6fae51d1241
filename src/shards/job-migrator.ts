/** Passes jobs that have not begun from one shard to another, each in one transaction whose outcome is found out. */
import { encodeJob, type JobRecord } from "../jobs/job-records.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { Condition, Write } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Shard } from "./shard.js";

/** The term of the owner that passes jobs on. */
export interface OwnerTerm {
  /** The shard's token if its owner may act for it now. */
  token(): number | null;
  /** Whether another owner has taken the shard's place. */
  over(): boolean;
}

/** Passes jobs of one shard on. */
export class JobMigrator {
  constructor(
    private readonly shard: Shard,
    private readonly term: OwnerTerm,
    private readonly spacingMs: number,
    private readonly state: StateStoreClient,
    private readonly view: ReplicaView,
    private readonly clock: SteadyClock,
    private readonly log: Logger,
  ) {}

  /**
   * Passes a job that has not begun to another shard, in one transaction that both shards' tokens guard. Until its
   * outcome is known nothing of the job starts here, and what it may use elsewhere counts against its team's limit.
   */
  async migrate(id: string, to: number): Promise<void> {
    const token = this.term.token();
    const theirs = this.view.get(keys.shard(to));
    if (token === null || theirs === undefined) return;
    const prepared = this.shard.beginMigration(id, this.clock());
    if (prepared === null) return;
    const { job, terms } = prepared;
    const record: JobRecord = {
      spec: job.spec,
      shard: to,
      acceptedAt: job.acceptedAt,
      maxParallelTasks: terms.reservation === null ? null : terms.maxParallelTasks,
      migratedIn: terms.migratedIn,
    };
    const writes: Write[] = [{ put: keys.job(id), value: encodeJob(record) }];
    if (terms.reservation !== null)
      writes.push({ put: keys.quotaReservation(this.shard.id, id), value: terms.reservation });
    const guards = [
      { key: keys.job(id), version: job.version },
      { key: keys.shard(this.shard.id), version: token },
      { key: keys.shard(to), version: theirs.version },
    ];
    for (let passed = await this.tryMigrate(job, guards, writes); !this.term.over();) {
      if (passed === false) this.shard.migrationFailed(job);
      if (passed === true) this.log.info({ job: id, shard: this.shard.id, to }, "job passed on");
      if (passed !== null) return;
      await sleep(jittered(this.spacingMs));
      passed = await this.tryMigrate(job, guards, writes);
    }
  }

  /**
   * Whether the job's record has changed under the transaction or another's; null where that is not known. The feed
   * shows what a changed record says. False is final: what guards the transaction never comes back, so that an earlier
   * try that is carried out late fails as well.
   */
  private async tryMigrate(job: Job, guards: Condition[], writes: Write[]): Promise<boolean | null> {
    try {
      const result = await this.state.compareAndSwap(guards, writes, "note");
      if (result.ok) return true;
      const now = await this.state.read(keys.job(job.spec.id));
      return now?.version !== job.version;
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "job not known to have passed on");
      return null;
    }
  }
}
