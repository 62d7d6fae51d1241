/** Builds the response of one shard's owner to a heartbeat. */
import { limitCommands } from "../workers/worker-commands.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Heartbeat, WorkerCommand } from "../wire/index.js";
import type { CompletionWriter } from "./completion-writer.js";
import type { MachineRecorder } from "./machine-recorder.js";
import type { ShardTerm } from "./owner-term.js";
import type { RenewalGuard } from "./renewal-guard.js";
import type { RoundThrottle } from "./round-throttle.js";
import type { Shard } from "./shard.js";
import type { HeartbeatResponse, ShardOwnerCallbacks } from "./shard-owner-messages.js";

const REFUSED: HeartbeatResponse = { kind: "refused" };

/** Dependencies of a shard's heartbeat responder. */
export interface HeartbeatResponderDependencies {
  readonly shard: Shard;
  readonly term: ShardTerm;
  readonly callbacks: ShardOwnerCallbacks;
  readonly renewalGuard: RenewalGuard;
  readonly rounds: RoundThrottle;
  readonly machineRecorder: MachineRecorder;
  readonly completionWriter: CompletionWriter;
  readonly clock: SteadyClock;
}

/** Responds to the heartbeats of one shard's workers. */
export class HeartbeatResponder {
  constructor(private readonly dependencies: HeartbeatResponderDependencies) {}

  /** Reconciles a heartbeat, places tasks on its machine, and renews the worker's lease if that is allowed. */
  respond(heartbeat: Heartbeat): HeartbeatResponse {
    const { shard, term, callbacks, renewalGuard, clock } = this.dependencies;
    const now = clock();
    const permission = renewalGuard.checkPermission(
      callbacks.authority(),
      heartbeat.highestToken,
      now - shard.viewCompleteAsOf,
    );
    if (!permission.allowed) {
      // Either another owner has taken over the shard, and advancing the token fails, or the machine was transferred
      // from a shard with a higher token.
      if (permission.reason === "newer_token") callbacks.advanceToken();
      return REFUSED;
    }
    term.updateToken(permission.token);
    const commands = shard.reconcileHeartbeat(heartbeat, now);
    if (commands === null) {
      renewalGuard.recordIgnoredHeartbeat();
      return REFUSED;
    }
    this.dependencies.machineRecorder.record();
    this.addStartsAtHeartbeat(heartbeat.host, permission.token, now, commands);
    this.dependencies.completionWriter.write();
    const renewal = renewalGuard.decideRenewal(permission, heartbeat, limitCommands(commands), (job) =>
      shard.isLiveJob(job),
    );
    return renewal === null ? REFUSED : { kind: "commands", renewal };
  }

  /** Places tasks on the machine and adds their start commands. */
  private addStartsAtHeartbeat(host: string, token: number, now: number, commands: WorkerCommand[]): void {
    const { shard, callbacks, rounds } = this.dependencies;
    if (!callbacks.canPlaceTasks() || !rounds.placeAfterHeartbeat(host, token, now)) return;
    const starts = commands.filter(({ op }) => op === "start");
    const startedAttempts = new Set(starts.map(({ attempt }) => attempt));
    for (const start of shard.startCommands(host))
      if (!startedAttempts.has(start.attempt)) commands.push(start);
  }
}
