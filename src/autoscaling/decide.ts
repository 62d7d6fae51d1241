/** How much to rent, what to return. Pure: summaries and records in, at most one action of each kind out. */
import type { OperatorSettings } from "../config/operator.js";
import {
  suits,
  type Demand,
  type MachineCondition,
  type MachineSummary,
  type Summary,
} from "../peers/messages.js";
import { MAX_RENTAL, PRIORITIES, type MachineType, type Priority } from "../wire/index.js";
import { fits, slotsOn } from "../placement/capacity.js";
import type { MachineRecord } from "../workers/records.js";

/** A rented machine as the records have it. */
export interface Known extends Omit<MachineRecord, "group"> {
  host: string;
}

/** All that one reconciliation pass decides on. */
export interface ScalingView {
  types: MachineType[];
  /** The latest summary of each shard; missing where there is none of this term. */
  summaries: (Summary | undefined)[];
  machines: Known[];
  /** Time of day, as in the machines' records. */
  wallNow: number;
  /** Whether a market (type, zone, kind) has refused lately. */
  refused(market: Market): boolean;
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
export interface Order extends Market {
  count: number;
  /** Which shards it is for, and how many machines each; the first are served first if fewer come. */
  parts: { shard: number; count: number }[];
}

/** Machines of one shard that are to leave it. */
export interface Leave {
  shard: number;
  hosts: string[];
}

/** Idle machines that pass to another shard. */
export interface Move extends Leave {
  to: number;
}

/** A request to let one machine that suits a demand run empty for another shard. */
export interface Cordon {
  shard: number;
  to: number;
  demand: Demand;
}

/** A request to pass a job that has not begun to another shard. */
export interface Transfer {
  shard: number;
  to: number;
  job: string;
}

/** What one pass decided. */
export interface ScalingActions {
  order: Order | null;
  move: Move | null;
  /** A shard that is to let a machine run empty for one that has none and can rent none. */
  cordon: Cordon | null;
  /** A job that is to pass to a shard with room for it. */
  transfer: Transfer | null;
  /** What is selected for removal, of each shard that has any: asking its owner takes no call to the cloud. */
  drains: Leave[];
}

/** A machine that takes longer than this many usual boot times is not counted any more. */
const OVERDUE_BOOTS = 2;
/** After so many, and a lease in which its worker may still be looking for its owner, it is returned: it may never come. */
const HOPELESS_BOOTS = 4;

/** An empty machine is worth keeping for as long as getting another would take, if work came at all: half of that. */
const IDLE_WAIT_BOOTS = 0.5;

/** A market as a key of maps and a word of logs. */
export function marketKey(market: Market): string {
  return `${market.type}/${market.zone}/${market.spot ? "spot" : "ordinary"}`;
}

/** One reconciliation pass: compares what waits with what is rented and coming. */
export function decideScaling(view: ScalingView): ScalingActions {
  const actions: ScalingActions = {
    order: null,
    move: null,
    cordon: null,
    transfer: chooseTransfer(view.summaries),
    drains: selectForRemoval(view),
  };
  const types = new Map(view.types.map((t) => [t.name, t]));
  const room = view.caps.maxMachines - view.machines.length;
  const short = shortages(view, types);
  // Guards against a shard that waits without any machine while others take all that can be had: one comes first.
  const starved = short.filter((s) => s.without).map((s) => ({ ...s, most: 1 }));
  for (const { shard, demand, machines, most, without } of [...starved, ...short]) {
    actions.move ??= chooseMove(view, shard, demand, types, without);
    if (actions.move?.to === shard) continue;
    const market = cheapest(view, demand);
    if (without && (market === null || room <= 0)) actions.cordon ??= chooseCordon(view, shard, demand);
    if (market === null) continue;
    // One call a pass: what other shards need of the same market goes with it.
    if (actions.order !== null && marketKey(actions.order) !== marketKey(market)) continue;
    const order = actions.order ?? { ...market, count: 0, parts: [] };
    const ordered = order.parts.find((part) => part.shard === shard)?.count ?? 0;
    const count = Math.min(machines(market) - ordered, most, Math.min(room, MAX_RENTAL) - order.count);
    if (count > 0) actions.order = withMore(order, shard, count);
  }
  return actions;
}

/** The order with so many machines more for a shard. */
function withMore(order: Order, shard: number, count: number): Order {
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
  without: boolean;
  /** How many machines may be ordered for it. */
  most: number;
  /** How many machines of a market the whole shortfall that it suits takes. */
  machines: (market: Market) => number;
}

/** What waits in each shard beyond what its booting machines will take, the most urgent first. */
function shortages(view: ScalingView, types: Map<string, MachineType>): Shortage[] {
  const found: Shortage[] = [];
  let tasksLeft = view.caps.maxTasks;
  view.summaries.forEach((summary, shard) => {
    // Before an owner has heard its machines, its queue says nothing about what is short.
    if (!summary?.recovered) return;
    const said = new Map(summary.machines.map((m) => [m.host, m.state]));
    const coming = view.machines
      .filter((m) => m.shard === shard && !m.drain && isComing(m, said, types, view.wallNow))
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
        if (!type || count === 0 || !suits(group, slot.machine)) continue;
        const slots = slotsOn(group, type);
        const taken = Math.min(count, Math.floor(slot.left * slots + 1e-9));
        count -= taken;
        if (slots > 0) slot.left -= taken / slots;
      }
      if (count > 0) rest.push({ ...group, count });
    }
    if (rest.length === 0) return;
    const own = view.machines.filter((m) => m.shard === shard && !m.drain && said.get(m.host) !== "silent");
    const lacking = rest.find((group) => !own.some((m) => suits(group, m)));
    found.push({
      shard,
      demand: lacking ?? rest[0]!,
      without: lacking !== undefined,
      most: Infinity,
      machines: (market) => {
        const type = types.get(market.type);
        if (!type) return 0;
        let sum = 0;
        for (const group of rest) {
          const slots = slotsOn(group, type);
          if (slots > 0 && suits(group, market)) sum += group.count / slots;
        }
        return Math.ceil(sum - 1e-9);
      },
    });
  });
  const rank = (s: Shortage): number => PRIORITIES.indexOf(s.demand.priority as Priority);
  return found.sort((a, b) => rank(b) - rank(a));
}

