/** How long tasks are expected to run, and how long it takes until they can start on a new machine. Pure. */
import type { MachineType } from "../wire/index.js";
import type { Job } from "../workers/job.js";
import type { Placement } from "../workers/placement.js";
import type { SchedulingContext } from "./scheduling-context.js";

/** A task that outruns its estimate is expected to run for this fraction of it once more. */
const OVERRUN_FRACTION = 0.2;

/** How long a task of the job is expected to run, in milliseconds: its estimate, corrected by its class's past runs. */
export function expectedRuntimeMs(job: Job, context: Pick<SchedulingContext, "runtimeRatio">): number {
  return job.spec.estimateS * context.runtimeRatio(job.spec.className) * 1000;
}

/** How long a machine of a type takes to fetch the job's image, in milliseconds. */
export function imagePullMs(job: Job, type: MachineType): number {
  return type.fetchGbPerS > 0 ? (job.spec.imageGb / type.fetchGbPerS) * 1000 : 0;
}

/** The shortest time from renting a machine until a task of the job runs there, in milliseconds. */
export function provisioningMs(job: Job, context: Pick<SchedulingContext, "types">): number {
  let shortestMs = Infinity;
  for (const type of context.types.values())
    shortestMs = Math.min(shortestMs, type.bootS * 1000 + imagePullMs(job, type));
  return Number.isFinite(shortestMs) ? shortestMs : 0;
}

/** In how many milliseconds a placed task is expected to end. */
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
