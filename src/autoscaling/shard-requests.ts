/** Sends the leader's requests to shard owners. Failures are ignored: a later pass decides again what to request. */
import type { PeerRequest } from "../peers/peer-messages.js";
import type { AutoscalerCallbacks } from "./autoscaler-dependencies.js";
import type { MachineSelection } from "./removal-selection.js";
import type { ScalingActions } from "./scaling-policy.js";
import type { CordonRequest, JobMigration, MachineTransfer } from "./shard-balancing.js";

/** The minimum number of passes between job migrations: summaries reflect a migration only after a delay. */
const PASSES_BETWEEN_MIGRATIONS = 2;

/** Sends the actions of a pass to the owners of the shards concerned. */
export class ShardRequests {
  private lastMigrationAt = -Infinity;

  constructor(
    private readonly callbacks: AutoscalerCallbacks,
    private readonly passSpacingMs: number,
  ) {}

  /** Sends the requests of one pass: drain requests concurrently, after the other requests in sequence. */
  async send(actions: ScalingActions, now: number): Promise<void> {
    const { machineTransfer, cordon, jobMigration, drains } = actions;
    if (machineTransfer !== null) await this.transferMachines(machineTransfer);
    if (cordon !== null) await this.cordonMachine(cordon);
    if (jobMigration !== null) await this.migrateJob(jobMigration, now);
    await Promise.all(drains.map((selection) => this.drainMachines(selection)));
  }

  /** Asks the owner of a shard to drain machines. */
  drainMachines(selection: MachineSelection): Promise<void> {
    return this.request(selection.shard, { drainMachines: selection });
  }

  private transferMachines(transfer: MachineTransfer): Promise<void> {
    return this.request(transfer.shard, { transferMachines: transfer });
  }

  private cordonMachine(cordon: CordonRequest): Promise<void> {
    return this.request(cordon.shard, { cordonMachine: cordon });
  }

  private async migrateJob(migration: JobMigration, now: number): Promise<void> {
    if (now - this.lastMigrationAt < PASSES_BETWEEN_MIGRATIONS * this.passSpacingMs) return;
    this.lastMigrationAt = now;
    await this.request(migration.shard, { migrateJob: migration });
  }

  private async request(shard: number, request: PeerRequest): Promise<void> {
    await this.callbacks.requestOwner(shard, request).catch(() => undefined);
  }
}
