/** Migrates jobs without started tasks to other shards, and retries each migration until its outcome is known. */
import type { Job } from "../workers/job.js";
import { encodeJob, type JobRecord } from "../jobs/job-records.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { jittered, sleep } from "../runtime/sleep.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Condition, Write } from "../wire/index.js";
import type { PreparedMigration } from "./migration-preparation.js";
import type { OwnerTerm } from "./owner-term.js";
import type { Shard } from "./shard.js";

/** The shard, stores and settings that job migration depends on. */
export interface JobMigratorDependencies {
  readonly shard: Shard;
  readonly term: OwnerTerm;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly clock: SteadyClock;
  /** The approximate time between two attempts at a migration whose outcome is unknown, in milliseconds. */
  readonly retryMs: number;
  readonly log: Logger;
}

/**
 * The result of one attempt at a migration.
 *
 * - `record_changed`: this transaction or another one has changed the job's record; the watch delivers the new record.
 * - `rejected`: the migration has failed for good. The versions that the transaction required never return, so that an
 *   earlier attempt that is applied late fails as well.
 * - `unknown`: the transaction may have been applied, or may still be.
 */
type MigrationOutcome = "record_changed" | "rejected" | "unknown";

interface MigrationTransaction {
  conditions: Condition[];
  writes: Write[];
}

/** Moves jobs of one shard to other shards by rewriting their records. */
export class JobMigrator {
  constructor(private readonly dependencies: JobMigratorDependencies) {}

  /**
   * Migrates a job without started tasks, in one transaction that requires the current tokens of both shards. Until its
   * outcome is known, none of the job's tasks starts in this shard, and what the job may use in the target shard counts
   * against its team's quota. Does nothing if the job may not be migrated.
   */
  async migrate(id: string, targetShard: number): Promise<void> {
    const { shard, term, view, clock } = this.dependencies;
    const token = term.currentToken();
    const targetVersion = view.get(keys.shard(targetShard))?.version;
    if (token === null || targetVersion === undefined) return;
    const migration = shard.beginMigration(id, clock());
    if (migration === null) return;
    const transaction = {
      conditions: [
        { key: keys.job(id), version: migration.job.version },
        { key: keys.shard(shard.id), version: token },
        { key: keys.shard(targetShard), version: targetVersion },
      ],
      writes: this.migrationWrites(migration, targetShard),
    };
    await this.commit(migration.job, targetShard, transaction);
  }

  private migrationWrites({ job, terms }: PreparedMigration, targetShard: number): Write[] {
    const { spec, acceptedAt } = job;
    const record: JobRecord = {
      spec,
      shard: targetShard,
      acceptedAt,
      maxParallelTasks: terms.reservation === null ? null : terms.maxParallelTasks,
      migratedIn: terms.migratedIn,
    };
    const writes: Write[] = [{ put: keys.job(spec.id), value: encodeJob(record) }];
    if (terms.reservation !== null) {
      const key = keys.quotaReservation(this.dependencies.shard.id, spec.id);
      writes.push({ put: key, value: terms.reservation });
    }
    return writes;
  }

  /** Retries the transaction until its outcome is known or the owner's term has ended. */
  private async commit(job: Job, targetShard: number, transaction: MigrationTransaction): Promise<void> {
    const { shard, term, retryMs, log } = this.dependencies;
    let outcome = await this.tryCommit(job, transaction);
    while (!term.hasEnded()) {
      if (outcome === "rejected") shard.cancelMigration(job);
      if (outcome === "record_changed")
        log.info({ job: job.spec.id, shard: shard.id, to: targetShard }, "job migrated");
      if (outcome !== "unknown") return;
      await sleep(jittered(retryMs));
      outcome = await this.tryCommit(job, transaction);
    }
  }

  private async tryCommit(job: Job, { conditions, writes }: MigrationTransaction): Promise<MigrationOutcome> {
    const { state, log } = this.dependencies;
    try {
      const result = await state.compareAndSwap(conditions, writes, "background");
      if (result.ok) return "record_changed";
      const entry = await state.read(keys.job(job.spec.id));
      return entry?.version === job.version ? "rejected" : "record_changed";
    } catch (err) {
      log.debug({ err }, "job migration not resolved");
      return "unknown";
    }
  }
}
