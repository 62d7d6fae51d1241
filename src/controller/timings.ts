/** The durations that the controller goes by, derived from the settings. */
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { MembershipTimings } from "../membership/membership-messages.js";
import { HEARTBEAT_TIMEOUT_S } from "../wire/index.js";

/** Part of the state service's request rate that the watches of all controllers may use. */
const WATCH_REQUEST_SHARE = 0.2;

/** Ticks of the actors between two heartbeats of one worker. */
const TICKS_PER_HEARTBEAT = 5;

/** The durations of one controller, each a ratio to one of the settings; milliseconds unless said otherwise. */
export interface Timings extends MembershipTimings {
  /** Time-out of a call to the state service. */
  callTimeoutMs: number;
  /** A replica that has not been current for longer than this is behind. */
  maxReplicaLagMs: number;
  /** Time-out of a request to a peer. */
  peerTimeoutMs: number;
  /** How long the state service may hold a watch request open while nothing changes. */
  watchWaitMs: number;
  /** The least time between two watch requests. */
  minWatchIntervalMs: number;
  /** How long a submission or cancellation may wait until it is sent to the state service. */
  submitQueueTimeoutMs: number;
  /** How long a question about a job may wait for the replica to become current, or for a peer's reply. */
  lookupTimeoutMs: number;
  /** Period of the actors' ticks. */
  tickMs: number;
  /** The number of ticks without a heartbeat after which a shard's workers count as unable to reach this node. */
  maxTicksWithoutHeartbeat: number;
  /** An HTTP connection on which nothing was received for this long is closed. */
  idleConnectionTimeoutMs: number;
  /** The least time between two notices to an owner that its workers send their heartbeats to this controller. */
  minMisroutedNoticeIntervalMs: number;
  /** The most time that one placement round may take. */
  roundBudgetMs: number;
  /** The least time between two searches for tasks to preempt. */
  minPreemptionIntervalMs: number;
}

/** Time-out of a request to a peer, in milliseconds: peers answer at once or not in time for a user. */
export const peerTimeoutMs = ({ workers }: Settings): number =>
  Math.min(workers.leaseMs / 20, (HEARTBEAT_TIMEOUT_S * 1000) / 8);

/** Derives the controller's durations from the settings. */
export function deriveTimings(settings: Settings, operator: OperatorSettings): Timings {
  const { leaseMs, heartbeatIntervalMs, cancelMs } = settings.workers;
  const { controllers } = settings;
  const { rps } = settings.state;
  const membershipLeaseMs = Math.round(leaseMs / 2);
  return {
    // Half a worker's lease: when an owner fails there is time for a failover before its workers give up.
    membershipLeaseMs,
    // Time between checking a right and acting on it, on a machine with a part of a core.
    marginMs: membershipLeaseMs / 10,
    // A cancelled task must be gone in time even where the last renewal was made on the oldest allowed view.
    maxViewAgeMs: cancelMs - leaseMs - 2 * heartbeatIntervalMs,
    shardMovePeriodMs: operator.shardMovePeriodMs,
    // Calls to the state service take milliseconds; four of these fit into a membership lease.
    callTimeoutMs: membershipLeaseMs / 5,
    // A quiet watch is answered after a heartbeat interval; past two of them something is wrong.
    maxReplicaLagMs: 2 * heartbeatIntervalMs,
    peerTimeoutMs: peerTimeoutMs(settings),
    watchWaitMs: heartbeatIntervalMs,
    // Watches of all nodes together use a part of the service's request rate, but none comes more often than needed.
    minWatchIntervalMs: Math.max(
      heartbeatIntervalMs / 10,
      (controllers / (WATCH_REQUEST_SHARE * rps)) * 1000,
    ),
    // A user waits five seconds for the answer to a submission, and two for the answer to a question.
    submitQueueTimeoutMs: membershipLeaseMs / 4,
    lookupTimeoutMs: membershipLeaseMs / 5,
    tickMs: heartbeatIntervalMs / TICKS_PER_HEARTBEAT,
    // A worker that can reach its owner sends a heartbeat within one and a quarter of the interval.
    maxTicksWithoutHeartbeat: (3 / 2) * TICKS_PER_HEARTBEAT,
    // Users send a request every five seconds and workers one every heartbeat interval; past its lease a worker has no use
    // for the connection. Guards against a controller out of sockets: where users open a connection for each question,
    // those of the last minutes would take all that it has.
    idleConnectionTimeoutMs: leaseMs,
    minMisroutedNoticeIntervalMs: heartbeatIntervalMs / 4,
    roundBudgetMs: heartbeatIntervalMs / 50,
    minPreemptionIntervalMs: heartbeatIntervalMs / 2,
  };
}
