/** Durations of the link monitor for tests, from the default settings. */
import { deriveLinkTimings, linkSettingsSchema, type LinkTimings } from "../../src/links/settings.js";

/** The time between two ticks of the monitor, in milliseconds. */
export const TICK_MS = 400;

/** The interval between two heartbeats of a worker, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 2000;

/** The durations that follow from the default settings, for heartbeats every two seconds and a lease of ten. */
export function defaultLinkTimings(): LinkTimings {
  return deriveLinkTimings(linkSettingsSchema.parse({}), {
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    leaseMs: 10_000,
    callTimeoutMs: 1000,
    tickMs: TICK_MS,
    shardMovePeriodMs: 30_000,
  });
}
