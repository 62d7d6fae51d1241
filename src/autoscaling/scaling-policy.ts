/** How much to rent, what to return. Pure: summaries and records in, at most one action of each kind out. */
import type { OperatorSettings } from "../config/operator.js";
import {
  allowsPool,
  type Demand,
  type MachineCondition,
  type MachineSummary,
  type ShardSummary,
} from "../peers/messages.js";
import { MAX_RENTAL, PRIORITIES, type MachineType, type Priority } from "../wire/index.js";
import { fits, slotsPerMachine } from "../placement/capacity.js";
import type { MachineRecord } from "../workers/machine-records.js";

/** A rented machine as the records have it. */
export interface RentedMachine extends Omit<MachineRecord, "groupKey"> {
  host: string;
}

/** All that one reconciliation pass decides on. */
export interface ScalingView {
  types: MachineType[];
  /** The latest summary of each shard; missing where there is none of this term. */
  summaries: (ShardSummary | undefined)[];
  machines: RentedMachine[];
  /** Time of day, as in the machines' records. */
  wallNow: number;
  /** Whether a market (type, zone, kind) has refused lately. */
  hasRefusedLately(market: Market): boolean;
  caps: Pick<OperatorSettings, "maxMachines" | "maxTasks" | "idleWaitMs">;
  leaseMs: number;
}

/** What the cloud rents separately: a machine type in a zone, spot or ordinary. */
export interface Market {
  type: string;
  zone: string;
  spot: boolean;
}

/** Machines to be rented in one call. */
export interface RentalPlan extends Market {
  count: number;
  /** Which shards it is for, and how many machines each; the first are served first if fewer come. */
  parts: { shard: number; count: number }[];
}

/** Machines of one shard that are to leave it. */
export interface MachineSelection {
  shard: number;
  hosts: string[];
}

/** Idle machines that pass to another shard. */
export interface MachineTransfer extends MachineSelection {
  to: number;
}

/** A request to let one machine that suits a demand run empty for another shard. */
export interface CordonRequest {
  shard: number;
  to: number;
  demand: Demand;
}

/** A request to pass a job that has not begun to another shard. */
export interface JobMigration {
  shard: number;
  to: number;
  job: string;
}

/** What one pass decided. */
export interface ScalingActions {
  order: RentalPlan | null;
  machineTransfer: MachineTransfer | null;
  /** A shard that is to let a machine run empty for one that has none and can rent none. */
  cordon: CordonRequest | null;
  /** A job that is to pass to a shard with room for it. */
  jobMigration: JobMigration | null;
  /** What is selected for removal, of each shard that has any: asking its owner takes no call to the cloud. */
  drains: MachineSelection[];
}

/** A machine that takes longer than this many usual boot times is not counted any more. */
const LATE_BOOT_FACTOR = 2;
/** After so many, and a lease in which its worker may still be looking for its owner, it is returned: it may never come. */
const FAILED_BOOT_FACTOR = 4;

/** An empty machine is worth keeping for as long as getting another would take, if work came at all: half of that. */
const IDLE_WAIT_BOOT_FRACTION = 0.5;

/** A market as a key of maps and a word of logs. */
export function poolKey(market: Market): string {
  return `${market.type}/${market.zone}/${market.spot ? "spot" : "ordinary"}`;
}

/** One reconciliation pass: compares what waits with what is rented and coming. */
export function decideScaling(view: ScalingView): ScalingActions {
  const actions: ScalingActions = {
    order: null,
    machineTransfer: null,
    cordon: null,
    jobMigration: chooseJobMigration(view.summaries),
    drains: selectForRemoval(view),
  };
  const types = new Map(view.types.map((t) => [t.name, t]));
  const room = view.caps.maxMachines - view.machines.length;
  const short = findShortages(view, types);
  // Guards against a shard that waits without any machine while others take all that can be had: one comes first.
  const starved = short.filter((s) => s.hasNoMachine).map((s) => ({ ...s, maxMachines: 1 }));
  for (const { shard, demand, machinesNeeded: machines, maxMachines: most, hasNoMachine: without } of [
    ...starved,
    ...short,
  ]) {
    actions.machineTransfer ??= chooseMachineTransfer(view, shard, demand, types, without);
    if (actions.machineTransfer?.to === shard) continue;
    const market = cheapestPool(view, demand);
    if (without && (market === null || room <= 0)) actions.cordon ??= chooseCordon(view, shard, demand);
    if (market === null) continue;
    // One call a pass: what other shards need of the same market goes with it.
    if (actions.order !== null && poolKey(actions.order) !== poolKey(market)) continue;
    const order = actions.order ?? { ...market, count: 0, parts: [] };
    const ordered = order.parts.find((part) => part.shard === shard)?.count ?? 0;
    const count = Math.min(machines(market) - ordered, most, Math.min(room, MAX_RENTAL) - order.count);
    if (count > 0) actions.order = addToPlan(order, shard, count);
  }
  return actions;
}

