/** Applies heartbeats to the state of one shard and handles the tasks that they report as exited. */
import { recordResponse } from "../workers/lost-responses.js";
import type { Job } from "../workers/job.js";
import type { Machine } from "../workers/machine.js";
import type { Logger } from "../runtime/log.js";
import type { Heartbeat, TaskStatus, WorkerCommand } from "../wire/index.js";
import { isNewerHeartbeat, reconcileHeartbeat } from "../workers/heartbeat-reconciliation.js";
import type { FailureTracker } from "./failure-tracker.js";
import type { JobTable } from "./job-table.js";
import type { MachineTable } from "./machine-table.js";
import type { SpeedTracker } from "./speed-tracker.js";

/** Number of heartbeat intervals without placement after a worker has refused to start a task. */
const REFUSED_START_PAUSE_HEARTBEATS = 2;

/** Dependencies of a shard's heartbeat handler. */
export interface HeartbeatHandlerDependencies {
  readonly shard: number;
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly failures: FailureTracker;
  readonly speeds: SpeedTracker;
  /** Fencing token at the start of this owner's term. */
  readonly termToken: number;
  /** Start of this owner's term: steady time in milliseconds. */
  readonly termStartedAt: number;
  /** Worker lease duration including clock drift and response delay, in milliseconds. */
  readonly leaseMs: number;
  /** Heartbeat interval of the workers, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  readonly log: Logger;
}

/** Reconciles heartbeats with the owner's state of its shard. */
export class HeartbeatHandler {
  /** Fencing tokens that were valid in this owner's term. */
  private readonly termTokens: Set<number>;

  constructor(private readonly dependencies: HeartbeatHandlerDependencies) {
    this.termTokens = new Set([dependencies.termToken]);
  }

  /** Adds a token to which this owner advanced the shard: workers that report it follow this owner as well. */
  addTermToken(token: number): void {
    this.termTokens.add(token);
  }

  /**
   * Applies a heartbeat to the shard's state and returns the commands for the response. Returns null for a heartbeat
   * that is not newer than the last one, or whose machine is not in this shard. `now` is steady time in milliseconds.
   */
  reconcile(heartbeat: Heartbeat, now: number): WorkerCommand[] | null {
    const { jobs, machines, speeds, shard, log } = this.dependencies;
    const machine = machines.byHost.get(heartbeat.host);
    if (machine === undefined || !isNewerHeartbeat(machine, heartbeat)) return null;
    const wasUp = machine.isUp;
    const commands = reconcileHeartbeat(machine, heartbeat, {
      jobs: jobs.byId,
      now,
      termStartedAt: this.dependencies.termStartedAt,
      leaseMs: this.dependencies.leaseMs,
      isTokenOfTerm: (token) => this.termTokens.has(token),
      onTaskExited: (job, index, taskMachine, cause) => {
        this.handleTaskExit(job, index, taskMachine, cause, now);
      },
      onAttemptFinished: (placement) => {
        speeds.recordFinished(placement, now);
      },
    });
    if (machine.isUp && !wasUp) log.info({ host: machine.host, shard }, "machine registered with owner");
    if (machine.followsTerm) machine.isUnreconciled = false;
    recordResponse(machine, now);
    jobs.endedJobs.recordStops(commands, now);
    jobs.removeEndedWithoutTasks(now);
    return commands;
  }

  private handleTaskExit(
    job: Job,
    index: number,
    machine: Machine,
    cause: NonNullable<TaskStatus["cause"]>,
    now: number,
  ): void {
    const { failures, jobs, heartbeatIntervalMs } = this.dependencies;
    const retryAt = now + REFUSED_START_PAUSE_HEARTBEATS * heartbeatIntervalMs;
    switch (cause) {
      case "done":
        failures.recordSuccess(job, machine);
        // A job cancelled while its last task completed is not written as done: its record no longer exists, so the
        // transaction would fail on every retry, together with all other jobs in the same transaction.
        if (!job.isTerminating) jobs.completions.add(job, index);
        return;
      case "error":
        failures.recordFailure(job, machine, now);
        return;
      case "no_room":
        // The worker accounts for resource use that is not known here yet; its next heartbeats will report it.
        machine.notBefore = retryAt;
        return;
      case "unknown":
        // The worker found no such task: the job's owner has not uploaded it yet.
        job.notBefore = retryAt;
        return;
      case "busy":
      case "stopped":
        return;
    }
  }
}
