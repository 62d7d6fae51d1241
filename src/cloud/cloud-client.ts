/**
 * Client of the cloud API: limits the call rate, validates responses, and distinguishes calls that failed from requests
 * that the cloud declined.
 */
import type { z } from "zod";
import { TokenBucket } from "../runtime/token-bucket.js";
import type { SteadyClock } from "../runtime/clock.js";
import { NoResponseError, type JsonClient, type JsonResponse } from "../runtime/json-client.js";
import {
  MAX_LIST,
  catalogueSchema,
  cloudReturnToWire,
  machineListSchema,
  paths,
  rentalSchema,
  rentalToWire,
  type ListedMachine,
  type MachineType,
  type RentalRequest,
} from "../wire/index.js";
import { CloudError } from "./cloud-error.js";

const OK = 200;
const BAD_REQUEST = 400;
const SERVICE_UNAVAILABLE = 503;

/** The error in a 503 response when the cloud has no machines of the type; an outage is reported as 503 as well. */
const NO_CAPACITY = "no capacity";

/** The outcome of a rental request; `malformed` if the cloud rejected the request as invalid. */
export type RentalResult =
  { kind: "rented"; hosts: string[] } | { kind: "no_capacity" } | { kind: "malformed" };

/** Client of the cloud API. All methods that return a promise reject with `CloudError` without a usable response. */
export class CloudClient {
  private readonly callLimiter: TokenBucket;

  constructor(
    private readonly http: JsonClient,
    callsPerSecond: number,
    clock: SteadyClock,
    /** The timeout of a call, in milliseconds. */
    private readonly timeoutMs: number,
  ) {
    this.callLimiter = new TokenBucket(callsPerSecond, callsPerSecond, clock);
  }

  /**
   * Acquires a call from the rate limit. Returns false if none is left; the caller must then skip the call. The leader
   * may use the whole rate of the cloud: other controllers call it only to probe the link, within the share for probes.
   */
  tryAcquireCall(): boolean {
    return this.callLimiter.tryAcquire(1);
  }

  /** Lists the machine types that can be rented, with their prices. */
  async listMachineTypes(): Promise<MachineType[]> {
    const response = await this.send("GET", paths.cloud.types, undefined);
    return parseResponse(catalogueSchema, response);
  }

  /** Rents machines. Idempotent by the name of the request: a repeated request rents no further machines. */
  async rentMachines(request: RentalRequest): Promise<RentalResult> {
    const response = await this.send("POST", paths.cloud.rent, rentalToWire(request));
    const { status, body } = response;
    if (status === OK) return { kind: "rented", hosts: parseResponse(rentalSchema, response) };
    if (status === BAD_REQUEST) return { kind: "malformed" };
    const reason = (body as { error?: unknown } | undefined)?.error;
    if (status === SERVICE_UNAVAILABLE && reason === NO_CAPACITY) return { kind: "no_capacity" };
    throw new CloudError(`rental request failed with status ${status}`, { status });
  }

  /** Returns machines to the cloud. Once this resolves, the machines and all tasks on them have been terminated. */
  async returnMachines(hosts: string[]): Promise<void> {
    const { status } = await this.send("POST", paths.cloud.returnMachines, cloudReturnToWire(hosts));
    if (status !== OK) throw new CloudError(`return request failed with status ${status}`, { status });
  }

  /** Lists one page of the rented machines, starting after the host `after`; `more` tells whether pages follow. */
  async listMachines(after: string | undefined): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const response = await this.send("GET", paths.cloud.list(after, MAX_LIST), undefined);
    return parseResponse(machineListSchema, response);
  }

  private async send(method: string, path: string, body: unknown): Promise<JsonResponse> {
    try {
      return await this.http.call(method, path, body, this.timeoutMs);
    } catch (err) {
      if (err instanceof NoResponseError) throw new CloudError(err.message, { cause: err });
      throw err;
    }
  }
}

/** @throws {CloudError} if the status is not 200 or the body does not match the schema */
function parseResponse<T>(schema: z.ZodType<T>, { status, body }: JsonResponse): T {
  const result = schema.safeParse(status === OK ? body : undefined);
  if (result.success) return result.data;
  throw new CloudError("cloud returned an invalid response", { status, cause: result.error });
}
