/**
 * Real controllers on loopback whose links pass through proxies: each link is cut in turn, each direction, and healed, and
 * the history that everybody outside saw is checked.
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

/** Jobs and what users are told of them, noted in the cluster's history. */
class Users {
  readonly jobs = new Map<string, CheckedJob>();

  constructor(private readonly cluster: Cluster) {}

  /** Submits until the job is accepted. */
  async submit(id: string, node: number, over: Record<string, unknown> = {}): Promise<void> {
    const body = submission(id, over);
    this.jobs.set(id, { tasks: Number(body.pieces), stoppable: body.rank !== "urgent" });
    const answer = await this.cluster.until(
      () => this.cluster.request(node, "POST", "/work", body),
      ({ status }) => status === 201 || status === 200,
    );
    this.note(id, node, answer);
  }

  /** Asks until the answer is as wanted. */
  async ask(id: string, node: number, wanted: (answer: Answer) => boolean): Promise<Answer> {
    const answer = await this.cluster.until(async () => {
      const said = await this.cluster.request(node, "GET", `/work/${id}`);
      this.note(id, node, said);
      return said;
    }, wanted);
    return answer;
  }

  async cancel(id: string, node: number): Promise<string> {
    this.cluster.history.push({ kind: "cancel_asked", job: id });
    const answer = await this.cluster.until(
      () => this.cluster.request(node, "POST", `/work/${id}/withdraw`),
      ({ status }) => status === 200,
    );
    this.note(id, node, answer);
    return String(answer.body.stage);
  }

  /** Every controller gives every job's final answer, and it is the same. */
  async settle(): Promise<void> {
    for (const id of this.jobs.keys())
      for (let node = 0; node < CONTROLLERS; node++)
        await this.ask(id, node, ({ body }) => body.stage === "done" || body.stage === "aborted");
    const faults = checkHistory(this.cluster.history, this.jobs);
    assert.deepEqual(faults, []);
    assert.deepEqual(this.cluster.cloud.duplicateRuns, []);
  }

  private note(id: string, node: number, { status, body }: Answer): void {
    if (status !== 200 && status !== 201) return;
    this.cluster.history.push({ kind: "told", job: id, stage: String(body.stage), by: `node-${node}` });
  }
}

/** Asked past the users' proxy; null while the controller is not up. */
async function statusOf(cluster: Cluster, node: number): Promise<LinkStatus | null> {
  try {
    const response = await fetch(`http://${cluster.nodes[node]!.address}/links`);
    return (await response.json()) as LinkStatus;
  } catch {
    return null;
  }
}

/** Waits until a controller finds one direction of a link in a state. */
async function untilState(
  cluster: Cluster,
  node: number,
  link: string,
  direction: Direction,
  state: string,
): Promise<void> {
  const shows = (status: LinkStatus | null): boolean =>
    status?.links.some((of) => of.link === link && of.direction === direction && of.state === state) ?? false;
  await cluster.until(
    async () => ({ status: 0, body: { shown: shows(await statusOf(cluster, node)) } }),
    ({ body }) => body.shown === true,
  );
}

function halfCutTest(name: string, work: (cluster: Cluster, users: Users) => Promise<void>): void {
  test(`half cut: ${name}`, async () => {
    const cluster = await Cluster.start(CONTROLLERS, { operator: OPERATOR_FILE, proxied: true });
    try {
      await work(cluster, new Users(cluster));
    } finally {
      await cluster.stop();
    }
  });
}

/** The controller that owns the first shard, by number. */
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

// Cuts that hold what is sent: both ends see silence, and late copies arrive when they heal.
const STATE_CUTS: StateCut[] = [
  { direction: "outbound", mode: "hold" },
  { direction: "inbound", mode: "hold" },
  { direction: "outbound", mode: "reset" },
];

/** What comes while a controller is cut off is served by another, and after it has healed by all. */
async function serveMeanwhile(users: Users, cutOff: number, heal: () => void): Promise<void> {
  const other = (cutOff + 1) % CONTROLLERS;
  await users.submit("req-2", other, { pieces: 6 });
  await users.submit("req-3", other, { pieces: 200 });
  assert.equal(await users.cancel("req-3", other), "aborted");
  await users.ask("req-2", other, ({ body }) => body.stage === "done");
  heal();
  await users.submit("req-4", cutOff, { pieces: 6 });
  await users.settle();
}

for (const { direction, mode } of STATE_CUTS)
  halfCutTest(`an owner loses the state service ${direction} (${mode})`, async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 40 });
    await users.ask("req-1", 0, ({ body }) => body.stage === "running");
    const owner = ownerOf(cluster);
    const { node } = cluster.nodes[owner]!;
    cluster.cut(node, "state", mode, direction);
    await untilState(cluster, owner, "state", direction, "down");
    await serveMeanwhile(users, owner, () => {
      cluster.heal(node, "state");
    });
  });

