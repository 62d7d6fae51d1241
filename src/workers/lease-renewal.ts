/**
 * The one decision on whether a worker's report may be answered with a token. Such an answer renews the worker's lease and
 * with it every task on the machine, so that it must not go out without a right to act, on a copy of the records that may
 * lack a confirmed cancellation, or without the stop of a task whose cancellation is known. Pure.
 */
import type { ShardAuthority, AuthorityRefusal } from "../membership/shard-authority.js";
import type { WorkerCommand, TaskStatus, Heartbeat } from "../wire/index.js";

/** Why a report is not answered with a token. The last three would break a rule, and mean a fault in this program. */
export type RenewalRefusal =
  | AuthorityRefusal
  /** The worker has followed an owner with a higher token. */
  | "newer_token"
  /** The report is no newer than one that was answered, or its machine is not the shard's. */
  | "report_not_newer"
  /** The shard's own copy of the records is older than it may be, although the process's copy is not. */
  | "shard_behind_view"
  /** A task that the records no longer have would go on. */
  | "ended_task_kept"
  /** A task that the records no longer have would start. */
  | "ended_task_started";

/** The refusals that show a fault of this program rather than of its surroundings. */
export const VIOLATIONS: ReadonlySet<RenewalRefusal> = new Set([
  "shard_behind_view",
  "ended_task_kept",
  "ended_task_started",
]);

/** The right to answer reports of a shard, or the reason why there is none. */
export type RenewalPermission =
  | { allowed: true; token: number; copyAgeMs: number }
  | { allowed: false; reason: RenewalRefusal; copyAgeMs: number };

/** What the right to answer is decided on. */
export interface RenewalEvidence {
  authority: ShardAuthority;
  /** The highest token that the worker has seen. */
  workerToken: number;
  /** Since when the shard's own copy of the records, on which its commands are decided, is surely complete. */
  shardViewAgeMs: number;
  staleMs: number;
}

/** Decides whether a report may be answered at all, before anything is decided on it. */
export function decideRenewalPermission({
  authority,
  workerToken,
  shardViewAgeMs: copyAgeMs,
  staleMs,
}: RenewalEvidence): RenewalPermission {
  const refused = (reason: RenewalRefusal): RenewalPermission => ({ allowed: false, reason, copyAgeMs });
  if (!authority.held) return refused(authority.reason);
  if (workerToken > authority.token) return refused("newer_token");
  // Guards against checking one copy's age and deciding on another: a shard that missed a change must not go on.
  if (copyAgeMs >= staleMs) return refused("shard_behind_view");
  return { allowed: true, token: authority.token, copyAgeMs };
}

/** Why an answer may not go out, and the task that it concerns. */
export interface RejectedRenewal {
  reason: Extract<RenewalRefusal, "ended_task_kept" | "ended_task_started">;
  task: string;
}

/** An answer that may go out. Only `decide` makes one, so that no path can answer a worker without the decision. */
export class LeaseRenewal {
  private constructor(
    readonly token: number,
    readonly commands: readonly WorkerCommand[],
  ) {}

  /** Checks an answer against what its owner knows: see `docs/design.md`, "Cancellation". */
  static decide(
    token: number,
    report: Heartbeat,
    commands: readonly WorkerCommand[],
    /** Whether the records, as the owner knows them, still have a job. */
    isLive: (job: string) => boolean,
  ): LeaseRenewal | RejectedRenewal {
    for (const task of report.tasks)
      if (task.state !== "exited" && !isLive(task.job) && !stops(commands, task))
        return { reason: "ended_task_kept", task: `${task.job}/${task.index}` };
    for (const command of commands)
      if (command.op === "start" && !isLive(command.job))
        return { reason: "ended_task_started", task: `${command.job}/${command.index}` };
    return new LeaseRenewal(token, commands);
  }
}

/** Whether the commands end a task at once: grace for saving would let it run on. */
function stops(commands: readonly WorkerCommand[], { job, index, attempt }: TaskStatus): boolean {
  return commands.some(
    (command) =>
      command.op === "stop" &&
      command.job === job &&
      command.index === index &&
      command.attempt === attempt &&
      command.graceS === 0,
  );
}
