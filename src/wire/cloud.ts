/** Messages of the cloud API (machine types, rentals, machine list): section "Controller nodes -> cloud". */
import * as z from "zod";

/** A machine type that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  /** Memory in gigabytes. */
  memoryGb: number;
  /** Capacity of the image cache, in gigabytes. */
  cacheGb: number;
  /** The rate at which images are pulled, in gigabytes per second. */
  fetchGbPerS: number;
  /** The price of an on-demand machine per hour. */
  price: number;
  /** The price of a spot machine per hour. */
  spotPrice: number;
  /** The usual time from the rental request until the worker's first heartbeat, in seconds. */
  bootS: number;
  /** The zones in which the type is offered. */
  zones: string[];
}

/** An entry of the cloud's machine list. */
export interface ListedMachine {
  host: string;
  /** The name of its machine type. */
  type: string;
  zone: string;
  spot: boolean;
  state: "booting" | "running" | "failed";
  /** The time since the rental request, in seconds. */
  ageS: number;
}

/** A request to rent machines. */
export interface RentalRequest {
  /** The idempotency key: repeating the request rents no further machines. Must not be reused for another request. */
  name: string;
  /** The name of the machine type. */
  type: string;
  zone: string;
  spot: boolean;
  /** The number of machines, at most `MAX_RENTAL`. */
  count: number;
}

/** The most machines in one rental request; "POST /rentals". */
export const MAX_RENTAL = 50;
/** The most machines in one request to return machines; "POST /rentals/return". */
export const MAX_RETURN = 100;
/** The most machines on one page of the machine list; "GET /rentals". */
export const MAX_LIST = 500;

const nonNegativeNumber = z.number().nonnegative();
const hostName = z.string().min(1).max(100);

const machineTypeSchema = z
  .object({
    label: z.string().min(1),
    vcpus: nonNegativeNumber,
    cards: nonNegativeNumber,
    memGb: nonNegativeNumber,
    cacheGb: nonNegativeNumber,
    pullGbPerS: nonNegativeNumber,
    hourly: nonNegativeNumber,
    lowPrice: nonNegativeNumber,
    readyS: nonNegativeNumber,
    banks: z.array(z.string()),
  })
  .transform((machineType): MachineType => ({
    name: machineType.label,
    cpus: machineType.vcpus,
    gpus: machineType.cards,
    memoryGb: machineType.memGb,
    cacheGb: machineType.cacheGb,
    fetchGbPerS: machineType.pullGbPerS,
    price: machineType.hourly,
    spotPrice: machineType.lowPrice,
    bootS: machineType.readyS,
    zones: machineType.banks,
  }));

/** The response to "GET /flavors": all machine types. */
export const catalogueSchema = z
  .object({ breeds: z.array(machineTypeSchema) })
  .transform((catalogue) => catalogue.breeds);

/** The response to "POST /rentals": the host names of the rented machines. */
export const rentalSchema = z.object({ hosts: z.array(hostName) }).transform((rental) => rental.hosts);

const listedMachineSchema = z
  .object({
    nameId: hostName,
    breed: z.string(),
    bank: z.string(),
    loaners: z.boolean(),
    stage: z.enum(["booting", "running", "failed"]),
    heldS: z.number(),
  })
  .transform((machine): ListedMachine => ({
    host: machine.nameId,
    type: machine.breed,
    zone: machine.bank,
    spot: machine.loaners,
    state: machine.stage,
    ageS: machine.heldS,
  }));

/** The response to "GET /rentals": one page of the machine list, and whether more pages follow. */
export const machineListSchema = z
  .object({ hosts: z.array(listedMachineSchema), truncated: z.boolean().nullish() })
  .transform((list) => ({ machines: list.hosts, more: list.truncated === true }));

/** The body of "POST /rentals". */
export function rentalToWire(request: RentalRequest): object {
  return {
    hire: request.name,
    breed: request.type,
    bank: request.zone,
    loaners: request.spot,
    count: request.count,
  };
}

/** The body of "POST /rentals/return". */
export function cloudReturnToWire(hosts: string[]): object {
  return { hosts };
}
