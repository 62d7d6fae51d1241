/** The client of the cloud: one budget, checked answers, and failures told apart from refusals. */
import type { z } from "zod";
import { TokenBucket } from "../runtime/token-bucket.js";
import type { SteadyClock } from "../runtime/clock.js";
import { NoResponseError, type JsonClient } from "../runtime/json-client.js";
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

/** The cloud gave no usable answer; what was asked may be carried out, now or later. */
export class CloudError extends Error {}

/** How a rental request ended. */
export type RentalResult =
  { kind: "rented"; hosts: string[] } | { kind: "no_capacity" } | { kind: "malformed" };

/** Calls the cloud within this node's part of the allowed rate; a call that has no room is left out. */
export class CloudClient {
  private readonly budget: TokenBucket;

  constructor(
    private readonly http: JsonClient,
    rps: number,
    clock: SteadyClock,
    private readonly timeoutMs: number,
  ) {
    this.budget = new TokenBucket(rps, rps, clock);
  }

  /** Whether a call may go out now. Only the leader calls, so the whole rate is its own. */
  tryAcquireCall(): boolean {
    return this.budget.tryAcquire(1);
  }

  async listMachineTypes(): Promise<MachineType[]> {
    const answer = await this.send("GET", paths.cloud.types, undefined);
    return this.checked(catalogueSchema, answer.status === 200 ? answer.body : undefined);
  }

  async rentMachines(request: RentalRequest): Promise<RentalResult> {
    const answer = await this.send("POST", paths.cloud.rent, rentalToWire(request));
    if (answer.status === 200) return { kind: "rented", hosts: this.checked(rentalSchema, answer.body) };
    if (answer.status === 400) return { kind: "malformed" };
    const reason = (answer.body as { error?: unknown } | undefined)?.error;
    // An outage is a 503 as well; only this text says that the answer is about capacity.
    if (answer.status === 503 && reason === "no capacity") return { kind: "no_capacity" };
    throw new CloudError(`rental: status ${answer.status}`);
  }

  /** Once this returns, the machines and all that ran on them are gone. */
  async returnMachines(hosts: string[]): Promise<void> {
    const answer = await this.send("POST", paths.cloud.returnMachines, cloudReturnToWire(hosts));
    if (answer.status !== 200) throw new CloudError(`return: status ${answer.status}`);
  }

  async listMachines(after: string | undefined): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const answer = await this.send("GET", paths.cloud.list(after, MAX_LIST), undefined);
    return this.checked(machineListSchema, answer.status === 200 ? answer.body : undefined);
  }

  private checked<T>(schema: z.ZodType<T>, body: unknown): T {
    const result = schema.safeParse(body);
    if (!result.success) throw new CloudError("the cloud gave no usable answer");
    return result.data;
  }

  private async send(method: string, path: string, body: unknown) {
    try {
      return await this.http.call(method, path, body, this.timeoutMs);
    } catch (err) {
      if (err instanceof NoResponseError) throw new CloudError(err.message);
      throw err;
    }
  }
}
