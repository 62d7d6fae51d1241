/** Estimates task run times, and the time until a task can start on a newly rented machine. Pure. */
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Placement } from "../workers/placement.js";
import type { SchedulingContext } from "./scheduling-context.js";

/** The minimum expected remaining time of a running task, as a fraction of its expected run time. */
const OVERRUN_FRACTION = 0.2;

/** The expected run time of a task of the job in milliseconds: its estimate, corrected by past runs of its class. */
export function expectedRuntimeMs(job: Job, context: Pick<SchedulingContext, "runtimeRatio">): number {
  return job.spec.estimateS * context.runtimeRatio(job.spec.className) * 1000;
}

/** How long a machine of the given type takes to pull the job's image, in milliseconds; 0 if its rate is not set. */
export function imagePullMs(job: Job, type: MachineType): number {
  return type.fetchGbPerS > 0 ? (job.spec.imageGb / type.fetchGbPerS) * 1000 : 0;
}

/**
 * The shortest time from renting a machine of any type until a task of the job can run there, in milliseconds: boot and
 * image pull. 0 if no type is known.
 */
export function provisioningMs(job: Job, context: Pick<SchedulingContext, "types">): number {
  let shortestMs = Infinity;
  for (const type of context.types.values())
    shortestMs = Math.min(shortestMs, type.bootS * 1000 + imagePullMs(job, type));
  return Number.isFinite(shortestMs) ? shortestMs : 0;
}

/** The expected time until a placed task ends, in milliseconds. */
export function expectedRemainingMs(
  placement: Placement,
  type: MachineType,
  context: Pick<SchedulingContext, "runtimeRatio"> & { now: number },
): number {
  const { job, state, stateSince } = placement;
  const runtimeMs = expectedRuntimeMs(job, context);
  if (state === "saving") return job.spec.saveS * 1000;
  if (state === "running")
    return Math.max(runtimeMs - (context.now - stateSince), runtimeMs * OVERRUN_FRACTION);
  return runtimeMs + imagePullMs(job, type);
}
