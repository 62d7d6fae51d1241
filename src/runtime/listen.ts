/** Starts servers so that errors of single connections do not end the process. */
import type { AddressInfo, Server } from "node:net";
import type { Logger } from "./log.js";

/**
 * Starts to listen at an address (`host:port`), and resolves to the port. Later errors of the server are logged. Guards
 * against a process that ends because it is out of sockets for the moment: without a listener, such an error is thrown.
 * @throws Error if the address cannot be listened at
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
