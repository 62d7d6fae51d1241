/** Forwarding of users' requests that a controller cannot answer itself. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { RequestForwarder } from "../src/http/request-forwarder.js";
import type { UserResponse } from "../src/http/user-requests.js";
import { silentLogger } from "./support/records.js";

const lookUp = { method: "GET", path: "/work/req-1", body: undefined };

void describe("http/request-forwarder", () => {
  test("a request that the controller cannot answer is forwarded once, and not to peers that failed recently", async () => {
    let now = 0;
    let isBehind = false;
    const requestedNodes: string[] = [];
    const statusByNode = new Map<string, number>([
      ["self", 503],
      ["b", 503],
      ["c", 200],
    ]);
    const respond = (node: string): Promise<UserResponse> => {
      requestedNodes.push(node);
      return Promise.resolve({ status: statusByNode.get(node)!, body: {} });
    };
    const forwarder = new RequestForwarder({
      localHandler: { handle: () => respond("self") },
      peers: ["b", "c"],
      forward: (peer) => respond(peer),
      isBehind: () => isBehind,
      isClusterUnavailable: () => false,
      peerBackoffMs: 500,
      clock: () => now,
      log: silentLogger,
    });
    assert.equal((await forwarder.handle(lookUp)).status, 200);
    assert.deepEqual(requestedNodes.splice(0), ["self", "b", "c"]);
    // A controller that is behind forwards the request without trying to answer it; peer b has failed recently.
    isBehind = true;
    assert.equal((await forwarder.handle(lookUp)).status, 200);
    assert.deepEqual(requestedNodes.splice(0), ["c"]);
    statusByNode.set("c", 503);
    assert.equal((await forwarder.handle(lookUp)).status, 503);
    assert.equal((await forwarder.handle(lookUp)).status, 503);
    assert.deepEqual(requestedNodes.splice(0), ["c"]);
    now = 1000;
    statusByNode.set("b", 200);
    assert.equal((await forwarder.handle(lookUp)).status, 200);
  });
});
