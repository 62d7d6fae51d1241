/** A client for JSON over HTTP/1.1 with persistent connections, a timeout for each call and a response size limit. */
import { Agent, request, type RequestOptions } from "node:http";
import { parseJson, readBodyText } from "./http-body.js";

/** The status and the parsed body of a response. */
export interface JsonResponse {
  status: number;
  /** Undefined if the body is not valid JSON. */
  body: unknown;
}

/** Thrown if no complete response was received: the request may have been executed, or may still be. */
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

/** A client for one service. */
export interface JsonClient {
  /**
   * Sends a request, without a body if `body` is undefined.
   * @throws NoResponseError if no complete response arrives within the timeout
   */
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonResponse>;
}

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** A client for one address that uses a pool of persistent connections. */
export class HttpJsonClient implements JsonClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /**
   * @param address host:port
   * @param maxSockets the maximum number of concurrent connections; further calls wait for a free one
   */
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
