/** A TCP proxy on loopback that can cut a link, one direction or both, and heal it. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** `toServer`: what the side that opened the connection sends. */
export type ProxyDirection = "toServer" | "toClient";

/** `hold` keeps bytes and delivers them once the cut heals; `reset` ends connections, and new ones at once. */
export type CutMode = "hold" | "reset";

const STAND_IN_HOST = "127.0.0.1";

interface Connection {
  client: Socket;
  server: Socket;
  held: Record<ProxyDirection, Buffer[]>;
}

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

  /** Listens on the address of all stand-ins, where it cannot be given the port of a controller that is yet to start. */
  static async start(target: () => string): Promise<FaultProxy> {
    const listener = createServer();
    await new Promise<void>((resolve) => listener.listen(0, STAND_IN_HOST, resolve));
    return new FaultProxy(listener, target);
  }

  get address(): string {
    const { address, port } = this.listener.address() as AddressInfo;
    return `${address}:${port}`;
  }

  cut(mode: CutMode, ...directions: ProxyDirection[]): void {
    for (const direction of directions) this.cuts.set(direction, mode);
    if (mode === "reset") for (const connection of this.connections) end(connection);
  }

  /** What was held arrives now, in order, also where its sender has given up meanwhile. */
  heal(): void {
    this.cuts.clear();
    for (const connection of this.connections)
      for (const direction of ["toServer", "toClient"] as const)
        for (const chunk of connection.held[direction].splice(0))
          receiver(connection, direction).write(chunk);
  }

  close(): void {
    this.listener.close();
    for (const connection of this.connections) end(connection);
  }

  private accept(client: Socket): void {
    const [host, port] = this.target().split(":");
    const server = connect(Number(port), host);
    const connection: Connection = { client, server, held: { toServer: [], toClient: [] } };
    this.connections.add(connection);
    this.forward(connection, client, "toServer");
    this.forward(connection, server, "toClient");
    if ([...this.cuts.values()].includes("reset")) end(connection);
  }

  private forward(connection: Connection, from: Socket, direction: ProxyDirection): void {
    from.setNoDelay(true);
    from.on("data", (chunk: Buffer) => {
      if (this.cuts.has(direction)) connection.held[direction].push(chunk);
      else receiver(connection, direction).write(chunk);
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      // What it sent before is still under way while a cut holds it.
      if (!this.cuts.has(direction)) receiver(connection, direction).end();
      if (connection.client.destroyed && connection.server.destroyed) this.connections.delete(connection);
    });
  }
}

function receiver({ client, server }: Connection, direction: ProxyDirection): Socket {
  return direction === "toServer" ? server : client;
}

function end({ client, server }: Connection): void {
  client.destroy();
  server.destroy();
}
