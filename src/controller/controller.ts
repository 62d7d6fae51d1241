/** The lifecycle of one controller: watches the records, serves users, workers and peers, and shuts down. */
import { pipeline, type Readable } from "node:stream";
import type { OperatorSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { HttpDependencies } from "../http/app.js";
import { serve, type ListeningServer } from "../http/server.js";
import type { PeerReply, PeerRequest } from "../peers/peer-messages.js";
import type { LinkViewExchange } from "../peers/peer-network.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { LIVE_PREFIX, ROOT_PREFIX } from "../state/keys.js";
import { watchRecords } from "../state/watch.js";
import { ControllerParts } from "./composition.js";
import { createDependencies, type ControllerDependencies } from "./dependencies.js";

/** Delay before a failed watch is restarted, as a multiple of the minimum interval between watch requests. */
const WATCH_RETRY_INTERVALS = 4;

/** A controller that serves users and workers on `port`, and other controllers on `peerPort`. */
export interface RunningController extends ListeningServer {
  peerPort: number;
}

/** One controller process. */
export class Controller {
  private readonly parts: ControllerParts;
  /** The steady clock of this process. */
  readonly clock: SteadyClock;

  constructor(
    private readonly settings: Settings,
    operator: OperatorSettings,
    private readonly log: Logger,
    dependencies: ControllerDependencies = createDependencies(settings, log),
  ) {
    this.clock = dependencies.clock;
    this.parts = new ControllerParts(settings, operator, log, dependencies);
  }

  /** The handlers behind the HTTP interface for users, workers, operators and health checks. */
  get httpDependencies(): HttpDependencies {
    const { links, heartbeatRouter, health, metrics, requestForwarder } = this.parts;
    return {
      users: links.observeUserRequests(requestForwarder),
      routeHeartbeat: (heartbeat) => heartbeatRouter.route(heartbeat),
      isHealthy: () => {
        links.recordUserRequest();
        return health.isHealthy();
      },
      linkStatus: () => links.status(),
      decisions: () => metrics.report(this.settings.node),
      log: this.log,
    };
  }

  /** The exchange of link views with other controllers; null if the link monitor is off. */
  get viewExchange(): LinkViewExchange | null {
    return this.parts.peers.viewExchange;
  }

  /** Handles a request from another controller or from this process itself. */
  answerPeer(request: PeerRequest): Promise<PeerReply> {
    return this.parts.peerRequests.handle(request);
  }

  /**
   * Starts watching the records and acting on them. The returned function stops this and closes all peer connections.
   */
  followRecords(): () => void {
    const { membership, peers, timings } = this.parts;
    const stopped = new AbortController();
    const watch = this.watchRecords(stopped.signal);
    const ticker = setInterval(() => {
      this.tick();
    }, timings.tickMs);
    membership.tell({ kind: "tick" });
    return () => {
      stopped.abort();
      clearInterval(ticker);
      watch.destroy();
      peers.close();
    };
  }

  /** Starts watching the records, and listening for users, workers and peers. */
  async start(): Promise<RunningController> {
    const stopFollowing = this.followRecords();
    const peerPort = await this.parts.peers.listen(this.settings.peerListen, (request) =>
      this.answerPeer(request),
    );
    const { idleConnectionTimeoutMs } = this.parts.timings;
    const server = await serve(this.httpDependencies, this.settings.listen, idleConnectionTimeoutMs);
    const { port } = server;
    this.log.info({ port, peerPort }, "listening");
    const close = (): void => {
      stopFollowing();
      server.close();
    };
    return { port, peerPort, close };
  }

  private watchRecords(stopped: AbortSignal): Readable {
    const { state, replica, timings } = this.parts;
    const pacing = {
      waitMs: timings.watchWaitMs,
      spacingMs: timings.minWatchIntervalMs,
      retryMs: timings.minWatchIntervalMs * WATCH_RETRY_INTERVALS,
    };
    const watchPrefixes = { listed: LIVE_PREFIX, watched: ROOT_PREFIX };
    const watch = watchRecords(state, watchPrefixes, pacing, this.clock, this.log);
    pipeline(watch, replica, (err) => {
      if (err && !stopped.aborted) this.log.error({ err }, "records watch ended with an error");
    });
    return watch;
  }

  private tick(): void {
    const { membership, shards, autoscaler, links, health } = this.parts;
    membership.tell({ kind: "tick" });
    shards.tick();
    autoscaler.tell({ kind: "tick" });
    links.tick();
    health.tick();
  }
}
