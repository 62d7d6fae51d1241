/** Framing of messages between controllers, connections between controllers, and listening sockets. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { describe, test } from "node:test";
import { FrameDecoder, encodeLengthPrefixedFrame } from "../src/peers/framing.js";
import type { Frame } from "../src/peers/peer-messages.js";
import { PeerUnreachableError } from "../src/peers/peer-network.js";
import { TcpPeerNetwork } from "../src/peers/tcp-peer-network.js";
import { listenOn } from "../src/runtime/listen.js";
import { silentLogger } from "./support/records.js";

const frames: Frame[] = [
  { id: 1, reply: false, body: { drainMachines: { shard: 2, hosts: ["i-1", "i-2"] } } },
  { id: 1, reply: true, body: { accepted: { hosts: [] } } },
  { id: 2, reply: true, body: { counts: { known: true, done: 3, running: 0 } } },
];

const OVERSIZE_FRAME = Buffer.from([255, 255, 255, 255]);
const MALFORMED_FRAME = Buffer.from([0, 0, 0, 3, 250, 251, 252]);

void describe("peers/framing", () => {
  test("frames survive encoding and decoding, whatever the size of the chunks that are received", async () => {
    const bytes = Buffer.concat(frames.map(encodeLengthPrefixedFrame));
    for (const chunkSize of [1, 3, bytes.byteLength]) {
      const decoder = new FrameDecoder();
      for (let start = 0; start < bytes.byteLength; start += chunkSize)
        decoder.write(bytes.subarray(start, start + chunkSize));
      decoder.end();
      assert.deepEqual(await decoder.toArray(), frames);
    }
  });
});

void describe("peers/tcp-peer-network", () => {
  test("an oversize or malformed frame closes its connection and no other", async () => {
    const serverNetwork = new TcpPeerNetwork([], 1000, silentLogger);
    const port = await serverNetwork.listen("127.0.0.1:0", () =>
      Promise.resolve({ accepted: { hosts: ["i-9"] } }),
    );
    for (const bytes of [OVERSIZE_FRAME, MALFORMED_FRAME]) {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => undefined);
      socket.write(bytes);
      await once(socket, "close");
    }
    const clientNetwork = new TcpPeerNetwork(
      [{ node: "b", address: `127.0.0.1:${port}` }],
      5000,
      silentLogger,
    );
    const request = { drainMachines: { shard: 0, hosts: [] } };
    assert.deepEqual(await clientNetwork.request("b", request), { accepted: { hosts: ["i-9"] } });
    await assert.rejects(clientNetwork.request("c", request), PeerUnreachableError);
    clientNetwork.close();
    serverNetwork.close();
  });
});

void describe("runtime/listen", () => {
  test("a server keeps listening after connection errors, and an address in use is reported at startup", async () => {
    const server = createServer();
    const port = await listenOn(server, "127.0.0.1:0", silentLogger);
    for (let i = 0; i < 3; i++) server.emit("error", new Error("accept EMFILE"));
    assert.equal(server.listening, true);
    await assert.rejects(listenOn(createServer(), `127.0.0.1:${port}`, silentLogger), /EADDRINUSE/);
    server.close();
  });
});
