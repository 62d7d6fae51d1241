/** The timeouts, intervals and limits of the controller, derived from the settings. */
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { MembershipTimings } from "../membership/membership-messages.js";
import { HEARTBEAT_TIMEOUT_S } from "../wire/index.js";

/** Fraction of the state store's request rate limit that the watches of all controllers together may use. */
const WATCH_REQUEST_SHARE = 0.2;

/** Number of actor ticks per heartbeat interval. */
const TICKS_PER_HEARTBEAT = 5;

/** The timings of one controller, each proportional to one of the settings; in milliseconds unless noted otherwise. */
export interface Timings extends MembershipTimings {
  /** Timeout of a call to the state store. */
  callTimeoutMs: number;
  /** Maximum time since the replica was last known to be current before it counts as behind. */
  maxReplicaLagMs: number;
  /** Timeout of a request to a peer. */
  peerTimeoutMs: number;
  /** How long the state store may hold a watch request open while no record changes. */
  watchWaitMs: number;
  /** Minimum time between two watch requests. */
  minWatchIntervalMs: number;
  /** How long a submission or cancellation may be queued before it is sent to the state store. */
  submitQueueTimeoutMs: number;
  /** How long a job status request may wait for the replica to become current, or for a peer's reply. */
  lookupTimeoutMs: number;
  /** Interval between two ticks of the actors. */
  tickMs: number;
  /** A shard's workers count as unable to reach this node after more than this many ticks without a heartbeat. */
  maxTicksWithoutHeartbeat: number;
  /** An HTTP connection is closed if nothing was received on it for this long. */
  idleConnectionTimeoutMs: number;
  /** Minimum time between two notices to an owner that its workers send their heartbeats to this controller. */
  minMisroutedNoticeIntervalMs: number;
  /** Maximum duration of a placement round. */
  roundBudgetMs: number;
  /** Minimum time between two searches for tasks to preempt. */
  minPreemptionIntervalMs: number;
}

/**
 * Timeout of a request to a peer, in milliseconds. A peer that does not respond at once is too slow for a user's
 * request.
 */
export const peerTimeoutMs = ({ workers }: Settings): number =>
  Math.min(workers.leaseMs / 20, (HEARTBEAT_TIMEOUT_S * 1000) / 8);

/** Derives the controller's timings from the settings. */
export function deriveTimings(settings: Settings, operator: OperatorSettings): Timings {
  const { leaseMs, heartbeatIntervalMs, cancelMs } = settings.workers;
  const { controllers } = settings;
  const { rps } = settings.state;
  const membershipLeaseMs = Math.round(leaseMs / 2);
  return {
    // Half of a worker's lease, so that a failover can complete before the failed owner's workers lose their leases.
    membershipLeaseMs,
    // Allows for the delay between checking the lease and acting on it, on a machine with a fraction of a core.
    marginMs: membershipLeaseMs / 10,
    // A cancelled task must be gone in time even if the last lease renewal was based on a view of the maximum age.
    maxViewAgeMs: cancelMs - leaseMs - 2 * heartbeatIntervalMs,
    shardMovePeriodMs: operator.shardMovePeriodMs,
    // Calls to the state store normally take milliseconds; four timeouts fit into a membership lease with its margin.
    callTimeoutMs: membershipLeaseMs / 5,
    // An idle watch gets a response after one heartbeat interval; no response for two intervals indicates a failure.
    maxReplicaLagMs: 2 * heartbeatIntervalMs,
    peerTimeoutMs: peerTimeoutMs(settings),
    watchWaitMs: heartbeatIntervalMs,
    // Keeps the watches of all nodes within their share of the request rate, and those of one node at ten per
    // heartbeat.
    minWatchIntervalMs: Math.max(
      heartbeatIntervalMs / 10,
      (controllers / (WATCH_REQUEST_SHARE * rps)) * 1000,
    ),
    // Users wait five seconds for the response to a submission, and two seconds for the response to a status request.
    submitQueueTimeoutMs: membershipLeaseMs / 4,
    lookupTimeoutMs: membershipLeaseMs / 5,
    tickMs: heartbeatIntervalMs / TICKS_PER_HEARTBEAT,
    // Workers that can reach their owner send their next heartbeat within 1.25 heartbeat intervals.
    maxTicksWithoutHeartbeat: (3 / 2) * TICKS_PER_HEARTBEAT,
    // Users send a request every five seconds and workers one every heartbeat interval; a worker whose lease has
    // expired does not need its connection any more. Prevents the controller from running out of sockets: if users open
    // a new connection for each status request, the connections of the last minutes would use up all sockets.
    idleConnectionTimeoutMs: leaseMs,
    minMisroutedNoticeIntervalMs: heartbeatIntervalMs / 4,
    roundBudgetMs: heartbeatIntervalMs / 50,
    minPreemptionIntervalMs: heartbeatIntervalMs / 2,
  };
}
