/**
 * Partial partitions of real controllers on loopback whose links go through proxies: each link is cut in one or both
 * directions and restored, and the history that users, workers, the cloud and the state service observed is checked.
 */
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { test } from "node:test";
import type { Direction } from "../src/links/model.js";
import type { LinkStatus } from "../src/links/status.js";
import { Cluster, submission, type Answer } from "./support/cluster.js";
import type { CutMode } from "./support/fault-proxy.js";
import { checkHistory, type CheckedJob } from "./support/history-checker.js";

const OPERATOR_FILE = "deploy/half-cut.hcl";
const CONTROLLERS = 3;

/** Sends users' requests and records the responses in the cluster's history. */
class Users {
  readonly jobs = new Map<string, CheckedJob>();

  constructor(private readonly cluster: Cluster) {}

  /** Submits a job repeatedly until it is accepted. */
  async submit(id: string, node: number, overrides: Record<string, unknown> = {}): Promise<void> {
    const body = submission(id, overrides);
    this.jobs.set(id, { tasks: Number(body.pieces), isPreemptible: body.rank !== "urgent" });
    const response = await this.cluster.until(
      () => this.cluster.request(node, "POST", "/work", body),
      ({ status }) => status === 201 || status === 200,
    );
    this.recordResponse(id, node, response);
  }

  /** Queries a job repeatedly until the response is as expected. */
  async pollUntil(id: string, node: number, isExpected: (response: Answer) => boolean): Promise<Answer> {
    const expected = await this.cluster.until(async () => {
      const response = await this.cluster.request(node, "GET", `/work/${id}`);
      this.recordResponse(id, node, response);
      return response;
    }, isExpected);
    return expected;
  }

  /** Requests a cancellation repeatedly until it is confirmed; returns the stage in the response. */
  async cancel(id: string, node: number): Promise<string> {
    this.cluster.history.push({ kind: "cancel_asked", job: id });
    const response = await this.cluster.until(
      () => this.cluster.request(node, "POST", `/work/${id}/withdraw`),
      ({ status }) => status === 200,
    );
    this.recordResponse(id, node, response);
    return String(response.body.stage);
  }

  /** Waits until every controller gives a final response for every job, and checks the history. */
  async checkFinalResponses(): Promise<void> {
    for (const id of this.jobs.keys())
      for (let node = 0; node < CONTROLLERS; node++)
        await this.pollUntil(id, node, ({ body }) => body.stage === "done" || body.stage === "aborted");
    const faults = checkHistory(this.cluster.history, this.jobs);
    assert.deepEqual(faults, []);
    assert.deepEqual(this.cluster.cloud.duplicateRuns, []);
  }

  private recordResponse(id: string, node: number, { status, body }: Answer): void {
    if (status !== 200 && status !== 201) return;
    this.cluster.history.push({ kind: "told", job: id, stage: String(body.stage), by: `node-${node}` });
  }
}

/** Fetches the status directly, not through the users' proxy; null while the controller is not up. */
async function linkStatusOf(cluster: Cluster, node: number): Promise<LinkStatus | null> {
  try {
    const response = await fetch(`http://${cluster.nodes[node]!.address}/links`);
    return (await response.json()) as LinkStatus;
  } catch {
    return null;
  }
}

/** Waits until a controller reports a state for one direction of a link. */
async function waitForLinkState(
  cluster: Cluster,
  node: number,
  link: string,
  direction: Direction,
  state: string,
): Promise<void> {
  const isShown = (status: LinkStatus | null): boolean =>
    status?.links.some((of) => of.link === link && of.direction === direction && of.state === state) ?? false;
  await cluster.until(
    async () => ({ status: 0, body: { shown: isShown(await linkStatusOf(cluster, node)) } }),
    ({ body }) => body.shown === true,
  );
}

function halfCutTest(name: string, run: (cluster: Cluster, users: Users) => Promise<void>): void {
  test(`half cut: ${name}`, async () => {
    const cluster = await Cluster.start(CONTROLLERS, { operatorFile: OPERATOR_FILE, isProxied: true });
    try {
      await run(cluster, new Users(cluster));
    } finally {
      await cluster.stop();
    }
  });
}

