/** Chooses the jobs to defer if a team's quota is too small for all of its jobs to be in time. Pure. */
import type { Team } from "../config/settings.js";
import type { Job } from "../workers/job.js";
import { expectedRuntimeMs } from "./runtime-estimates.js";
import type { SchedulingContext } from "./scheduling-context.js";
import type { SloWindow } from "./slo-window.js";

/** A job and its duration if it uses the whole CPU quota of its team. */
interface ScheduledJob {
  job: Job;
  durationMs: number;
}

/** The jobs to defer so that as many other jobs of their teams as possible are in time. */
export function jobsToDefer(jobs: Job[], windows: Map<Job, SloWindow>, context: SchedulingContext): Set<Job> {
  const deferred = new Set<Job>();
  for (const team of context.teams) {
    if (team.cpusMax <= 0) continue;
    const jobsOfTeam = jobs.filter((job) => job.spec.team === team.name);
    jobsOfTeam.sort((a, b) => windows.get(a)!.dueAt - windows.get(b)!.dueAt);
    deferLongest(jobsOfTeam, team, windows, context, deferred);
  }
  return deferred;
}

/**
 * The Moore-Hodgson algorithm, which minimizes the number of late jobs on one machine; here the team's CPU quota is the
 * machine. Schedules jobs by due time, and defers the longest one scheduled so far whenever a job would be late.
 */
function deferLongest(
  jobsByDueTime: Job[],
  team: Team,
  windows: Map<Job, SloWindow>,
  context: SchedulingContext,
  deferred: Set<Job>,
): void {
  const scheduled: ScheduledJob[] = [];
  let endsAt = context.wallNow;
  for (const job of jobsByDueTime) {
    const durationMs = durationWithQuotaMs(job, team, context);
    scheduled.push({ job, durationMs });
    endsAt += durationMs;
    if (endsAt <= windows.get(job)!.dueAt) continue;
    const longest = scheduled.reduce((a, b) => (b.durationMs > a.durationMs ? b : a));
    scheduled.splice(scheduled.indexOf(longest), 1);
    endsAt -= longest.durationMs;
    deferred.add(longest.job);
  }
}

function durationWithQuotaMs(job: Job, team: Team, context: SchedulingContext): number {
  const remainingTasks = job.spec.tasks - job.done.count;
  return (remainingTasks * job.spec.cpus * expectedRuntimeMs(job, context)) / team.cpusMax;
}
