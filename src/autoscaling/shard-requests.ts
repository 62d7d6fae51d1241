/** Requests of the leader to the owners of shards; one that fails is made again by a later pass. */
import type { PeerRequest } from "../peers/peer-messages.js";
import type { AutoscalerCallbacks } from "./autoscaler-dependencies.js";
import type { MachineSelection } from "./removal-selection.js";
import type { ScalingActions } from "./scaling-policy.js";
import type { CordonRequest, JobMigration, MachineTransfer } from "./shard-balancing.js";

/** A job migration follows the last one after so many passes: summaries show what has migrated only after a while. */
const PASSES_BETWEEN_MIGRATIONS = 2;

/** Sends what a pass decided on to the owners of the shards. */
export class ShardRequests {
  private lastMigrationAt = -Infinity;

  constructor(
    private readonly callbacks: AutoscalerCallbacks,
    private readonly passSpacingMs: number,
  ) {}

  /** Sends the requests of one pass, one after the other but for those to drain machines. */
  async send(actions: ScalingActions, now: number): Promise<void> {
    const { machineTransfer, cordon, jobMigration, drains } = actions;
    if (machineTransfer !== null) await this.transferMachines(machineTransfer);
    if (cordon !== null) await this.cordonMachine(cordon);
    if (jobMigration !== null) await this.migrateJob(jobMigration, now);
    await Promise.all(drains.map((selection) => this.drainMachines(selection)));
  }

  /** Requests the owner of a shard to drain machines. */
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
