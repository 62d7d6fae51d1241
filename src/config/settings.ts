/** Parses the platform's settings file (TOML). Unknown fields are ignored; the error for an invalid field names it. */
import { parse } from "smol-toml";
import * as z from "zod";
import { parseWith } from "../wire/index.js";
import { firstLine, SettingsError } from "./settings-file.js";

/** A named group of users with its guaranteed resources and limits. */
export interface Team {
  name: string;
  /** Guaranteed processors. */
  cpus: number;
  /** Maximum number of processors that its tasks may use at the same time; 0: no limit. */
  cpusMax: number;
  /** Guaranteed GPUs. */
  gpus: number;
  /** Maximum number of GPUs that its tasks may use at the same time; 0: no limit. */
  gpusMax: number;
}

/** A service-level objective for a class of jobs. */
export interface Objective {
  kind: string;
  /** The class of jobs; null if the objective names none. */
  className: string | null;
  /** The target time, in seconds; null if the objective has none. */
  withinS: number | null;
}

/** Timing requirements for workers and their shards' owners. */
interface WorkerSettings {
  /** The interval between two heartbeats of a worker, in milliseconds. */
  heartbeatIntervalMs: number;
  /** How long a worker continues without a lease renewal, in milliseconds. */
  leaseMs: number;
  /** The time within which all tasks of a cancelled job must be gone, in milliseconds. */
  cancelMs: number;
}

/** Limits of the state store. */
interface StateStoreSettings {
  /** Maximum requests per second, for all controllers together. */
  rps: number;
  /** Maximum writes per second, for all controllers together. */
  writeRps: number;
  /** Maximum size of a value, in bytes. */
  valueBytes: number;
  /** Maximum number of conditions and writes in one transaction. */
  txnOps: number;
}

/** Limits of the cloud API. */
interface CloudSettings {
  /** Maximum requests per second. */
  rps: number;
  /** Maximum staleness of the cloud's list of machines, in milliseconds. */
  listLagMs: number;
}

/** Another controller. */
interface PeerAddress {
  node: string;
  /** The address at which it listens for other controllers, host:port. */
  address: string;
}

/** The platform's settings for one controller. */
export interface Settings {
  /** This controller's name. */
  node: string;
  /** The zone of this controller. */
  zone: string;
  /** The address at which this controller listens for users, workers and health checks, host:port. */
  listen: string;
  /** The address at which this controller listens for other controllers, host:port. */
  peerListen: string;
  /** All other controllers. */
  peers: PeerAddress[];
  /** Address of the state store, host:port. */
  stateAddress: string;
  /** Address of the cloud API, host:port. */
  cloudAddress: string;
  /** Number of controllers in the cluster, which is also the number of shards. */
  controllers: number;
  /** All zones of the cluster. */
  zones: string[];
  teams: Team[];
  objectives: Objective[];
  workers: WorkerSettings;
  state: StateStoreSettings;
  cloud: CloudSettings;
  /** Maximum number of sockets that this process may have open. */
  maxSockets: number;
}

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "expected host:port");
const positive = z.number().positive();
const nonNegative = z.number().nonnegative();

const fileSchema = z
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
      clock_error_ms: nonNegative.default(0),
      teams: z
        .array(
          z.object({
            name: z.string().min(1),
            cpus: nonNegative.default(0),
            cpus_max: nonNegative.default(0),
            gpus: nonNegative.default(0),
            gpus_max: nonNegative.default(0),
          }),
        )
        .min(1),
      // Only objectives for how soon a class of jobs should start or finish are used.
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
      cloud: z.object({ rps: positive, list_lag_s: nonNegative }),
      resources: z.object({ sockets: z.int().positive().default(1024) }).default({ sockets: 1024 }),
    }),
  })
  .transform((file): Settings => ({
    node: file.node_name,
    zone: file.domain,
    listen: file.serve_on,
    peerListen: file.back,
    peers: file.seeds.map((seed) => ({ node: seed.node_name, address: seed.address })),
    stateAddress: file.services.state,
    cloudAddress: file.services.cloud,
    controllers: file.settings.initial_size,
    zones: file.settings.zones,
    teams: file.settings.teams.map((team) => ({
      name: team.name,
      cpus: team.cpus,
      cpusMax: team.cpus_max,
      gpus: team.gpus,
      gpusMax: team.gpus_max,
    })),
    objectives: file.settings.objectives.map((objective) => ({
      kind: objective.kind,
      className: objective.class ?? null,
      withinS: objective.within_s ?? null,
    })),
    workers: {
      heartbeatIntervalMs: file.settings.workers.report_s * 1000,
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
    maxSockets: file.settings.resources.sockets,
  }));

/**
 * Parses and validates the text of a settings file.
 * @throws SettingsError if the text is not TOML or a field is invalid
 */
export function parseSettings(text: string): Settings {
  const result = parseWith(fileSchema, parseToml(text));
  if (!result.ok) throw new SettingsError(result.error, { field: result.field });
  return result.value;
}

function parseToml(text: string): unknown {
  try {
    return parse(text);
  } catch (err) {
    throw new SettingsError(`not TOML: ${firstLine(err as Error)}`, { cause: err });
  }
}
