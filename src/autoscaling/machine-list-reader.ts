/** Reads the cloud's list of machines and compares it with the machine records. */
import type { ListedMachine } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import { MachineListing } from "./machine-listing.js";
import type { MachineRegistration } from "./machine-registration.js";
import type { MachineSelection } from "./removal-selection.js";
import type { ReturnedMachines } from "./returned-machines.js";

/** Minimum time between the starts of two listings: the larger of these multiples of list lag and pass interval. */
const MIN_LIST_INTERVAL_LAGS = 2;
const MIN_LIST_INTERVAL_PASSES = 10;

/** Returned machines are remembered for this many list lags; after that, no list shows them any more. */
const RETURNED_RETENTION_LAGS = 6;

/** Minimum age of an unregistered machine, in list lags: a younger one may belong to a rental not yet recorded. */
const MIN_UNREGISTERED_AGE_LAGS = 2;

/** Dependencies of the machine list reader. */
export interface MachineListReaderDependencies extends Pick<
  AutoscalerDependencies,
  "settings" | "operator" | "cloud" | "fleet"
> {
  readonly registration: MachineRegistration;
  readonly returnedMachines: ReturnedMachines;
  /** Asks the owner of a shard to drain machines. */
  readonly drainMachines: (selection: MachineSelection) => Promise<void>;
}

/** Finds listed machines that have no record, and recorded machines that are no longer listed. */
export class MachineListReader {
  private listing: MachineListing;
  private termStartedAt: number | null = null;
  private lastListAt = -Infinity;

  constructor(private readonly dependencies: MachineListReaderDependencies) {
    this.listing = new MachineListing(this.listLagMs);
  }

  /** Starts a term as leader, and discards listings of earlier terms because they are outdated. */
  beginTerm(now: number): void {
    this.termStartedAt = now;
    this.listing = new MachineListing(this.listLagMs);
  }

  /** Ends the term as leader; unregistered machines are not added until the next term. */
  endTerm(): void {
    this.termStartedAt = null;
  }

  /**
   * Reads the next page of the listing in progress, or starts a new listing if the minimum interval has passed. Does
   * nothing if the rate limit permits no call. Compares the list with the records when the last page has been read.
   *
   * @throws {CloudError} if the cloud returns no usable response
   */
  async readPage(now: number): Promise<void> {
    const { cloud } = this.dependencies;
    const inProgress = this.listing.isInProgress(now);
    if (!inProgress && now - this.lastListAt < this.minListIntervalMs) return;
    if (!cloud.tryAcquireCall()) return;
    if (!inProgress) this.lastListAt = now;
    const page = await cloud.listMachines(this.listing.after);
    const machines = this.listing.addPage(page.machines, page.more, now);
    if (machines === null) return;
    this.addUnregistered(machines, now);
    this.drainMissing(machines, now);
  }

  /** The maximum age of the cloud's list, in milliseconds. */
  private get listLagMs(): number {
    return this.dependencies.settings.cloud.listLagMs;
  }

  private get minListIntervalMs(): number {
    const { passSpacingMs } = this.dependencies.operator;
    return Math.max(MIN_LIST_INTERVAL_LAGS * this.listLagMs, MIN_LIST_INTERVAL_PASSES * passSpacingMs);
  }

  private addUnregistered(machines: ListedMachine[], now: number): void {
    const { fleet, registration, returnedMachines } = this.dependencies;
    const retentionMs = RETURNED_RETENTION_LAGS * this.listLagMs;
    returnedMachines.expire(retentionMs, now);
    // A new leader does not know which machines its predecessor returned, and lists may still include them.
    if (this.termStartedAt === null || now - this.termStartedAt < retentionMs) return;
    for (const { host, type, zone, spot, ageS } of machines) {
      if (fleet.get(host) !== undefined || returnedMachines.has(host)) continue;
      if (ageS * 1000 < MIN_UNREGISTERED_AGE_LAGS * this.listLagMs) continue;
      registration.add(host, { type, zone, spot });
    }
  }

  /** Asks the owners to drain machines that are no longer listed, like those with expired leases. */
  private drainMissing(machines: ListedMachine[], now: number): void {
    const { fleet, drainMachines } = this.dependencies;
    const isRecorded = (host: string): boolean => fleet.get(host) !== undefined;
    const hostsByShard = new Map<number, string[]>();
    for (const host of this.listing.missing(machines, isRecorded, now)) {
      const record = fleet.get(host);
      if (record === undefined || record.isDraining) continue;
      hostsByShard.set(record.shard, [...(hostsByShard.get(record.shard) ?? []), host]);
    }
    for (const [shard, hosts] of hostsByShard) void drainMachines({ shard, hosts });
  }
}
