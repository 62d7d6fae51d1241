/** Reservations from the quotas of a shard's teams for jobs that were migrated to other shards. */
import type { QuotaReservation } from "../jobs/job-records.js";
import type { QuotaUsage } from "../placement/quota.js";

interface HeldReservation {
  reservation: QuotaReservation;
  /** The steady time, in milliseconds, at which the job's end was first seen; null while the job is live. */
  endedAt: number | null;
}

/**
 * The quota reserved for migrated jobs, by job and in total. Only one shard enforces the quota of a team, because two
 * owners that each estimated the remaining quota could exceed it together. That shard counts everything that a migrated
 * job may use in another shard, from before its migration until its last task has certainly ended.
 */
export class QuotaReservations {
  private readonly held = new Map<string, HeldReservation>();
  private totalByTeam = new Map<string, QuotaUsage>();

  constructor(
    /** How long tasks of a job may keep running once the job is known to have ended, in milliseconds. */
    private readonly taskExpiryMs: number,
  ) {}

  /** The total of the reservations, by team. */
  get usage(): ReadonlyMap<string, QuotaUsage> {
    return this.totalByTeam;
  }

  /** The ids of the jobs that have a reservation. */
  get jobs(): string[] {
    return [...this.held.keys()];
  }

  /** Whether a job has a reservation. */
  has(job: string): boolean {
    return this.held.has(job);
  }

  /** Adds a reservation for a job that is being migrated; an existing one is kept unchanged. */
  reserve(job: string, reservation: QuotaReservation): void {
    if (this.held.has(job)) return;
    this.held.set(job, { reservation, endedAt: null });
    this.recomputeTotals();
  }

  /** Drops the reservation of a job that was not migrated, or none of whose tasks runs any more. */
  release(job: string): void {
    if (this.held.delete(job)) this.recomputeTotals();
  }

  /** Records that a job's record is gone. Its reservation lasts until `expire`, as its tasks may still be running. */
  jobEnded(job: string, now: number): void {
    const held = this.held.get(job);
    if (held) held.endedAt ??= now;
  }

  /** Drops the reservations of jobs whose last task has certainly ended by steady time `now`; returns the jobs' ids. */
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
