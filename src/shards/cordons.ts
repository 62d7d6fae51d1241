/** Machines that run empty, so that a shard without any can be given one. */
import { allowsPool, type Demand } from "../peers/peer-messages.js";
import type { Logger } from "../runtime/log.js";
import { MAX_WAIT_WITH_FREE_CAPACITY_S, PRIORITIES, type Priority } from "../wire/index.js";
import type { Machine } from "../workers/machine.js";
import type { Placement } from "../workers/placement.js";
import { expectedRemainingMs } from "../placement/runtime-estimates.js";
import type { PlacementInput } from "../placement/scheduling-context.js";

/** So many report intervals a machine stays cordoned after the leader last asked for it. */
const CORDON_REPORTS = 3;

/** The longest that a machine may take to run empty once cordoned, as a part of the time that nobody waits beside room. */
const MAX_CORDON_FRACTION = 2 / 3;

/** The cordons of one shard; each lasts for as long as the leader goes on asking for it. */
export class Cordons {
  /** Which shard each machine is meant for, and until when unless the leader asks again. */
  private readonly open = new Map<Machine, { to: number; until: number }>();

  constructor(
    private readonly shard: number,
    private readonly reportMs: number,
    private readonly log: Logger,
  ) {}

  /**
   * Lets one machine that suits run empty for a shard that has none: the one that will be empty soonest. Nothing is
   * cordoned that would take so long that its room stood beside this shard's own queue for too long.
   */
  cordon(to: number, demand: Demand, input: PlacementInput): void {
    const { now } = input;
    const until = now + CORDON_REPORTS * this.reportMs;
    for (const cordon of this.open.values())
      if (cordon.to === to) {
        cordon.until = until;
        return;
      }
    const machine = findSoonestEmpty(demand, input);
    if (machine === null) return;
    machine.cordoned = true;
    this.open.set(machine, { to, until });
    for (const placement of machine.placements)
      if (yieldsTo(placement, demand)) placement.stop ??= { why: "drain", graceS: placement.job.spec.saveS };
    this.log.info({ host: machine.host, shard: this.shard, to }, "machine cordoned");
  }

  /** Ends what the leader has not asked for lately. */
  expire(now: number): void {
    for (const [machine, { until }] of this.open) {
      if (now <= until) continue;
      machine.cordoned = false;
      this.open.delete(machine);
    }
  }

  /** The machine has left the shard. */
  forget(machine: Machine): void {
    this.open.delete(machine);
  }
}

function findSoonestEmpty(demand: Demand, input: PlacementInput): Machine | null {
  let best: Machine | null = null;
  let least = MAX_CORDON_FRACTION * MAX_WAIT_WITH_FREE_CAPACITY_S * 1000;
  for (const machine of input.machines) {
    const type = input.types.get(machine.record.type);
    if (type === undefined || !machine.schedulable || !allowsPool(demand, machine.record)) continue;
    let emptyInMs = 0;
    for (const placement of machine.placements) {
      const stops = yieldsTo(placement, demand);
      const ms = stops ? placement.job.spec.saveS * 1000 : expectedRemainingMs(placement, type, input);
      emptyInMs = Math.max(emptyInMs, ms);
    }
    if (emptyInMs < least) [best, least] = [machine, emptyInMs];
  }
  return best;
}

/** Whether a task gives way at once where its machine is to run empty: it saves, and is not the more urgent. */
function yieldsTo({ job: { spec } }: Placement, demand: Demand): boolean {
  return (
    spec.checkpointS > 0 &&
    PRIORITIES.indexOf(spec.priority) <= PRIORITIES.indexOf(demand.priority as Priority)
  );
}
