/** Cordoned machines: they run empty, so that one can be transferred to a shard without machines. */
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { expectedRemainingMs } from "../placement/runtime-estimates.js";
import type { PlacementInput } from "../placement/scheduling-context.js";
import { allowsPool, type Demand } from "../peers/peer-messages.js";
import type { Logger } from "../runtime/log.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S, PRIORITIES, type MachineType, type Priority } from "../wire/index.js";

/** So many heartbeat intervals a machine stays cordoned after the leader last asked for it. */
const CORDON_HEARTBEATS = 3;

/** The longest that a machine may take to run empty, as a part of the time that nobody waits beside free capacity. */
const MAX_CORDON_FRACTION = 2 / 3;

interface Cordon {
  /** The shard that the machine is meant for. */
  targetShard: number;
  /** Until when it stays cordoned unless the leader asks again: steady time in milliseconds. */
  until: number;
}

/** The cordons of one shard; each lasts for as long as the leader goes on asking for it. */
export class Cordons {
  private readonly cordons = new Map<Machine, Cordon>();

  constructor(
    private readonly shard: number,
    private readonly heartbeatIntervalMs: number,
    private readonly log: Logger,
  ) {}

  /**
   * Cordons the machine that suits the demand and will be empty soonest. None is cordoned that would take so long that
   * its capacity was withheld from this shard's own queue for too long.
   */
  cordon(targetShard: number, demand: Demand, input: PlacementInput): void {
    const { now } = input;
    const until = now + CORDON_HEARTBEATS * this.heartbeatIntervalMs;
    for (const cordon of this.cordons.values())
      if (cordon.targetShard === targetShard) {
        cordon.until = until;
        return;
      }
    const machine = findSoonestEmpty(demand, input);
    if (machine === null) return;
    machine.isCordoned = true;
    this.cordons.set(machine, { targetShard, until });
    for (const placement of machine.placements)
      if (canStopFor(placement, demand))
        placement.stop ??= { reason: "drain", graceS: placement.job.spec.saveS };
    this.log.info({ host: machine.host, shard: this.shard, to: targetShard }, "machine cordoned");
  }

  /** Uncordons the machines that the leader has not asked for lately. */
  expire(now: number): void {
    for (const [machine, { until }] of this.cordons) {
      if (now <= until) continue;
      machine.isCordoned = false;
      this.cordons.delete(machine);
    }
  }

  /** The machine was removed from the shard. */
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

/** Whether a task is stopped at once where its machine is to run empty: it checkpoints, and is not more urgent. */
function canStopFor({ job: { spec } }: Placement, demand: Demand): boolean {
  return (
    spec.checkpointS > 0 &&
    PRIORITIES.indexOf(spec.priority) <= PRIORITIES.indexOf(demand.priority as Priority)
  );
}
