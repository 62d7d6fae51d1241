/** What the rules forbid, watched from the workers' and the users' side while a simulated deployment runs. */
import type { Simulation } from "./simulation.js";
import type { UserJob } from "./user-job.js";
import type { FakeWorker } from "./worker.js";

/** Once faults are over nobody waits so long beside a machine that fits and has room. */
const NEGLECTED_MS = 90_000;
/** Once faults are over every question is answered within this. */
const FORGOTTEN_MS = 75_000;
/** A start that was sent before its job was confirmed as cancelled has come within this. */
const UNDER_WAY_MS = 500;
/** What a machine of the stand-in cloud holds. */
const MACHINE_CPUS = 4;

/** Notes what goes against the rules with the simulation that it watches. */
export class RuleWatch {
  /** Starts of tasks whose job's cancellation had been confirmed before the start was sent; allowed, and of no use. */
  startsAfterCancellation = 0;

  constructor(private readonly world: Simulation) {}

  /** The rules that can be broken by a start. */
  started(piece: string, worker: FakeWorker): void {
    const job = this.world.jobOf(piece)!;
    if (job.cancelledAt !== null && this.world.now - job.cancelledAt > UNDER_WAY_MS)
      this.startsAfterCancellation++;
    for (const twice of this.world.cloud.duplicateRuns) this.world.note(`ran_twice: ${twice}`);
    this.checkQuota(String(job.body.crew));
    const wrong = this.misplaced(job, piece, worker);
    if (wrong !== null) this.world.note(`wrong_place: ${piece} ${wrong}`);
  }

  private usedBy(team: string): number {
    let used = 0;
    for (const worker of this.world.cloud.machines.values())
      for (const piece of worker.running) {
        const { body } = this.world.jobOf(piece)!;
        if (body.crew === team) used += Number(body.vcpus);
      }
    return used;
  }

  /** What a team may use at a time. */
  private limitOf(team: string): number {
    const limit = this.world.settings.teams.find((t) => t.name === team)?.cpusMax ?? 0;
    return limit > 0 ? limit : Infinity;
  }

  private checkQuota(team: string): void {
    const limit = this.limitOf(team);
    const used = this.usedBy(team);
    if (used > limit + 1e-9) this.world.note(`quota: ${team} uses ${used} of ${limit}`);
  }

  /** Why a task may not be where it is, given the job's other tasks. */
  private misplaced(job: UserJob, piece: string, worker: FakeWorker): string | null {
    const { bank, together, spread, loaners, pieces } = job.body;
    const zones = new Map<string, number>();
    for (const { running, zone } of this.world.cloud.machines.values())
      for (const other of running)
        if (other !== piece && this.world.jobOf(other) === job) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    const elsewhere = [...zones.keys()].some((zone) => zone !== worker.zone);
    const crowded = (zones.get(worker.zone) ?? 0) + 1 > Math.ceil(Number(pieces) / 2);
    if (bank && bank !== worker.zone) return "outside its zone";
    if (worker.spot && loaners === false) return "on a cheap machine";
    if (together === true && elsewhere) return "apart from its job";
    if (spread === true && crowded) return "where half of its job is";
    return null;
  }

  /** A cancelled job's tasks are gone in time, whoever confirmed it. */
  watchCancelled(): void {
    const { cancelMs } = this.world.settings.workers;
    for (const worker of this.world.cloud.machines.values())
      for (const piece of worker.running) {
        const { cancelledAt } = this.world.jobOf(piece)!;
        if (cancelledAt !== null && this.world.now > cancelledAt + cancelMs)
          this.world.note(`ran_cancelled: ${piece}`);
      }
  }

  /** Nobody waits for long beside room, and every question is answered now and then. */
  watchNeglected(): void {
    const running = new Set([...this.world.cloud.machines.values()].flatMap((worker) => [...worker.running]));
    for (const job of this.world.jobs.values()) {
      if (!job.accepted || job.hasEnded) continue;
      if (this.world.now - Math.max(job.lastResponseAt, this.world.calmSince) > FORGOTTEN_MS)
        this.world.note(`forgotten: ${job.id} is not told of`);
      // What fails as soon as it starts is seen to wait, however often it is tried.
      if (this.world.workers.faultyJobs?.has(job.id)) continue;
      const tasks = Array.from({ length: Number(job.body.pieces) }, (_, i) => `${job.id}/${i}`);
      const waits = tasks.some((task) => !running.has(task) && !job.completed.has(task));
      const room =
        waits &&
        this.underLimit(job) &&
        [...this.world.cloud.machines.values()].some((worker) => this.hasRoom(worker, job));
      if (!room) job.startableSince = null;
      else job.startableSince ??= this.world.now;
      if (job.startableSince !== null && this.world.now - job.startableSince > NEGLECTED_MS)
        this.world.note(`neglected: ${job.id}`);
    }
  }

  private underLimit(job: UserJob): boolean {
    const team = String(job.body.crew);
    return this.usedBy(team) + Number(job.body.vcpus) <= this.limitOf(team);
  }

  private hasRoom(worker: FakeWorker, job: UserJob): boolean {
    let used = 0;
    for (const piece of worker.running) used += Number(this.world.jobOf(piece)!.body.vcpus);
    return (
      worker.isConnected &&
      used + Number(job.body.vcpus) <= MACHINE_CPUS &&
      this.misplaced(job, "", worker) === null
    );
  }
}
