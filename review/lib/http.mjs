/** A small JSON server and client on loopback. */
import { createServer, request as httpRequest, Agent } from "node:http";

async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

/** Starts a server; `handle(method, url, body)` returns `{ status, body }`, or null for no answer at all. */
export function serveJson(handle) {
  const server = createServer((req, res) => {
    readText(req)
      .then((text) =>
        handle(req.method, new URL(req.url, "http://stand-in"), text === "" ? undefined : JSON.parse(text)),
      )
      .then((reply) => {
        if (reply === null) return;
        const text = JSON.stringify(reply.body ?? {});
        res.writeHead(reply.status, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        });
        res.end(text);
      })
      .catch(() => res.destroy());
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close() {
          server.closeAllConnections();
          server.close();
        },
      });
    });
  });
}

/** Sends one request. Resolves to `{ status, body }`; status 0 if no complete answer arrives within the time-out. */
export function call(address, method, path, body, timeoutMs, agent = undefined) {
  const [host, port] = address.split(":");
  const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  const headers = payload ? { "content-type": "application/json", "content-length": payload.byteLength } : {};
  return new Promise((resolve) => {
    const req = httpRequest({ host, port, method, path, headers, agent: agent ?? new Agent() });
    const timer = setTimeout(() => finish({ status: 0, body: {}, reason: "no answer in time" }), timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      if (answer.status === 0) req.destroy();
      resolve(answer);
    };
    req.on("error", (err) => finish({ status: 0, body: {}, reason: err.message }));
    req.on("response", (res) => {
      readText(res).then(
        (text) => {
          let parsed = {};
          try {
            parsed = JSON.parse(text);
          } catch {
            // An answer without a JSON body.
          }
          finish({ status: res.statusCode, body: parsed });
        },
        (err) => finish({ status: 0, body: {}, reason: err.message }),
      );
    });
    req.end(payload);
  });
}

export const keepAliveAgent = () => new Agent({ keepAlive: true, maxSockets: 1 });
