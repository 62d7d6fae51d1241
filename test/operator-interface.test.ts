/** The interface for operators and their scripts: HTTP responses, the `links` command and exit codes. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, test } from "node:test";
import { createApp, type HttpDependencies } from "../src/http/app.js";
import { collectLinkReports, LINK_EXIT_CODES, linkExitCode, linkTable } from "../src/cli/link-report.js";
import { LinkMonitor } from "../src/links/monitor.js";
import { DIRECTIONS, LINK_STATES, type Evidence, type Scope } from "../src/links/model.js";
import {
  ACTIVITIES,
  DECISIONS,
  LOSSES,
  NORMAL_RULES,
  RULES_BY_LOSS,
} from "../src/links/degradation-policy.js";
import { MONITOR_MODES } from "../src/links/settings.js";
import { statusWhileOff, type LinkStatus } from "../src/links/status.js";
import type { PeerReply, PeerRequest } from "../src/peers/peer-messages.js";
import { DecisionMetrics, type DecisionReport } from "../src/shards/decision-metrics.js";
import { assertSameJson, readFixture } from "./support/fixtures.js";
import { defaultLinkTimings, TICK_MS } from "./support/link-timings.js";
import { silentLogger } from "./support/records.js";
import { settingsText } from "./support/settings.js";

const EVIDENCE: Record<Evidence, true> = {
  no_answer: true,
  refused: true,
  silent: true,
  answers_lost: true,
  delivered: true,
  slow: true,
  recovering: true,
  no_traffic: true,
  process_stalled: true,
  uncorroborated: true,
};
const SCOPES: Record<Scope, true> = { none: true, this_node: true, everyone: true, unclear: true };

/** All terms that the link status and the `links` command use, and the restrictions that apply to each lost link. */
const VOCABULARY = {
  modes: MONITOR_MODES,
  directions: DIRECTIONS,
  states: LINK_STATES,
  evidence: Object.keys(EVIDENCE),
  scopes: Object.keys(SCOPES),
  losses: LOSSES,
  activities: ACTIVITIES,
  decisions: DECISIONS,
  normalRules: NORMAL_RULES,
  rulesWithout: RULES_BY_LOSS,
};

/** An HTTP response; the body is parsed JSON, or the lines of a text. */
interface HttpFixture {
  status: number;
  type: string | null;
  body: unknown;
}

interface OperatorFixtures {
  http: Record<string, HttpFixture>;
  linksCommand: { json: unknown; table: string[] };
  vocabulary: unknown;
}

const fixture = readFixture("operator-answers") as OperatorFixtures;

/**
 * The link status of a controller whose state store refuses requests, whose workers send heartbeats and whose peers are
 * idle.
 */
function statusWithoutState(mode: "observe" | "enforce"): LinkStatus {
  let now = 0;
  const monitor = new LinkMonitor(
    {
      node: "node-0",
      incarnation: "node-0.1",
      peers: ["node-1", "node-2"],
      mode,
      timings: defaultLinkTimings(),
      probes: { cloudRps: 4, controllers: 3, share: 0.02 },
      misroutedWindowMs: 8000,
      maxMachines: 100,
      usersSilenceMs: 5000,
      clock: () => now,
    },
    {
      ownedShards: () => [{ shard: 0, term: 7, machines: 4 }],
      isLeader: () => false,
      isMember: () => true,
      probe: () => undefined,
      handOver: () => undefined,
      resign: () => undefined,
    },
    silentLogger,
  );
  monitor.receiveView(Uint8Array.of(255));
  for (let ticks = 0; ticks < 20; ticks++) {
    now += TICK_MS;
    monitor.tell({ kind: "observed", observation: { kind: "refused", link: "state" } });
    monitor.tell({
      kind: "observed",
      observation: { kind: "delivered", link: "workers", direction: "inbound" },
    });
    monitor.tell({ kind: "tick" });
  }
  return monitor.status();
}

/** All reasons for refusing to renew a worker's lease, as reported to operators. */
const REFUSALS = [
  "not_owner",
  "passing_on",
  "lease_over",
  "view_before_entry",
  "view_too_old",
  "other_term",
  "newer_token",
  "report_not_newer",
  "shard_behind_view",
  "ended_task_kept",
  "ended_task_started",
] as const;

/** A decision report with one renewal, and one refusal for each reason. */
function decisions(): DecisionReport {
  const metrics = new DecisionMetrics();
  metrics.recordRenewal(40);
  for (const reason of REFUSALS) metrics.recordRefusal(reason);
  metrics.recordStopSent(120);
  metrics.recordTasksGone(900);
  return metrics.report("node-0");
}

