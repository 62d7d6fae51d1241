/** Cordons machines of a shard, so that they become empty and can be transferred to a shard that has no machines. */
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { expectedRemainingMs } from "../placement/runtime-estimates.js";
import type { PlacementInput } from "../placement/scheduling-context.js";
import { allowsPool, type Demand } from "../peers/peer-messages.js";
import type { Logger } from "../runtime/log.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S, PRIORITIES, type MachineType, type Priority } from "../wire/index.js";

/** For how many heartbeat intervals a machine stays cordoned after the leader's last request. */
const CORDON_HEARTBEATS = 3;

/**
 * The longest time that a cordoned machine may take to become empty, as a fraction of `MAX_WAIT_WITH_FREE_CAPACITY_S`,
 * within which no task may wait while there is free capacity for it.
 */
const MAX_CORDON_FRACTION = 2 / 3;

interface Cordon {
  /** The number of the shard that the machine will be transferred to. */
  targetShard: number;
  /** When the cordon ends unless the leader repeats its request: steady time in milliseconds. */
  expiresAt: number;
}

/** The cordons of one shard: one machine for each target shard, for as long as the leader repeats its request. */
export class Cordons {
  private readonly cordons = new Map<Machine, Cordon>();

  constructor(
    private readonly shard: number,
    private readonly heartbeatIntervalMs: number,
    private readonly log: Logger,
  ) {}

  /**
   * Cordons the machine that suits the demand and is expected to be empty first, or extends the cordon that the target
   * shard already has. Machines that would take too long to become empty are left out, because their free capacity
   * would be withheld from this shard's own queue meanwhile.
   */
  cordon(targetShard: number, demand: Demand, input: PlacementInput): void {
    const { now } = input;
    const expiresAt = now + CORDON_HEARTBEATS * this.heartbeatIntervalMs;
    for (const cordon of this.cordons.values())
      if (cordon.targetShard === targetShard) {
        cordon.expiresAt = expiresAt;
        return;
      }
    const machine = findSoonestEmpty(demand, input);
    if (machine === null) return;
    machine.isCordoned = true;
    this.cordons.set(machine, { targetShard, expiresAt });
    for (const placement of machine.placements)
      if (canStopFor(placement, demand))
        placement.stop ??= { reason: "drain", graceS: placement.job.spec.saveS };
    this.log.info({ host: machine.host, shard: this.shard, to: targetShard }, "machine cordoned");
  }

  /** Uncordons the machines whose cordon has expired by steady time `now`. */
  expire(now: number): void {
    for (const [machine, { expiresAt }] of this.cordons) {
      if (now <= expiresAt) continue;
      machine.isCordoned = false;
      this.cordons.delete(machine);
    }
  }

  /** Drops the cordon of a machine that was removed from the shard. */
  machineRemoved(machine: Machine): void {
    this.cordons.delete(machine);
  }
}

function findSoonestEmpty(demand: Demand, input: PlacementInput): Machine | null {
  let soonest: Machine | null = null;
  let soonestMs = MAX_CORDON_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (type === undefined || !machine.isSchedulable || !allowsPool(demand, machine.record)) continue;
    const emptyInMs = timeUntilEmptyMs(machine, type, demand, input);
    if (emptyInMs < soonestMs) {
      soonest = machine;
      soonestMs = emptyInMs;
    }
  }
  return soonest;
}

function timeUntilEmptyMs(
  machine: Machine,
  type: MachineType,
  demand: Demand,
  input: PlacementInput,
): number {
  let emptyInMs = 0;
  for (const placement of machine.placements) {
    const remainingMs = canStopFor(placement, demand)
      ? placement.job.spec.saveS * 1000
      : expectedRemainingMs(placement, type, input);
    emptyInMs = Math.max(emptyInMs, remainingMs);
  }
  return emptyInMs;
}

/** Whether a task on a cordoned machine is stopped at once: it checkpoints, and is no more urgent than the demand. */
function canStopFor({ job: { spec } }: Placement, demand: Demand): boolean {
  return (
    spec.checkpointS > 0 &&
    PRIORITIES.indexOf(spec.priority) <= PRIORITIES.indexOf(demand.priority as Priority)
  );
}
