/** A small JSON server and client on loopback, with Node's own modules only. */
import { Agent, createServer, request } from "node:http";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

/**
 * Starts a server on a free port of a loopback address. `handle(method, url, body, bytes)` resolves to
 * `{ status, body }`, or to null for a request that never gets an answer.
 */
export async function serveJson(handle, host = "127.0.0.1") {
  const server = createServer((incoming, outgoing) => {
    const chunks = [];
    incoming.on("data", (chunk) => chunks.push(chunk));
    incoming.on("error", () => undefined);
    outgoing.on("error", () => undefined);
    incoming.on("end", async () => {
      const bytes = Buffer.concat(chunks);
      let body;
      try {
        body = bytes.length === 0 ? undefined : JSON.parse(bytes.toString("utf8"));
      } catch {
        body = null;
      }
      const reply = await handle(incoming.method, new URL(incoming.url, "http://x"), body, bytes.length);
      if (reply === null || outgoing.destroyed) return;
      const text = JSON.stringify(reply.body ?? {});
      outgoing.writeHead(reply.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      outgoing.end(text);
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A client with one persistent connection to one address, like a worker's or a user's. */
export class JsonConnection {
  constructor(address) {
    const colon = address.lastIndexOf(":");
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  }

  /** Resolves to `{ status, body, headers }`; rejects on a failed connection or after the time-out. */
  call(method, path, body, timeoutMs) {
    return new Promise((resolve, reject) => {
      const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
      const headers =
        text === undefined
          ? {}
          : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
      const { agent, host, port } = this;
      const outgoing = request({ agent, host, port, method, path, headers });
      const timer = setTimeout(() => {
        outgoing.destroy();
        reject(new Error("no answer"));
      }, timeoutMs);
      outgoing.on("error", (err) => {
        clearTimeout(timer);
        reject(err);
      });
      outgoing.on("response", (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => undefined);
        response.on("end", () => {
          clearTimeout(timer);
          let parsed;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString("utf8"));
          } catch {
            parsed = undefined;
          }
          resolve({ status: response.statusCode, body: parsed, headers: response.headers });
        });
      });
      outgoing.end(text);
    });
  }

  close() {
    this.agent.destroy();
  }
}
