/** Records made by hand, and a view of them such as the replica gives. */
import { pino } from "pino";
import type { RecordChange, RecordEntry, JobSpec, MachineType } from "../../src/wire/index.js";
import type { ReplicaView } from "../../src/state/replica.js";

export const silent = pino({ level: "silent" });

export class FakeView implements ReplicaView {
  revision = 0;
  completeAsOf = 0;
  private readonly entries = new Map<string, RecordEntry>();

  get(key: string): RecordEntry | undefined {
    return this.entries.get(key);
  }

  list(prefix: string): RecordEntry[] {
    return [...this.entries.values()].filter((e) => e.key.startsWith(prefix));
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

export function jobSpec(id: string, over: Partial<JobSpec> = {}): JobSpec {
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
    ...over,
  };
}
