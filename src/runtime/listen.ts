/** Starts servers in such a way that later server errors do not terminate the process. */
import type { AddressInfo, Server } from "node:net";
import type { Logger } from "./log.js";

/**
 * Starts listening on an address (`host:port`), and resolves to the port. Later errors of the server are logged:
 * without a listener for them, a temporary lack of sockets would terminate the process.
 * @throws Error if the server cannot listen on the address
 */
export function listenOn(server: Server, address: string, log: Logger): Promise<number> {
  const colon = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    server.on("error", (err) => {
      log.error({ err, address }, "server error");
      reject(err);
    });
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