/** The order with so many machines more for a shard. */
function addToPlan(order: RentalPlan, shard: number, count: number): RentalPlan {
  const known = order.parts.some((part) => part.shard === shard);
  const parts = known
    ? order.parts.map((part) => (part.shard === shard ? { shard, count: part.count + count } : part))
    : [...order.parts, { shard, count }];
  return { ...order, count: order.count + count, parts };
}

interface Shortage {
  shard: number;
  /** The most urgent group that is short; decides where to rent. */
  demand: Demand;
  /** Whether the shard has no machine, here or coming, that may run tasks of that group. */
  hasNoMachine: boolean;
  /** How many machines may be ordered for it. */
  maxMachines: number;
  /** How many machines of a market the whole shortfall that it suits takes. */
  machinesNeeded: (market: Market) => number;
}

/** What waits in each shard beyond what its booting machines will take, the most urgent first. */
function findShortages(view: ScalingView, types: Map<string, MachineType>): Shortage[] {
  const found: Shortage[] = [];
  let tasksLeft = view.caps.maxTasks;
  view.summaries.forEach((summary, shard) => {
    // Before an owner has heard its machines, its queue says nothing about what is short.
    if (!summary?.recovered) return;
    const said = new Map(summary.machines.map((m) => [m.host, m.state]));
    const coming = view.machines
      .filter((m) => m.shard === shard && !m.draining && isStillBooting(m, said, types, view.wallNow))
      .map((m) => ({ machine: m, left: 1 }));
    const groups = [...summary.demand].sort(
      (a, b) => PRIORITIES.indexOf(b.priority as Priority) - PRIORITIES.indexOf(a.priority as Priority),
    );
    const rest: Demand[] = [];
    for (const group of groups) {
      let count = Math.min(group.count, tasksLeft);
      tasksLeft -= count;
      for (const slot of coming) {
        const type = types.get(slot.machine.type);
        if (!type || count === 0 || !allowsPool(group, slot.machine)) continue;
        const slots = slotsPerMachine(group, type);
        const taken = Math.min(count, Math.floor(slot.left * slots + 1e-9));
        count -= taken;
        if (slots > 0) slot.left -= taken / slots;
      }
      if (count > 0) rest.push({ ...group, count });
    }
    if (rest.length === 0) return;
    const own = view.machines.filter(
      (m) => m.shard === shard && !m.draining && said.get(m.host) !== "silent",
    );
    const lacking = rest.find((group) => !own.some((m) => allowsPool(group, m)));
    found.push({
      shard,
      demand: lacking ?? rest[0]!,
      hasNoMachine: lacking !== undefined,
      maxMachines: Infinity,
      machinesNeeded: (market) => {
        const type = types.get(market.type);
        if (!type) return 0;
        let sum = 0;
        for (const group of rest) {
          const slots = slotsPerMachine(group, type);
          if (slots > 0 && allowsPool(group, market)) sum += group.count / slots;
        }
        return Math.ceil(sum - 1e-9);
      },
    });
  });
  const rank = (s: Shortage): number => PRIORITIES.indexOf(s.demand.priority as Priority);
  return found.sort((a, b) => rank(b) - rank(a));
}

/** Rented, not heard yet, and not overdue. Guards against a boot that never ends covering a queue for ever. */
function isStillBooting(
  machine: RentedMachine,
  said: Map<string, MachineCondition>,
  types: Map<string, MachineType>,
  wallNow: number,
): boolean {
  const state = said.get(machine.host) ?? "booting";
  if (state === "joining") return true;
  if (state !== "booting") return false;
  return wallNow - machine.since < LATE_BOOT_FACTOR * bootMs(machine, types);
}

function bootMs(machine: RentedMachine, types: Map<string, MachineType>): number {
  return (types.get(machine.type)?.bootS ?? 60) * 1000;
}

/** The cheapest market a slot of this demand can be had in, among those that have not refused lately. */
function cheapestPool(view: ScalingView, demand: Demand): Market | null {
  let best: Market | null = null;
  let bestPrice = Infinity;
  for (const type of view.types) {
    const slots = slotsPerMachine(demand, type);
    if (slots === 0) continue;
    for (const zone of type.zones)
      for (const spot of [true, false]) {
        const market = { type: type.name, zone, spot };
        const price = (spot ? type.spotPrice : type.price) / slots;
        if (!allowsPool(demand, market) || view.hasRefusedLately(market) || price >= bestPrice) continue;
        [best, bestPrice] = [market, price];
      }
  }
  return best;
}

