/** Servers that go on whatever happens to single connections. */
import type { AddressInfo, Server } from "node:net";
import type { Logger } from "./log.js";

/**
 * Begins to listen, and resolves to the port. Later errors are those of single connections: guards against a process
 * that ends because it is out of sockets for the moment, since an error of a server that nobody listens to is thrown.
 */
export function listenOn(server: Server, address: string, log: Logger): Promise<number> {
  const colon = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    server.on("error", (err) => {
      log.error({ err: err.message, address }, "server error");
      reject(err);
    });
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
