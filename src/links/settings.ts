/** The operators' settings of the link monitor, and the durations that follow from them. */
import * as z from "zod";

/** `observe`: links are watched and reported. `enforce`: what follows from their states is carried out as well. */
export const MONITOR_MODES = ["off", "observe", "enforce"] as const;
/** How much the link monitor does. */
export type MonitorMode = (typeof MONITOR_MODES)[number];

const ratio = z.number().positive().max(1000);

/** The `links` block of the operators' file. */
export const linkSettingsSchema = z
  .strictObject({
    mode: z.enum(MONITOR_MODES).default("off"),
    /** A link is down once it has failed for so many report intervals. */
    down_after_reports: ratio.min(0.5).default(1.5),
    /** It is up again once it has worked without a failure for so many report intervals. */
    recover_after_reports: ratio.default(2),
    /** It is unknown after so many report intervals without traffic. */
    quiet_after_reports: ratio.min(1).default(4),
    /** Each further failure soon after a recovery doubles the time to recover, up to so many times. */
    flap_bound: z.int().min(1).max(64).default(8),
    /** The share of the state service's and the cloud's rates that probes of quiet links may use. */
    probe_share: z.number().positive().max(0.25).default(0.02),
    /** Each further move for the same cause doubles the wait, up to so many shard periods. */
    move_backoff_bound: z.int().min(1).max(64).default(8),
  })
  .prefault({});

/** The `links` block, checked and with defaults filled in. */
export type LinkSettings = z.infer<typeof linkSettingsSchema>;

/** What the platform's settings contribute. */
export interface LinkTimingInputs {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** After how long a call to the state service is given up. */
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
  /** The longest time that a flapping link needs to recover. */
  maxRecoverMs: number;
  /** A failure within this of a recovery counts as flapping. */
  flapWindowMs: number;
  quietMs: number;
  /** A direction that was down and without traffic since is unknown after this. */
  downExpiryMs: number;
  /** An answer that takes longer is slow. */
  slowThresholdMs: number;
  /** The least time between two views to the same peer. */
  minViewIntervalMs: number;
  /** A peer's view counts for so long. */
  viewTtlMs: number;
  /** Expected traffic is missed after so long. */
  silenceMs: number;
  /** A gap between two ticks of more than this shows that the process stood still. */
  stallMs: number;
  moveBackoffMs: number;
  maxMoveBackoffMs: number;
}

/** An answer that takes more than this part of a call's time-out is slow. */
const SLOW_TIMEOUT_FRACTION = 0.5;
/** A worker reports within one and a quarter of its interval. */
const SILENCE_HEARTBEAT_INTERVALS = 1.5;
const STALL_TICKS = 5;
/** A view outlives the loss of one or two frames. */
const VIEW_TTL_EXTRA_INTERVALS = 3;

/** What the settings come to. */
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