for (const direction of ["inbound", "outbound"] as const)
  halfCutTest(
    `an owner loses its workers ${direction}, and its shard goes where they go`,
    async (cluster, users) => {
      await users.submit("req-1", 0, { pieces: 40 });
      await users.ask("req-1", 0, ({ body }) => body.stage === "running");
      const owner = ownerOf(cluster);
      const { node } = cluster.nodes[owner]!;
      cluster.cut(node, "workers", "hold", direction);
      await cluster.until(
        () => Promise.resolve({ status: 0, body: { owner: ownerOf(cluster) } }),
        ({ body }) => body.owner !== owner,
      );
      await serveMeanwhile(users, owner, () => {
        cluster.heal(node, "workers");
      });
    },
  );

halfCutTest(
  "the leader loses the cloud while others reach it, and gives leadership up",
  async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 6 });
    await users.ask("req-1", 0, ({ body }) => body.stage === "done");
    const leader = leaderOf(cluster);
    cluster.cut(cluster.nodes[leader]!.node, "cloud", "hold", "outbound", "inbound");
    await users.submit("req-2", 0, { pieces: 60 });
    await cluster.until(
      () => Promise.resolve({ status: 0, body: { leader: leaderOf(cluster) } }),
      ({ body }) => body.leader !== leader && body.leader !== -1,
    );
    await users.ask("req-2", 0, ({ body }) => body.stage === "done");
    cluster.heal(cluster.nodes[leader]!.node, "cloud");
    await users.settle();
  },
);

halfCutTest("each controller loses its peers, one after the other", async (cluster, users) => {
  await users.submit("req-1", 0, { pieces: 40 });
  for (let node = 0; node < CONTROLLERS; node++) {
    const { node: name } = cluster.nodes[node]!;
    cluster.cut(name, "peers", "hold", "outbound", "inbound");
    const peer = cluster.nodes[(node + 1) % CONTROLLERS]!.node;
    await untilState(cluster, node, `peer:${peer}`, "outbound", "down");
    await users.submit(`req-1${node}`, node, { pieces: 6 });
    await users.ask(`req-1${node}`, node, ({ body }) => body.stage === "done");
    cluster.heal(name, "peers");
    await untilState(cluster, node, `peer:${peer}`, "outbound", "up");
  }
  await users.settle();
});

halfCutTest(
  "two controllers are half cut on different links, and one of them is back within a moment",
  async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 60 });
    await users.ask("req-1", 0, ({ body }) => body.stage === "running");
    const owner = ownerOf(cluster);
    const [second, third] = [(owner + 1) % CONTROLLERS, (owner + 2) % CONTROLLERS];
    const names = cluster.nodes.map(({ node }) => node);
    cluster.cut(names[owner]!, "state", "hold", "inbound");
    cluster.cut(names[second]!, "workers", "hold", "inbound", "outbound");
    await untilState(cluster, owner, "state", "inbound", "down");
    await cluster.kill(names[owner]!);
    cluster.launch(names[owner]!);
    await users.submit("req-2", third, { pieces: 6 });
    await users.ask("req-2", third, ({ body }) => body.stage === "done");
    cluster.heal(names[owner]!, "state");
    cluster.heal(names[second]!, "workers");
    await users.settle();
  },
);

halfCutTest(
  "all controllers lose the state service at once, and users are told at once to come again",
  async (cluster, users) => {
    await users.submit("req-1", 0, { pieces: 40 });
    await users.ask("req-1", 0, ({ body }) => body.stage === "running");
    for (const { node } of cluster.nodes) cluster.cut(node, "state", "hold", "outbound");
    for (let node = 0; node < CONTROLLERS; node++) {
      await untilState(cluster, node, "state", "outbound", "down");
      const answer = await cluster.request(node, "POST", "/work", submission("req-9"));
      assert.equal(answer.status, 503);
    }
    for (const { node } of cluster.nodes) cluster.heal(node, "state");
    await users.settle();
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

halfCutTest("the links command shows all controllers, and its exit code what is wrong", async (cluster) => {
  for (let node = 0; node < CONTROLLERS; node++) await untilState(cluster, node, "state", "outbound", "up");
  const fine = await linksCommand(cluster);
  assert.equal(fine.code, 0, fine.output);
  for (const { node } of cluster.nodes) assert.match(fine.output, new RegExp(`${node}.*state.*outbound.*up`));
  cluster.state.refused.add(1);
  await untilState(cluster, 1, "state", "outbound", "down");
  const lost = await linksCommand(cluster, "--json");
  assert.equal(lost.code, 1);
  const reports = JSON.parse(lost.output) as { node: string; status: LinkStatus }[];
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
  await untilState(cluster, 1, "state", "outbound", "up");
  await cluster.kill("node-2");
  const silent = await linksCommand(cluster);
  assert.match(silent.output, /node-2.*no answer/);
  // The others may find by now that they do not reach it: that is worse than its silence.
  assert.ok(silent.code === 1 || silent.code === 3, `exit code ${silent.code}`);
});
