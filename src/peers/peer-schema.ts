/**
 * The protobuf schema of the frames between controllers. Field numbers and types must not change, because two versions
 * of the program exchange frames during an upgrade. Names are not transmitted, so they match those in the program.
 */

/** The fully qualified name of the top-level message. */
export const FRAME_TYPE_NAME = "fernpond.Frame";

/** The schema as proto3 source text. */
export const PEER_SCHEMA = `
syntax = "proto3";
package fernpond;

// One request or one reply; a reply has the id of its request.
message Frame {
  uint64 id = 1;
  bool reply = 2;
  oneof body {
    ShardSummary summary = 3;
    DrainMachines drain_machines = 4;
    TransferMachines transfer_machines = 5;
    HandOver hand_over = 6;
    TaskCountsQuery task_counts = 7;
    Accepted accepted = 8;
    TaskCounts counts = 9;
    ShardLoads loads = 10;
    ForwardedUserRequest forward_user_request = 11;
    UserResponse user_response = 12;
    MisroutedHeartbeat misrouted_heartbeat = 13;
    Ping ping = 14;
    CordonMachine cordon_machine = 15;
    JobCancelled job_cancelled = 16;
    MigrateJob migrate_job = 17;
    LinkStatusQuery link_status = 19;
    LinkStatusReport link_report = 20;
  }
  // The sender's view of its links (links/link-view.ts). It is decoded separately, so that an invalid view does not
  // invalidate the frame.
  bytes link_view = 18;
}

// An operator's query for the state of a controller's links; the report is JSON (links/status.ts).
message LinkStatusQuery {}
message LinkStatusReport { string json = 1; }

// A shard owner's report to the leader: unmet demand and machine states, on which the leader bases autoscaling.
message ShardSummary {
  uint32 shard = 1;
  uint64 token = 2;
  // Each machine has been reconciled or its lease has certainly expired, so the summary is complete.
  bool recovered = 3;
  repeated Demand demand = 4;
  repeated MachineSummary machines = 5;
  ShardLoad load = 6;
  repeated FreeCapacity free_capacity = 7;
  repeated MigrationCandidate migration_candidates = 8;
}

// For one pool, the largest free capacity on one machine that no task of its own shard uses.
message FreeCapacity {
  string type = 1;
  string zone = 2;
  bool spot = 3;
  double cpus = 4;
  double gpus = 5;
  double memory_gb = 6;
}

// A job that has not started after a long wait; it may migrate to a shard with capacity for it.
message MigrationCandidate { string job = 1; Demand task = 2; double waited_ms = 3; }

message ShardLoad {
  uint32 machines_up = 1;
  uint32 empty_machines = 2;
  double cpus = 3;
  double used_cpus = 4;
  double waiting_cpus = 5;
}

message ShardLoadReport { uint32 shard = 1; ShardLoad load = 2; }

// The leader's reply to a summary: the load of all shards. A controller that accepts a job uses it to choose the shard.
message ShardLoads { repeated ShardLoadReport shards = 1; }

// Checks whether a peer replies; sent by a node whose replica of the records is behind.
message Ping {}

// Tasks that are startable but lack machines.
message Demand {
  double cpus = 1;
  double gpus = 2;
  double memory_gb = 3;
  repeated string types = 4;
  string zone = 5;
  bool spot = 6;
  uint32 count = 7;
  string priority = 8;
}

message MachineSummary {
  string host = 1;
  // One of booting, joining, idle, busy, silent, sick and draining; peer-codec.ts maps these to the program's names.
  string state = 2;
  double state_for_ms = 3;
  uint32 empty_heartbeats = 4;
}

// The leader selects machines for removal; their owner durably stops placing tasks on them.
message DrainMachines { uint32 shard = 1; repeated string hosts = 2; }
// The leader asks an owner to transfer empty machines to another shard.
message TransferMachines { uint32 shard = 1; uint32 target_shard = 2; repeated string hosts = 3; }
// The leader asks an owner to cordon one suitable machine for a shard that has none and can rent none.
message CordonMachine { uint32 shard = 1; uint32 target_shard = 2; Demand demand = 3; }
// The leader asks an owner to migrate a job that has not started to a shard with capacity for it.
message MigrateJob { uint32 shard = 1; uint32 target_shard = 2; string job = 3; }
// The leader asks an owner to hand the whole shard over to another controller.
message HandOver { uint32 shard = 1; string target_node = 2; }
// A worker with the owner's fencing token sent its heartbeat to another controller: it may no longer reach its owner.
message MisroutedHeartbeat { uint32 shard = 1; string received_by = 2; }
message Accepted { repeated string hosts = 1; }

// A user's request that the sender cannot answer, as it was received. The peer answers it itself or responds with 503;
// it does not forward the request again.
message ForwardedUserRequest { string method = 1; string path = 2; string body = 3; }
message UserResponse { uint32 status = 1; string body = 2; }

// A job's cancellation is durable; the notice lets the owner act before its watch delivers the change.
message JobCancelled { uint32 shard = 1; string job = 2; }

message TaskCountsQuery { uint32 shard = 1; string job = 2; }
message TaskCounts { bool known = 1; uint32 done = 2; uint32 running = 3; }
`;
