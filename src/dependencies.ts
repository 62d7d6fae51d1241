/** What a controller reaches from inside: a clock and the network. Tests put stand-ins in their place. */
import type { Settings } from "./config/settings.js";
import { Peers, type PeerNetwork } from "./peers/network.js";
import { steadyClock, type SteadyClock } from "./runtime/clock.js";
import { JsonHttp, type JsonCalls } from "./runtime/http-client.js";
import type { Logger } from "./runtime/log.js";
import { peerTimeoutMs } from "./timings.js";

/** The clock, and the ways to everybody else. */
export interface Dependencies {
  clock: SteadyClock;
  state: JsonCalls;
  /** Watches hold a connection each, so they must not stand in line with calls. */
  watches: JsonCalls;
  cloud: JsonCalls;
  peers: PeerNetwork;
}

/** The real network, as the settings name it. */
export function dependenciesOf(settings: Settings, log: Logger): Dependencies {
  const { stateAddress, cloudAddress, sockets } = settings;
  return {
    clock: steadyClock,
    state: new JsonHttp(stateAddress, Math.max(4, Math.floor(sockets / 50))),
    watches: new JsonHttp(stateAddress, 2),
    cloud: new JsonHttp(cloudAddress, 4),
    peers: new Peers(settings.peers, peerTimeoutMs(settings), log),
  };
}
