/** What the cloud offers, rents and lists. */
import * as z from "zod";

/** A type of machines that the cloud rents. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  host: string;
  type: string;
  zone: string;
  spot: boolean;
  state: "booting" | "running" | "failed";
  ageS: number;
}

/** A request for machines, under a name that never comes again. */
export interface RentalRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const MAX_RENTAL = 50;
export const MAX_RETURN = 100;
export const MAX_LIST = 500;

const amount = z.number().nonnegative();

export const catalogueSchema = z
  .object({
    breeds: z.array(
      z
        .object({
          label: z.string().min(1),
          vcpus: amount,
          cards: amount,
          memGb: amount,
          cacheGb: amount,
          pullGbPerS: amount,
          hourly: amount,
          lowPrice: amount,
          readyS: amount,
          banks: z.array(z.string()),
        })
        .transform((t): MachineType => ({
          name: t.label,
          cpus: t.vcpus,
          gpus: t.cards,
          memoryGb: t.memGb,
          cacheGb: t.cacheGb,
          fetchGbPerS: t.pullGbPerS,
          price: t.hourly,
          spotPrice: t.lowPrice,
          bootS: t.readyS,
          zones: t.banks,
        })),
    ),
  })
  .transform((c) => c.breeds);

export const rentalSchema = z
  .object({ hosts: z.array(z.string().min(1).max(100)) })
  .transform((r) => r.hosts);

export const machineListSchema = z
  .object({
    hosts: z.array(
      z
        .object({
          nameId: z.string().min(1).max(100),
          breed: z.string(),
          bank: z.string(),
          loaners: z.boolean(),
          stage: z.enum(["booting", "running", "failed"]),
          heldS: z.number(),
        })
        .transform((m): ListedMachine => ({
          host: m.nameId,
          type: m.breed,
          zone: m.bank,
          spot: m.loaners,
          state: m.stage,
          ageS: m.heldS,
        })),
    ),
    truncated: z.boolean().nullish(),
  })
  .transform((l) => ({ machines: l.hosts, more: l.truncated === true }));

/** A rental request as the cloud expects it. */
export function rentalToWire(request: RentalRequest): object {
  return {
    hire: request.name,
    breed: request.type,
    bank: request.zone,
    loaners: request.spot,
    count: request.count,
  };
}