/** Sends a GET request to the HTTP interface; `dependencies` replace the defaults. */
async function getResponse(
  path: string,
  accept: string,
  dependencies: Partial<HttpDependencies>,
): Promise<HttpFixture> {
  const app = createApp({
    users: { handle: () => Promise.resolve({ status: 404, body: {} }) },
    routeHeartbeat: () => Promise.resolve({ kind: "redirect", owner: null }),
    isHealthy: () => true,
    linkStatus: () => statusWhileOff("node-0"),
    decisions,
    log: silentLogger,
    ...dependencies,
  });
  const handleRequest = app.callback();
  const server = createServer((request, response) => void handleRequest(request, response));
  await once(server.listen(0, "127.0.0.1"), "listening");
  try {
    const { port } = server.address() as AddressInfo;
    const httpResponse = await fetch(`http://127.0.0.1:${port}${path}`, { headers: { accept } });
    const type = httpResponse.headers.get("content-type");
    const text = await httpResponse.text();
    const body: unknown = type?.startsWith("application/json") ? JSON.parse(text) : text.split("\n");
    return { status: httpResponse.status, type, body };
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

const enforcingMonitor = { linkStatus: () => statusWithoutState("enforce") };
const observingMonitor = { linkStatus: () => statusWithoutState("observe") };

const REQUESTS: [name: string, path: string, accept: string, dependencies: Partial<HttpDependencies>][] = [
  ["links, monitor off", "/links", "application/json", {}],
  ["links, monitor off, as text", "/links", "text/plain", {}],
  ["links, monitor on", "/links", "*/*", enforcingMonitor],
  ["links, monitor on, as text", "/links", "text/plain", enforcingMonitor],
  ["links, monitor that only observes, as text", "/links", "text/plain", observingMonitor],
  ["decisions", "/decisions", "application/json", {}],
  ["health", "/up", "*/*", {}],
  ["health, unhealthy", "/up", "*/*", { isHealthy: () => false }],
];

/**
 * Reports of three controllers: one without the state store, one whose monitor is off, and one that does not respond.
 */
const collectReports = () =>
  collectLinkReports(
    { node: "node-0", peers: ["node-1", "node-2"].map((node) => ({ node, address: "127.0.0.1:1" })) },
    {
      request: (node: string, request: PeerRequest): Promise<PeerReply> => {
        assert.deepEqual(request, { linkStatus: {} });
        if (node === "node-2") return Promise.reject(new Error("no answer"));
        const status = node === "node-0" ? statusWithoutState("enforce") : statusWhileOff(node);
        return Promise.resolve({ linkReport: { json: JSON.stringify(status) } });
      },
    },
  );

void describe("http/app", () => {
  test("all HTTP responses in the fixture are checked", () => {
    assert.deepEqual(
      REQUESTS.map(([name]) => name),
      Object.keys(fixture.http),
    );
  });

  for (const [name, path, accept, dependencies] of REQUESTS)
    test(`${name}: GET ${path} matches the fixture`, async () => {
      assertSameJson(await getResponse(path, accept, dependencies), fixture.http[name]);
    });
});

void describe("links", () => {
  test("the terms that operators and their scripts read match the fixture", () => {
    assertSameJson(VOCABULARY, fixture.vocabulary);
  });
});

void describe("link-report", () => {
  test("the links command reports all controllers as JSON and as a table", async () => {
    const reports = await collectReports();
    assertSameJson(reports, fixture.linksCommand.json);
    assert.deepEqual((await linkTable(reports)).split("\n"), fixture.linksCommand.table);
  });

  test("in the exit code, a lost link takes precedence over a missing response, and that over a monitor that is off", async () => {
    const [linkLost, monitorOff, noResponse] = await collectReports();
    const ok = { node: "node-3", status: { ...monitorOff!.status!, mode: "enforce" as const } };
    assert.equal(linkExitCode([ok]), 0);
    assert.equal(linkExitCode([ok, monitorOff!, noResponse!, linkLost!]), 1);
    assert.equal(linkExitCode([ok, monitorOff!, noResponse!]), 3);
    assert.equal(linkExitCode([ok, monitorOff!]), 4);
    assert.deepEqual(LINK_EXIT_CODES, { ok: 0, linkLost: 1, noResponse: 3, monitorOff: 4 });
  });
});

void describe("command line", () => {
  test("check-config reports a missing setting on one line and exits with code 2", () => {
    const folder = mkdtempSync(join(tmpdir(), "fernpond-operator-"));
    try {
      const config = join(folder, "settings.toml");
      writeFileSync(config, settingsText().replace(/^lease_s = .*$/m, ""));
      const { status, stdout, stderr } = spawnSync(
        process.execPath,
        ["target/fernpond.js", "check-config", "--config", config],
        { encoding: "utf8" },
      );
      assert.deepEqual(
        { status, stdout, stderr },
        {
          status: 2,
          stdout: "",
          stderr: "fernpond: settings.workers.lease_s: Invalid input: expected number, received undefined\n",
        },
      );
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
});
