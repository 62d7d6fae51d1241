/**
 * The client of the cloud: calls stay within a rate limit, answers are checked, and failed calls differ from those that
 * the cloud has declined.
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

/** What the body of a 503 says if the cloud works and has no machines of the type; an outage is a 503 as well. */
const NO_CAPACITY = "no capacity";

/** How a rental request ended. */
export type RentalResult =
  { kind: "rented"; hosts: string[] } | { kind: "no_capacity" } | { kind: "malformed" };

/** Calls the cloud. All calls that return a promise fail with a `CloudError` if they get no usable answer. */
export class CloudClient {
  private readonly callLimiter: TokenBucket;

  constructor(
    private readonly http: JsonClient,
    callsPerSecond: number,
    clock: SteadyClock,
    /** How long a call may take, in milliseconds. */
    private readonly timeoutMs: number,
  ) {
    this.callLimiter = new TokenBucket(callsPerSecond, callsPerSecond, clock);
  }

  /**
   * Whether a call may be sent now; if so, it counts as sent. Callers skip the call otherwise. Only the leader calls the
   * cloud, so that the whole rate is its own.
   */
  tryAcquireCall(): boolean {
    return this.callLimiter.tryAcquire(1);
  }

  /** Lists the machine types that can be rented. */
  async listMachineTypes(): Promise<MachineType[]> {
    const response = await this.send("GET", paths.cloud.types, undefined);
    return parseResponse(catalogueSchema, response);
  }

  /** Rents machines; the same request under the same name rents nothing twice. */
  async rentMachines(request: RentalRequest): Promise<RentalResult> {
    const response = await this.send("POST", paths.cloud.rent, rentalToWire(request));
    const { status, body } = response;
    if (status === OK) return { kind: "rented", hosts: parseResponse(rentalSchema, response) };
    if (status === BAD_REQUEST) return { kind: "malformed" };
    const reason = (body as { error?: unknown } | undefined)?.error;
    if (status === SERVICE_UNAVAILABLE && reason === NO_CAPACITY) return { kind: "no_capacity" };
    throw new CloudError(`rental: status ${status}`, { status });
  }

  /** Returns machines to the cloud. Once this resolves, the machines and all that ran on them are gone. */
  async returnMachines(hosts: string[]): Promise<void> {
    const { status } = await this.send("POST", paths.cloud.returnMachines, cloudReturnToWire(hosts));
    if (status !== OK) throw new CloudError(`return: status ${status}`, { status });
  }

  /** Lists one page of the rented machines: those whose names follow `after`. */
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

/** @throws CloudError if the status is not 200 or the body does not follow the protocol */
function parseResponse<T>(schema: z.ZodType<T>, { status, body }: JsonResponse): T {
  const result = schema.safeParse(status === OK ? body : undefined);
  if (result.success) return result.data;
  throw new CloudError("unusable answer of the cloud", { status, cause: result.error });
}
