/** How much to rent, what to give back. Pure: summaries and records in, at most one action of each kind out. */
import type { OperatorSettings } from "../config/operator.js";
import type { Demand, MachineCondition, MachineSummary, Summary } from "../peers/messages.js";
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

export interface SizingActions {
  order: Order | null;
  move: Move | null;
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

function suits(demand: Demand, market: Market): boolean {
  return (
    (demand.types.length === 0 || demand.types.includes(market.type)) &&
    (demand.zone === "" || demand.zone === market.zone) &&
    (demand.spot || !market.spot)
  );
}

export function decideSizing(view: SizingView): SizingActions {
  const actions: SizingActions = { order: null, move: null, drains: chooseDrains(view) };
  const types = new Map(view.types.map((t) => [t.name, t]));
  const room = view.caps.maxMachines - view.machines.length;
  const short = shortages(view, types);
  for (const { share, demand, machines } of short) {
    actions.move ??= chooseMove(view, share, demand, types);
    if (actions.move?.to === share) continue;
    const market = cheapest(view, demand);
    if (market === null) continue;
    // One call a pass: what other shares need of the same market goes with it.
    const { order } = actions;
    if (order !== null && marketKey(order) !== marketKey(market)) continue;
    const count = Math.min(machines(market), Math.min(room, MAX_RENTAL) - (order?.count ?? 0));
    if (count <= 0) continue;
    actions.order = {
      ...market,
      count: count + (order?.count ?? 0),
      parts: [...(order?.parts ?? []), { share, count }],
    };
  }
  return actions;
}

interface Shortage {
  share: number;
  /** The most urgent group that is short; decides where to rent. */
  demand: Demand;
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
    found.push({
      share,
      demand: rest[0]!,
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
  if ((said.get(machine.host) ?? "booting") !== "booting") return false;
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
): Move | null {
  for (const [share, summary] of view.summaries.entries()) {
    if (share === to || !summary?.settled || summary.demand.length > 0) continue;
    const idle = new Set(
      summary.machines.filter((m) => m.state === "idle" && m.emptyReports >= 2).map((m) => m.host),
    );
    const hosts: string[] = [];
    let covered = 0;
    for (const machine of view.machines) {
      const type = types.get(machine.type);
      if (covered >= demand.count || !type || machine.drain || machine.share !== share) continue;
      if (!idle.has(machine.host) || !suits(demand, machine)) continue;
      hosts.push(machine.host);
      covered += slotsOn(demand, type);
    }
    if (hosts.length > 0) return { share, to, hosts };
  }
  return null;
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
        if (said.state === "silent") return !lone && said.forMs >= view.leaseMs;
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
