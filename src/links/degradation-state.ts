/** Determines which connections are currently lost and which degradation rules apply. */
import type { Logger } from "../runtime/log.js";
import { ACTIVITIES, NORMAL_RULES, rulesForLosses, type Loss, type Rules } from "./degradation-policy.js";
import type { LinkTable } from "./link-table.js";
import { peerLink, type LinkName } from "./model.js";
import type { MonitorMode } from "./settings.js";

/** Dependencies of a `DegradationState`. */
export interface DegradationStateDependencies {
  readonly table: LinkTable;
  /** The other controllers. */
  readonly peers: readonly string[];
  readonly mode: MonitorMode;
  readonly log: Logger;
}

/** The current losses and the rules that apply to them. */
export class DegradationState {
  private currentLosses: ReadonlySet<Loss> = new Set();
  private currentRules: Rules = NORMAL_RULES;

  constructor(private readonly dependencies: DegradationStateDependencies) {}

  /** The connections that are lost, as of the last update. */
  get losses(): ReadonlySet<Loss> {
    return this.currentLosses;
  }

  /** The rules for all activities, as of the last update. */
  get rules(): Rules {
    return this.currentRules;
  }

  /** Recomputes losses and rules from the links' diagnoses, and logs changes. */
  update(): void {
    const { peers, mode, log } = this.dependencies;
    const losses = this.detectLosses();
    const isUnchanged =
      losses.size === this.currentLosses.size && [...losses].every((loss) => this.currentLosses.has(loss));
    if (isUnchanged) return;
    this.currentLosses = losses;
    this.currentRules = rulesForLosses(losses, losses.has("peers") || peers.length === 0);
    const restricted = ACTIVITIES.filter((activity) => this.currentRules[activity].decision !== "allowed");
    log.info({ lost: [...losses], restricted, mode }, "degradation policy changed");
  }

  private detectLosses(): Set<Loss> {
    const { table, peers } = this.dependencies;
    const losses = new Set<Loss>();
    const stateDiagnoses = [table.diagnosis("state", "outbound"), table.diagnosis("state", "inbound")];
    const stateDown = stateDiagnoses.find((direction) => direction.state === "down");
    if (stateDown !== undefined) losses.add(stateDown.scope === "everyone" ? "state_for_all" : "state");
    for (const link of ["workers", "cloud", "users"] as const) if (this.isDown(link)) losses.add(link);
    if (peers.length > 0 && peers.every((node) => this.isDown(peerLink(node)))) losses.add("peers");
    return losses;
  }

  private isDown(link: LinkName): boolean {
    const { table } = this.dependencies;
    return (
      table.diagnosis(link, "outbound").state === "down" || table.diagnosis(link, "inbound").state === "down"
    );
  }
}
