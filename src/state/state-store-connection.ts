/** Single HTTP calls to the state store: the request rate limit, retries after 429, and the mapping of failures. */
import type { SteadyClock } from "../runtime/clock.js";
import { NoResponseError, type JsonResponse, type JsonClient } from "../runtime/json-client.js";
import { RateLimiter } from "../runtime/rate-limiter.js";
import { jittered, sleep } from "../runtime/sleep.js";
import { StateStoreError } from "./state-store-error.js";

const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** Statuses with which the state store says that it has not executed the request. */
const NOT_EXECUTED: readonly number[] = [BAD_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE];

/** The first pause before a call is sent again, as a part of its timeout. It doubles with each retry. */
const FIRST_RETRY_PAUSE = 1 / 16;

/** A request, and the statuses that its caller deals with. */
export interface StateStoreRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  /** Any other status fails the call. */
  readonly expectedStatuses: readonly number[];
}

/** What a connection is made from. */
export interface StateStoreConnectionOptions {
  /** For calls that are answered at once. */
  readonly http: JsonClient;
  /** For watches: each occupies a connection while it is open, and must not delay calls. */
  readonly watchHttp: JsonClient;
  /** This controller's share of the request rate limit. */
  readonly requestsPerSecond: number;
  readonly clock: SteadyClock;
  /** How long a call may take, in milliseconds. */
  readonly timeoutMs: number;
}

/** Sends requests to the state store within this controller's share of its request rate. */
export class StateStoreConnection {
  private readonly requestRate: RateLimiter<"request">;

  constructor(private readonly options: StateStoreConnectionOptions) {
    const { requestsPerSecond, clock } = options;
    this.requestRate = new RateLimiter(requestsPerSecond, requestsPerSecond, clock, [
      { priority: "request", reserve: 0 },
    ]);
  }

  /**
   * Sends a request within the rate limit, and again after a pause if the state store answers 429.
   * @throws StateStoreError if the rate limit or the state store does not let it through in time, no answer comes or the
   * status is not expected.
   */
  async call(request: StateStoreRequest): Promise<JsonResponse> {
    const { clock, timeoutMs } = this.options;
    const deadline = clock() + timeoutMs;
    if (!(await this.requestRate.acquire(1, "request", timeoutMs)))
      throw new StateStoreError("request rate limit: queue timeout", { outcome: "rejected" });
    for (let pauseMs = timeoutMs * FIRST_RETRY_PAUSE; ; pauseMs *= 2) {
      try {
        return await this.send(request, timeoutMs);
      } catch (err) {
        // A request that was answered with 429 was not executed: a retry is safe, and usually enough.
        const mayRetry = err instanceof StateStoreError && err.status === TOO_MANY_REQUESTS;
        if (!mayRetry || clock() + pauseMs > deadline) throw err;
        await sleep(jittered(pauseMs));
      }
    }
  }

  /**
   * Sends a request at once, past the rate limit and without retries.
   * @throws StateStoreError if no answer comes within the timeout, or the status is not expected.
   */
  send(request: StateStoreRequest, timeoutMs: number): Promise<JsonResponse> {
    return exchange(this.options.http, request, timeoutMs);
  }

  /** The same as `send`, for requests that the state store answers only after a while. */
  sendWatch(request: StateStoreRequest, timeoutMs: number): Promise<JsonResponse> {
    return exchange(this.options.watchHttp, request, timeoutMs);
  }
}

async function exchange(
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
  const outcome = NOT_EXECUTED.includes(status) ? "rejected" : "unknown";
  throw new StateStoreError(`${method} ${path}: status ${status}`, { outcome, status });
}
