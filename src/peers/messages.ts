/** What controllers say to each other. */
import protobuf from "protobufjs";
import type { InstancePool } from "../cloud/instance-pool.js";

const schema = `
syntax = "proto3";
package fernpond;

// One question or one answer; an answer carries the id of its question.
message Frame {
  uint64 id = 1;
  bool reply = 2;
  oneof body {
    Summary summary = 3;
    Drain drain = 4;
    Give give = 5;
    HandOver hand_over = 6;
    Lookup lookup = 7;
    Accepted accepted = 8;
    Counts counts = 9;
    Loads loads = 10;
    Forward forward = 11;
    Answer answer = 12;
    MisroutedHeartbeat misroutedHeartbeat = 13;
    Ping ping = 14;
    Cordon cordon = 15;
    Cancelled cancelled = 16;
    Transfer transfer = 17;
    LinkStatusQuery link_status = 19;
    LinkStatusReport link_report = 20;
  }
  // The sender's view of its links (links/views.ts), checked apart: an odd one must not cost the frame.
  bytes link_view = 18;
}

// An operator's command asks for the state of a controller's links; the report is JSON (links/status.ts).
message LinkStatusQuery {}
message LinkStatusReport { string json = 1; }

// An owner tells the leader what waits in a shard and how its machines are: the leader sizes by it.
message Summary {
  uint32 shard = 1;
  uint64 token = 2;
  // All machines heard, or their leases surely over: what is said here is the whole truth.
  bool recovered = 3;
  repeated Demand demand = 4;
  repeated Machine machines = 5;
  Load load = 6;
  repeated FreeRoom rooms = 7;
  repeated WaitingJob waiting = 8;
}

// The largest room of a market that nothing of its own shard takes.
message FreeRoom {
  string type = 1;
  string zone = 2;
  bool spot = 3;
  double cpus = 4;
  double gpus = 5;
  double memory_gb = 6;
}

// A job that has not begun and has waited for long: it may pass to a shard that has room for it.
message WaitingJob { string job = 1; Demand task = 2; double waited_ms = 3; }

// Machines that are up, those of them without a task, and processors: all, used, waited for.
message Load { uint32 up = 1; uint32 empty = 2; double cpus = 3; double used = 4; double waiting = 5; }

message LoadReport { uint32 shard = 1; Load load = 2; }

// The leader's answer to a summary: how full all shards are. Whoever accepts a job chooses its shard by that.
message Loads { repeated LoadReport notes = 1; }

// Whether a peer still answers, asked by a node that cannot follow the records.
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

message Machine {
  string host = 1;
  // booting, joining, idle, busy, silent, sick or draining
  string state = 2;
  double for_ms = 3;
  uint32 empty_reports = 4;
}

// The leader selects machines for removal: their owner stops placing on them, durably.
message Drain { uint32 shard = 1; repeated string hosts = 2; }
// The leader asks an owner to pass empty machines on to another shard.
message Give { uint32 shard = 1; uint32 to = 2; repeated string hosts = 3; }
// The leader asks an owner to let one machine that suits run empty, for a shard that has none and can rent none.
message Cordon { uint32 shard = 1; uint32 to = 2; Demand demand = 3; }
// The leader asks an owner to pass a job that has not begun to a shard that has room for it.
message Transfer { uint32 shard = 1; uint32 to = 2; string job = 3; }
// The leader asks an owner to pass the whole shard on to another controller.
message HandOver { uint32 shard = 1; string to = 2; }
// A worker that follows an owner's token came to another controller: it may not reach its owner any more.
message MisroutedHeartbeat { uint32 shard = 1; string came_to = 2; }
message Accepted { repeated string hosts = 1; }

// A user's request that a controller cannot answer, as it came; the peer answers itself or with 503.
message Forward { string method = 1; string path = 2; string body = 3; }
message Answer { uint32 status = 1; string body = 2; }

// A job's cancellation is durable: its owner need not wait for the feed to tell it.
message Cancelled { uint32 shard = 1; string job = 2; }

message Lookup { uint32 shard = 1; string job = 2; }
message Counts { bool known = 1; uint32 done = 2; uint32 running = 3; }
`;

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

/** `joining`: has spoken to an earlier owner, and not to this one yet. */
export type MachineCondition = "booting" | "joining" | "idle" | "busy" | "silent" | "sick" | "draining";

/** One machine as its owner sees it. */
export interface MachineSummary {
  host: string;
  state: MachineCondition;
  /** How long it has been so. */
  forMs: number;
  emptyReports: number;
}

/** How full a shard is: machines, and processors in all, used and waited for. */
export interface ShardLoad {
  up: number;
  empty: number;
  cpus: number;
  used: number;
  waiting: number;
}

/** The load of one shard. */
export interface ShardLoadReport {
  shard: number;
  load: ShardLoad;
}

/** Free room on one machine, and what kind of machine it is on. */
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

/** What an owner tells the leader once a second. */
export interface ShardSummary extends ShardLoadReport {
  token: number;
  recovered: boolean;
  demand: Demand[];
  machines: MachineSummary[];
  /** The largest room of each market that nothing of this shard takes. */
  rooms: FreeCapacity[];
  /** Jobs that may pass to a shard with room for them, the longest waiting first. */
  waiting: MigrationCandidate[];
}

/** A request between controllers. */
export type PeerRequest =
  | { summary: ShardSummary }
  | { ping: Record<string, never> }
  | { drain: { shard: number; hosts: string[] } }
  | { give: { shard: number; to: number; hosts: string[] } }
  | { cordon: { shard: number; to: number; demand: Demand } }
  | { transfer: { shard: number; to: number; job: string } }
  | { cancelled: { shard: number; job: string } }
  | { handOver: { shard: number; to: string } }
  | { misroutedHeartbeat: { shard: number; cameTo: string } }
  | { lookup: { shard: number; job: string } }
  | { forward: { method: string; path: string; body: string } }
  | { linkStatus: Record<string, never> };

/** The answer to a request between controllers. */
export type PeerReply =
  | { loads: { notes: ShardLoadReport[] } }
  | { accepted: { hosts: string[] } }
  | { counts: { known: boolean; done: number; running: number } }
  | { answer: { status: number; body: string } }
  | { linkReport: { json: string } };

/** One request or answer on a connection between controllers. */
export type Frame = (
  { id: number; reply: false; body: PeerRequest } | { id: number; reply: true; body: PeerReply }
) & {
  /** The sender's view of its links, encoded. */
  linkView?: Uint8Array;
};

const frameType = protobuf.parse(schema).root.lookupType("fernpond.Frame");

/** Encodes a frame as protobuf. */
export function encodeFrame(frame: Frame): Uint8Array {
  const { id, reply, body, linkView } = frame;
  const message = frameType.fromObject({ id, reply, ...body, ...(linkView && { linkView }) });
  return frameType.encode(message).finish();
}

/** Throws on bytes that are no frame. */
export function decodeFrame(bytes: Uint8Array): Frame {
  const plain: Record<string, unknown> = frameType.toObject(frameType.decode(bytes), {
    longs: Number,
    defaults: true,
    arrays: true,
    oneofs: true,
  });
  const kind = plain.body as string | undefined;
  if (kind === undefined) throw new Error("a frame without a body");
  const frame = { id: plain.id, reply: plain.reply, body: { [kind]: plain[kind] } } as unknown as Frame;
  const linkView = plain.linkView as Uint8Array;
  return linkView.byteLength > 0 ? { ...frame, linkView } : frame;
}
