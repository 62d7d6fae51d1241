/** Users' requests that a node cannot answer itself. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestForwarder } from "../src/http/request-forwarder.js";
import type { UserResponse } from "../src/http/user-requests.js";
import { silent } from "./support/records.js";

const look = { method: "GET", path: "/work/req-1", body: undefined };

test("what a node cannot answer goes to a peer once; in an outage requests do not go round", async () => {
  let now = 0;
  let behind = false;
  const asked: string[] = [];
  const answers = new Map<string, number>([
    ["self", 503],
    ["b", 503],
    ["c", 200],
  ]);
  const answer = (who: string): Promise<UserResponse> => {
    asked.push(who);
    return Promise.resolve({ status: answers.get(who)!, body: {} });
  };
  const relay = new RequestForwarder({
    own: { handle: () => answer("self") },
    peers: ["b", "c"],
    forward: (peer) => answer(peer),
    isBehind: () => behind,
    isOutage: () => false,
    pauseMs: 500,
    clock: () => now,
    log: silent,
  });
  assert.equal((await relay.handle(look)).status, 200);
  assert.deepEqual(asked.splice(0), ["self", "b", "c"]);
  // Known to be behind, it does not ask itself first; and b has just said that it cannot answer.
  behind = true;
  assert.equal((await relay.handle(look)).status, 200);
  assert.deepEqual(asked.splice(0), ["c"]);
  answers.set("c", 503);
  assert.equal((await relay.handle(look)).status, 503);
  assert.equal((await relay.handle(look)).status, 503);
  assert.deepEqual(asked.splice(0), ["c"]);
  now = 1000;
  answers.set("b", 200);
  assert.equal((await relay.handle(look)).status, 200);
});
