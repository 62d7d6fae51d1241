/** A TCP proxy on loopback that can cut a link in one direction or both, and restore it. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** `toServer` is the traffic from the side that opened the connection. */
export type ProxyDirection = "toServer" | "toClient";

/** `hold` buffers bytes until the link is restored; `reset` closes open connections, and new ones immediately. */
export type CutMode = "hold" | "reset";

const FAKE_SERVICE_HOST = "127.0.0.1";

/** A proxied connection, with the chunks that a cut holds back. */
interface Connection {
  client: Socket;
  server: Socket;
  held: Record<ProxyDirection, Buffer[]>;
}

/** Forwards the connections to one target and applies cuts to them. */
export class FaultProxy {
  private readonly connections = new Set<Connection>();
  private readonly cuts = new Map<ProxyDirection, CutMode>();

  private constructor(
    private readonly listener: Server,
    private readonly target: () => string,
  ) {
    listener.on("connection", (client: Socket) => {
      this.accept(client);
    });
  }

  /**
   * Listens on the loopback address of the fake services. It differs from that of the controllers, so that the proxy
   * cannot be given the port of a controller that is not running yet.
   */
  static async start(target: () => string): Promise<FaultProxy> {
    const listener = createServer();
    await new Promise<void>((resolve) => listener.listen(0, FAKE_SERVICE_HOST, resolve));
    return new FaultProxy(listener, target);
  }

  get address(): string {
    const { address, port } = this.listener.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Cuts the given directions; with `reset`, existing connections are closed in both. */
  cut(mode: CutMode, ...directions: ProxyDirection[]): void {
    for (const direction of directions) this.cuts.set(direction, mode);
    if (mode === "reset") for (const connection of this.connections) destroyConnection(connection);
  }

  /** Restores both directions. Held bytes are delivered in order, even if their sender has timed out by now. */
  heal(): void {
    this.cuts.clear();
    for (const connection of this.connections)
      for (const direction of ["toServer", "toClient"] as const)
        for (const chunk of connection.held[direction].splice(0))
          receiverOf(connection, direction).write(chunk);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.listener.close();
    for (const connection of this.connections) destroyConnection(connection);
  }

  private accept(client: Socket): void {
    const [host, port] = this.target().split(":");
    const server = connect(Number(port), host);
    const connection: Connection = { client, server, held: { toServer: [], toClient: [] } };
    this.connections.add(connection);
    this.forward(connection, client, "toServer");
    this.forward(connection, server, "toClient");
    if ([...this.cuts.values()].includes("reset")) destroyConnection(connection);
  }

  private forward(connection: Connection, from: Socket, direction: ProxyDirection): void {
    from.setNoDelay(true);
    from.on("data", (chunk: Buffer) => {
      if (this.cuts.has(direction)) connection.held[direction].push(chunk);
      else receiverOf(connection, direction).write(chunk);
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      // While a cut holds the bytes sent before, the receiving side stays open, so that heal() can deliver them.
      if (!this.cuts.has(direction)) receiverOf(connection, direction).end();
      if (connection.client.destroyed && connection.server.destroyed) this.connections.delete(connection);
    });
  }
}

function receiverOf({ client, server }: Connection, direction: ProxyDirection): Socket {
  return direction === "toServer" ? server : client;
}

function destroyConnection({ client, server }: Connection): void {
  client.destroy();
  server.destroy();
}
