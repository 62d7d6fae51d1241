/** The clock and the network connections of a controller; tests replace them with fakes. */
import type { Settings } from "../config/settings.js";
import type { PeerNetwork } from "../peers/peer-network.js";
import { TcpPeerNetwork } from "../peers/tcp-peer-network.js";
import { steadyClock, type SteadyClock } from "../runtime/clock.js";
import { HttpJsonClient, type JsonClient } from "../runtime/json-client.js";
import type { Logger } from "../runtime/log.js";
import { peerTimeoutMs } from "./timings.js";

/** Minimum number of connections for calls to the state store. */
const MIN_STATE_STORE_SOCKETS = 4;
/** Calls to the state store may use one out of this many of the process's sockets. */
const SOCKETS_PER_STATE_STORE_SOCKET = 50;
const WATCH_SOCKETS = 2;
const CLOUD_SOCKETS = 4;

/** The clock, and the clients for all external services and other controllers. */
export interface ControllerDependencies {
  clock: SteadyClock;
  state: JsonClient;
  /** Each watch occupies a connection while it is open; a client of their own keeps calls from queueing behind them. */
  watches: JsonClient;
  cloud: JsonClient;
  peers: PeerNetwork;
}

/** Creates the production clock, and clients for the addresses in the settings. */
export function createDependencies(settings: Settings, log: Logger): ControllerDependencies {
  const { stateAddress, cloudAddress, maxSockets } = settings;
  const stateStoreSockets = Math.max(
    MIN_STATE_STORE_SOCKETS,
    Math.floor(maxSockets / SOCKETS_PER_STATE_STORE_SOCKET),
  );
  return {
    clock: steadyClock,
    state: new HttpJsonClient(stateAddress, stateStoreSockets),
    watches: new HttpJsonClient(stateAddress, WATCH_SOCKETS),
    cloud: new HttpJsonClient(cloudAddress, CLOUD_SOCKETS),
    peers: new TcpPeerNetwork(settings.peers, peerTimeoutMs(settings), log),
  };
}
