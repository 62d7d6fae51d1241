/** Lets the link monitor see calls that are made anyway, without changing them. */
import type { SteadyClock } from "../runtime/clock.js";
import { NoResponseError, type JsonResponse, type JsonClient } from "../runtime/json-client.js";
import type { LinkName, ObservationSink } from "./model.js";

const HTTP_UNAVAILABLE = 503;

/** A time-out that fires so many times later than it should shows that this process was busy: the answer may be there. */
const LATE_TIMEOUT_RATIO = 1.25;

/** Whether an answer says that the service will not serve. */
export type RefusalCheck = (answer: JsonResponse) => boolean;

/** The state service refuses with 503 and does not execute the request. */
export const isUnavailable: RefusalCheck = ({ status }) => status === HTTP_UNAVAILABLE;

/** A cloud without capacity answers with the same status as one in trouble; it works all the same. */
export const isCloudUnavailable: RefusalCheck = ({ status, body }) =>
  status === HTTP_UNAVAILABLE && (body as { error?: unknown } | undefined)?.error !== "no capacity";

/** What calls are watched as. */
export interface ObservedJsonClientOptions {
  link: LinkName;
  isRefusal: RefusalCheck;
  sink: ObservationSink;
  clock: SteadyClock;
  /** Whether the time that an answer takes says anything: watches stay open on purpose. */
  isLatencyMeaningful: boolean;
}

/** Calls whose outcomes are reported to the monitor. */
export class ObservedJsonClient implements JsonClient {
  constructor(
    private readonly client: JsonClient,
    private readonly options: ObservedJsonClientOptions,
  ) {}

  /**
   * Makes a call and reports its outcome.
   *
   * @throws NoResponseError as the observed client does
   */
  async call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse> {
    const { link, isRefusal, sink, clock, isLatencyMeaningful } = this.options;
    const sentAt = clock();
    try {
      const answer = await this.client.call(method, path, body, timeoutMs);
      if (isRefusal(answer)) sink({ kind: "refused", link });
      else sink({ kind: "answered", link, latencyMs: isLatencyMeaningful ? clock() - sentAt : 0 });
      return answer;
    } catch (err) {
      const isTimeoutLate = clock() - sentAt > LATE_TIMEOUT_RATIO * timeoutMs;
      if (err instanceof NoResponseError && !isTimeoutLate) sink({ kind: "unanswered", link });
      throw err;
    }
  }
}
