/** Builds the parts of the state of one shard. */
import type { Machine } from "../workers/machine.js";
import type { Settings } from "../config/settings.js";
import type { Logger } from "../runtime/log.js";
import type { ReplicaView } from "../state/replica.js";
import { CLOCK_DRIFT, type MachineType } from "../wire/index.js";
import { Cordons } from "./cordons.js";
import { DecisionMetrics } from "./decision-metrics.js";
import { FailureTracker } from "./failure-tracker.js";
import { HeartbeatHandler } from "./heartbeat-handler.js";
import { JobTable } from "./job-table.js";
import { LeaseExpiry } from "./lease-expiry.js";
import { MachineTable } from "./machine-table.js";
import { PlacementScheduler } from "./placement-scheduler.js";
import { QuotaReservations } from "./quota-reservations.js";
import { ShardRecords } from "./shard-records.js";
import { SpeedTracker } from "./speed-tracker.js";
import { TaskEviction } from "./task-eviction.js";

/** Dependencies of a shard. */
export interface ShardDependencies {
  /** The shard's number. */
  readonly shard: number;
  /** Fencing token at the start of this owner's term. */
  readonly termToken: number;
  /** Start of this owner's term: steady time in milliseconds. */
  readonly termStartedAt: number;
  readonly settings: Settings;
  readonly types: () => Map<string, MachineType>;
  /** The records from which the shard's state is initialised. */
  readonly view: ReplicaView;
  readonly log: Logger;
  /** A new instance by default. */
  readonly metrics?: DecisionMetrics;
}

/** The parts of one shard's state. */
export interface ShardParts {
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  /** Team quota that is reserved for jobs that were migrated to other shards. */
  readonly quotaReservations: QuotaReservations;
  readonly records: ShardRecords;
  readonly heartbeats: HeartbeatHandler;
  readonly leases: LeaseExpiry;
  readonly scheduler: PlacementScheduler;
  readonly eviction: TaskEviction;
  readonly failures: FailureTracker;
  readonly cordons: Cordons;
}

/** Builds the parts. They contain no jobs and machines before the first `ShardRecords.sync`. */
export function createShardParts(dependencies: ShardDependencies): ShardParts {
  const { shard, settings, log } = dependencies;
  const { metrics = new DecisionMetrics() } = dependencies;
  const { heartbeatIntervalMs, cancelMs } = settings.workers;
  const leaseMs = longestLeaseMs(settings);

  const jobs = new JobTable({ shard, valueBytes: settings.state.valueBytes, metrics, log });
  const onRemoved = (machine: Machine, now: number): void => {
    scheduler.machineRemoved(machine);
    cordons.machineRemoved(machine);
    jobs.removeEndedWithoutTasks(now);
  };
  const machines = new MachineTable({ shard, log, onRemoved });
  const quotaReservations = new QuotaReservations(cancelMs);
  const speeds = new SpeedTracker(log);
  const failures = new FailureTracker(machines.byHost, leaseMs, log);
  const cordons = new Cordons(shard, heartbeatIntervalMs, log);
  const state = { ...dependencies, jobs, machines, quotaReservations, speeds, failures };
  const durations = { leaseMs, heartbeatIntervalMs };
  const scheduler = new PlacementScheduler(state);
  const reservations = scheduler.preemptionReservations;
  return {
    jobs,
    machines,
    quotaReservations,
    records: new ShardRecords(state),
    heartbeats: new HeartbeatHandler({ ...state, ...durations }),
    leases: new LeaseExpiry({ ...state, ...durations, machines: machines.byHost }),
    scheduler,
    eviction: new TaskEviction({ shard, reservations, heartbeatIntervalMs, log }),
    failures,
    cordons,
  };
}

/**
 * Upper bound of a worker's lease: includes the drift of both clocks and the delay between a heartbeat and its
 * response.
 */
function longestLeaseMs(settings: Settings): number {
  const { leaseMs, heartbeatIntervalMs } = settings.workers;
  return leaseMs * (1 + 2 * CLOCK_DRIFT) + heartbeatIntervalMs / 4;
}
