/** The interface to operators and their scripts: HTTP pages, the `links` command and exit codes. */
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

/** All words that the links page and the links command use, and what is restricted with each loss. */
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

/** An answer over HTTP; the body is JSON, or the lines of a text. */
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

/** The status of a controller that the state service refuses, whose workers report and whose peers are quiet. */
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

/** All reasons for which a worker's report is refused, as operators see them. */
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

/** A report of one answer, and of one refusal for each reason. */
function decisions(): DecisionReport {
  const metrics = new DecisionMetrics();
  metrics.recordRenewal(40);
  for (const reason of REFUSALS) metrics.recordRefusal(reason);
  metrics.recordStopSent(120);
  metrics.recordTasksGone(900);
  return metrics.report("node-0");
}

/** Asks a controller's HTTP interface, as it is with these parts, for a page. */
async function page(path: string, accept: string, parts: Partial<HttpDependencies>): Promise<HttpFixture> {
  const app = createApp({
    users: { handle: () => Promise.resolve({ status: 404, body: {} }) },
    routeHeartbeat: () => Promise.resolve({ kind: "redirect", owner: null }),
    isHealthy: () => true,
    linkStatus: () => statusWhileOff("node-0"),
    decisions,
    log: silentLogger,
    ...parts,
  });
  const handle = app.callback();
  const server = createServer((request, response) => void handle(request, response));
  await once(server.listen(0, "127.0.0.1"), "listening");
  try {
    const { port } = server.address() as AddressInfo;
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, { headers: { accept } });
    const type = answer.headers.get("content-type");
    const text = await answer.text();
    const body: unknown = type?.startsWith("application/json") ? JSON.parse(text) : text.split("\n");
    return { status: answer.status, type, body };
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

const enforcing = { linkStatus: () => statusWithoutState("enforce") };
const observing = { linkStatus: () => statusWithoutState("observe") };

const PAGES: [name: string, path: string, accept: string, parts: Partial<HttpDependencies>][] = [
  ["links, monitor off", "/links", "application/json", {}],
  ["links, monitor off, as text", "/links", "text/plain", {}],
  ["links, monitor on", "/links", "*/*", enforcing],
  ["links, monitor on, as text", "/links", "text/plain", enforcing],
  ["links, monitor that only observes, as text", "/links", "text/plain", observing],
  ["decisions", "/decisions", "application/json", {}],
  ["health", "/up", "*/*", {}],
  ["health, unhealthy", "/up", "*/*", { isHealthy: () => false }],
];

/** Reports of three controllers: one without the state service, one whose monitor is off, and one that is silent. */
const reports = () =>
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
  test("every page of the fixture is checked", () => {
    assert.deepEqual(
      PAGES.map(([name]) => name),
      Object.keys(fixture.http),
    );
  });

  for (const [name, path, accept, parts] of PAGES)
    test(`${name}: GET ${path} matches the fixture`, async () => {
      assertSameJson(await page(path, accept, parts), fixture.http[name]);
    });
});

void describe("links", () => {
  test("the words that operators and their scripts read match the fixture", () => {
    assertSameJson(VOCABULARY, fixture.vocabulary);
  });
});

void describe("link-report", () => {
  test("the links command prints all controllers as JSON and as a table", async () => {
    const all = await reports();
    assertSameJson(all, fixture.linksCommand.json);
    assert.deepEqual((await linkTable(all)).split("\n"), fixture.linksCommand.table);
  });

  test("its exit code tells a lost link before a silent controller, and that before a monitor that is off", async () => {
    const [lost, off, unreached] = await reports();
    const fine = { node: "node-3", status: { ...off!.status!, mode: "enforce" as const } };
    assert.equal(linkExitCode([fine]), 0);
    assert.equal(linkExitCode([fine, off!, unreached!, lost!]), 1);
    assert.equal(linkExitCode([fine, off!, unreached!]), 3);
    assert.equal(linkExitCode([fine, off!]), 4);
    assert.deepEqual(LINK_EXIT_CODES, { fine: 0, lost: 1, unreached: 3, off: 4 });
  });
});

void describe("command line", () => {
  test("check-config names a missing setting on one line and ends with exit code 2", () => {
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
