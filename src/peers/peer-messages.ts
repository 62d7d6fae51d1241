/** The messages that controllers exchange: requests, replies and their contents. */
import type { InstancePool } from "../cloud/instance-pool.js";

/** A number of equal tasks that need machines: the resources of one task and where it may run. */
export interface Demand {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Allowed machine types; empty for any. */
  types: string[];
  /** The only allowed zone; empty for any. */
  zone: string;
  spot: boolean;
  count: number;
  priority: string;
}

/** Whether the tasks of a demand may run on machines of a pool: machine type, zone and use of spot machines match. */
export function allowsPool(demand: Demand, pool: InstancePool): boolean {
  return (
    (demand.types.length === 0 || demand.types.includes(pool.type)) &&
    (demand.zone === "" || demand.zone === pool.zone) &&
    (demand.spot || !pool.spot)
  );
}

/**
 * A machine's state as seen by its owner. `booting`: it has never sent a heartbeat. `awaiting_heartbeat`: it has sent
 * heartbeats to an earlier owner, but none to this one yet. `lease_expired`: its lease has expired, or its heartbeats
 * arrive but the responses do not reach it.
 */
export type MachineCondition =
  "booting" | "awaiting_heartbeat" | "idle" | "busy" | "lease_expired" | "quarantined" | "draining";

/** The state of one machine as reported by its owner. */
export interface MachineSummary {
  host: string;
  state: MachineCondition;
  /** How long it has been in this state, in milliseconds; 0 for states whose duration is not used. */
  stateForMs: number;
  /** The number of consecutive heartbeats without a task. */
  emptyHeartbeats: number;
}

/** The capacity of a shard and how much of it is used. */
export interface ShardLoad {
  machinesUp: number;
  /** Machines that are up and run no task. */
  emptyMachines: number;
  /** CPUs of all machines that are up. */
  cpus: number;
  usedCpus: number;
  /** CPUs required by waiting tasks. */
  waitingCpus: number;
}

/** The load of a shard, with the shard's number. */
export interface ShardLoadReport {
  shard: number;
  load: ShardLoad;
}

/** The free capacity of one machine, with the instance pool that the machine belongs to. */
export interface FreeCapacity extends InstancePool {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A job that has not started after a long wait, and the demand of one of its tasks. */
export interface MigrationCandidate {
  job: string;
  task: Demand;
  waitedMs: number;
}

/** A shard's state, which its owner reports to the leader once a second. */
export interface ShardSummary extends ShardLoadReport {
  /** The owner's fencing token. */
  token: number;
  /** Whether each machine has been reconciled or its lease has certainly expired, so that the summary is complete. */
  recovered: boolean;
  demand: Demand[];
  machines: MachineSummary[];
  /** For each pool, the largest free capacity on one machine that no task of this shard uses. */
  freeCapacity: FreeCapacity[];
  /** Jobs that may migrate to a shard with capacity for them, in descending order of waiting time. */
  migrationCandidates: MigrationCandidate[];
}

/** Selects machines for removal; their owner stops placing tasks on them. */
interface DrainMachinesRequest {
  shard: number;
  hosts: string[];
}

/** Asks the owner to transfer empty machines to another shard. */
interface TransferMachinesRequest {
  shard: number;
  targetShard: number;
  hosts: string[];
}

/** Asks the owner to cordon one machine that satisfies a demand of another shard, which has none and can rent none. */
interface CordonMachineRequest {
  shard: number;
  targetShard: number;
  demand: Demand;
}

/** Asks the owner to migrate a job that has not started to another shard. */
interface MigrateJobRequest {
  shard: number;
  targetShard: number;
  job: string;
}

/** Identifies a job and the shard that it belongs to. */
interface JobReference {
  shard: number;
  job: string;
}

/** Asks the owner to hand the shard over to another controller. */
interface HandOverRequest {
  shard: number;
  targetNode: string;
}

/** Notifies an owner that a worker with the owner's fencing token sent its heartbeat to another controller. */
interface MisroutedHeartbeatNotice {
  shard: number;
  /** The controller that received the heartbeat. */
  receivedBy: string;
}

/** A user's request as it was received; the body is JSON, or empty if the request had none. */
interface ForwardedUserRequest {
  method: string;
  path: string;
  body: string;
}

/** The response to a forwarded request; the body is JSON. */
interface ForwardedUserResponse {
  status: number;
  body: string;
}

/** The numbers of completed and running tasks of a job; `known` is false and both are 0 if the peer lacks the job. */
interface TaskCountsReply {
  known: boolean;
  done: number;
  running: number;
}

/** A request from one controller to another; the only key is the kind of request. */
export type PeerRequest =
  | { summary: ShardSummary }
  /** Checks whether the peer replies. */
  | { ping: Record<string, never> }
  | { drainMachines: DrainMachinesRequest }
  | { transferMachines: TransferMachinesRequest }
  | { cordonMachine: CordonMachineRequest }
  | { migrateJob: MigrateJobRequest }
  /** Notifies the job's owner that the cancellation is durable. */
  | { jobCancelled: JobReference }
  | { handOver: HandOverRequest }
  | { misroutedHeartbeat: MisroutedHeartbeatNotice }
  /** Asks for the numbers of completed and running tasks of the job. */
  | { taskCounts: JobReference }
  | { forwardUserRequest: ForwardedUserRequest }
  /** Asks for the state of the peer's links, for an operator. */
  | { linkStatus: Record<string, never> };

/** A reply from one controller to another; the only key is the kind of reply. */
export type PeerReply =
  | { loads: { shards: ShardLoadReport[] } }
  | { accepted: { hosts: string[] } }
  | { counts: TaskCountsReply }
  | { userResponse: ForwardedUserResponse }
  | { linkReport: { json: string } };

/** A request or reply on a connection between controllers; a reply has the id of its request. */
export type Frame = (
  { id: number; reply: false; body: PeerRequest } | { id: number; reply: true; body: PeerReply }
) & {
  /** The sender's encoded view of the state of its links. */
  linkView?: Uint8Array;
};
