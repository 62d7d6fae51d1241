/** How much to rent, what to give back. Pure: summaries and records in, at most one action of each kind out. */
import type { OperatorSettings } from "../config/operator.js";
import {
  suits,
  type Demand,
  type MachineCondition,
  type MachineSummary,
  type Summary,
} from "../peers/messages.js";
import { MAX_RENTAL, PRIORITIES, type MachineType, type Priority } from "../wire/index.js";
import { slotsOn } from "../placement/place.js";
import type { MachineRecord } from "../workers/records.js";

export interface Known extends Omit<MachineRecord, "group"> {
  host: string;
}

export interface SizingView {
  types: MachineType[];
  /** The latest summary of each share; missing where there is none of this term. */
  summaries: (Summary | undefined)[];
  machines: Known[];
  /** Time of day, as in the machines' records. */
  wallNow: number;
  /** Whether a market (type, zone, kind) has refused lately. */
  refused(market: Market): boolean;
  caps: Pick<OperatorSettings, "maxMachines" | "maxTasks" | "idleWaitMs">;
  leaseMs: number;
}

export interface Market {
  type: string;
  zone: string;
  spot: boolean;
}

export interface Order extends Market {
  count: number;
  /** Which shares it is for, and how many machines each; the first are served first if fewer come. */
  parts: { share: number; count: number }[];
}

export interface Leave {
  share: number;
  hosts: string[];
}

export interface Move extends Leave {
  to: number;
}

export interface Cordon {
  share: number;
  to: number;
  demand: Demand;
}

export interface SizingActions {
  order: Order | null;
  move: Move | null;
  /** A share that is to let a machine run empty for one that has none and can rent none. */
  cordon: Cordon | null;
  /** What is to be named, of each share that has any: asking its owner takes no call to the cloud. */
  drains: Leave[];
}

/** A machine that takes longer than this many usual boot times is not counted any more. */
const OVERDUE_BOOTS = 2;
/** After so many it is given back: it may never come. */
const HOPELESS_BOOTS = 4;

/** An empty machine is worth keeping for as long as getting another would take, if work came at all: half of that. */
const IDLE_WAIT_BOOTS = 0.5;

export function marketKey(market: Market): string {
  return `${market.type}/${market.zone}/${market.spot ? "spot" : "ordinary"}`;
}

export function decideSizing(view: SizingView): SizingActions {
  const actions: SizingActions = { order: null, move: null, cordon: null, drains: chooseDrains(view) };
  const types = new Map(view.types.map((t) => [t.name, t]));
  const room = view.caps.maxMachines - view.machines.length;
  const short = shortages(view, types);
  // Guards against a share that waits without any machine while others take all that can be had: one comes first.
  const starved = short.filter((s) => s.without).map((s) => ({ ...s, most: 1 }));
  for (const { share, demand, machines, most, without } of [...starved, ...short]) {
    actions.move ??= chooseMove(view, share, demand, types, without);
    if (actions.move?.to === share) continue;
    const market = cheapest(view, demand);
    if (without && (market === null || room <= 0)) actions.cordon ??= chooseCordon(view, share, demand);
    if (market === null) continue;
    // One call a pass: what other shares need of the same market goes with it.
    const { order } = actions;
    if (order !== null && marketKey(order) !== marketKey(market)) continue;
    const parts = order?.parts ?? [];
    const own = parts.find((part) => part.share === share)?.count ?? 0;
    const count = Math.min(machines(market) - own, most, Math.min(room, MAX_RENTAL) - (order?.count ?? 0));
    if (count <= 0) continue;
    actions.order = {
      ...market,
      count: count + (order?.count ?? 0),
      parts:
        own > 0
          ? parts.map((p) => (p.share === share ? { share, count: own + count } : p))
          : [...parts, { share, count }],
    };
  }
  return actions;
}

interface Shortage {
  share: number;
  /** The most urgent group that is short; decides where to rent. */
  demand: Demand;
  /** Whether the share has no machine, here or coming, that may run tasks of that group. */
  without: boolean;
  /** How many machines may be ordered for it. */
  most: number;
  /** How many machines of a market the whole shortfall that it suits takes. */
  machines(market: Market): number;
}

/** What waits in each share beyond what its booting machines will take, the most urgent first. */
function shortages(view: SizingView, types: Map<string, MachineType>): Shortage[] {
  const found: Shortage[] = [];
  let tasksLeft = view.caps.maxTasks;
  view.summaries.forEach((summary, share) => {
    // Before an owner has heard its machines, its queue says nothing about what is short.
    if (summary === undefined || !summary.settled) return;
    const said = new Map(summary.machines.map((m) => [m.host, m.state]));
    const coming = view.machines
      .filter((m) => m.share === share && !m.drain && isComing(m, said, types, view.wallNow))
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
    const own = view.machines.filter((m) => m.share === share && !m.drain && said.get(m.host) !== "silent");
    const lacking = rest.find((group) => !own.some((m) => suits(group, m)));
    found.push({
      share,
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
function cheapest(view: SizingView, demand: Demand): Market | null {
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

/** An empty machine of another share that suits: better than renting, however short it has been empty. */
function chooseMove(
  view: SizingView,
  to: number,
  demand: Demand,
  types: Map<string, MachineType>,
  without: boolean,
): Move | null {
  for (const [share, summary] of view.summaries.entries()) {
    if (share === to || !summary?.settled || (summary.demand.length > 0 && !without)) continue;
    // What a share with a queue of its own lets go is one machine, for one that has none.
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
        machine.share !== share
      )
        continue;
      if (!idle.has(machine.host) || !suits(demand, machine)) continue;
      hosts.push(machine.host);
      covered += slotsOn(demand, type);
    }
    if (hosts.length > 0) return { share, to, hosts };
  }
  return null;
}

/** Which share is to let a machine run empty: the one with the most that suit, if it has others left. */
function chooseCordon(view: SizingView, to: number, demand: Demand): Cordon | null {
  let best: Cordon | null = null;
  let most = 1;
  for (const [share, summary] of view.summaries.entries()) {
    if (share === to || !summary?.settled) continue;
    const up = new Set(
      summary.machines.filter((m) => m.state === "busy" || m.state === "idle").map((m) => m.host),
    );
    const count = view.machines.filter((m) => up.has(m.host) && !m.drain && suits(demand, m)).length;
    if (count > most) [best, most] = [{ share, to, demand }, count];
  }
  return best;
}

/** Machines to be named: empty over the idle wait, or lost for good. */
function chooseDrains(view: SizingView): Leave[] {
  const drains: Leave[] = [];
  const types = new Map(view.types.map((t) => [t.name, t]));
  const known = new Map(view.machines.map((m) => [m.host, m]));
  for (const [share, summary] of view.summaries.entries()) {
    if (!summary?.settled) continue;
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
        // Guards against giving back what has just been passed on: its order is long ago, and its new owner has yet to hear it.
        if (said.state === "silent" || said.state === "joining") return !lone && said.forMs >= view.leaseMs;
        return (
          said.state === "booting" && view.wallNow - machine.since >= HOPELESS_BOOTS * bootMs(machine, types)
        );
      })
      .map((said) => said.host);
    if (hosts.length > 0) drains.push({ share, hosts });
  }
  return drains;
}

/** Guards against giving back a whole fleet because its owner cannot be reached by it. */
function cutOff(machines: MachineSummary[]): boolean {
  const silent = machines.filter((m) => m.state === "silent").length;
  const speaking = machines.filter(
    (m) => m.state === "idle" || m.state === "busy" || m.state === "sick",
  ).length;
  return silent > speaking;
}
