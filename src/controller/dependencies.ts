/** What a controller reaches from inside: a clock and the network. Tests put stand-ins in their place. */
import type { Settings } from "../config/settings.js";
import type { PeerNetwork } from "../peers/peer-network.js";
import { TcpPeerNetwork } from "../peers/tcp-peer-network.js";
import { steadyClock, type SteadyClock } from "../runtime/clock.js";
import { HttpJsonClient, type JsonClient } from "../runtime/json-client.js";
import type { Logger } from "../runtime/log.js";
import { peerTimeoutMs } from "./timings.js";

/** The clock, and the ways to everybody else. */
export interface ControllerDependencies {
  clock: SteadyClock;
  state: JsonClient;
  /** Watches hold a connection each, so they must not stand in line with calls. */
  watches: JsonClient;
  cloud: JsonClient;
  peers: PeerNetwork;
}

/** The real network, as the settings name it. */
export function createDependencies(settings: Settings, log: Logger): ControllerDependencies {
  const { stateAddress, cloudAddress, sockets } = settings;
  return {
    clock: steadyClock,
    state: new HttpJsonClient(stateAddress, Math.max(4, Math.floor(sockets / 50))),
    watches: new HttpJsonClient(stateAddress, 2),
    cloud: new HttpJsonClient(cloudAddress, 4),
    peers: new TcpPeerNetwork(settings.peers, peerTimeoutMs(settings), log),
  };
}
