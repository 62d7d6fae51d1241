/** The autoscaling actor: collects shard summaries from the owners and starts reconciliation passes on the leader. */
import { CloudError } from "../cloud/cloud-error.js";
import type { ShardSummary } from "../peers/peer-messages.js";
import { Actor } from "../runtime/actor.js";
import { StateStoreError } from "../state/state-store-error.js";
import type { Heartbeat } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import { Reconciler } from "./reconciler.js";

/** Messages that the autoscaler receives; `unknown_machine` is a heartbeat from a machine that has no record. */
export type AutoscalerMessage =
  | { kind: "summary"; summary: ShardSummary; reply: (accepted: boolean) => void }
  | { kind: "unknown_machine"; heartbeat: Heartbeat }
  | { kind: "tick" }
  | { kind: "pass_done" };

/** Starts reconciliation passes at the configured minimum interval, one at a time, while this process is the leader. */
export class Autoscaler extends Actor<AutoscalerMessage> {
  private readonly reconciler: Reconciler;
  private isLeading = false;
  private isPassRunning = false;
  private lastPassAt = -Infinity;

  constructor(private readonly dependencies: AutoscalerDependencies) {
    super(dependencies.log);
    this.reconciler = new Reconciler(dependencies);
  }

  protected override receive(message: AutoscalerMessage): void {
    const { clock, callbacks } = this.dependencies;
    switch (message.kind) {
      case "summary":
        this.reconciler.summaries.add(message.summary, clock());
        message.reply(callbacks.leaderVersion() !== null);
        return;
      case "unknown_machine":
        this.reconciler.registration.receiveHeartbeat(message.heartbeat);
        return;
      case "tick":
        this.startPass();
        return;
      case "pass_done":
        this.isPassRunning = false;
        return;
    }
  }

  private startPass(): void {
    const { clock, callbacks, operator } = this.dependencies;
    const now = clock();
    const leaderVersion = callbacks.leaderVersion();
    if (leaderVersion === null) {
      this.isLeading = false;
      this.reconciler.endTerm();
      return;
    }
    if (!this.isLeading) this.reconciler.beginTerm(now);
    this.isLeading = true;
    if (this.isPassRunning || now - this.lastPassAt < operator.passSpacingMs) return;
    this.isPassRunning = true;
    this.lastPassAt = now;
    this.reconciler
      .reconcile(leaderVersion, now)
      .catch((err: unknown) => {
        this.logFailure(err);
      })
      .finally(() => this.tell({ kind: "pass_done" }));
  }

  private logFailure(err: unknown): void {
    const isExpected = err instanceof CloudError || err instanceof StateStoreError;
    if (isExpected) this.log.debug({ err }, "reconciliation pass aborted");
    else this.log.error({ err }, "reconciliation pass failed");
  }
}
