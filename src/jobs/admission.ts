/** Admission control: checks whether a submitted job could ever run. Pure. */
import type { Settings, Team } from "../config/settings.js";
import type { JobSpec, MachineType } from "../wire/index.js";

/** Why a job is not accepted. `malformed`: the submission is invalid; `impossible`: no machine could ever run it. */
export interface Rejection {
  kind: "malformed" | "impossible";
  /** A one-line message for the user. */
  reason: string;
}

/** The result of the admission check. */
export type Admission = { kind: "ok" } | Rejection;

const impossible = (reason: string): Rejection => ({ kind: "impossible", reason });

/** Checks a submission against the configured zones and teams, and the available machine types. */
export function checkAdmission(
  spec: JobSpec,
  settings: Pick<Settings, "zones" | "teams">,
  types: MachineType[],
): Admission {
  if (spec.zone !== null && !settings.zones.includes(spec.zone))
    return { kind: "malformed", reason: `bank: no such zone as ${spec.zone}` };
  const team = settings.teams.find(({ name }) => name === spec.team);
  if (team === undefined) return impossible(`unknown team ${spec.team}`);
  if (exceedsLimit(spec, team)) return impossible(`one task is over the limit of team ${team.name}`);
  const fittingTypes = types.filter((type) => isAllowedType(spec, type) && fitsType(spec, type));
  if (fittingTypes.length === 0) return impossible("a task fits no allowed machine type");
  if (spec.spread && spec.tasks > 1 && !canSpread(spec, fittingTypes))
    return impossible("no zone may hold more than half of its tasks, and one would have to");
  return { kind: "ok" };
}

function exceedsLimit(spec: JobSpec, team: Team): boolean {
  const exceedsCpus = team.cpusMax > 0 && spec.cpus > team.cpusMax;
  const exceedsGpus = team.gpusMax > 0 && spec.gpus > team.gpusMax;
  return exceedsCpus || exceedsGpus;
}

function isAllowedType(spec: JobSpec, type: MachineType): boolean {
  const isOfAllowedType = spec.types === null || spec.types.includes(type.name);
  const isInAllowedZone = spec.zone === null || type.zones.includes(spec.zone);
  return isOfAllowedType && isInAllowedZone;
}

/** Whether one task of the job fits an empty machine of this type. */
function fitsType(spec: JobSpec, type: MachineType): boolean {
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
}

/**
 * Whether the tasks can be spread over at least two zones. Guards against a job that waits forever: in a single zone
 * only half of its tasks, rounded up, may run.
 */
function canSpread(spec: JobSpec, fittingTypes: MachineType[]): boolean {
  const zones = new Set(fittingTypes.flatMap((type) => (spec.zone === null ? type.zones : [spec.zone])));
  return !spec.oneZone && zones.size >= 2;
}
