/**
 * The protobuf schema of the frames between controllers. Numbers and types of the fields stay as they are, since two
 * versions of the program exchange frames during an upgrade; names are not sent, and follow the program.
 */

/** The name of the outermost message of the schema. */
export const FRAME_TYPE_NAME = "fernpond.Frame";

/** The schema, as protobuf source. */
export const PEER_SCHEMA = `
syntax = "proto3";
package fernpond;

// One request or one reply; a reply carries the id of its request.
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
  // The sender's view of its links (links/link-view.ts), checked apart: one that cannot be read must not cost the frame.
  bytes link_view = 18;
}

// An operator's command asks for the state of a controller's links; the report is JSON (links/status.ts).
message LinkStatusQuery {}
message LinkStatusReport { string json = 1; }

// An owner reports to the leader what waits in a shard and how its machines are: the leader scales by it.
message ShardSummary {
  uint32 shard = 1;
  uint64 token = 2;
  // All machines are reconciled, or their leases surely over: the summary is complete.
  bool recovered = 3;
  repeated Demand demand = 4;
  repeated MachineSummary machines = 5;
  ShardLoad load = 6;
  repeated FreeCapacity free_capacity = 7;
  repeated MigrationCandidate migration_candidates = 8;
}

// The largest free capacity in a pool that nothing of its own shard takes.
message FreeCapacity {
  string type = 1;
  string zone = 2;
  bool spot = 3;
  double cpus = 4;
  double gpus = 5;
  double memory_gb = 6;
}

// A job that has not begun and has waited for long: it may migrate to a shard that has capacity for it.
message MigrationCandidate { string job = 1; Demand task = 2; double waited_ms = 3; }

message ShardLoad {
  uint32 machines_up = 1;
  uint32 empty_machines = 2;
  double cpus = 3;
  double used_cpus = 4;
  double waiting_cpus = 5;
}

message ShardLoadReport { uint32 shard = 1; ShardLoad load = 2; }

// The leader's reply to a summary: the load of all shards. Whoever accepts a job chooses its shard by that.
message ShardLoads { repeated ShardLoadReport shards = 1; }

// Whether a peer still replies, asked by a node that cannot follow the records.
message Ping {}

// Tasks that could run now but for lack of machines.
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
  // booting, joining, idle, busy, silent, sick or draining: see peer-codec.ts for what the program calls them
  string state = 2;
  double state_for_ms = 3;
  uint32 empty_heartbeats = 4;
}

// The leader selects machines for removal: their owner stops placing on them, durably.
message DrainMachines { uint32 shard = 1; repeated string hosts = 2; }
// The leader requests an owner to transfer empty machines to another shard.
message TransferMachines { uint32 shard = 1; uint32 target_shard = 2; repeated string hosts = 3; }
// The leader requests an owner to cordon one machine that suits, for a shard that has none and can rent none.
message CordonMachine { uint32 shard = 1; uint32 target_shard = 2; Demand demand = 3; }
// The leader requests an owner to migrate a job that has not begun to a shard that has capacity for it.
message MigrateJob { uint32 shard = 1; uint32 target_shard = 2; string job = 3; }
// The leader requests an owner to hand the whole shard over to another controller.
message HandOver { uint32 shard = 1; string target_node = 2; }
// A worker that follows an owner's token came to another controller: it may not reach its owner any more.
message MisroutedHeartbeat { uint32 shard = 1; string received_by = 2; }
message Accepted { repeated string hosts = 1; }

// A user's request that a controller cannot answer, as it came; the peer answers itself or with 503.
message ForwardedUserRequest { string method = 1; string path = 2; string body = 3; }
message UserResponse { uint32 status = 1; string body = 2; }

// A job's cancellation is durable: its owner need not wait until the watch shows it.
message JobCancelled { uint32 shard = 1; string job = 2; }

message TaskCountsQuery { uint32 shard = 1; string job = 2; }
message TaskCounts { bool known = 1; uint32 done = 2; uint32 running = 3; }
`;
