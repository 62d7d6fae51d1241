/**
 * A summary as an owner leaves it in the records while it cannot reach the leader: a refused connection between two
 * controllers must not keep a shard from getting machines.
 */
import * as z from "zod";
import type { Demand, MachineSummary, ShardSummary } from "../peers/messages.js";
import type { MachineRecord } from "../workers/machine-records.js";

const demandSchema = z.object({
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
  types: z.array(z.string()),
  zone: z.string(),
  spot: z.boolean(),
  count: z.number(),
  priority: z.string(),
}) satisfies z.ZodType<Demand>;

const recordSchema = z.object({
  token: z.number(),
  recovered: z.boolean(),
  demand: z.array(demandSchema),
});

/** The part of a summary that is worth leaving in the records. */
export type DemandRecord = z.infer<typeof recordSchema>;

/** What a record takes besides its demand, with room for the longest token. */
const HEAD_BYTES = 128;

/**
 * Nothing in the record grows with the number of machines: which of them have not spoken yet is in their own records.
 * Demand past what one value holds is left out, the least urgent first: it is told again once the rest has machines.
 */
export function toDemandRecord({ token, recovered, demand }: ShardSummary, valueBytes: number): DemandRecord {
  const kept: Demand[] = [];
  let bytes = HEAD_BYTES;
  for (const group of demand) {
    bytes += Buffer.byteLength(JSON.stringify(group)) + 1;
    if (bytes > valueBytes) break;
    kept.push(group);
  }
  return { token, recovered, demand: kept };
}

/**
 * Null where the record cannot be read. Machines that their own records show as booting count as such, and all others
 * as busy, so that none is selected for removal by it.
 */
export function fromDemandRecord(
  shard: number,
  value: unknown,
  machines: Iterable<[string, Pick<MachineRecord, "hasReported">]>,
): ShardSummary | null {
  const record = recordSchema.safeParse(value).data;
  if (record === undefined) return null;
  const summaries = Array.from(machines, ([host, { hasReported: up }]): MachineSummary => ({
    host,
    state: up ? "busy" : "booting",
    forMs: 0,
    emptyReports: 0,
  }));
  const load = { up: 0, empty: 0, cpus: 0, used: 0, waiting: 0 };
  return { shard, ...record, machines: summaries, load, rooms: [], waiting: [] };
}
