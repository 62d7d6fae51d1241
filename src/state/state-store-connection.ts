/** Sends single HTTP requests to the state store: request rate limit, retries after 429, and mapping of failures. */
import type { SteadyClock } from "../runtime/clock.js";
import { NoResponseError, type JsonResponse, type JsonClient } from "../runtime/json-client.js";
import { RateLimiter } from "../runtime/rate-limiter.js";
import { jittered, sleep } from "../runtime/sleep.js";
import { StateStoreError } from "./state-store-error.js";

const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** Statuses by which the state store reports that it has not executed the request. */
const NOT_EXECUTED_STATUSES: readonly number[] = [BAD_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE];

/** The backoff before the first retry, as a fraction of the call timeout; it doubles with each further retry. */
const FIRST_BACKOFF_FRACTION = 1 / 16;

/** A request, and the response statuses that its caller handles. */
export interface StateStoreRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  /** A response with any other status makes the call fail. */
  readonly expectedStatuses: readonly number[];
}

/** Options of `StateStoreConnection`. */
export interface StateStoreConnectionOptions {
  /** Client for calls that the state store answers immediately. */
  readonly http: JsonClient;
  /** Client for watches, which occupy a connection while they are open and must not delay other calls. */
  readonly watchHttp: JsonClient;
  /** This controller's share of the request rate limit. */
  readonly requestsPerSecond: number;
  readonly clock: SteadyClock;
  /** The timeout of a call, in milliseconds. */
  readonly timeoutMs: number;
}

/** Sends requests to the state store within this controller's share of the request rate limit. */
export class StateStoreConnection {
  private readonly requestRate: RateLimiter<"request">;

  constructor(private readonly options: StateStoreConnectionOptions) {
    const { requestsPerSecond, clock } = options;
    this.requestRate = new RateLimiter(requestsPerSecond, requestsPerSecond, clock, [
      { priority: "request", reserve: 0 },
    ]);
  }

  /**
   * Sends a request within the rate limit, and retries with exponential backoff if the response is 429.
   * @throws StateStoreError if the rate limiter or the state store does not admit the request in time, no response
   * arrives or the status is not expected.
   */
  async call(request: StateStoreRequest): Promise<JsonResponse> {
    const { clock, timeoutMs } = this.options;
    const deadlineAt = clock() + timeoutMs;
    if (!(await this.requestRate.acquire(1, "request", timeoutMs)))
      throw new StateStoreError("request rate limit: queue timeout", { outcome: "rejected" });
    for (let backoffMs = timeoutMs * FIRST_BACKOFF_FRACTION; ; backoffMs *= 2) {
      try {
        return await this.send(request, timeoutMs);
      } catch (err) {
        // A request that got 429 was not executed: a retry is safe and usually succeeds.
        const canRetry = err instanceof StateStoreError && err.status === TOO_MANY_REQUESTS;
        if (!canRetry || clock() + backoffMs > deadlineAt) throw err;
        await sleep(jittered(backoffMs));
      }
    }
  }

  /**
   * Sends a request immediately, bypassing the rate limit and without retries.
   * @throws StateStoreError if no response arrives within the timeout or the status is not expected.
   */
  send(request: StateStoreRequest, timeoutMs: number): Promise<JsonResponse> {
    return sendRequest(this.options.http, request, timeoutMs);
  }

  /** Same as `send`, for long-polling requests. */
  sendWatch(request: StateStoreRequest, timeoutMs: number): Promise<JsonResponse> {
    return sendRequest(this.options.watchHttp, request, timeoutMs);
  }
}

async function sendRequest(
  http: JsonClient,
  { method, path, body, expectedStatuses }: StateStoreRequest,
  timeoutMs: number,
): Promise<JsonResponse> {
  let response: JsonResponse;
  try {
    response = await http.call(method, path, body, timeoutMs);
  } catch (err) {
    if (err instanceof NoResponseError)
      throw new StateStoreError(err.message, { outcome: "unknown", cause: err });
    throw err;
  }
  const { status } = response;
  if (expectedStatuses.includes(status)) return response;
  const outcome = NOT_EXECUTED_STATUSES.includes(status) ? "rejected" : "unknown";
  throw new StateStoreError(`${method} ${path}: status ${status}`, { outcome, status });
}
