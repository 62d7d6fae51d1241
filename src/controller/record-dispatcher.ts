/** Dispatches each batch of changed records to the components that depend on them. */
import type { JobService } from "../jobs/job-service.js";
import type { Membership } from "../membership/membership.js";
import { keys, prefixes } from "../state/keys.js";
import type { Replica } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { RecordChange } from "../wire/index.js";
import type { Fleet } from "../workers/fleet.js";
import type { MachineTypes } from "./machine-types.js";
import type { ShardHost } from "./shard-host.js";

/** The components that changed records are dispatched to. */
export interface RecordDispatcherDependencies {
  readonly replica: Replica;
  readonly state: StateStoreClient;
  readonly jobs: JobService;
  readonly fleet: Fleet;
  readonly machineTypes: MachineTypes;
  readonly shards: ShardHost;
  readonly membership: Membership;
}

function isMembershipKey(key: string): boolean {
  return key === keys.leader || key.startsWith(prefixes.members) || key.startsWith(prefixes.shards);
}

/** Dispatches changed records in a fixed order: machines and their types before the shards. */
export class RecordDispatcher {
  constructor(private readonly dependencies: RecordDispatcherDependencies) {}

  /** Dispatches a batch of changes; null means that the whole replica was replaced and any record may have changed. */
  dispatch(changes: RecordChange[] | null): void {
    const { replica, state, jobs, fleet, machineTypes, shards, membership } = this.dependencies;
    if (changes !== null) {
      state.recordObservedWrites(changes.length);
      jobs.applyChanges(changes);
    }
    fleet.applyChanges(replica, changes);
    if (changes === null || changes.some(({ key }) => key.startsWith(prefixes.machineTypes)))
      machineTypes.load(replica);
    shards.applyChanges(changes);
    if (changes === null || changes.some(({ key }) => isMembershipKey(key)))
      membership.tell({ kind: "records_changed" });
  }
}
