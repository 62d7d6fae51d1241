/** Real processes on loopback: what users see while controllers and the state service fail. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Cluster, submission } from "./support/cluster.js";

/** A test on so many controllers, which are ended whatever comes of it. */
function clusterTest(name: string, controllers: number, work: (cluster: Cluster) => Promise<void>): void {
  test(name, async () => {
    const cluster = await Cluster.start(controllers);
    try {
      await work(cluster);
    } finally {
      await cluster.stop();
    }
  });
}

const accepted = (a: { status: number }): boolean => a.status === 201 || a.status === 200;

clusterTest(
  "a job runs to its end although each controller is killed once, and no task runs twice at a time",
  3,
  async (cluster) => {
    const submit = () => cluster.request(0, "POST", "/work", submission("req-1", { pieces: 12 }));
    await cluster.until(submit, accepted);
    for (const { node } of cluster.nodes) {
      await cluster.kill(node);
      cluster.launch(node);
    }
    const look = () => cluster.request(1, "GET", "/work/req-1");
    const done = await cluster.until(look, (a) => a.body.stage === "done");
    assert.equal(done.body.done, 12);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
    const again = await cluster.until(submit, accepted);
    assert.deepEqual([again.status, again.body.stage], [200, "done"]);
  },
);

clusterTest("a cancelled job stays cancelled, and nothing of it stays on a machine", 1, async (cluster) => {
  // More tasks than run at once, so that some wait while others run.
  await cluster.until(
    () => cluster.request(0, "POST", "/work", submission("req-2", { pieces: 300 })),
    accepted,
  );
  await cluster.until(
    () => cluster.request(0, "GET", "/work/req-2"),
    (a) => a.body.stage === "running",
  );
  const cancel = () => cluster.request(0, "POST", "/work/req-2/withdraw");
  const cancelled = await cluster.until(cancel, (a) => a.status === 200);
  assert.equal(cancelled.body.stage, "aborted");
  const runs = (): boolean => [...cluster.cloud.machines.values()].some((m) => m.running.size > 0);
  await cluster.until(
    () => cluster.request(0, "GET", "/work/req-2"),
    () => !runs(),
  );
  // On a loaded machine the answer may be to come again; any other must be the final one.
  const decided = ({ status }: { status: number }): boolean => status !== 0 && status !== 503;
  const look = () => cluster.request(0, "GET", "/work/req-2");
  const repeat = () => cluster.request(0, "POST", "/work", submission("req-2"));
  for (const ask of [look, repeat]) {
    const { status, body } = await cluster.until(ask, decided);
    assert.deepEqual([status, body.stage], [200, "aborted"]);
  }
});

clusterTest(
  "an order whose answer is lost is sent again under its name, and rents nothing twice",
  1,
  async (cluster) => {
    cluster.cloud.rentalResponsesToFail = 2;
    await cluster.until(
      () => cluster.request(0, "POST", "/work", submission("req-3", { pieces: 4 })),
      accepted,
    );
    await cluster.until(
      () => cluster.request(0, "GET", "/work/req-3"),
      (a) => a.body.stage === "done",
    );
    assert.equal(cluster.cloud.machines.size <= 1, true);
  },
);