/** The index of the controller that owns the first shard. */
const ownerOf = (cluster: Cluster): number =>
  cluster.nodes.findIndex(({ node }) => node === cluster.ownerOf(0));

/** The index of the leader; -1 while there is none, between a resignation and the next election. */
const leaderOf = (cluster: Cluster): number => {
  const leader = cluster.state.value("fernpond/live/leader") as { node: string } | undefined;
  return cluster.nodes.findIndex(({ node }) => node === leader?.node);
};

interface StateCut {
  direction: Direction;
  mode: CutMode;
}

// With `hold`, both ends see silence, and the held messages arrive late when the link is restored.
const STATE_CUTS: StateCut[] = [
  { direction: "outbound", mode: "hold" },
  { direction: "inbound", mode: "hold" },
  { direction: "outbound", mode: "reset" },
];

/** Checks that another controller serves users while one is cut off, and that all do after the link is restored. */
async function checkServiceDuringCut(users: Users, cutOffNode: number, heal: () => void): Promise<void> {
  const other = (cutOffNode + 1) % CONTROLLERS;
  await users.submit("req-2", other, { pieces: 6 });
  await users.submit("req-3", other, { pieces: 200 });
  assert.equal(await users.cancel("req-3", other), "aborted");
  await users.pollUntil("req-2", other, ({ body }) => body.stage === "done");
  heal();
  await users.submit("req-4", cutOffNode, { pieces: 6 });
  await users.checkFinalResponses();
}

for (const { direction, mode } of STATE_CUTS)
  halfCutTest(
    `users are served while the owner's ${direction} link to the state service is cut (${mode})`,
    async (cluster, users) => {
      await users.submit("req-1", 0, { pieces: 40 });
      await users.pollUntil("req-1", 0, ({ body }) => body.stage === "running");
      const owner = ownerOf(cluster);
      const { node } = cluster.nodes[owner]!;
      cluster.cut(node, "state", mode, direction);
      await waitForLinkState(cluster, owner, "state", direction, "down");
      await checkServiceDuringCut(users, owner, () => {
        cluster.heal(node, "state");
      });
    },
  );

for (const direction of ["inbound", "outbound"] as const)
  halfCutTest(
    `an owner whose ${direction} link to its workers is cut loses its shard to another controller`,
    async (cluster, users) => {
      await users.submit("req-1", 0, { pieces: 40 });
      await users.pollUntil("req-1", 0, ({ body }) => body.stage === "running");
      const owner = ownerOf(cluster);
      const { node } = cluster.nodes[owner]!;
      cluster.cut(node, "workers", "hold", direction);
      await cluster.until(
        () => Promise.resolve({ status: 0, body: { owner: ownerOf(cluster) } }),
        ({ body }) => body.owner !== owner,
      );
      await checkServiceDuringCut(users, owner, () => {
        cluster.heal(node, "workers");
      });
    },
  );

halfCutTest("a leader that loses the cloud while others reach it resigns", async (cluster, users) => {
  await users.submit("req-1", 0, { pieces: 6 });
  await users.pollUntil("req-1", 0, ({ body }) => body.stage === "done");
  const leader = leaderOf(cluster);
  cluster.cut(cluster.nodes[leader]!.node, "cloud", "hold", "outbound", "inbound");
  await users.submit("req-2", 0, { pieces: 60 });
  await cluster.until(
    () => Promise.resolve({ status: 0, body: { leader: leaderOf(cluster) } }),
    ({ body }) => body.leader !== leader && body.leader !== -1,
  );
  await users.pollUntil("req-2", 0, ({ body }) => body.stage === "done");
  cluster.heal(cluster.nodes[leader]!.node, "cloud");
  await users.checkFinalResponses();
});

halfCutTest(
  "each controller in turn still runs jobs while its links to all peers are cut",
  async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 40 });
    for (let node = 0; node < CONTROLLERS; node++) {
      const { node: name } = cluster.nodes[node]!;
      cluster.cut(name, "peers", "hold", "outbound", "inbound");
      const peer = cluster.nodes[(node + 1) % CONTROLLERS]!.node;
      await waitForLinkState(cluster, node, `peer:${peer}`, "outbound", "down");
      await users.submit(`req-1${node}`, node, { pieces: 6 });
      await users.pollUntil(`req-1${node}`, node, ({ body }) => body.stage === "done");
      cluster.heal(name, "peers");
      await waitForLinkState(cluster, node, `peer:${peer}`, "outbound", "up");
    }
    await users.checkFinalResponses();
  },
);

