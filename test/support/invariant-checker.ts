/** What the rules forbid, watched from the workers' and the users' side while a simulated deployment runs. */
import type { Simulation } from "./simulation.js";
import type { UserJob } from "./user-job.js";
import type { WorkerStandIn } from "./worker.js";

/** Once faults are over nobody waits so long beside a machine that fits and has room. */
const MAX_STARTABLE_WAIT_MS = 90_000;
/** Once faults are over every question is answered within this. */
const MAX_RESPONSE_GAP_MS = 75_000;
/** A start that was sent before its job was confirmed as cancelled has come within this. */
const MAX_START_DELAY_MS = 500;
/** What a machine of the stand-in cloud holds. */
const MACHINE_CPUS = 4;

/** Notes what goes against the rules with the simulation that it watches. */
export class InvariantChecker {
  /** Starts of tasks whose job's cancellation had been confirmed before the start was sent; allowed, and of no use. */
  startsAfterCancellation = 0;

  constructor(private readonly simulation: Simulation) {}

  /** The rules that can be broken by a start. */
  checkStart(piece: string, worker: WorkerStandIn): void {
    const job = this.simulation.jobOfTask(piece)!;
    if (job.cancelledAt !== null && this.simulation.now - job.cancelledAt > MAX_START_DELAY_MS)
      this.startsAfterCancellation++;
    for (const twice of this.simulation.cloud.duplicateRuns)
      this.simulation.recordViolation(`ran_twice: ${twice}`);
    this.checkQuota(String(job.body.crew));
    const wrong = this.placementViolation(job, piece, worker);
    if (wrong !== null) this.simulation.recordViolation(`wrong_place: ${piece} ${wrong}`);
  }

  private cpusUsedBy(team: string): number {
    let used = 0;
    for (const worker of this.simulation.cloud.machines.values())
      for (const piece of worker.running) {
        const { body } = this.simulation.jobOfTask(piece)!;
        if (body.crew === team) used += Number(body.vcpus);
      }
    return used;
  }

  /** What a team may use at a time. */
  private cpuLimitOf(team: string): number {
    const limit = this.simulation.settings.teams.find((t) => t.name === team)?.cpusMax ?? 0;
    return limit > 0 ? limit : Infinity;
  }

  private checkQuota(team: string): void {
    const limit = this.cpuLimitOf(team);
    const used = this.cpusUsedBy(team);
    if (used > limit + 1e-9) this.simulation.recordViolation(`quota: ${team} uses ${used} of ${limit}`);
  }

  /** Why a task may not be where it is, given the job's other tasks. */
  private placementViolation(job: UserJob, piece: string, worker: WorkerStandIn): string | null {
    const { bank, together, spread, loaners, pieces } = job.body;
    const zones = new Map<string, number>();
    for (const { running, zone } of this.simulation.cloud.machines.values())
      for (const other of running)
        if (other !== piece && this.simulation.jobOfTask(other) === job)
          zones.set(zone, (zones.get(zone) ?? 0) + 1);
    const elsewhere = [...zones.keys()].some((zone) => zone !== worker.zone);
    const crowded = (zones.get(worker.zone) ?? 0) + 1 > Math.ceil(Number(pieces) / 2);
    if (bank && bank !== worker.zone) return "outside its zone";
    if (worker.spot && loaners === false) return "on a cheap machine";
    if (together === true && elsewhere) return "apart from its job";
    if (spread === true && crowded) return "where half of its job is";
    return null;
  }

  /** A cancelled job's tasks are gone in time, whoever confirmed it. */
  checkCancelledJobs(): void {
    const { cancelMs } = this.simulation.settings.workers;
    for (const worker of this.simulation.cloud.machines.values())
      for (const piece of worker.running) {
        const { cancelledAt } = this.simulation.jobOfTask(piece)!;
        if (cancelledAt !== null && this.simulation.now > cancelledAt + cancelMs)
          this.simulation.recordViolation(`ran_cancelled: ${piece}`);
      }
  }

  /** Nobody waits for long beside room, and every question is answered now and then. */
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
        this.simulation.recordViolation(`forgotten: ${job.id} is not told of`);
      // What fails as soon as it starts is seen to wait, however often it is tried.
      if (this.simulation.workers.faulty?.has(job.id)) continue;
      const tasks = Array.from({ length: Number(job.body.pieces) }, (_, i) => `${job.id}/${i}`);
      const waits = tasks.some((task) => !running.has(task) && !job.completedTasks.has(task));
      const room =
        waits &&
        this.isBelowLimit(job) &&
        [...this.simulation.cloud.machines.values()].some((worker) => this.hasRoom(worker, job));
      if (!room) job.startableSince = null;
      else job.startableSince ??= this.simulation.now;
      if (job.startableSince !== null && this.simulation.now - job.startableSince > MAX_STARTABLE_WAIT_MS)
        this.simulation.recordViolation(`neglected: ${job.id}`);
    }
  }

  private isBelowLimit(job: UserJob): boolean {
    const team = String(job.body.crew);
    return this.cpusUsedBy(team) + Number(job.body.vcpus) <= this.cpuLimitOf(team);
  }

  private hasRoom(worker: WorkerStandIn, job: UserJob): boolean {
    let used = 0;
    for (const piece of worker.running) used += Number(this.simulation.jobOfTask(piece)!.body.vcpus);
    return (
      worker.well &&
      used + Number(job.body.vcpus) <= MACHINE_CPUS &&
      this.placementViolation(job, "", worker) === null
    );
  }
}
