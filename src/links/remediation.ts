/** What a controller does of its own accord about a link that is down: pass on what a peer can do better. Pure. */
import type { Diagnosis } from "./diagnosis.js";
import { DIRECTIONS, type Direction, type LinkName } from "./model.js";
import { linkStateIn } from "./peer-views.js";
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
  canHandOver: (shard: number) => boolean;
  canResign: boolean;
}

/** What should be done now. */
export function planRemediations(input: RemediationInput): Remediation[] {
  // Both take a write of the state service.
  if (input.diagnosis("state", "outbound").state === "down") return [];
  return [...planHandOvers(input), ...planResignation(input)];
}

function isDownOnlyHere(input: RemediationInput, link: LinkName, direction: Direction): boolean {
  const { state, scope } = input.diagnosis(link, direction);
  return state === "down" && scope === "this_node";
}

function planHandOvers(input: RemediationInput): Remediation[] {
  if (!isDownOnlyHere(input, "workers", "inbound") && !isDownOnlyHere(input, "workers", "outbound"))
    return [];
  const remediations: Remediation[] = [];
  for (const owned of input.shards) {
    const { shard } = owned;
    const to = bestSuccessor(input.peers, owned);
    if (to !== null && input.canHandOver(shard)) remediations.push({ kind: "hand_over", shard, to });
  }
  return remediations;
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
  return linkStateIn(view, "state", "outbound") !== "down" && !hasLostWorkers(view);
}

/** Whether a peer finds its workers lost, in either direction. */
export function hasLostWorkers(view: LinkView): boolean {
  return DIRECTIONS.some((direction) => linkStateIn(view, "workers", direction) === "down");
}

function planResignation(input: RemediationInput): Remediation[] {
  if (!input.isLeader || !input.canResign || !isDownOnlyHere(input, "cloud", "outbound")) return [];
  const successor = input.peers.find(
    (peer) =>
      linkStateIn(peer, "cloud", "outbound") === "up" && linkStateIn(peer, "state", "outbound") !== "down",
  );
  return successor === undefined ? [] : [{ kind: "resign", betterPlaced: successor.node }];
}
