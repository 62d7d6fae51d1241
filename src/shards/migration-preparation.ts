/** The source shard's part in a job migration: preparing it, and undoing the preparation. */
import type { PlacementInput } from "../placement/scheduling-context.js";
import type { Job } from "../workers/job.js";
import { canMigrate, migrationTermsFor, type MigrationTerms } from "../placement/migration-policy.js";
import type { QuotaReservations } from "./quota-reservations.js";

/** A job that is being migrated, and the terms on which the target shard may run it. */
export interface PreparedMigration {
  job: Job;
  terms: MigrationTerms;
}

/**
 * Prepares the migration of a job: none of its tasks starts in this shard from now on, and the resources that it may
 * use in another shard are reserved from its team's quota. Returns null if the job may not be migrated.
 */
export function beginMigration(
  job: Job,
  input: PlacementInput,
  reservations: QuotaReservations,
): PreparedMigration | null {
  if (!canMigrate(job, input)) return null;
  const terms = migrationTermsFor(job, input);
  if (terms === null) return null;
  job.isMigrating = true;
  if (terms.reservation !== null) reservations.reserve(job.spec.id, terms.reservation);
  return { job, terms };
}

/** Undoes `beginMigration` for a job that has certainly not been migrated. */
export function cancelMigration(job: Job, reservations: QuotaReservations): void {
  job.isMigrating = false;
  reservations.release(job.spec.id);
}
