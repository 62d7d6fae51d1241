/** Prepares the migration of a job to another shard on this shard's side. */
import type { PlacementInput } from "../placement/scheduling-context.js";
import type { Job } from "../workers/job.js";
import { canMigrate, migrationTermsFor, type MigrationTerms } from "../placement/migration-policy.js";
import type { QuotaReservations } from "./quota-reservations.js";

/** A job that is being migrated, and on what terms. */
export interface PreparedMigration {
  job: Job;
  terms: MigrationTerms;
}

/**
 * Prepares a job's migration: from now on none of its tasks starts here, and what it may use elsewhere is reserved.
 * Null if the job may not be migrated.
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

/** The job has surely not been migrated. */
export function cancelMigration(job: Job, reservations: QuotaReservations): void {
  job.isMigrating = false;
  reservations.release(job.spec.id);
}
