/** Lets the link monitor observe HTTP calls without changing them. */
import type { SteadyClock } from "../runtime/clock.js";
import { NoResponseError, type JsonResponse, type JsonClient } from "../runtime/json-client.js";
import type { LinkName, ObservationSink } from "./model.js";

const HTTP_UNAVAILABLE = 503;

/**
 * A timeout that fires after more than this multiple of its duration shows that this process was busy: a response may
 * be waiting.
 */
const LATE_TIMEOUT_RATIO = 1.25;

/** Whether a response means that the service refused the request. */
export type RefusalCheck = (response: JsonResponse) => boolean;

/** The state store refuses a request with status 503 and does not execute it. */
export const isUnavailable: RefusalCheck = ({ status }) => status === HTTP_UNAVAILABLE;

/** The cloud also responds with status 503 if it has no capacity, which does not count as a refusal. */
export const isCloudUnavailable: RefusalCheck = ({ status, body }) =>
  status === HTTP_UNAVAILABLE && (body as { error?: unknown } | undefined)?.error !== "no capacity";

/** How calls are observed. */
export interface ObservedJsonClientOptions {
  link: LinkName;
  isRefusal: RefusalCheck;
  sink: ObservationSink;
  clock: SteadyClock;
  /** Whether the latency of a call is reported. False for watches, for example, which stay open by design. */
  isLatencyMeaningful: boolean;
}

/** A client that reports the outcome of each call to the monitor. */
export class ObservedJsonClient implements JsonClient {
  constructor(
    private readonly client: JsonClient,
    private readonly options: ObservedJsonClientOptions,
  ) {}

  /**
   * Makes a call and reports whether it was answered, refused or unanswered.
   *
   * @throws NoResponseError if the observed client throws it
   */
  async call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse> {
    const { link, isRefusal, sink, clock, isLatencyMeaningful } = this.options;
    const sentAt = clock();
    try {
      const response = await this.client.call(method, path, body, timeoutMs);
      if (isRefusal(response)) sink({ kind: "refused", link });
      else sink({ kind: "answered", link, latencyMs: isLatencyMeaningful ? clock() - sentAt : 0 });
      return response;
    } catch (err) {
      const isTimeoutLate = clock() - sentAt > LATE_TIMEOUT_RATIO * timeoutMs;
      if (err instanceof NoResponseError && !isTimeoutLate) sink({ kind: "unanswered", link });
      throw err;
    }
  }
}
