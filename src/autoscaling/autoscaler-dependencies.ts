/** What the autoscaler and its parts are made from. */
import type { CloudClient } from "../cloud/cloud-client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet } from "../workers/fleet.js";

/** What the autoscaler needs of the rest of the process. */
export interface AutoscalerCallbacks {
  /** The version of the record that makes this process the leader, or null. */
  leaderVersion(): number | null;
  /** Sends a request to the owner of a shard, this process included. */
  requestOwner(shard: number, request: PeerRequest): Promise<PeerReply>;
  /** Whether rentals and returns may be recorded and sent now, as far as links go. */
  canCallCloud(): boolean;
}

/** What an autoscaler is made from. */
export interface AutoscalerDependencies {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly cloud: CloudClient;
  readonly state: StateStoreClient;
  readonly view: ReplicaView;
  readonly fleet: Fleet;
  readonly clock: SteadyClock;
  readonly callbacks: AutoscalerCallbacks;
  readonly log: Logger;
}