halfCutTest(
  "jobs run while different links of two controllers are cut and one of the two is restarted at once",
  async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 60 });
    await users.pollUntil("req-1", 0, ({ body }) => body.stage === "running");
    const owner = ownerOf(cluster);
    const [second, third] = [(owner + 1) % CONTROLLERS, (owner + 2) % CONTROLLERS];
    const names = cluster.nodes.map(({ node }) => node);
    cluster.cut(names[owner]!, "state", "hold", "inbound");
    cluster.cut(names[second]!, "workers", "hold", "inbound", "outbound");
    await waitForLinkState(cluster, owner, "state", "inbound", "down");
    await cluster.kill(names[owner]!);
    cluster.launch(names[owner]!);
    await users.submit("req-2", third, { pieces: 6 });
    await users.pollUntil("req-2", third, ({ body }) => body.stage === "done");
    cluster.heal(names[owner]!, "state");
    cluster.heal(names[second]!, "workers");
    await users.checkFinalResponses();
  },
);

halfCutTest(
  "users get 503 without delay while no controller reaches the state service",
  async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 40 });
    await users.pollUntil("req-1", 0, ({ body }) => body.stage === "running");
    for (const { node } of cluster.nodes) cluster.cut(node, "state", "hold", "outbound");
    for (let node = 0; node < CONTROLLERS; node++) {
      await waitForLinkState(cluster, node, "state", "outbound", "down");
      const response = await cluster.request(node, "POST", "/work", submission("req-9"));
      assert.equal(response.status, 503);
    }
    for (const { node } of cluster.nodes) cluster.heal(node, "state");
    await users.checkFinalResponses();
  },
);

interface CommandResult {
  code: number;
  output: string;
}

function linksCommand(cluster: Cluster, ...options: string[]): Promise<CommandResult> {
  const config = cluster.settingsFile("node-0");
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      ["target/fernpond.js", "--config", config, "links", ...options],
      (err, output) => {
        resolve({ code: err === null ? 0 : Number(err.code), output });
      },
    );
  });
}

halfCutTest(
  "the links command shows all controllers, and its exit code reports lost links",
  async (cluster) => {
    for (let node = 0; node < CONTROLLERS; node++)
      await waitForLinkState(cluster, node, "state", "outbound", "up");
    const resultWhileUp = await linksCommand(cluster);
    assert.equal(resultWhileUp.code, 0, resultWhileUp.output);
    for (const { node } of cluster.nodes)
      assert.match(resultWhileUp.output, new RegExp(`${node}.*state.*outbound.*up`));
    cluster.state.refused.add(1);
    await waitForLinkState(cluster, 1, "state", "outbound", "down");
    const resultAfterLoss = await linksCommand(cluster, "--json");
    assert.equal(resultAfterLoss.code, 1);
    const reports = JSON.parse(resultAfterLoss.output) as { node: string; status: LinkStatus }[];
    assert.deepEqual(
      reports.map(({ node, status }) => [node, status.lost]),
      [
        ["node-0", []],
        ["node-1", ["state"]],
        ["node-2", []],
      ],
    );
    const page = await fetch(`http://${cluster.nodes[1]!.address}/links`, {
      headers: { accept: "text/plain" },
    });
    assert.match(await page.text(), /accept is delegated: the state service is not reached/);
    cluster.state.refused.delete(1);
    await waitForLinkState(cluster, 1, "state", "outbound", "up");
    await cluster.kill("node-2");
    const resultAfterKill = await linksCommand(cluster);
    assert.match(resultAfterKill.output, /node-2.*no answer/);
    // The other controllers may report a lost link to it by now, whose exit code takes precedence over no answer.
    assert.ok(resultAfterKill.code === 1 || resultAfterKill.code === 3, `exit code ${resultAfterKill.code}`);
  },
);