clusterTest(
  "while the state service is down users are told to come back, and then all goes on",
  1,
  async (cluster) => {
    await cluster.until(() => cluster.request(0, "POST", "/work", submission("req-4")), accepted);
    cluster.state.down = true;
    const look = () => cluster.request(0, "GET", "/work/req-4");
    assert.equal((await look()).status, 503);
    assert.equal((await cluster.request(0, "POST", "/work", submission("req-5"))).status, 503);
    assert.equal((await cluster.request(0, "GET", "/up")).status, 200);
    cluster.state.down = false;
    await cluster.until(look, (a) => a.body.stage === "done");
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "a node that the state service alone refuses still answers the users whose connections it holds",
  3,
  async (cluster) => {
    await cluster.until(() => cluster.request(1, "POST", "/work", submission("req-8")), accepted);
    for (const node of [0, 2])
      await cluster.until(
        () => cluster.request(node, "GET", "/up"),
        (a) => a.status === 200,
      );
    cluster.state.refused.add(1);
    const submit = () => cluster.request(1, "POST", "/work", submission("req-9", { pieces: 5000 }));
    assert.equal((await cluster.until(submit, accepted)).body.nameId, "req-9");
    const look = () => cluster.request(1, "GET", "/work/req-8");
    await cluster.until(look, (a) => a.body.stage === "done");
    const cancel = () => cluster.request(1, "POST", "/work/req-9/withdraw");
    assert.equal((await cluster.until(cancel, (a) => a.status === 200)).body.stage, "aborted");
    assert.equal((await cluster.request(1, "GET", "/up")).status, 200);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "a node cut off from the state service and all peers is not up, and is again once it can follow the records",
  2,
  async (cluster) => {
    const up = () => cluster.request(0, "GET", "/up");
    await cluster.until(up, (a) => a.status === 200);
    await cluster.kill("node-1");
    cluster.state.refused.add(0);
    await cluster.until(up, (a) => a.status === 503);
    assert.equal((await cluster.request(0, "GET", "/work/req-1")).status, 503);
    cluster.state.refused.delete(0);
    await cluster.until(up, (a) => a.status === 200);
  },
);

clusterTest(
  "late copies, a machine that hears nothing and each controller refused in turn: all ends, and nothing runs twice",
  3,
  async (cluster) => {
    cluster.workers.duplicateShare = 1;
    const done = (id: string, node: number): Promise<unknown> =>
      cluster.until(
        () => cluster.request(node, "GET", `/work/${id}`),
        (a) => a.body.stage === "done",
      );
    const submit = (id: string, node: number): Promise<unknown> =>
      cluster.until(() => cluster.request(node, "POST", "/work", submission(id, { pieces: 60 })), accepted);
    await submit("req-10", 0);
    await cluster.until(
      () => cluster.request(0, "GET", "/work/req-10"),
      (a) => a.body.stage === "running",
    );
    const busy = [...cluster.cloud.machines.values()].find((m) => m.running.size > 0);
    if (busy) busy.areResponsesLost = true;
    for (const node of [0, 1, 2]) {
      cluster.state.refused.add(node);
      const other = (node + 1) % 3;
      await submit(`req-1${node + 1}`, other);
      // The other one is back within a fraction of a second, in the middle of the take-over.
      await cluster.kill(cluster.nodes[other]!.node);
      cluster.launch(cluster.nodes[other]!.node);
      await done(`req-1${node + 1}`, other);
      cluster.state.refused.delete(node);
    }
    await done("req-10", 0);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "no task is lost when a controller is cut off from its workers alone: another goes on with its shard",
  3,
  async (cluster) => {
    cluster.workers.unreachableControllers = new Set();
    // Longer than a lease, so that tasks would be lost if nobody answered their machines.
    cluster.workers.runMs = 2 * cluster.workers.leaseMs;
    const pieces = 12;
    await cluster.until(
      () => cluster.request(0, "POST", "/work", submission("req-20", { pieces })),
      accepted,
    );
    const look = () => cluster.request(0, "GET", "/work/req-20");
    await cluster.until(look, (a) => a.body.running === pieces);
    cluster.workers.unreachableControllers.add(cluster.ownerOf(0));
    await cluster.until(look, (a) => a.body.stage === "done");
    assert.equal(cluster.cloud.startedTasks.length, pieces);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "a controller that stands still for longer than its membership lease, and wakes with full buffers, acts on none of its old rights",
  3,
  async (cluster) => {
    // Longer than the stall, so that tasks of the old owner still run when the new one decides.
    cluster.workers.runMs = cluster.workers.leaseMs / 2;
    const submit = (id: string, node: number): Promise<unknown> =>
      cluster.until(() => cluster.request(node, "POST", "/work", submission(id, { pieces: 40 })), accepted);
    await submit("req-30", 0);
    await submit("req-31", 0);
    const look = (id: string, node: number) => cluster.request(node, "GET", `/work/${id}`);
    await cluster.until(
      () => look("req-30", 0),
      (a) => a.body.stage === "running",
    );
    const stalled = cluster.ownerOf(0);
    const stalledAt = cluster.nodes.findIndex((n) => n.node === stalled);
    const other = (stalledAt + 1) % 3;
    cluster.pause(stalled, true);
    // Questions that wait in its buffers while others decide.
    const early = [1, 2, 3].map(() => look("req-31", stalledAt));
    const cancel = () => cluster.request(other, "POST", "/work/req-31/withdraw");
    assert.equal((await cluster.until(cancel, (a) => a.status === 200)).body.stage, "aborted");
    await cluster.until(
      () => Promise.resolve({ status: 0, body: { owner: cluster.ownerOf(0) } }),
      (a) => a.body.owner !== stalled,
    );
    cluster.pause(stalled, false);
    const told = (await Promise.all(early)).filter((a) => a.status === 200).map((a) => a.body.stage);
    assert.deepEqual(
      told.filter((stage) => stage !== "aborted"),
      [],
    );
    await cluster.until(
      () => look("req-30", stalledAt),
      (a) => a.body.stage === "done",
    );
    assert.equal(
      (
        await cluster.until(
          () => look("req-31", stalledAt),
          (a) => a.status === 200,
        )
      ).body.stage,
      "aborted",
    );
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest("bad input gets a definite status", 1, async (cluster) => {
  const submit = (body: unknown) => cluster.request(0, "POST", "/work", body);
  await cluster.until(() => submit(submission("req-6")), accepted);
  const statuses: [unknown, number][] = [
    ["not json", 400],
    ["[]", 400],
    [submission("job-7"), 400],
    [submission("req-7", { pieces: 0 }), 400],
    [submission("req-7", { pieces: 100_001 }), 400],
    [submission("req-7", { vcpus: -1 }), 400],
    [submission("req-7", { rank: "high" }), 400],
    [submission("req-7", { breeds: [] }), 400],
    [submission("req-7", { bank: "nowhere" }), 400],
    [submission("req-7", { bundle: "x".repeat(70_000) }), 400],
    [submission("req-7", { crew: "unregistered" }), 422],
    [submission("req-7", { vcpus: 5 }), 422],
    [submission("req-7", { breeds: ["huge"] }), 422],
    [submission("req-7", { crew: "capped", vcpus: 4.5 }), 422],
    [submission("req-7", { together: true, spread: true, pieces: 2 }), 422],
    [submission("req-7", { bank: "north", spread: true, pieces: 2 }), 422],
    [submission("req-7", { guessS: undefined }), 400],
    [submission("req-7", { loaners: null }), 400],
    [submission("req-6", { crew: "unregistered" }), 200],
  ];
  for (const [body, status] of statuses)
    assert.equal((await submit(body)).status, status, JSON.stringify(body).slice(0, 300));
  assert.equal((await cluster.request(0, "GET", "/work/req-7")).status, 404);
  assert.equal((await cluster.request(0, "POST", "/work/req-7/withdraw")).status, 404);
  assert.equal((await cluster.request(0, "GET", "/nothing")).status, 404);
  assert.equal((await cluster.request(0, "DELETE", "/work")).status, 405);
  assert.equal((await cluster.request(0, "POST", "/agent/beat", { host: 7 })).status, 400);
});
