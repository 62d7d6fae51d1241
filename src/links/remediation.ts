/** Plans how a controller reacts to a link that is down: it passes shards or leadership to a peer that works better. */
import type { Diagnosis } from "./diagnosis.js";
import { DIRECTIONS, type Direction, type LinkName } from "./model.js";
import { linkStateIn } from "./peer-views.js";
import type { LinkView } from "./link-view.js";

/** An action that the controller should take. */
export type Remediation =
  | { kind: "hand_over"; shard: number; to: string }
  /** Resign from leadership, since the peer `betterPlaced` reaches the cloud. */
  | { kind: "resign"; betterPlaced: string };

/** A shard that this controller owns. */
export interface OwnedShardStatus {
  shard: number;
  /** The version of the shard's record under which this controller owns the shard. */
  term: number;
  /** The number of the shard's machines whose records show them as up. */
  machines: number;
}

/** The input of `planRemediations`. */
export interface RemediationInput {
  diagnosis: (link: LinkName, direction: Direction) => Diagnosis;
  shards: OwnedShardStatus[];
  isLeader: boolean;
  /** Unexpired views of the peers that hold a membership lease. */
  peers: LinkView[];
  canHandOver: (shard: number) => boolean;
  canResign: boolean;
}

/** Returns the actions to take now. */
export function planRemediations(input: RemediationInput): Remediation[] {
  // A hand-over and a resignation each need a write to the state store.
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

/**
 * Returns the peer that most of the shard's workers send heartbeats to, among the peers that reach the state store
 * and have not lost their own workers; null if there is none, so that the shard stays.
 */
function bestSuccessor(peers: LinkView[], owned: OwnedShardStatus): string | null {
  let best: { node: string; workers: number } | null = null;
  for (const view of peers) {
    const workers = misroutedWorkersSeenBy(view, owned);
    if (workers === 0 || workers <= (best?.workers ?? 0) || !canTakeShard(view)) continue;
    best = { node: view.node, workers };
  }
  return best?.node ?? null;
}

/** Returns the number of a shard's workers that a peer reports as misrouted in the current term. */
export function misroutedWorkersSeenBy(view: LinkView, { shard, term }: OwnedShardStatus): number {
  return view.misrouted.find((count) => count.shard === shard && count.term === term)?.workers ?? 0;
}

function canTakeShard(view: LinkView): boolean {
  return linkStateIn(view, "state", "outbound") !== "down" && !hasLostWorkers(view);
}

/** Whether a peer reports its workers' link as down in either direction. */
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
