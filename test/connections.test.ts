/**
 * Idle connections are closed in time. Guards against a controller that runs out of sockets: in a deployment of thousands
 * of machines, idle keep-alive connections of users used all of them.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, test } from "node:test";
import { checkOperatorSettings } from "../src/config/operator.js";
import { deriveTimings } from "../src/controller/timings.js";
import { serve } from "../src/http/server.js";
import { httpDependencies } from "./support/http.js";
import { testSettings } from "./support/settings.js";

const IDLE_MS = 100;

const heartbeat =
  '{"host":"i-1","addr":"a:1","breed":"small","bank":"north","loaners":false,"tenure":1,"tick":1,"baton":0,"pieces":[]}';
const REQUESTS: [sender: string, request: string][] = [
  ["user", "GET /work/req-1 HTTP/1.1\r\nHost: node-0\r\n\r\n"],
  [
    "worker",
    `POST /agent/beat HTTP/1.1\r\nHost: node-0\r\nContent-Length: ${heartbeat.length}\r\n\r\n${heartbeat}`,
  ],
];

void describe("http/server", () => {
  for (const [sender, request] of REQUESTS)
    test(`a ${sender}'s connection stays open after the response, and is closed once it is idle`, async (context) => {
      const server = await serve(httpDependencies(), "127.0.0.1:0", IDLE_MS);
      context.after(() => {
        server.close();
      });
      const socket = connect(server.port, "127.0.0.1");
      await once(socket, "connect");
      socket.write(request);
      const [response] = (await once(socket, "data")) as [Buffer];
      assert.match(response.toString(), /^HTTP\/1\.1 4\d\d /);
      assert.ok(
        !/connection: close/i.test(response.toString()),
        "the response must not close the connection",
      );
      // Times out in the test runner if the server keeps the connection open.
      await once(socket, "close");
    });
});

void describe("controller/timings", () => {
  // A timeout of 68 s (twice the cancellation time) exhausted a controller's sockets in a deployment of 4,000 machines.
  test("the idle timeout of connections does not exceed the worker lease", () => {
    const settings = testSettings({ leaseS: 14, cancelS: 34 });
    const { idleConnectionTimeoutMs } = deriveTimings(settings, checkOperatorSettings({}));
    assert.ok(idleConnectionTimeoutMs <= settings.workers.leaseMs, `${idleConnectionTimeoutMs} ms`);
  });
});
