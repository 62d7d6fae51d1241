/** What controllers say to each other survives the wire, whole or in pieces; broken bytes do not get through. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import { FrameDecoder, frameBytes } from "../src/peers/framing.js";
import { TcpPeerNetwork, PeerUnreachableError } from "../src/peers/network.js";
import type { Frame } from "../src/peers/messages.js";
import { listenOn } from "../src/runtime/listen.js";
import { silent } from "./support/records.js";

const frames: Frame[] = [
  { id: 1, reply: false, body: { drain: { shard: 2, hosts: ["i-1", "i-2"] } } },
  { id: 1, reply: true, body: { accepted: { hosts: [] } } },
  { id: 2, reply: true, body: { counts: { known: true, done: 3, running: 0 } } },
];

test("frames come out as they went in, however the bytes are cut", async () => {
  const bytes = Buffer.concat(frames.map(frameBytes));
  for (const size of [1, 3, bytes.byteLength]) {
    const reader = new FrameDecoder();
    for (let at = 0; at < bytes.byteLength; at += size) reader.write(bytes.subarray(at, at + size));
    reader.end();
    assert.deepEqual(await reader.toArray(), frames);
  }
});

test("an oversize or broken frame ends the connection and nothing else", async () => {
  const peers = new TcpPeerNetwork([], 1000, silent);
  const port = await peers.listen("127.0.0.1:0", () => Promise.resolve({ accepted: { hosts: ["i-9"] } }));
  for (const bytes of [Buffer.from([255, 255, 255, 255]), Buffer.from([0, 0, 0, 3, 250, 251, 252])]) {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write(bytes);
    await once(socket, "close");
  }
  const asker = new TcpPeerNetwork([{ node: "b", address: `127.0.0.1:${port}` }], 5000, silent);
  assert.deepEqual(await asker.request("b", { drain: { shard: 0, hosts: [] } }), {
    accepted: { hosts: ["i-9"] },
  });
  await assert.rejects(asker.request("c", { drain: { shard: 0, hosts: [] } }), PeerUnreachableError);
  asker.close();
  peers.close();
});

test("a server goes on although connections fail again and again, and an address in use is told at the start", async () => {
  const server = createServer();
  const port = await listenOn(server, "127.0.0.1:0", silent);
  for (let i = 0; i < 3; i++) server.emit("error", new Error("accept EMFILE"));
  assert.equal(server.listening, true);
  await assert.rejects(listenOn(createServer(), `127.0.0.1:${port}`, silent), /EADDRINUSE/);
  server.close();
});
