/**
 * Converts the decoded contents in fixtures/peer-frames.json to the program's types, with one function per message. A
 * renamed identifier in the program thus changes this module and never the fixture.
 */
import type { LinkView } from "../../src/links/link-view.js";
import type {
  Demand,
  FreeCapacity,
  Frame,
  MachineCondition,
  MachineSummary,
  PeerReply,
  PeerRequest,
  ShardLoad,
  MigrationCandidate,
} from "../../src/peers/peer-messages.js";

/** A frame in the fixture: its decoded content (`meaning`) and its encoded bytes. */
export interface FrameFixture {
  /** The name of the message in the fixture. */
  message: string;
  id: number;
  reply: boolean;
  meaning: unknown;
  hex: string;
  /** The encoded frame with the fixture's link view attached. */
  hexWithLinkView: string;
}

/** The contents of the fixture file. */
export interface PeerFrameFixtures {
  linkView: { meaning: LinkViewMeaning; hex: string };
  frames: FrameFixture[];
}

interface LinkViewMeaning {
  version: number;
  node: string;
  incarnation: string;
  sequence: number;
  links: { link: string; direction: string; state: string }[];
  misrouted: { shard: number; workers: number; term: number }[];
}

interface DemandMeaning {
  cpus: number;
  gpus: number;
  memoryGb: number;
  types: string[];
  zone: string;
  spot: boolean;
  count: number;
  priority: string;
}

interface LoadMeaning {
  up: number;
  empty: number;
  cpus: number;
  used: number;
  waiting: number;
}

interface SummaryMeaning {
  shard: number;
  token: number;
  recovered: boolean;
  demand: DemandMeaning[];
  machines: { host: string; state: string; forMs: number; emptyReports: number }[];
  load: LoadMeaning;
  rooms: { type: string; zone: string; spot: boolean; cpus: number; gpus: number; memoryGb: number }[];
  waiting: { job: string; task: DemandMeaning; waitedMs: number }[];
}

/** The machine states whose name in the fixture, as on the wire, differs from the program's. */
const CONDITION_BY_WIRE_STATE: Record<string, MachineCondition> = {
  joining: "awaiting_heartbeat",
  silent: "lease_expired",
  sick: "quarantined",
};

const toDemand = ({ cpus, gpus, memoryGb, types, zone, spot, count, priority }: DemandMeaning): Demand => ({
  cpus,
  gpus,
  memoryGb,
  types,
  zone,
  spot,
  count,
  priority,
});

const toLoad = ({ up, empty, cpus, used, waiting }: LoadMeaning): ShardLoad => ({
  machinesUp: up,
  emptyMachines: empty,
  cpus,
  usedCpus: used,
  waitingCpus: waiting,
});

const toMachineSummary = ({
  host,
  state,
  forMs,
  emptyReports,
}: SummaryMeaning["machines"][number]): MachineSummary => ({
  host,
  state: CONDITION_BY_WIRE_STATE[state] ?? (state as MachineCondition),
  stateForMs: forMs,
  emptyHeartbeats: emptyReports,
});

const toFreeCapacity = ({
  type,
  zone,
  spot,
  cpus,
  gpus,
  memoryGb,
}: SummaryMeaning["rooms"][number]): FreeCapacity => ({
  type,
  zone,
  spot,
  cpus,
  gpus,
  memoryGb,
});

const toMigrationCandidate = ({
  job,
  task,
  waitedMs,
}: SummaryMeaning["waiting"][number]): MigrationCandidate => ({
  job,
  task: toDemand(task),
  waitedMs,
});

const toRequest: Record<string, (meaning: never) => PeerRequest> = {
  summary: (meaning: SummaryMeaning) => ({
    summary: {
      shard: meaning.shard,
      token: meaning.token,
      recovered: meaning.recovered,
      demand: meaning.demand.map(toDemand),
      machines: meaning.machines.map(toMachineSummary),
      load: toLoad(meaning.load),
      freeCapacity: meaning.rooms.map(toFreeCapacity),
      migrationCandidates: meaning.waiting.map(toMigrationCandidate),
    },
  }),
  ping: () => ({ ping: {} }),
  drain: ({ shard, hosts }: { shard: number; hosts: string[] }) => ({ drainMachines: { shard, hosts } }),
  give: ({ shard, to, hosts }: { shard: number; to: number; hosts: string[] }) => ({
    transferMachines: { shard, targetShard: to, hosts },
  }),
  cordon: ({ shard, to, demand: wanted }: { shard: number; to: number; demand: DemandMeaning }) => ({
    cordonMachine: { shard, targetShard: to, demand: toDemand(wanted) },
  }),
  transfer: ({ shard, to, job }: { shard: number; to: number; job: string }) => ({
    migrateJob: { shard, targetShard: to, job },
  }),
  cancelled: ({ shard, job }: { shard: number; job: string }) => ({ jobCancelled: { shard, job } }),
  hand_over: ({ shard, to }: { shard: number; to: string }) => ({ handOver: { shard, targetNode: to } }),
  misroutedHeartbeat: ({ shard, cameTo }: { shard: number; cameTo: string }) => ({
    misroutedHeartbeat: { shard, receivedBy: cameTo },
  }),
  lookup: ({ shard, job }: { shard: number; job: string }) => ({ taskCounts: { shard, job } }),
  forward: ({ method, path, body }: { method: string; path: string; body: string }) => ({
    forwardUserRequest: { method, path, body },
  }),
  link_status: () => ({ linkStatus: {} }),
};

const toReply: Record<string, (meaning: never) => PeerReply> = {
  loads: ({ notes }: { notes: { shard: number; load: LoadMeaning }[] }) => ({
    loads: { shards: notes.map((report) => ({ shard: report.shard, load: toLoad(report.load) })) },
  }),
  accepted: ({ hosts }: { hosts: string[] }) => ({ accepted: { hosts } }),
  counts: ({ known, done, running }: { known: boolean; done: number; running: number }) => ({
    counts: { known, done, running },
  }),
  answer: ({ status, body }: { status: number; body: string }) => ({ userResponse: { status, body } }),
  link_report: ({ json }: { json: string }) => ({ linkReport: { json } }),
};

/** The names of all messages in the fixture. */
export const MESSAGE_NAMES = { requests: Object.keys(toRequest), replies: Object.keys(toReply) };

/** Converts a frame of the fixture to the program's type. */
export function toExpectedFrame({ id, reply, message, meaning }: FrameFixture): Frame {
  return reply
    ? { id, reply, body: toReply[message]!(meaning as never) }
    : { id, reply, body: toRequest[message]!(meaning as never) };
}

/** Converts the link view of the fixture to the program's type. */
export function toExpectedLinkView({
  version,
  node,
  incarnation,
  sequence,
  links,
  misrouted,
}: LinkViewMeaning): LinkView {
  return {
    version,
    node,
    incarnation,
    sequence,
    links: links.map(
      ({ link, direction, state }) => ({ link, direction, state }) as LinkView["links"][number],
    ),
    misrouted: misrouted.map(({ shard, workers, term }) => ({ shard, workers, term })),
  };
}
