/** Heartbeats and other requests on persistent HTTP connections. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { createApp } from "../src/http/app.js";
import { serveHeartbeats } from "../src/http/heartbeat-endpoint.js";
import { parseHeartbeatRequest } from "../src/http/heartbeat-request.js";
import { handleHeartbeat } from "../src/http/heartbeats.js";
import { MAX_BODY_BYTES } from "../src/wire/index.js";
import { httpDependencies } from "./support/http.js";
import { silentLogger } from "./support/records.js";

const BODY = JSON.stringify({
  host: "i-1",
  addr: "10.0.0.9:9000",
  breed: "small",
  bank: "north",
  loaners: false,
  tenure: 1,
  tick: 1,
  baton: 3,
  pieces: [],
});

const post = (body: string, headers = ""): string =>
  `POST /agent/beat HTTP/1.1\r\nHost: node-0\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

interface TestServer {
  server: Server;
  /** Number of requests that the HTTP server has received. */
  httpRequests: () => number;
  openConnection: () => Promise<Socket>;
}

/** Starts the HTTP interface of a controller that answers each heartbeat with the name of its host. */
async function startServer(context: TestContext, responseGate = Promise.resolve()): Promise<TestServer> {
  const dependencies = httpDependencies({
    routeHeartbeat: async ({ host }) => {
      await responseGate;
      return { kind: "commands", body: { baton: 3, to: host } };
    },
  });
  const handle = createApp(dependencies).callback();
  let received = 0;
  const server = createServer((request, response) => {
    received++;
    void handle(request, response);
  });
  const close = serveHeartbeats(server, {
    respond: (text) => handleHeartbeat(text, dependencies),
    log: silentLogger,
    idleTimeoutMs: 1e6,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    close();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const openConnection = async (): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    return socket;
  };
  return { server, httpRequests: () => received, openConnection };
}

interface ReceivedResponse {
  status: number;
  body: unknown;
}

const RESPONSE_HEAD = /^HTTP\/1\.1 (\d+) [^]*?content-length: (\d+)[^]*?\r\n\r\n/i;

/** Resolves with the status and JSON body of the next complete response. */
function nextResponse(socket: Socket): Promise<ReceivedResponse> {
  return new Promise((resolve) => {
    let text = "";
    const onData = (chunk: Buffer): void => {
      text += String(chunk);
      const head = RESPONSE_HEAD.exec(text);
      if (head === null || text.length < head[0].length + Number(head[2])) return;
      socket.off("data", onData);
      resolve({ status: Number(head[1]), body: JSON.parse(text.slice(head[0].length)) });
    };
    socket.on("data", onData);
  });
}

const ANSWERED = { status: 200, body: { baton: 3, to: "i-1" } };

void describe("http/heartbeat-endpoint: heartbeats", () => {
  test("heartbeats on a persistent connection bypass the HTTP server, however their bytes are split", async (context) => {
    const { openConnection, httpRequests } = await startServer(context);
    const socket = await openConnection();
    socket.write(post(BODY));
    assert.deepEqual(await nextResponse(socket), ANSWERED);
    const bytes = post(BODY, "Connection: keep-alive\r\n");
    for (let start = 0; start < bytes.length; start += 50) {
      socket.write(bytes.slice(start, start + 50));
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.deepEqual(await nextResponse(socket), ANSWERED);
    socket.write(post("no JSON"));
    assert.equal((await nextResponse(socket)).status, 400);
    assert.equal(httpRequests(), 0);
    socket.destroy();
  });

  test("requests sent while a heartbeat is being answered are not read into memory, and are answered in order", async (context) => {
    let release = (): void => undefined;
    const { server, openConnection } = await startServer(
      context,
      new Promise((resolve) => {
        release = resolve;
      }),
    );
    const accepted = once(server, "connection") as Promise<[Socket]>;
    const socket = await openConnection();
    const [serverSide] = await accepted;
    const heartbeat = post(BODY);
    socket.write(heartbeat);
    while (serverSide.bytesRead < heartbeat.length) await new Promise((resolve) => setImmediate(resolve));
    // Far more data than the buffers of a connection hold.
    const copies = 100_000;
    socket.write(heartbeat.repeat(copies));
    while (!serverSide.isPaused()) await new Promise((resolve) => setImmediate(resolve));
    const readWhileHeld = serverSide.bytesRead;
    assert.ok(readWhileHeld < (heartbeat.length * copies) / 10, `${readWhileHeld} bytes read`);
    release();
    // Counts complete responses by their identical bodies, since a chunk may end within a response.
    let text = "";
    for await (const chunk of socket) {
      text += String(chunk);
      if (text.split('"to":"i-1"}').length > 100) break;
    }
    assert.equal(text.includes("HTTP/1.1 4"), false);
  });
});

void describe("http/heartbeat-endpoint: other requests", () => {
  test("another request on the same connection is passed to the HTTP server, as are all following requests", async (context) => {
    const { openConnection, httpRequests } = await startServer(context);
    const socket = await openConnection();
    socket.write(post(BODY));
    assert.deepEqual(await nextResponse(socket), ANSWERED);
    socket.write("GET /up HTTP/1.1\r\nHost: node-0\r\n\r\n");
    assert.deepEqual(await nextResponse(socket), { status: 200, body: { ok: true } });
    socket.write(post(BODY));
    assert.deepEqual(await nextResponse(socket), ANSWERED);
    assert.equal(httpRequests(), 2);
    socket.destroy();
  });

  test("a heartbeat with unusual framing or headers is passed to the HTTP server", async (context) => {
    const { openConnection, httpRequests } = await startServer(context);
    const chunked = `POST /agent/beat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;
    const expected: [request: string, status: number][] = [
      [chunked, 200],
      [post(BODY, "Connection: close\r\n"), 200],
      [post(" ".repeat(MAX_BODY_BYTES + 1)), 400],
      [post(BODY, `Content-Length: 3\r\n`), 400],
      ["GET /agent/beat HTTP/1.1\r\nHost: a\r\n\r\n", 405],
      ["POST /agent/beater HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 404],
    ];
    for (const [request, status] of expected) {
      const socket = await openConnection();
      const received = once(socket, "data");
      socket.write(request);
      const [response] = (await received) as [Buffer];
      const receivedStatus = /^HTTP\/1\.1 (\d+)/.exec(String(response))?.[1];
      assert.equal(receivedStatus, String(status), request.slice(0, 120));
      socket.destroy();
    }
    // The HTTP parser rejects the request with two Content-Length headers before it reaches the handler.
    assert.equal(httpRequests(), expected.length - 1);
  });
});

void describe("http/heartbeat-request", () => {
  test("an incomplete heartbeat waits for more data, but its size is bounded", () => {
    const whole = Buffer.from(post(BODY));
    for (let end = 0; end < whole.byteLength; end++)
      assert.equal(parseHeartbeatRequest(whole.subarray(0, end)).kind, "incomplete", `${end} bytes`);
    const two = Buffer.concat([whole, whole]);
    assert.deepEqual(parseHeartbeatRequest(two), { kind: "heartbeat", body: BODY, end: whole.byteLength });
    const endless = Buffer.from(`POST /agent/beat HTTP/1.1\r\nX: ${"x".repeat(10_000)}`);
    assert.equal(parseHeartbeatRequest(endless).kind, "other");
    assert.equal(parseHeartbeatRequest(Buffer.from(post(BODY, "Expect: 100-continue\r\n"))).kind, "other");
    assert.equal(parseHeartbeatRequest(Buffer.from(post(BODY, "X: a\r\n folded\r\n"))).kind, "other");
  });
});
