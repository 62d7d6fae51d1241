/** Reads the cloud's list of machines, and compares it with the records. */
import type { ListedMachine } from "../wire/index.js";
import type { AutoscalerDependencies } from "./autoscaler-dependencies.js";
import { MachineListing } from "./machine-listing.js";
import type { MachineRegistration } from "./machine-registration.js";
import type { MachineSelection } from "./removal-selection.js";
import type { ReturnedMachines } from "./returned-machines.js";

/** The least time between the beginnings of two lists, as multiples of the list lag and of the pass spacing. */
const LIST_SPACING_LAGS = 2;
const LIST_SPACING_PASSES = 10;

/** After so many list lags no list shows a machine any more that was returned. */
const RETURNED_MACHINE_LAGS = 6;

/** A machine younger than so many list lags may be one of a rental whose machines are being recorded. */
const MIN_AGE_LAGS = 2;

/** What the reader is made from. */
export interface MachineListReaderDependencies extends Pick<
  AutoscalerDependencies,
  "settings" | "operator" | "cloud" | "fleet"
> {
  readonly registration: MachineRegistration;
  readonly returnedMachines: ReturnedMachines;
  /** Requests the owner of a shard to drain machines. */
  readonly drainMachines: (selection: MachineSelection) => Promise<void>;
}

/** Finds machines that are in no record, and machines that are gone. */
export class MachineListReader {
  private listing: MachineListing;
  private termStartedAt: number | null = null;
  private lastListAt = -Infinity;

  constructor(private readonly dependencies: MachineListReaderDependencies) {
    this.listing = new MachineListing(this.listLagMs);
  }

  /** Starts a term as leader: what lists showed in an earlier one proves nothing. */
  beginTerm(now: number): void {
    this.termStartedAt = now;
    this.listing = new MachineListing(this.listLagMs);
  }

  /** Ends the term as leader. */
  endTerm(): void {
    this.termStartedAt = null;
  }

  /**
   * Reads one page: of a list that is in progress, or of a new one now and then.
   *
   * @throws {CloudError} where the cloud does not answer
   */
  async readPage(now: number): Promise<void> {
    const { cloud } = this.dependencies;
    const inProgress = this.listing.isInProgress(now);
    if (!inProgress && now - this.lastListAt < this.listSpacingMs) return;
    if (!cloud.tryAcquireCall()) return;
    if (!inProgress) this.lastListAt = now;
    const page = await cloud.listMachines(this.listing.after);
    const machines = this.listing.addPage(page.machines, page.more, now);
    if (machines === null) return;
    this.addUnregistered(machines, now);
    this.drainMissing(machines, now);
  }

  /** How old the cloud's list may be. */
  private get listLagMs(): number {
    return this.dependencies.settings.cloud.listLagMs;
  }

  private get listSpacingMs(): number {
    const { passSpacingMs } = this.dependencies.operator;
    return Math.max(LIST_SPACING_LAGS * this.listLagMs, LIST_SPACING_PASSES * passSpacingMs);
  }

  private addUnregistered(machines: ListedMachine[], now: number): void {
    const { fleet, registration, returnedMachines } = this.dependencies;
    const returnedMachineMs = RETURNED_MACHINE_LAGS * this.listLagMs;
    returnedMachines.expire(returnedMachineMs, now);
    // A new leader does not know what its predecessor returned; lists show such machines for a while.
    if (this.termStartedAt === null || now - this.termStartedAt < returnedMachineMs) return;
    for (const { host, type, zone, spot, ageS } of machines) {
      if (fleet.get(host) !== undefined || returnedMachines.has(host)) continue;
      if (ageS * 1000 < MIN_AGE_LAGS * this.listLagMs) continue;
      registration.add(host, { type, zone, spot });
    }
  }

  /** Machines that the lists do not show any more are gone: their owners drain them like those with expired leases. */
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
