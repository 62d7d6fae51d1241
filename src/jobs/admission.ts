/** Whether a job can ever run. Pure. */
import type { Settings } from "../config/settings.js";
import type { JobSpec, MachineType } from "../wire/index.js";

/** Whether a job can run, and if not why. */
export type Admission = { kind: "ok" } | { kind: "malformed" | "impossible"; reason: string };

/** Whether one task of the job fits an empty machine of this type. */
export function fitsType(spec: Pick<JobSpec, "cpus" | "gpus" | "memoryGb">, type: MachineType): boolean {
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
}

/** Checks a submission against teams, zones and machine types. */
export function checkAdmission(
  spec: JobSpec,
  settings: Pick<Settings, "zones" | "teams">,
  types: MachineType[],
): Admission {
  if (spec.zone !== null && !settings.zones.includes(spec.zone))
    return { kind: "malformed", reason: `bank: no such zone as ${spec.zone}` };
  const team = settings.teams.find((t) => t.name === spec.team);
  if (team === undefined) return { kind: "impossible", reason: `unknown team ${spec.team}` };
  if ((team.cpusMax > 0 && spec.cpus > team.cpusMax) || (team.gpusMax > 0 && spec.gpus > team.gpusMax))
    return { kind: "impossible", reason: `one task is over the limit of team ${team.name}` };
  const fitting = types.filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      fitsType(spec, type),
  );
  if (fitting.length === 0) return { kind: "impossible", reason: "a task fits no allowed machine type" };
  // Guards against a job that waits for ever: half of its tasks, rounded up, would be all that may run.
  const zones = new Set(fitting.flatMap((type) => (spec.zone === null ? type.zones : [spec.zone])));
  if (spec.spread && spec.tasks > 1 && (spec.oneZone || zones.size < 2))
    return {
      kind: "impossible",
      reason: "no zone may hold more than half of its tasks, and one would have to",
    };
  return { kind: "ok" };
}
