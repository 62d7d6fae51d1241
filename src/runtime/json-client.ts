/** A client for JSON over HTTP/1.1: connections are kept, every call has a timeout, and the size of answers is limited. */
import { Agent, request, type RequestOptions } from "node:http";
import { parseJson, readBodyText } from "./http-body.js";

/** The status and the parsed body of an answer. */
export interface JsonResponse {
  status: number;
  /** Undefined if the body is not JSON. */
  body: unknown;
}

/** No usable answer came: the request may have been executed, or may yet be. */
export class NoResponseError extends Error {
  override readonly name = "NoResponseError";

  constructor(
    readonly method: string,
    readonly path: string,
    reason: string,
    options?: ErrorOptions,
  ) {
    super(`${method} ${path}: ${reason}`, options);
  }
}

/** JSON calls to one service. */
export interface JsonClient {
  /**
   * Sends a request; a body of undefined is not sent.
   * @throws NoResponseError if no complete answer comes within the timeout
   */
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse>;
}

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** JSON calls to one address over connections that are kept. */
export class HttpJsonClient implements JsonClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /** @param maxSockets the most connections at once; further calls wait for one */
  constructor(address: string, maxSockets: number) {
    const colon = address.lastIndexOf(":");
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets });
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const outgoing = request(this.requestOptions(method, path, payload));
      const fail = (reason: string, options?: ErrorOptions): void => {
        clearTimeout(timer);
        outgoing.destroy();
        reject(new NoResponseError(method, path, reason, options));
      };
      const timer = setTimeout(() => {
        fail("timed out");
      }, timeoutMs);
      outgoing.on("error", (err) => {
        fail(err.message, { cause: err });
      });
      outgoing.on("response", (response) => {
        readBodyText(response, MAX_RESPONSE_BYTES).then(
          (text) => {
            clearTimeout(timer);
            resolve({ status: response.statusCode ?? 0, body: parseJson(text) });
          },
          (err: unknown) => {
            fail((err as Error).message, { cause: err });
          },
        );
      });
      outgoing.end(payload);
    });
  }

  private requestOptions(method: string, path: string, payload: Buffer | undefined): RequestOptions {
    const headers =
      payload === undefined
        ? {}
        : { "content-type": "application/json", "content-length": payload.byteLength };
    return { agent: this.agent, host: this.host, port: this.port, method, path, headers };
  }
}
