/** The messages between controllers: requests, replies, and what they carry. */
import type { InstancePool } from "../cloud/instance-pool.js";

/** Tasks that need machines: what each takes, where it may run, and how many. */
export interface Demand {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Empty: any. */
  types: string[];
  /** Empty: any. */
  zone: string;
  spot: boolean;
  count: number;
  priority: string;
}

/** Whether machines of a pool may run such tasks. */
export function allowsPool(demand: Demand, pool: InstancePool): boolean {
  return (
    (demand.types.length === 0 || demand.types.includes(pool.type)) &&
    (demand.zone === "" || demand.zone === pool.zone) &&
    (demand.spot || !pool.spot)
  );
}

/**
 * What a machine's owner knows of it. `booting`: it has never sent a heartbeat. `awaiting_heartbeat`: it has sent one to
 * an earlier owner, and none to this one yet. `lease_expired`: also where responses do not reach it.
 */
export type MachineCondition =
  "booting" | "awaiting_heartbeat" | "idle" | "busy" | "lease_expired" | "quarantined" | "draining";

/** One machine as its owner sees it. */
export interface MachineSummary {
  host: string;
  state: MachineCondition;
  /** For how long it has been in this state; 0 where that does not matter. */
  stateForMs: number;
  /** How many heartbeats in a row had no task. */
  emptyHeartbeats: number;
}

/** How full a shard is. */
export interface ShardLoad {
  machinesUp: number;
  /** Machines that are up and have no task. */
  emptyMachines: number;
  /** The processors of all machines that are up. */
  cpus: number;
  usedCpus: number;
  /** The processors that waiting tasks need. */
  waitingCpus: number;
}

/** The load of one shard. */
export interface ShardLoadReport {
  shard: number;
  load: ShardLoad;
}

/** Free capacity on one machine, and which pool it is of. */
export interface FreeCapacity extends InstancePool {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A job that has not begun and has waited for long, and what one task of it needs. */
export interface MigrationCandidate {
  job: string;
  task: Demand;
  waitedMs: number;
}

/** What an owner reports to the leader once a second. */
export interface ShardSummary extends ShardLoadReport {
  /** The owner's fencing token. */
  token: number;
  /** Whether all machines are reconciled, or their leases surely over. */
  recovered: boolean;
  demand: Demand[];
  machines: MachineSummary[];
  /** The largest free capacity in each pool that nothing of this shard takes. */
  freeCapacity: FreeCapacity[];
  /** Jobs that may migrate to a shard with capacity for them, the longest waiting first. */
  migrationCandidates: MigrationCandidate[];
}

/** Select machines for removal: their owner stops placing on them. */
interface DrainMachinesRequest {
  shard: number;
  hosts: string[];
}

/** Transfer empty machines to another shard. */
interface TransferMachinesRequest {
  shard: number;
  targetShard: number;
  hosts: string[];
}

/** Cordon one machine that suits a demand, for a shard that has none and can rent none. */
interface CordonMachineRequest {
  shard: number;
  targetShard: number;
  demand: Demand;
}

/** Migrate a job that has not begun to another shard. */
interface MigrateJobRequest {
  shard: number;
  targetShard: number;
  job: string;
}

/** A job, and the shard that it belongs to. */
interface JobReference {
  shard: number;
  job: string;
}

/** Hand the shard over to another controller. */
interface HandOverRequest {
  shard: number;
  targetNode: string;
}

/** A worker that follows the owner's token sent its heartbeat to another controller. */
interface MisroutedHeartbeatNotice {
  shard: number;
  /** The controller that it came to. */
  receivedBy: string;
}

/** A user's request as it came; the body is JSON, or empty if there is none. */
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

/** How many tasks of a job are done and running; zeros where the job's owner is elsewhere. */
interface TaskCountsReply {
  known: boolean;
  done: number;
  running: number;
}

/** A request between controllers; the key names its kind. */
export type PeerRequest =
  | { summary: ShardSummary }
  /** Whether the peer still replies. */
  | { ping: Record<string, never> }
  | { drainMachines: DrainMachinesRequest }
  | { transferMachines: TransferMachinesRequest }
  | { cordonMachine: CordonMachineRequest }
  | { migrateJob: MigrateJobRequest }
  /** The job's cancellation is durable. */
  | { jobCancelled: JobReference }
  | { handOver: HandOverRequest }
  | { misroutedHeartbeat: MisroutedHeartbeatNotice }
  /** How many tasks of the job are done and running. */
  | { taskCounts: JobReference }
  | { forwardUserRequest: ForwardedUserRequest }
  /** The state of the peer's links, for an operator. */
  | { linkStatus: Record<string, never> };

/** The reply to a request between controllers; the key names its kind. */
export type PeerReply =
  | { loads: { shards: ShardLoadReport[] } }
  | { accepted: { hosts: string[] } }
  | { counts: TaskCountsReply }
  | { userResponse: ForwardedUserResponse }
  | { linkReport: { json: string } };

/** One request or reply on a connection between controllers; a reply carries the id of its request. */
export type Frame = (
  { id: number; reply: false; body: PeerRequest } | { id: number; reply: true; body: PeerReply }
) & {
  /** The sender's view of its links, encoded. */
  linkView?: Uint8Array;
};
