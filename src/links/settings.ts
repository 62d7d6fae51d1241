/** The operators' settings of the link monitor, and the durations derived from them. */
import * as z from "zod";

/** `observe`: link states are reported only. `enforce`: the degradation policy and remediations apply as well. */
export const MONITOR_MODES = ["off", "observe", "enforce"] as const;
/** The mode of the link monitor. */
export type MonitorMode = (typeof MONITOR_MODES)[number];

const intervalCountSchema = z.number().positive().max(1000);

/** Schema of the `links` block in the operators' settings file. */
export const linkSettingsSchema = z
  .strictObject({
    mode: z.enum(MONITOR_MODES).default("off"),
    /** Number of heartbeat intervals of continuous failure after which a link is down. */
    down_after_reports: intervalCountSchema.min(0.5).default(1.5),
    /** Number of heartbeat intervals without a failure after which a link that was down is up again. */
    recover_after_reports: intervalCountSchema.default(2),
    /** Number of heartbeat intervals without traffic after which the state of a link is unknown. */
    quiet_after_reports: intervalCountSchema.min(1).default(4),
    /** Each failure soon after a recovery doubles the recovery time, up to this multiple of it. */
    flap_bound: z.int().min(1).max(64).default(8),
    /** The share of the cloud's request rate that probes of the idle link to it may use. */
    probe_share: z.number().positive().max(0.25).default(0.02),
    /** Each further move for the same cause doubles the backoff, up to this number of shard move periods. */
    move_backoff_bound: z.int().min(1).max(64).default(8),
  })
  .prefault({});

/** The parsed `links` block with defaults applied. */
export type LinkSettings = z.infer<typeof linkSettingsSchema>;

/** Durations from the other settings that the link monitor's durations are derived from. */
export interface LinkTimingInputs {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** The timeout of a call to the state store. */
  callTimeoutMs: number;
  tickMs: number;
  shardMovePeriodMs: number;
}

/** Durations of the link monitor, in milliseconds. */
export interface LinkTimings {
  heartbeatIntervalMs: number;
  tickMs: number;
  downAfterMs: number;
  recoverMs: number;
  /** The upper bound of the recovery time of a flapping link. */
  maxRecoverMs: number;
  /** A failure within this time after a recovery counts as flapping. */
  flapWindowMs: number;
  quietMs: number;
  /** A direction that was down and has had no traffic since becomes unknown after this time. */
  downExpiryMs: number;
  /** A response that takes longer counts as slow. */
  slowThresholdMs: number;
  /** The minimum time between two views sent to the same peer. */
  minViewIntervalMs: number;
  /** A peer's view expires after this time. */
  viewTtlMs: number;
  /** Expected heartbeats count as missing after this time. */
  silenceMs: number;
  /** A longer gap between two ticks shows that this process stalled. */
  stallMs: number;
  moveBackoffMs: number;
  maxMoveBackoffMs: number;
}

/** A response that takes more than this fraction of the call's timeout counts as slow. */
const SLOW_TIMEOUT_FRACTION = 0.5;
/** In heartbeat intervals. Workers send heartbeats at most 1.25 intervals apart, so this leaves a margin. */
const SILENCE_HEARTBEAT_INTERVALS = 1.5;
const STALL_TICKS = 5;
/** In view intervals: one or two lost frames do not make a view expire. */
const VIEW_TTL_EXTRA_INTERVALS = 3;

/** Derives the link monitor's durations from the settings. */
export function deriveLinkTimings(settings: LinkSettings, inputs: LinkTimingInputs): LinkTimings {
  const { heartbeatIntervalMs, leaseMs, callTimeoutMs, tickMs, shardMovePeriodMs } = inputs;
  const recoverMs = settings.recover_after_reports * heartbeatIntervalMs;
  const minViewIntervalMs = heartbeatIntervalMs / 2;
  return {
    heartbeatIntervalMs,
    tickMs,
    downAfterMs: settings.down_after_reports * heartbeatIntervalMs,
    recoverMs,
    maxRecoverMs: settings.flap_bound * recoverMs,
    flapWindowMs: 2 * leaseMs,
    quietMs: settings.quiet_after_reports * heartbeatIntervalMs,
    downExpiryMs: 4 * leaseMs,
    slowThresholdMs: SLOW_TIMEOUT_FRACTION * callTimeoutMs,
    minViewIntervalMs,
    viewTtlMs:
      settings.quiet_after_reports * heartbeatIntervalMs + VIEW_TTL_EXTRA_INTERVALS * minViewIntervalMs,
    silenceMs: SILENCE_HEARTBEAT_INTERVALS * heartbeatIntervalMs,
    stallMs: STALL_TICKS * tickMs,
    moveBackoffMs: shardMovePeriodMs,
    maxMoveBackoffMs: settings.move_backoff_bound * shardMovePeriodMs,
  };
}