/** Rented, not heard yet, and not overdue. Guards against a boot that never ends covering a queue for ever. */
function isComing(
  machine: Known,
  said: Map<string, MachineCondition>,
  types: Map<string, MachineType>,
  wallNow: number,
): boolean {
  const state = said.get(machine.host) ?? "booting";
  if (state === "joining") return true;
  if (state !== "booting") return false;
  return wallNow - machine.since < OVERDUE_BOOTS * bootMs(machine, types);
}

function bootMs(machine: Known, types: Map<string, MachineType>): number {
  return (types.get(machine.type)?.bootS ?? 60) * 1000;
}

/** The cheapest market a slot of this demand can be had in, among those that have not refused lately. */
function cheapest(view: ScalingView, demand: Demand): Market | null {
  let best: Market | null = null;
  let bestPrice = Infinity;
  for (const type of view.types) {
    const slots = slotsOn(demand, type);
    if (slots === 0) continue;
    for (const zone of type.zones)
      for (const spot of [true, false]) {
        const market = { type: type.name, zone, spot };
        const price = (spot ? type.spotPrice : type.price) / slots;
        if (!suits(demand, market) || view.refused(market) || price >= bestPrice) continue;
        [best, bestPrice] = [market, price];
      }
  }
  return best;
}

/** An empty machine of another shard that suits: better than renting, however short it has been empty. */
function chooseMove(
  view: ScalingView,
  to: number,
  demand: Demand,
  types: Map<string, MachineType>,
  without: boolean,
): Move | null {
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
        machine.drain ||
        machine.shard !== shard
      )
        continue;
      if (!idle.has(machine.host) || !suits(demand, machine)) continue;
      hosts.push(machine.host);
      covered += slotsOn(demand, type);
    }
    if (hosts.length > 0) return { shard, to, hosts };
  }
  return null;
}

/** Which shard is to let a machine run empty: the one with the most that suit, if it has others left. */
function chooseCordon(view: ScalingView, to: number, demand: Demand): Cordon | null {
  let best: Cordon | null = null;
  let most = 1;
  for (const [shard, summary] of view.summaries.entries()) {
    if (shard === to || !summary?.recovered) continue;
    const up = new Set(
      summary.machines.filter((m) => m.state === "busy" || m.state === "idle").map((m) => m.host),
    );
    const count = view.machines.filter((m) => up.has(m.host) && !m.drain && suits(demand, m)).length;
    if (count > most) [best, most] = [{ shard, to, demand }, count];
  }
  return best;
}

/** The job that has waited longest of those for which another shard has room that nothing of its own takes. */
export function chooseTransfer(summaries: (Summary | undefined)[]): Transfer | null {
  let longest = -Infinity;
  let chosen: Transfer | null = null;
  for (const [shard, summary] of summaries.entries())
    for (const { job, task, waitedMs } of summary?.recovered ? summary.waiting : []) {
      if (waitedMs <= longest) continue;
      const to = summaries.findIndex(
        (other, n) =>
          n !== shard &&
          other?.recovered &&
          other.rooms.some((room) => suits(task, room) && fits(room, task)),
      );
      if (to < 0) continue;
      longest = waitedMs;
      chosen = { shard, to, job };
    }
  return chosen;
}

/** Machines selected for removal: empty over the idle wait, or lost for good. */
function selectForRemoval(view: ScalingView): Leave[] {
  const drains: Leave[] = [];
  const types = new Map(view.types.map((t) => [t.name, t]));
  const known = new Map(view.machines.map((m) => [m.host, m]));
  for (const [shard, summary] of view.summaries.entries()) {
    if (!summary?.recovered) continue;
    const lone = cutOff(summary.machines);
    const hosts = summary.machines
      .filter((said) => {
        const machine = known.get(said.host);
        if (machine === undefined || machine.drain) return false;
        if (said.state === "idle") {
          const wait = view.caps.idleWaitMs ?? IDLE_WAIT_BOOTS * bootMs(machine, types);
          return said.forMs >= wait && said.emptyReports >= 2;
        }
        if (said.state === "sick") return true;
        // Guards against returning what has just been passed on: its order is long ago, and its new owner has yet to hear it.
        if (said.state === "silent" || said.state === "joining") return !lone && said.forMs >= view.leaseMs;
        return (
          said.state === "booting" &&
          view.wallNow - machine.since >= HOPELESS_BOOTS * bootMs(machine, types) + view.leaseMs
        );
      })
      .map((said) => said.host);
    if (hosts.length > 0) drains.push({ shard, hosts });
  }
  return drains;
}

/** Guards against returning a whole fleet because its owner cannot be reached by it. */
function cutOff(machines: MachineSummary[]): boolean {
  const silent = machines.filter((m) => m.state === "silent").length;
  const speaking = machines.filter(
    (m) => m.state === "idle" || m.state === "busy" || m.state === "sick",
  ).length;
  return silent > speaking;
}
