/**
 * The record in which an owner stores its summary while it cannot reach the leader, so that a broken connection between
 * two controllers does not prevent a shard from getting machines.
 *
 * Stored form: `{ token, recovered, demand }`, with `demand` as a list of `{ cpus, gpus, memoryGb, types, zone, spot,
 * count, priority }`. The format is fixed because other versions of the program read and write it.
 */
import * as z from "zod";
import type { Demand, MachineSummary, ShardSummary } from "../peers/peer-messages.js";
import type { MachineRecord } from "../workers/machine-records.js";

const demandSchema = z.object({
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
  /** Allowed machine types; empty means any. */
  types: z.array(z.string()),
  /** Required zone; empty means any. */
  zone: z.string(),
  spot: z.boolean(),
  count: z.number(),
  priority: z.string(),
}) satisfies z.ZodType<Demand>;

const recordSchema = z.object({
  /** The fencing token of the owner that wrote the record: a summary of an earlier owner is ignored. */
  token: z.number(),
  recovered: z.boolean(),
  demand: z.array(demandSchema),
});

/** The part of a summary that is stored. */
export type DemandRecord = z.infer<typeof recordSchema>;

/** Upper bound for the encoded size of a record without its demand, with the longest possible token. */
const FIXED_FIELDS_BYTES = 128;

/** Size of the comma between two list elements. */
const SEPARATOR_BYTES = 1;

/**
 * Converts a summary to its record, limited to `maxBytes` bytes. The size does not depend on the number of machines:
 * whether a machine has sent a heartbeat is stored in its own record. Demand that exceeds the limit is omitted, the
 * least urgent first, and is recorded once the other demand has machines.
 */
export function toDemandRecord({ token, recovered, demand }: ShardSummary, maxBytes: number): DemandRecord {
  const included: Demand[] = [];
  let recordBytes = FIXED_FIELDS_BYTES;
  for (const entry of demand) {
    recordBytes += Buffer.byteLength(JSON.stringify(entry)) + SEPARATOR_BYTES;
    if (recordBytes > maxBytes) break;
    included.push(entry);
  }
  return { token, recovered, demand: included };
}

/**
 * Builds the summary of a shard from its demand record and its machines' records; null if the demand record is
 * malformed. Machines that have sent no heartbeat are reported as booting and all others as busy, so that none counts
 * as idle.
 */
export function fromDemandRecord(
  shard: number,
  value: unknown,
  machines: Iterable<[string, Pick<MachineRecord, "hasReported">]>,
): ShardSummary | null {
  const record = recordSchema.safeParse(value).data;
  if (record === undefined) return null;
  const machineSummaries = Array.from(machines, ([host, { hasReported }]): MachineSummary => ({
    host,
    state: hasReported ? "busy" : "booting",
    stateForMs: 0,
    emptyHeartbeats: 0,
  }));
  const load = { machinesUp: 0, emptyMachines: 0, cpus: 0, usedCpus: 0, waitingCpus: 0 };
  return { shard, ...record, machines: machineSummaries, load, freeCapacity: [], migrationCandidates: [] };
}
