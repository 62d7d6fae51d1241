/** Reports over kept connections, and everything else that may come over them. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { createApp } from "../src/http/app.js";
import { serveHeartbeats } from "../src/http/heartbeat-endpoint.js";
import { readHeartbeatRequest } from "../src/http/heartbeat-request.js";
import { handleHeartbeat } from "../src/http/heartbeats.js";
import { MAX_BODY_BYTES } from "../src/wire/index.js";
import { DecisionMetrics } from "../src/shards/decision-metrics.js";
import { statusWhileOff } from "../src/links/status.js";
import { silent } from "./support/records.js";

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

interface Door {
  server: Server;
  /** How many requests the HTTP server has seen. */
  seenByServer: () => number;
  connected: () => Promise<Socket>;
}

/** The door of a controller that answers every report with its host's name. */
async function door(context: TestContext, answersAfter = Promise.resolve()): Promise<Door> {
  const parts = {
    users: { handle: () => Promise.resolve({ status: 404, body: { error: "no such job" } }) },
    routeHeartbeat: async ({ host }: { host: string }) => {
      await answersAfter;
      return { kind: "commands" as const, body: { baton: 3, to: host } };
    },
    isHealthy: () => true,
    linkStatus: () => statusWhileOff("node-0"),
    decisions: () => new DecisionMetrics().report("node-0"),
    log: silent,
  };
  const handle = createApp(parts).callback();
  let seen = 0;
  const server = createServer((request, response) => {
    seen++;
    void handle(request, response);
  });
  const close = serveHeartbeats(server, {
    answer: (text) => handleHeartbeat(text, parts),
    log: silent,
    idleMs: 1e6,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    close();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const connected = async (): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    return socket;
  };
  return { server, seenByServer: () => seen, connected };
}

interface Said {
  status: number;
  body: unknown;
}

const ANSWER = /^HTTP\/1\.1 (\d+) [^]*?content-length: (\d+)[^]*?\r\n\r\n/i;

/** The next answer that comes whole: its status and JSON body. */
function answer(socket: Socket): Promise<Said> {
  return new Promise((resolve) => {
    let text = "";
    const onData = (chunk: Buffer): void => {
      text += String(chunk);
      const head = ANSWER.exec(text);
      if (head === null || text.length < head[0].length + Number(head[2])) return;
      socket.off("data", onData);
      resolve({ status: Number(head[1]), body: JSON.parse(text.slice(head[0].length)) });
    };
    socket.on("data", onData);
  });
}

const ANSWERED = { status: 200, body: { baton: 3, to: "i-1" } };

test("reports on a kept connection are answered without the HTTP server, however their bytes are cut", async (t) => {
  const { connected, seenByServer } = await door(t);
  const socket = await connected();
  socket.write(post(BODY));
  assert.deepEqual(await answer(socket), ANSWERED);
  const bytes = post(BODY, "Connection: keep-alive\r\n");
  for (let at = 0; at < bytes.length; at += 50) {
    socket.write(bytes.slice(at, at + 50));
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.deepEqual(await answer(socket), ANSWERED);
  socket.write(post("no JSON"));
  assert.equal((await answer(socket)).status, 400);
  assert.equal(seenByServer(), 0);
  socket.destroy();
});

test("what is sent while a report is being answered waits outside the process, and is answered in turn", async (t) => {
  let release = (): void => undefined;
  const { server, connected } = await door(
    t,
    new Promise((resolve) => {
      release = resolve;
    }),
  );
  const accepted = once(server, "connection") as Promise<[Socket]>;
  const socket = await connected();
  const [serverSide] = await accepted;
  const report = post(BODY);
  socket.write(report);
  while (serverSide.bytesRead < report.length) await new Promise((resolve) => setImmediate(resolve));
  // Far more than a connection's buffers hold.
  const more = 100_000;
  socket.write(report.repeat(more));
  while (!serverSide.isPaused()) await new Promise((resolve) => setImmediate(resolve));
  const readWhileHeld = serverSide.bytesRead;
  assert.ok(readWhileHeld < (report.length * more) / 10, `${readWhileHeld} bytes read`);
  release();
  // Whole answers: each ends with the same body, and no chunk's end need be one of theirs.
  let text = "";
  for await (const chunk of socket) {
    text += String(chunk);
    if (text.split('"to":"i-1"}').length > 100) break;
  }
  assert.equal(text.includes("HTTP/1.1 4"), false);
});

test("another request on the same connection goes to the HTTP server, and so does all that follows", async (t) => {
  const { connected, seenByServer } = await door(t);
  const socket = await connected();
  socket.write(post(BODY));
  assert.deepEqual(await answer(socket), ANSWERED);
  socket.write("GET /up HTTP/1.1\r\nHost: node-0\r\n\r\n");
  assert.deepEqual(await answer(socket), { status: 200, body: { ok: true } });
  socket.write(post(BODY));
  assert.deepEqual(await answer(socket), ANSWERED);
  assert.equal(seenByServer(), 2);
  socket.destroy();
});

test("a report that is odd in any way is the HTTP server's, which answers it in full", async (t) => {
  const { connected, seenByServer } = await door(t);
  const chunked = `POST /agent/beat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;
  const wanted: [string, number][] = [
    [chunked, 200],
    [post(BODY, "Connection: close\r\n"), 200],
    [post(" ".repeat(MAX_BODY_BYTES + 1)), 400],
    [post(BODY, `Content-Length: 3\r\n`), 400],
    ["GET /agent/beat HTTP/1.1\r\nHost: a\r\n\r\n", 405],
    ["POST /agent/beater HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 404],
  ];
  for (const [text, status] of wanted) {
    const socket = await connected();
    const seen = once(socket, "data");
    socket.write(text);
    const [said] = (await seen) as [Buffer];
    assert.equal(/^HTTP\/1\.1 (\d+)/.exec(String(said))?.[1], String(status), text.slice(0, 120));
    socket.destroy();
  }
  // The one with two lengths is refused before it becomes a request.
  assert.equal(seenByServer(), wanted.length - 1);
});

test("what may yet become a report is waited for, and nothing without bound", () => {
  const whole = Buffer.from(post(BODY));
  for (let end = 0; end < whole.byteLength; end++)
    assert.equal(readHeartbeatRequest(whole.subarray(0, end)).kind, "incomplete", `${end} bytes`);
  const two = Buffer.concat([whole, whole]);
  assert.deepEqual(readHeartbeatRequest(two), { kind: "heartbeat", body: BODY, end: whole.byteLength });
  const endless = Buffer.from(`POST /agent/beat HTTP/1.1\r\nX: ${"x".repeat(10_000)}`);
  assert.equal(readHeartbeatRequest(endless).kind, "other");
  assert.equal(readHeartbeatRequest(Buffer.from(post(BODY, "Expect: 100-continue\r\n"))).kind, "other");
  assert.equal(readHeartbeatRequest(Buffer.from(post(BODY, "X: a\r\n folded\r\n"))).kind, "other");
});
