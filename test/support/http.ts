/** A small JSON server for the stand-ins. */
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";

export interface Reply {
  status: number;
  body?: unknown;
}

export interface Listening {
  address: string;
  close(): void;
}

export type Handler = (method: string, url: URL, body: unknown) => Reply | Promise<Reply>;

async function bodyOf(request: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of request) text += String(chunk);
  return text === "" ? undefined : JSON.parse(text);
}

export function listen(handler: Handler): Promise<Listening> {
  const server = createServer((request, response) => {
    void bodyOf(request)
      .then((body) => handler(request.method ?? "", new URL(request.url ?? "/", "http://stand-in"), body))
      .then(({ status, body }) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body ?? {}));
      });
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      resolve({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close: () => {
          server.closeAllConnections();
          server.close();
        },
      });
    }),
  );
}