/** An empty machine of another shard that suits: better than renting, however short it has been empty. */
function chooseMachineTransfer(
  view: ScalingView,
  to: number,
  demand: Demand,
  types: Map<string, MachineType>,
  without: boolean,
): MachineTransfer | null {
  for (const [shard, summary] of view.summaries.entries()) {
    if (shard === to || !summary?.recovered || (summary.demand.length > 0 && !without)) continue;
    // What a shard with a queue of its own lets go is one machine, for one that has none.
    const most = summary.demand.length > 0 ? 1 : Infinity;
    const idle = new Set(
      summary.machines.filter((m) => m.state === "idle" && m.emptyReports >= 2).map((m) => m.host),
    );
    const hosts: string[] = [];
    let covered = 0;
    for (const machine of view.machines) {
      const type = types.get(machine.type);
      if (
        covered >= demand.count ||
        hosts.length >= most ||
        !type ||
        machine.draining ||
        machine.shard !== shard
      )
        continue;
      if (!idle.has(machine.host) || !allowsPool(demand, machine)) continue;
      hosts.push(machine.host);
      covered += slotsPerMachine(demand, type);
    }
    if (hosts.length > 0) return { shard, to, hosts };
  }
  return null;
}

/** Which shard is to let a machine run empty: the one with the most that suit, if it has others left. */
function chooseCordon(view: ScalingView, to: number, demand: Demand): CordonRequest | null {
  let best: CordonRequest | null = null;
  let most = 1;
  for (const [shard, summary] of view.summaries.entries()) {
    if (shard === to || !summary?.recovered) continue;
    const up = new Set(
      summary.machines.filter((m) => m.state === "busy" || m.state === "idle").map((m) => m.host),
    );
    const count = view.machines.filter((m) => up.has(m.host) && !m.draining && allowsPool(demand, m)).length;
    if (count > most) [best, most] = [{ shard, to, demand }, count];
  }
  return best;
}

/** The job that has waited longest of those for which another shard has room that nothing of its own takes. */
export function chooseJobMigration(summaries: (ShardSummary | undefined)[]): JobMigration | null {
  let longest = -Infinity;
  let chosen: JobMigration | null = null;
  for (const [shard, summary] of summaries.entries())
    for (const { job, task, waitedMs } of summary?.recovered ? summary.waiting : []) {
      if (waitedMs <= longest) continue;
      const to = summaries.findIndex(
        (other, n) =>
          n !== shard &&
          other?.recovered &&
          other.rooms.some((room) => allowsPool(task, room) && fits(room, task)),
      );
      if (to < 0) continue;
      longest = waitedMs;
      chosen = { shard, to, job };
    }
  return chosen;
}

/** Machines selected for removal: empty over the idle wait, or lost for good. */
function selectForRemoval(view: ScalingView): MachineSelection[] {
  const drains: MachineSelection[] = [];
  const types = new Map(view.types.map((t) => [t.name, t]));
  const known = new Map(view.machines.map((m) => [m.host, m]));
  for (const [shard, summary] of view.summaries.entries()) {
    if (!summary?.recovered) continue;
    const lone = isOwnerCutOff(summary.machines);
    const hosts = summary.machines
      .filter((said) => {
        const machine = known.get(said.host);
        if (machine === undefined || machine.draining) return false;
        if (said.state === "idle") {
          const wait = view.caps.idleWaitMs ?? IDLE_WAIT_BOOT_FRACTION * bootMs(machine, types);
          return said.forMs >= wait && said.emptyReports >= 2;
        }
        if (said.state === "sick") return true;
        // Guards against returning what has just been passed on: its order is long ago, and its new owner has yet to hear it.
        if (said.state === "silent" || said.state === "joining") return !lone && said.forMs >= view.leaseMs;
        return (
          said.state === "booting" &&
          view.wallNow - machine.since >= FAILED_BOOT_FACTOR * bootMs(machine, types) + view.leaseMs
        );
      })
      .map((said) => said.host);
    if (hosts.length > 0) drains.push({ shard, hosts });
  }
  return drains;
}

/** Guards against returning a whole fleet because its owner cannot be reached by it. */
function isOwnerCutOff(machines: MachineSummary[]): boolean {
  const silent = machines.filter((m) => m.state === "silent").length;
  const speaking = machines.filter(
    (m) => m.state === "idle" || m.state === "busy" || m.state === "sick",
  ).length;
  return silent > speaking;
}
