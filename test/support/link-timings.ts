/** Durations of the link monitor for tests, derived from the default settings. */
import { deriveLinkTimings, linkSettingsSchema, type LinkTimings } from "../../src/links/settings.js";

/** The tick interval of the monitor, in milliseconds. */
export const TICK_MS = 400;

/** The heartbeat interval of a worker, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 2000;

/** Returns the durations for default settings, heartbeats every 2 s and a lease of 10 s. */
export function defaultLinkTimings(): LinkTimings {
  return deriveLinkTimings(linkSettingsSchema.parse({}), {
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    leaseMs: 10_000,
    callTimeoutMs: 1000,
    tickMs: TICK_MS,
    shardMovePeriodMs: 30_000,
  });
}
