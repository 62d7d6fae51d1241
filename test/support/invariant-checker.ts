/** Invariants of a simulated deployment, checked against what the workers and the users observe. */
import type { Simulation } from "./simulation.js";
import type { UserJob } from "./user-job.js";
import type { FakeWorker } from "./worker.js";

/** After the last fault, no task waits for longer than this while a suitable machine has free capacity. */
const MAX_STARTABLE_WAIT_MS = 90_000;
/** After the last fault, the user of a job never goes without a response for longer than this. */
const MAX_RESPONSE_GAP_MS = 75_000;
/** A command to start a task that was sent before the cancellation was confirmed arrives within this time. */
const MAX_START_DELAY_MS = 500;
/** The CPUs of each machine of the fake cloud. */
const MACHINE_CPUS = 4;

/** Records violations of the invariants with the simulation that it checks. */
export class InvariantChecker {
  /** The number of starts sent after their job's cancellation was confirmed; these are wasteful but allowed. */
  startsAfterCancellation = 0;

  constructor(private readonly simulation: Simulation) {}

  /** Checks the invariants that the start of a task can violate. */
  checkStart(task: string, worker: FakeWorker): void {
    const job = this.simulation.jobOfTask(task)!;
    if (job.cancelledAt !== null && this.simulation.now - job.cancelledAt > MAX_START_DELAY_MS)
      this.startsAfterCancellation++;
    for (const duplicate of this.simulation.cloud.duplicateRuns)
      this.simulation.recordViolation(`ran_twice: ${duplicate}`);
    this.checkQuota(String(job.body.crew));
    const violation = this.placementViolation(job, task, worker);
    if (violation !== null) this.simulation.recordViolation(`wrong_place: ${task} ${violation}`);
  }

  private cpusUsedBy(team: string): number {
    let used = 0;
    for (const worker of this.simulation.cloud.machines.values())
      for (const task of worker.running) {
        const { body } = this.simulation.jobOfTask(task)!;
        if (body.crew === team) used += Number(body.vcpus);
      }
    return used;
  }

  /** The CPUs that a team may use at a time; infinite without a limit. */
  private cpuLimitOf(team: string): number {
    const limit = this.simulation.settings.teams.find((t) => t.name === team)?.cpusMax ?? 0;
    return limit > 0 ? limit : Infinity;
  }

  private checkQuota(team: string): void {
    const limit = this.cpuLimitOf(team);
    const used = this.cpusUsedBy(team);
    if (used > limit + 1e-9) this.simulation.recordViolation(`quota: ${team} uses ${used} of ${limit}`);
  }

  /** Why a task may not run on a machine, given the job's other tasks; null if it may. */
  private placementViolation(job: UserJob, task: string, worker: FakeWorker): string | null {
    const { bank, together, spread, loaners, pieces } = job.body;
    const zones = new Map<string, number>();
    for (const { running, zone } of this.simulation.cloud.machines.values())
      for (const other of running)
        if (other !== task && this.simulation.jobOfTask(other) === job)
          zones.set(zone, (zones.get(zone) ?? 0) + 1);
    const hasTaskElsewhere = [...zones.keys()].some((zone) => zone !== worker.zone);
    const isZoneOverfull = (zones.get(worker.zone) ?? 0) + 1 > Math.ceil(Number(pieces) / 2);
    if (bank && bank !== worker.zone) return "outside its zone";
    if (worker.spot && loaners === false) return "on a spot machine";
    if (together === true && hasTaskElsewhere) return "in another zone than its job's other tasks";
    if (spread === true && isZoneOverfull) return "in a zone with more than half of its job's tasks";
    return null;
  }

  /** Checks that no task still runs `cancelMs` after the cancellation of its job was confirmed by any controller. */
  checkCancelledJobs(): void {
    const { cancelMs } = this.simulation.settings.workers;
    for (const worker of this.simulation.cloud.machines.values())
      for (const task of worker.running) {
        const { cancelledAt } = this.simulation.jobOfTask(task)!;
        if (cancelledAt !== null && this.simulation.now > cancelledAt + cancelMs)
          this.simulation.recordViolation(`ran_cancelled: ${task}`);
      }
  }

  /** Checks that no startable task waits for too long, and that users get responses; only after the last fault. */
  checkWaitingJobs(): void {
    const running = new Set(
      [...this.simulation.cloud.machines.values()].flatMap((worker) => [...worker.running]),
    );
    for (const job of this.simulation.jobs.values()) {
      if (!job.isAccepted || job.hasEnded) continue;
      if (
        this.simulation.now - Math.max(job.lastResponseAt, this.simulation.faultsEndedAt) >
        MAX_RESPONSE_GAP_MS
      )
        this.simulation.recordViolation(`forgotten: ${job.id} has no response for ${MAX_RESPONSE_GAP_MS} ms`);
      // Tasks that fail as soon as they start seem to wait, however often they are attempted.
      if (this.simulation.workers.faultyJobs?.has(job.id)) continue;
      const tasks = Array.from({ length: Number(job.body.pieces) }, (_, i) => `${job.id}/${i}`);
      const hasWaitingTask = tasks.some((task) => !running.has(task) && !job.completedTasks.has(task));
      const isStartable =
        hasWaitingTask &&
        this.isBelowLimit(job) &&
        [...this.simulation.cloud.machines.values()].some((worker) => this.hasRoom(worker, job));
      if (!isStartable) job.startableSince = null;
      else job.startableSince ??= this.simulation.now;
      if (job.startableSince !== null && this.simulation.now - job.startableSince > MAX_STARTABLE_WAIT_MS)
        this.simulation.recordViolation(`neglected: ${job.id} waits while a machine has room`);
    }
  }

  private isBelowLimit(job: UserJob): boolean {
    const team = String(job.body.crew);
    return this.cpusUsedBy(team) + Number(job.body.vcpus) <= this.cpuLimitOf(team);
  }

  private hasRoom(worker: FakeWorker, job: UserJob): boolean {
    let used = 0;
    for (const task of worker.running) used += Number(this.simulation.jobOfTask(task)!.body.vcpus);
    return (
      worker.isConnected &&
      used + Number(job.body.vcpus) <= MACHINE_CPUS &&
      this.placementViolation(job, "", worker) === null
    );
  }
}
