/**
 * A summary as an owner leaves it in the records while it cannot reach the leader: a refused connection between two
 * controllers must not keep a shard from getting machines.
 */
import * as z from "zod";
import type { Demand, Summary } from "../peers/messages.js";

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
  /** Machines that have not spoken yet: all others are taken to be at work. */
  booting: z.array(z.string()),
});

/** The part of a summary that is worth leaving in the records. */
export function toDemandRecord({
  token,
  recovered,
  demand,
  machines,
}: Summary): z.infer<typeof recordSchema> {
  const booting = machines.filter((m) => m.state === "booting").map((m) => m.host);
  return { token, recovered, demand, booting };
}

/** Null where the record cannot be read. No machine is selected for removal by it: it shows no machine idle. */
export function fromDemandRecord(shard: number, value: unknown, hosts: Iterable<string>): Summary | null {
  const record = recordSchema.safeParse(value).data;
  if (record === undefined) return null;
  const booting = new Set(record.booting);
  const machines = [...hosts].map((host) => ({
    host,
    state: booting.has(host) ? ("booting" as const) : ("busy" as const),
    forMs: 0,
    emptyReports: 0,
  }));
  const { token, recovered, demand } = record;
  const load = { up: 0, empty: 0, cpus: 0, used: 0, waiting: 0 };
  return { shard, token, recovered, demand, machines, load, rooms: [], waiting: [] };
}
