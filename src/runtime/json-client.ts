/** JSON over HTTP/1.1 with kept connections, a deadline on every call, and a bound on what is read. */
import { Agent, request, type IncomingMessage } from "node:http";

/** The status and the parsed body of an answer. */
export interface JsonResponse {
  status: number;
  body: unknown;
}

/** No usable answer came. The request may have been executed, or may still be. */
export class NoResponseError extends Error {}

/** JSON calls to one service, over whatever network. */
export interface JsonClient {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse>;
}

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** JSON calls to one address over kept connections. */
export class HttpJsonClient implements JsonClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, sockets: number) {
    const colon = address.lastIndexOf(":");
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets });
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const outgoing = request({
        agent: this.agent,
        host: this.host,
        port: this.port,
        method,
        path,
        headers:
          payload === undefined
            ? {}
            : { "content-type": "application/json", "content-length": payload.byteLength },
      });
      const fail = (reason: string): void => {
        clearTimeout(timer);
        outgoing.destroy();
        reject(new NoResponseError(`${method} ${path}: ${reason}`));
      };
      const timer = setTimeout(() => {
        fail("timed out");
      }, timeoutMs);
      outgoing.on("error", (err) => {
        fail(err.message);
      });
      outgoing.on("response", (answer) => {
        readText(answer, MAX_RESPONSE_BYTES).then(
          (text) => {
            clearTimeout(timer);
            resolve({ status: answer.statusCode ?? 0, body: parseJson(text) });
          },
          (err: unknown) => {
            fail((err as Error).message);
          },
        );
      });
      outgoing.end(payload);
    });
  }
}

/** A body is longer than allowed. */
export class BodyTooLargeError extends Error {}

/** By events: an async iterator over each small body costs more than all else that is done with it. */
export function readText(stream: IncomingMessage, limit: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on("data", (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= limit) return void chunks.push(chunk);
      stream.pause();
      reject(new BodyTooLargeError(`body over ${limit} bytes`));
    });
    stream.once("end", () => {
      resolve(Buffer.concat(chunks).toString("utf8"));
    });
    stream.once("error", reject);
    stream.once("close", () => {
      reject(new Error("the connection ended within a body"));
    });
  });
}

/** The parsed text, or undefined where it is no JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
