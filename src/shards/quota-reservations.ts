/** What a shard keeps free of its teams' limits for jobs that have passed to other shards. */
import type { QuotaReservation } from "../jobs/job-records.js";
import type { QuotaUsage } from "../placement/quota.js";

interface HeldReservation {
  reservation: QuotaReservation;
  /** Since when the job is known to be over; null while it lives. */
  endedAt: number | null;
}

/**
 * Guards against two owners that share one limit by guess: the shard that keeps the limit counts all that a job may use
 * elsewhere, from before the job passes on until its last task is surely gone.
 */
export class QuotaReservations {
  private readonly held = new Map<string, HeldReservation>();
  private total = new Map<string, QuotaUsage>();

  /** How long tasks of a job may go on once the job is known to be over. */
  constructor(private readonly goneMs: number) {}

  /** What is reserved, by team. */
  get usage(): ReadonlyMap<string, QuotaUsage> {
    return this.total;
  }

  /** The jobs for which something is reserved. */
  get jobs(): string[] {
    return [...this.held.keys()];
  }

  has(job: string): boolean {
    return this.held.has(job);
  }

  hold(job: string, reservation: QuotaReservation): void {
    if (this.held.has(job)) return;
    this.held.set(job, { reservation, endedAt: null });
    this.recomputeTotals();
  }

  /** The job has not passed on after all, or nothing of it runs any more. */
  release(job: string): void {
    if (this.held.delete(job)) this.recomputeTotals();
  }

  /** The job's record is gone: its tasks may go on for a while. */
  ended(job: string, now: number): void {
    const held = this.held.get(job);
    if (held) held.endedAt ??= now;
  }

  /** Ends the reservations of jobs whose last task is surely gone, and returns these jobs. */
  expire(now: number): string[] {
    const over = [...this.held]
      .filter(([, { endedAt }]) => endedAt !== null && now - endedAt > this.goneMs)
      .map(([job]) => job);
    for (const job of over) this.release(job);
    return over;
  }

  private recomputeTotals(): void {
    this.total = new Map();
    for (const { reservation } of this.held.values()) {
      const sum = this.total.get(reservation.team) ?? { cpus: 0, gpus: 0 };
      sum.cpus += reservation.cpus;
      sum.gpus += reservation.gpus;
      this.total.set(reservation.team, sum);
    }
  }
}
