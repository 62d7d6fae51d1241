/** What a controller does of its own accord about a link that is down: pass on what a peer can do better. Pure. */
import type { Diagnosis } from "./diagnosis.js";
import { DIRECTIONS, type Direction, type LinkName } from "./model.js";
import { stateIn } from "./view-book.js";
import type { LinkView } from "./views.js";

/** A step that the controller should take. */
export type Remedy =
  | { kind: "hand_over"; shard: number; to: string }
  /** Give up leadership, since a peer reaches the cloud. */
  | { kind: "resign"; betterPlaced: string };

/** A shard that this controller owns. */
export interface OwnedShardStatus {
  shard: number;
  /** The version of its record with which this controller acts for it. */
  term: number;
  /** Machines of the shard that are on record as up. */
  machines: number;
}

/** What a decision on remedies is made on. */
export interface RemedyView {
  diagnosis: (link: LinkName, direction: Direction) => Diagnosis;
  shards: OwnedShardStatus[];
  leads: boolean;
  /** Peers' views that count, of controllers that hold a membership lease. */
  peers: LinkView[];
  mayHandOver: (shard: number) => boolean;
  mayResign: boolean;
}

/** What should be done now. */
export function decideRemedies(view: RemedyView): Remedy[] {
  // Both take a write of the state service.
  if (view.diagnosis("state", "outbound").state === "down") return [];
  return [...handOvers(view), ...resignation(view)];
}

function lostHere(view: RemedyView, link: LinkName, direction: Direction): boolean {
  const { state, scope } = view.diagnosis(link, direction);
  return state === "down" && scope === "this_node";
}

function handOvers(view: RemedyView): Remedy[] {
  if (!lostHere(view, "workers", "inbound") && !lostHere(view, "workers", "outbound")) return [];
  const remedies: Remedy[] = [];
  for (const owned of view.shards) {
    const { shard } = owned;
    const to = bestHeir(view.peers, owned);
    if (to !== null && view.mayHandOver(shard)) remedies.push({ kind: "hand_over", shard, to });
  }
  return remedies;
}

/** The peer to which most of the shard's workers turn, if it can record what it decides; null keeps the shard here. */
function bestHeir(peers: LinkView[], owned: OwnedShardStatus): string | null {
  let best: { node: string; workers: number } | null = null;
  for (const view of peers) {
    const workers = misroutedAt(view, owned);
    if (workers === 0 || workers <= (best?.workers ?? 0) || !fit(view)) continue;
    best = { node: view.node, workers };
  }
  return best?.node ?? null;
}

/** How many workers of a shard turned to a peer in the present term. */
export function misroutedAt(view: LinkView, { shard, term }: OwnedShardStatus): number {
  return view.misrouted.find((count) => count.shard === shard && count.term === term)?.workers ?? 0;
}

function fit(view: LinkView): boolean {
  return stateIn(view, "state", "outbound") !== "down" && !hasLostWorkers(view);
}

/** Whether a peer finds its workers lost, in either direction. */
export function hasLostWorkers(view: LinkView): boolean {
  return DIRECTIONS.some((direction) => stateIn(view, "workers", direction) === "down");
}

function resignation(view: RemedyView): Remedy[] {
  if (!view.leads || !view.mayResign || !lostHere(view, "cloud", "outbound")) return [];
  const better = view.peers.find(
    (peer) => stateIn(peer, "cloud", "outbound") === "up" && stateIn(peer, "state", "outbound") !== "down",
  );
  return better === undefined ? [] : [{ kind: "resign", betterPlaced: better.node }];
}
