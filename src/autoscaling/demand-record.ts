/**
 * The record in which an owner leaves its summary while it cannot reach the leader: a refused connection between two
 * controllers must not keep a shard from getting machines.
 *
 * Stored form: `{ token, recovered, demand }`, with `demand` as a list of `{ cpus, gpus, memoryGb, types, zone, spot,
 * count, priority }`. It stays as it is, since other versions of the program read and write it too.
 */
import * as z from "zod";
import type { Demand, MachineSummary, ShardSummary } from "../peers/peer-messages.js";
import type { MachineRecord } from "../workers/machine-records.js";

const demandSchema = z.object({
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
  /** Empty: any. */
  types: z.array(z.string()),
  /** Empty: any. */
  zone: z.string(),
  spot: z.boolean(),
  count: z.number(),
  priority: z.string(),
}) satisfies z.ZodType<Demand>;

const recordSchema = z.object({
  /** The fencing token of the owner that wrote it: the summary of an earlier owner proves nothing. */
  token: z.number(),
  recovered: z.boolean(),
  demand: z.array(demandSchema),
});

/** The part of a summary that is worth leaving in the records. */
export type DemandRecord = z.infer<typeof recordSchema>;

/** What a record takes besides its demand, with the longest token. */
const FIXED_FIELDS_BYTES = 128;

/** What stands between two elements of a list. */
const SEPARATOR_BYTES = 1;

/**
 * The record of a summary, in at most `maxBytes` bytes. Nothing in it grows with the number of machines: which of them
 * have sent no heartbeat yet is in their own records. Demand past the limit is left out, the least urgent first: it is
 * recorded once the rest has machines.
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
 * The summary of a shard out of its record; null where the record cannot be read. Machines that their own records show
 * as booting count as such, and all others as busy, so that none is selected for removal by it.
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
