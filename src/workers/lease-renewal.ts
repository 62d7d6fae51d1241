/**
 * Decides whether a worker's heartbeat may be answered with a token; no other module does. Such a response renews the
 * worker's lease, and so extends every task on the machine. It must not be sent without authority over the shard, based
 * on a view of the records that may lack a confirmed cancellation, or without a stop for each task that is known to be
 * cancelled. Pure.
 */
import type { ShardAuthority, AuthorityRefusal } from "../membership/shard-authority.js";
import type { WorkerCommand, TaskStatus, Heartbeat } from "../wire/index.js";

/**
 * Why a heartbeat is not answered with a token. Operators see these reasons. The last three are invariant violations:
 * they show a fault in this program.
 */
export type RenewalRefusal =
  | AuthorityRefusal
  /** The worker has seen a higher token than this owner's. */
  | "newer_token"
  /** The heartbeat is not newer than one already reconciled, or its machine does not belong to the shard. */
  | "report_not_newer"
  /** The shard's own view of the records is too old, although the process's view is recent enough. */
  | "shard_behind_view"
  /** The response would let a task of an ended job continue. */
  | "ended_task_kept"
  /** The response would start a task of an ended job. */
  | "ended_task_started";

/** The refusals that show a fault in this program rather than in its environment. */
export const INVARIANT_VIOLATIONS: ReadonlySet<RenewalRefusal> = new Set([
  "shard_behind_view",
  "ended_task_kept",
  "ended_task_started",
]);

/** Whether a heartbeat may be answered with a token, and the age of the view on which the decision is based. */
export type RenewalPermission =
  | { allowed: true; token: number; shardViewAgeMs: number }
  | { allowed: false; reason: RenewalRefusal; shardViewAgeMs: number };

/** The input to the decision on a permission. */
export interface RenewalEvidence {
  authority: ShardAuthority;
  /** The highest token that the worker has seen. */
  workerToken: number;
  /** How long the shard's own view of the records, on which its commands are based, may have been incomplete. */
  shardViewAgeMs: number;
  /** A view of this age or older must not renew a lease. */
  maxViewAgeMs: number;
}

/** Decides, before a heartbeat is reconciled, whether it may be answered with a token. */
export function decideRenewalPermission(evidence: RenewalEvidence): RenewalPermission {
  const { authority, workerToken, shardViewAgeMs, maxViewAgeMs } = evidence;
  if (!authority.held) return { allowed: false, reason: authority.reason, shardViewAgeMs };
  if (workerToken > authority.token) return { allowed: false, reason: "newer_token", shardViewAgeMs };
  // Guards against checking the age of one view and deciding based on another: a shard that missed a change must stop.
  if (shardViewAgeMs >= maxViewAgeMs) return { allowed: false, reason: "shard_behind_view", shardViewAgeMs };
  return { allowed: true, token: authority.token, shardViewAgeMs };
}

/** Why a response may not be sent, and the task that it concerns. */
export interface RejectedRenewal {
  reason: Extract<RenewalRefusal, "ended_task_kept" | "ended_task_started">;
  /** As "job/index". */
  task: string;
}

/** A response that may be sent. Only `decide` creates one, so no code path can renew a lease without the decision. */
export class LeaseRenewal {
  private constructor(
    readonly token: number,
    readonly commands: readonly WorkerCommand[],
  ) {}

  /**
   * Checks that a response neither continues nor starts a task of an ended job: see `docs/design.md`, "Cancellation".
   *
   * @param isLive whether a job is live according to the records that the owner knows
   */
  static decide(
    token: number,
    heartbeat: Heartbeat,
    commands: readonly WorkerCommand[],
    isLive: (job: string) => boolean,
  ): LeaseRenewal | RejectedRenewal {
    const keptTask = findKeptTask(heartbeat, commands, isLive);
    if (keptTask !== null) return { reason: "ended_task_kept", task: `${keptTask.job}/${keptTask.index}` };
    for (const command of commands)
      if (command.op === "start" && !isLive(command.job))
        return { reason: "ended_task_started", task: `${command.job}/${command.index}` };
    return new LeaseRenewal(token, commands);
  }
}

/** A task of an ended job that the commands do not stop at once; null if there is none. */
function findKeptTask(
  heartbeat: Heartbeat,
  commands: readonly WorkerCommand[],
  isLive: (job: string) => boolean,
): TaskStatus | null {
  const endedTasks = heartbeat.tasks.filter((task) => task.state !== "exited" && !isLive(task.job));
  if (endedTasks.length === 0) return null;
  const stoppedAttempts = attemptsStoppedAtOnce(commands);
  return endedTasks.find((task) => !stoppedAttempts.has(attemptKey(task))) ?? null;
}

/** The attempts that the commands stop at once: during a grace period they would keep running. */
function attemptsStoppedAtOnce(commands: readonly WorkerCommand[]): Set<string> {
  const stopped = new Set<string>();
  for (const command of commands)
    if (command.op === "stop" && command.graceS === 0) stopped.add(attemptKey(command));
  return stopped;
}

function attemptKey({ job, index, attempt }: Pick<TaskStatus, "job" | "index" | "attempt">): string {
  return `${job}/${index}#${attempt}`;
}
