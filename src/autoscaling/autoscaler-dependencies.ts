/** The dependencies of the autoscaler and its components. */
import type { CloudClient } from "../cloud/cloud-client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { ReplicaView } from "../state/replica.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import type { Fleet } from "../workers/fleet.js";

/** Callbacks through which the autoscaler uses the rest of the process. */
export interface AutoscalerCallbacks {
  /** The version of the leader record while this process leads; null otherwise. */
  leaderVersion(): number | null;
  /** Sends a request to the owner of a shard, which may be this process. */
  requestOwner(shard: number, request: PeerRequest): Promise<PeerReply>;
  /** Whether the link policy currently permits recording and sending rentals and returns. */
  canCallCloud(): boolean;
}

/** Constructor dependencies of the autoscaler. */
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
