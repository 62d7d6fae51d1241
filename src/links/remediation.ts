/** What a controller does of its own accord about a link that is down: pass on what a peer can do better. Pure. */
import type { Diagnosis } from "./diagnosis.js";
import { DIRECTIONS, type Direction, type LinkName } from "./model.js";
import { stateIn } from "./peer-views.js";
import type { LinkView } from "./link-view.js";

/** A step that the controller should take. */
export type Remediation =
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
export interface RemediationInput {
  diagnosis: (link: LinkName, direction: Direction) => Diagnosis;
  shards: OwnedShardStatus[];
  isLeader: boolean;
  /** Peers' views that count, of controllers that hold a membership lease. */
  peers: LinkView[];
  mayHandOver: (shard: number) => boolean;
  mayResign: boolean;
}

/** What should be done now. */
export function planRemediations(view: RemediationInput): Remediation[] {
  // Both take a write of the state service.
  if (view.diagnosis("state", "outbound").state === "down") return [];
  return [...planHandOvers(view), ...planResignation(view)];
}

function isLostHereOnly(view: RemediationInput, link: LinkName, direction: Direction): boolean {
  const { state, scope } = view.diagnosis(link, direction);
  return state === "down" && scope === "this_node";
}

function planHandOvers(view: RemediationInput): Remediation[] {
  if (!isLostHereOnly(view, "workers", "inbound") && !isLostHereOnly(view, "workers", "outbound")) return [];
  const remedies: Remediation[] = [];
  for (const owned of view.shards) {
    const { shard } = owned;
    const to = bestSuccessor(view.peers, owned);
    if (to !== null && view.mayHandOver(shard)) remedies.push({ kind: "hand_over", shard, to });
  }
  return remedies;
}

/** The peer to which most of the shard's workers turn, if it can record what it decides; null keeps the shard here. */
function bestSuccessor(peers: LinkView[], owned: OwnedShardStatus): string | null {
  let best: { node: string; workers: number } | null = null;
  for (const view of peers) {
    const workers = misroutedWorkersSeenBy(view, owned);
    if (workers === 0 || workers <= (best?.workers ?? 0) || !canTakeShard(view)) continue;
    best = { node: view.node, workers };
  }
  return best?.node ?? null;
}

/** How many workers of a shard turned to a peer in the present term. */
export function misroutedWorkersSeenBy(view: LinkView, { shard, term }: OwnedShardStatus): number {
  return view.misrouted.find((count) => count.shard === shard && count.term === term)?.workers ?? 0;
}

function canTakeShard(view: LinkView): boolean {
  return stateIn(view, "state", "outbound") !== "down" && !hasLostWorkers(view);
}

/** Whether a peer finds its workers lost, in either direction. */
export function hasLostWorkers(view: LinkView): boolean {
  return DIRECTIONS.some((direction) => stateIn(view, "workers", direction) === "down");
}

function planResignation(view: RemediationInput): Remediation[] {
  if (!view.isLeader || !view.mayResign || !isLostHereOnly(view, "cloud", "outbound")) return [];
  const better = view.peers.find(
    (peer) => stateIn(peer, "cloud", "outbound") === "up" && stateIn(peer, "state", "outbound") !== "down",
  );
  return better === undefined ? [] : [{ kind: "resign", betterPlaced: better.node }];
}
