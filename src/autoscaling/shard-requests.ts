/** Requests of the leader to the owners of shards; one that fails is made again by a later pass. */
import type { PeerRequest } from "../peers/messages.js";
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
    return this.request(selection.shard, { drain: selection });
  }

  private transferMachines({ shard, targetShard, hosts }: MachineTransfer): Promise<void> {
    return this.request(shard, { give: { shard, to: targetShard, hosts } });
  }

  private cordonMachine({ shard, targetShard, demand }: CordonRequest): Promise<void> {
    return this.request(shard, { cordon: { shard, to: targetShard, demand } });
  }

  private async migrateJob({ shard, targetShard, job }: JobMigration, now: number): Promise<void> {
    if (now - this.lastMigrationAt < PASSES_BETWEEN_MIGRATIONS * this.passSpacingMs) return;
    this.lastMigrationAt = now;
    await this.request(shard, { transfer: { shard, to: targetShard, job } });
  }

  private async request(shard: number, request: PeerRequest): Promise<void> {
    await this.callbacks.requestOwner(shard, request).catch(() => undefined);
  }
}
