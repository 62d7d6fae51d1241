/** Idle connections are closed in time: at thousands of machines, kept ones of users took all of a controller's sockets. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { checkOperatorSettings } from "../src/config/operator.js";
import { serve } from "../src/http/server.js";
import { statusWhileOff } from "../src/links/status.js";
import { DecisionMetrics } from "../src/shards/decision-metrics.js";
import { deriveTimings } from "../src/controller/timings.js";
import { silent } from "./support/records.js";
import { testSettings } from "./support/settings.js";

const IDLE_MS = 100;

const parts = {
  users: { handle: () => Promise.resolve({ status: 404, body: { error: "no such job" } }) },
  routeHeartbeat: () => Promise.resolve({ kind: "redirect" as const, owner: null }),
  isHealthy: () => true,
  linkStatus: () => statusWhileOff("node-0"),
  decisions: () => new DecisionMetrics().report("node-0"),
  log: silent,
};

const report =
  '{"host":"i-1","addr":"a:1","breed":"small","bank":"north","loaners":false,"tenure":1,"tick":1,"baton":0,"pieces":[]}';
const REQUESTS: [string, string][] = [
  ["user", "GET /work/req-1 HTTP/1.1\r\nHost: node-0\r\n\r\n"],
  [
    "worker",
    `POST /agent/beat HTTP/1.1\r\nHost: node-0\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
  ],
];

for (const [who, request] of REQUESTS)
  test(`a ${who}'s connection is answered, kept, and closed once it has been idle`, async (context) => {
    const server = await serve(parts, "127.0.0.1:0", IDLE_MS);
    context.after(() => {
      server.close();
    });
    const socket = connect(server.port, "127.0.0.1");
    await once(socket, "connect");
    socket.write(request);
    const [answer] = (await once(socket, "data")) as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1\.1 4\d\d /);
    assert.ok(!/connection: close/i.test(answer.toString()), "it is not closed with the answer");
    // Fails by the runner's time-out if the connection is kept.
    await once(socket, "close");
  });

// At 68 s, two cancellation times, the users of a deployment of 4,000 machines held more sockets than a controller has.
test("an idle connection is kept for no longer than a worker's lease", () => {
  const settings = testSettings({ leaseS: 14, cancelS: 34 });
  const { idleConnectionMs } = deriveTimings(settings, checkOperatorSettings({}));
  assert.ok(idleConnectionMs <= settings.workers.leaseMs, `${idleConnectionMs} ms`);
});
