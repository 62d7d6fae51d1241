/** The platform's settings file, checked. Unknown fields are ignored; a wrong one names itself. */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import * as z from "zod";
import { parseWith } from "../wire/index.js";

/** Settings that cannot be used; the message names the field. */
export class SettingsError extends Error {}

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "expected host:port");
const positive = z.number().positive();
const amount = z.number().nonnegative();

const schema = z
  .object({
    node_name: z.string().min(1),
    domain: z.string().min(1),
    serve_on: address,
    back: address,
    seeds: z.array(z.object({ node_name: z.string().min(1), domain: z.string(), address })).default([]),
    services: z.object({ cloud: address, state: address }),
    settings: z.object({
      initial_size: z.int().min(1),
      zones: z.array(z.string().min(1)).min(1),
      clock_error_ms: amount.default(0),
      teams: z
        .array(
          z.object({
            name: z.string().min(1),
            cpus: amount.default(0),
            cpus_max: amount.default(0),
            gpus: amount.default(0),
            gpus_max: amount.default(0),
          }),
        )
        .min(1),
      // Only the aims that say how soon a class of jobs should start or finish are of use here.
      objectives: z
        .array(z.object({ kind: z.string(), class: z.string().nullish(), within_s: positive.nullish() }))
        .default([]),
      workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
      state: z.object({
        rps: positive,
        write_rps: positive,
        value_kb: positive,
        txn_ops: z.int().min(2),
      }),
      cloud: z.object({ rps: positive, list_lag_s: amount }),
      resources: z.object({ sockets: z.int().positive().default(1024) }).default({ sockets: 1024 }),
    }),
  })
  .transform((file) => ({
    node: file.node_name,
    zone: file.domain,
    listen: file.serve_on,
    peerListen: file.back,
    peers: file.seeds.map((s) => ({ node: s.node_name, address: s.address })),
    stateAddress: file.services.state,
    cloudAddress: file.services.cloud,
    controllers: file.settings.initial_size,
    zones: file.settings.zones,
    teams: file.settings.teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      cpusMax: t.cpus_max,
      gpus: t.gpus,
      gpusMax: t.gpus_max,
    })),
    objectives: file.settings.objectives.map((o) => ({
      kind: o.kind,
      className: o.class ?? null,
      withinS: o.within_s ?? null,
    })),
    workers: {
      reportMs: file.settings.workers.report_s * 1000,
      leaseMs: file.settings.workers.lease_s * 1000,
      cancelMs: file.settings.workers.cancel_s * 1000,
    },
    state: {
      rps: file.settings.state.rps,
      writeRps: file.settings.state.write_rps,
      valueBytes: file.settings.state.value_kb * 1024,
      txnOps: file.settings.state.txn_ops,
    },
    cloud: { rps: file.settings.cloud.rps, listLagMs: file.settings.cloud.list_lag_s * 1000 },
    sockets: file.settings.resources.sockets,
  }));

/** The platform's settings file, checked and in this program's terms; durations in milliseconds where named so. */
export type Settings = z.infer<typeof schema>;
/** One aim of a class of jobs. */
export type Objective = Settings["objectives"][number];
/** A team with its guarantee and limit; a limit of 0 is none. */
export type Team = Settings["teams"][number];

/** Reads and checks a settings file; throws SettingsError. */
export function parseSettings(text: string): Settings {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (err) {
    throw new SettingsError(`not TOML: ${(err as Error).message.split("\n")[0]}`);
  }
  const result = parseWith(schema, raw);
  if (!result.ok) throw new SettingsError(result.error);
  return result.value;
}

/** The text of a file; throws SettingsError if it cannot be read. */
export function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    throw new SettingsError(`cannot read ${file}: ${(err as NodeJS.ErrnoException).code ?? String(err)}`);
  }
}
