/** The durations that this program goes by, derived from the settings. */
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import { HEARTBEAT_TIMEOUT_S } from "../wire/index.js";

/** Peers answer at once or not in time for a user. */
export const peerTimeoutMs = ({ workers }: Settings): number =>
  Math.min(workers.leaseMs / 20, (HEARTBEAT_TIMEOUT_S * 1000) / 8);

/** The part of the state service's requests that may go to following its changes. */
const FEED_PART = 0.2;

/** How often the actors look at the clock between two reports of one worker. */
const TICKS_PER_REPORT = 5;

/** Durations in milliseconds, each a ratio to one of the settings, with its reason. */
export type Timings = ReturnType<typeof deriveTimings>;

/** What the figures of the settings come to for this program. */
export function deriveTimings(settings: Settings, operator: OperatorSettings) {
  const { leaseMs, reportMs, cancelMs } = settings.workers;
  const { controllers } = settings;
  const { rps } = settings.state;
  const membershipLeaseMs = Math.round(leaseMs / 2);
  return {
    /** Half a lease: after an owner's silent end there is time to find another before its workers give up. */
    membershipLeaseMs,
    /** Time between checking a right and acting on it, on a machine with a part of a core. */
    marginMs: membershipLeaseMs / 10,
    /** A cancelled task must be gone in time even where the last renewal was made on the oldest allowed view. */
    staleMs: cancelMs - leaseMs - 2 * reportMs,
    shardMovePeriodMs: operator.shardMovePeriodMs,
    /** Calls to the state service take milliseconds; four of these fit into a membership lease. */
    callMs: membershipLeaseMs / 5,
    /** A quiet watch is answered after a report interval; past two of them something is wrong. */
    behindMs: 2 * reportMs,
    peerMs: peerTimeoutMs(settings),
    feedWaitMs: reportMs,
    /** Watches of all nodes together take a part of the service's requests, but none comes more often than needed. */
    feedSpacingMs: Math.max(reportMs / 10, (controllers / (FEED_PART * rps)) * 1000),
    /** A user waits five seconds for an answer to a submission, and two for one to a question. */
    submitQueueTimeoutMs: membershipLeaseMs / 4,
    lookupTimeoutMs: membershipLeaseMs / 5,
    tickMs: reportMs / TICKS_PER_REPORT,
    /** A worker that can reach its owner reports within one and a quarter of the interval. */
    quietTicks: (3 / 2) * TICKS_PER_REPORT,
    /**
     * A connection on which nothing came for so long is closed. Users come every five seconds and workers every report
     * interval; past its lease a worker has no use for the connection. Guards against a controller out of sockets: where
     * users open a connection for each question, those of the last minutes would take all that it has.
     */
    idleConnectionMs: leaseMs,
    /** How often an owner is told that its workers come elsewhere. */
    misroutedSpacingMs: reportMs / 4,
    /** A round of placing may take so much of the time between two reports of one worker. */
    roundMs: reportMs / 50,
    preemptMs: reportMs / 2,
  };
}
