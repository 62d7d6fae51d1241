/**
 * The one decision on whether a worker's heartbeat may be answered with a token. Such a response renews the worker's lease
 * and with it every task on the machine, so that it must not be sent without authority over the shard, on a view of the
 * records that may lack a confirmed cancellation, or without the stop of a task whose cancellation is known. Pure.
 */
import type { ShardAuthority, AuthorityRefusal } from "../membership/shard-authority.js";
import type { WorkerCommand, TaskStatus, Heartbeat } from "../wire/index.js";

/**
 * Why a heartbeat is not answered with a token. Operators are shown these reasons. The last three would break a rule, and
 * mean a fault in this program.
 */
export type RenewalRefusal =
  | AuthorityRefusal
  /** The worker has followed an owner with a higher token. */
  | "newer_token"
  /** The heartbeat is no newer than one that was answered, or its machine is not the shard's. */
  | "report_not_newer"
  /** The shard's own view of the records is older than it may be, although the process's view is not. */
  | "shard_behind_view"
  /** A task of a job that the records no longer have would go on. */
  | "ended_task_kept"
  /** A task of a job that the records no longer have would start. */
  | "ended_task_started";

/** The refusals that show a fault of this program rather than of its surroundings. */
export const INVARIANT_VIOLATIONS: ReadonlySet<RenewalRefusal> = new Set([
  "shard_behind_view",
  "ended_task_kept",
  "ended_task_started",
]);

/** Whether a heartbeat may be answered with a token, and the age of the view on which that was decided. */
export type RenewalPermission =
  | { allowed: true; token: number; shardViewAgeMs: number }
  | { allowed: false; reason: RenewalRefusal; shardViewAgeMs: number };

/** What a permission is decided on. */
export interface RenewalEvidence {
  authority: ShardAuthority;
  /** The highest token that the worker has seen. */
  workerToken: number;
  /** For how long the shard's own view of the records, on which its commands are decided, may have been incomplete. */
  shardViewAgeMs: number;
  /** From this age on a view is too old to renew a lease. */
  maxViewAgeMs: number;
}

/** Decides whether a heartbeat may be answered at all, before it is reconciled. */
export function decideRenewalPermission(evidence: RenewalEvidence): RenewalPermission {
  const { authority, workerToken, shardViewAgeMs, maxViewAgeMs } = evidence;
  if (!authority.held) return { allowed: false, reason: authority.reason, shardViewAgeMs };
  if (workerToken > authority.token) return { allowed: false, reason: "newer_token", shardViewAgeMs };
  // Guards against checking one view's age and deciding on another: a shard that missed a change must not go on.
  if (shardViewAgeMs >= maxViewAgeMs) return { allowed: false, reason: "shard_behind_view", shardViewAgeMs };
  return { allowed: true, token: authority.token, shardViewAgeMs };
}

/** Why a response may not be sent, and the task that it concerns. */
export interface RejectedRenewal {
  reason: Extract<RenewalRefusal, "ended_task_kept" | "ended_task_started">;
  /** As "job/index". */
  task: string;
}

/** A response that may be sent. Only `decide` makes one, so that no path can renew a lease without the decision. */
export class LeaseRenewal {
  private constructor(
    readonly token: number,
    readonly commands: readonly WorkerCommand[],
  ) {}

  /**
   * Checks a response against what its owner knows: see `docs/design.md`, "Cancellation".
   *
   * @param isLive whether the records, as the owner knows them, still have a job
   */
  static decide(
    token: number,
    heartbeat: Heartbeat,
    commands: readonly WorkerCommand[],
    isLive: (job: string) => boolean,
  ): LeaseRenewal | RejectedRenewal {
    for (const task of heartbeat.tasks)
      if (task.state !== "exited" && !isLive(task.job) && !stopsAtOnce(commands, task))
        return { reason: "ended_task_kept", task: `${task.job}/${task.index}` };
    for (const command of commands)
      if (command.op === "start" && !isLive(command.job))
        return { reason: "ended_task_started", task: `${command.job}/${command.index}` };
    return new LeaseRenewal(token, commands);
  }
}

/** Whether the commands stop a task without a grace period, in which it would run on. */
function stopsAtOnce(commands: readonly WorkerCommand[], { job, index, attempt }: TaskStatus): boolean {
  return commands.some(
    (command) =>
      command.op === "stop" &&
      command.job === job &&
      command.index === index &&
      command.attempt === attempt &&
      command.graceS === 0,
  );
}
