/** Builders of records, heartbeats, a machine type, a silent logger and an in-memory replica view. */
import { pino } from "pino";
import type { Heartbeat, RecordChange, RecordEntry, JobSpec, MachineType } from "../../src/wire/index.js";
import type { ReplicaView } from "../../src/state/replica.js";

/** A logger that discards everything. */
export const silentLogger = pino({ level: "silent" });

/** An in-memory replica view whose records a test writes directly. */
export class FakeView implements ReplicaView {
  revision = 0;
  completeAsOf = 0;
  private readonly entries = new Map<string, RecordEntry>();

  get(key: string): RecordEntry | undefined {
    return this.entries.get(key);
  }

  list(prefix: string): RecordEntry[] {
    return [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix));
  }

  put(key: string, value: unknown, version: number): RecordChange {
    const change = { key, value, version };
    this.entries.set(key, change);
    this.revision = Math.max(this.revision, version);
    return change;
  }

  remove(key: string, version: number): RecordChange {
    this.entries.delete(key);
    this.revision = Math.max(this.revision, version);
    return { key, value: undefined, version };
  }
}

/** The default machine type: four CPUs, no GPU. */
export const smallType: MachineType = {
  name: "small",
  cpus: 4,
  gpus: 0,
  memoryGb: 16,
  cacheGb: 50,
  fetchGbPerS: 0.25,
  price: 1,
  spotPrice: 0.3,
  bootS: 20,
  zones: ["north", "south"],
};

/** Builds the spec of a job; by default of one small task that may run anywhere. */
export function jobSpec(id: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    className: "batch",
    team: "free",
    priority: "normal",
    tasks: 1,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: "img-1",
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 60,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...overrides,
  };
}

/** Builds a heartbeat; by default the first one of a machine of the small type without tasks. */
export function newHeartbeat(overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    host: "i-1",
    address: "a:1",
    type: smallType.name,
    zone: "north",
    spot: false,
    epoch: 1,
    sequence: 1,
    highestToken: 1,
    interruptionNoticeS: null,
    tasks: [],
    ...overrides,
  };
}
