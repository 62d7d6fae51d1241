/** Users' requests that a controller cannot answer itself. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { RequestForwarder } from "../src/http/request-forwarder.js";
import type { UserResponse } from "../src/http/user-requests.js";
import { silentLogger } from "./support/records.js";

const lookUp = { method: "GET", path: "/work/req-1", body: undefined };

void describe("http/request-forwarder", () => {
  test("a request that a controller cannot answer is forwarded once, and not at all to peers that just failed", async () => {
    let now = 0;
    let behind = false;
    const asked: string[] = [];
    const statuses = new Map<string, number>([
      ["self", 503],
      ["b", 503],
      ["c", 200],
    ]);
    const respond = (node: string): Promise<UserResponse> => {
      asked.push(node);
      return Promise.resolve({ status: statuses.get(node)!, body: {} });
    };
    const forwarder = new RequestForwarder({
      localHandler: { handle: () => respond("self") },
      peers: ["b", "c"],
      forward: (peer) => respond(peer),
      isBehind: () => behind,
      isClusterUnavailable: () => false,
      peerBackoffMs: 500,
      clock: () => now,
      log: silentLogger,
    });
    assert.equal((await forwarder.handle(lookUp)).status, 200);
    assert.deepEqual(asked.splice(0), ["self", "b", "c"]);
    // Known to be behind, it does not try itself first; and b has just answered that it cannot.
    behind = true;
    assert.equal((await forwarder.handle(lookUp)).status, 200);
    assert.deepEqual(asked.splice(0), ["c"]);
    statuses.set("c", 503);
    assert.equal((await forwarder.handle(lookUp)).status, 503);
    assert.equal((await forwarder.handle(lookUp)).status, 503);
    assert.deepEqual(asked.splice(0), ["c"]);
    now = 1000;
    statuses.set("b", 200);
    assert.equal((await forwarder.handle(lookUp)).status, 200);
  });
});
