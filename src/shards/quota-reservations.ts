/** What a shard reserves of its teams' quotas for jobs that were migrated to other shards. */
import type { QuotaReservation } from "../jobs/job-records.js";
import type { QuotaUsage } from "../placement/quota.js";

interface HeldReservation {
  reservation: QuotaReservation;
  /** Since when the job is known to have ended, steady time in milliseconds; null while it is live. */
  endedAt: number | null;
}

/**
 * Guards against two owners that each estimate how much of one quota is left: the shard that enforces the quota counts
 * all that a job may use elsewhere, from before the job's migration until its last task is surely gone.
 */
export class QuotaReservations {
  private readonly held = new Map<string, HeldReservation>();
  private totalByTeam = new Map<string, QuotaUsage>();

  constructor(
    /** How long tasks of a job may run on once the job is known to have ended. */
    private readonly taskExpiryMs: number,
  ) {}

  /** What is reserved, by team. */
  get usage(): ReadonlyMap<string, QuotaUsage> {
    return this.totalByTeam;
  }

  /** The jobs for which something is reserved. */
  get jobs(): string[] {
    return [...this.held.keys()];
  }

  /** Whether something is reserved for a job. */
  has(job: string): boolean {
    return this.held.has(job);
  }

  /** Reserves for a job that is being migrated; a reservation that exists already is kept. */
  reserve(job: string, reservation: QuotaReservation): void {
    if (this.held.has(job)) return;
    this.held.set(job, { reservation, endedAt: null });
    this.recomputeTotals();
  }

  /** The job was not migrated after all, or none of its tasks runs any more. */
  release(job: string): void {
    if (this.held.delete(job)) this.recomputeTotals();
  }

  /** The job's record is gone: its tasks may run on for a while. */
  jobEnded(job: string, now: number): void {
    const held = this.held.get(job);
    if (held) held.endedAt ??= now;
  }

  /** Ends the reservations of jobs whose last task is surely gone, and returns these jobs. */
  expire(now: number): string[] {
    const expired = [...this.held]
      .filter(([, { endedAt }]) => endedAt !== null && now - endedAt > this.taskExpiryMs)
      .map(([job]) => job);
    for (const job of expired) this.release(job);
    return expired;
  }

  private recomputeTotals(): void {
    this.totalByTeam = new Map();
    for (const { reservation } of this.held.values()) {
      const sum = this.totalByTeam.get(reservation.team) ?? { cpus: 0, gpus: 0 };
      sum.cpus += reservation.cpus;
      sum.gpus += reservation.gpus;
      this.totalByTeam.set(reservation.team, sum);
    }
  }
}
