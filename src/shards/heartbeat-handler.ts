/** Takes heartbeats into the state of one shard, and follows up on the tasks that ended. */
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

/** So many heartbeat intervals nothing is placed after a worker has refused a start. */
const REFUSED_START_PAUSE_HEARTBEATS = 2;

/** What the handling of heartbeats of one shard is made from. */
export interface HeartbeatHandlerDependencies {
  readonly shard: number;
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly failures: FailureTracker;
  readonly speeds: SpeedTracker;
  /** The fencing token with which this owner's term began. */
  readonly termToken: number;
  /** When this owner's term began: steady time in milliseconds. */
  readonly termStartedAt: number;
  /** A worker's lease with everything that may delay its end, in milliseconds. */
  readonly leaseMs: number;
  /** The workers' heartbeat interval in milliseconds. */
  readonly heartbeatIntervalMs: number;
  readonly log: Logger;
}

/** Reconciles heartbeats with what the owner knows of its shard. */
export class HeartbeatHandler {
  /** All fencing tokens of this owner's term. */
  private readonly termTokens: Set<number>;

  constructor(private readonly dependencies: HeartbeatHandlerDependencies) {
    this.termTokens = new Set([dependencies.termToken]);
  }

  /** This owner has advanced the shard's token itself: workers that show the new one follow this owner as well. */
  tokenAdvanced(token: number): void {
    this.termTokens.add(token);
  }

  /**
   * Takes a heartbeat into the shard's state, and returns the commands for the response; null for a heartbeat that is
   * not newer than the last one, or of a machine of another shard. `now` is steady time in milliseconds.
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
        this.taskExited(job, index, taskMachine, cause, now);
      },
      onAttemptFinished: (placement) => {
        speeds.finished(placement, now);
      },
    });
    if (machine.isUp && !wasUp) log.info({ host: machine.host, shard }, "machine registered with owner");
    if (machine.followsTerm) machine.mayHaveUnreportedTasks = false;
    recordResponse(machine, now);
    jobs.endedJobs.recordStops(commands, now);
    jobs.removeGone(now);
    return commands;
  }

  private taskExited(
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
        failures.succeeded(job, machine);
        // Guards against writing the end of a job that was cancelled while its last task ended: its record is gone, and
        // the transaction would fail again and again, with those of all the jobs that are written together with it.
        if (!job.isTerminating) jobs.completions.add(job, index);
        return;
      case "error":
        failures.failed(job, machine, now);
        return;
      case "no_room":
        // The worker counts something that is not known here yet; its next heartbeats will show it.
        machine.notBefore = retryAt;
        return;
      case "unknown":
        // The owner of the job has yet to upload it.
        job.notBefore = retryAt;
        return;
      case "busy":
      case "stopped":
        return;
    }
  }
}
