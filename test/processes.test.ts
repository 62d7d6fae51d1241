/** Real processes on loopback: what users observe while controllers, links and the state store fail. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Cluster, submission } from "./support/cluster.js";

/** Runs a test on a cluster with the given number of controllers, which is stopped whatever the outcome. */
function clusterTest(name: string, controllers: number, run: (cluster: Cluster) => Promise<void>): void {
  test(name, async () => {
    const cluster = await Cluster.start(controllers);
    try {
      await run(cluster);
    } finally {
      await cluster.stop();
    }
  });
}

const isAccepted = (a: { status: number }): boolean => a.status === 201 || a.status === 200;

clusterTest(
  "a job completes although each controller is killed once, and no task runs twice at the same time",
  3,
  async (cluster) => {
    const submit = () => cluster.request(0, "POST", "/work", submission("req-1", { pieces: 12 }));
    await cluster.until(submit, isAccepted);
    for (const { node } of cluster.nodes) {
      await cluster.kill(node);
      cluster.launch(node);
    }
    const getJob = () => cluster.request(1, "GET", "/work/req-1");
    const done = await cluster.until(getJob, (a) => a.body.stage === "done");
    assert.equal(done.body.done, 12);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
    const resubmitted = await cluster.until(submit, isAccepted);
    assert.deepEqual([resubmitted.status, resubmitted.body.stage], [200, "done"]);
  },
);

clusterTest("a cancelled job stays cancelled, and none of its tasks keeps running", 1, async (cluster) => {
  // More tasks than can run at the same time, so that some are queued while others run.
  cluster.cloud.capacity = 4;
  await cluster.until(
    () => cluster.request(0, "POST", "/work", submission("req-2", { pieces: 300 })),
    isAccepted,
  );
  await cluster.until(
    () => cluster.request(0, "GET", "/work/req-2"),
    (a) => a.body.stage === "running",
  );
  const cancel = () => cluster.request(0, "POST", "/work/req-2/withdraw");
  const cancelled = await cluster.until(cancel, (a) => a.status === 200);
  assert.equal(cancelled.body.stage, "aborted");
  const hasRunningTasks = (): boolean => [...cluster.cloud.machines.values()].some((m) => m.running.size > 0);
  await cluster.until(
    () => cluster.request(0, "GET", "/work/req-2"),
    () => !hasRunningTasks(),
  );
  // On a loaded machine the response may be that the service is unavailable; any other response must be final.
  const isFinal = ({ status }: { status: number }): boolean => status !== 0 && status !== 503;
  const getJob = () => cluster.request(0, "GET", "/work/req-2");
  const resubmit = () => cluster.request(0, "POST", "/work", submission("req-2"));
  for (const request of [getJob, resubmit]) {
    const { status, body } = await cluster.until(request, isFinal);
    assert.deepEqual([status, body.stage], [200, "aborted"]);
  }
});

clusterTest(
  "a rental order whose response is lost is retried under the same name, and rents no machine twice",
  1,
  async (cluster) => {
    cluster.cloud.rentalResponsesToFail = 2;
    await cluster.until(
      () => cluster.request(0, "POST", "/work", submission("req-3", { pieces: 4 })),
      isAccepted,
    );
    await cluster.until(
      () => cluster.request(0, "GET", "/work/req-3"),
      (a) => a.body.stage === "done",
    );
    assert.equal(cluster.cloud.machines.size <= 1, true);
  },
);

clusterTest(
  "while the state store is down users get status 503, and once it is back their jobs complete",
  1,
  async (cluster) => {
    await cluster.until(() => cluster.request(0, "POST", "/work", submission("req-4")), isAccepted);
    cluster.state.down = true;
    const getJob = () => cluster.request(0, "GET", "/work/req-4");
    assert.equal((await getJob()).status, 503);
    assert.equal((await cluster.request(0, "POST", "/work", submission("req-5"))).status, 503);
    assert.equal((await cluster.request(0, "GET", "/up")).status, 200);
    cluster.state.down = false;
    await cluster.until(getJob, (a) => a.body.stage === "done");
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "a node that is cut off only from the state store still serves the users connected to it",
  3,
  async (cluster) => {
    await cluster.until(() => cluster.request(1, "POST", "/work", submission("req-8")), isAccepted);
    for (const node of [0, 2])
      await cluster.until(
        () => cluster.request(node, "GET", "/up"),
        (a) => a.status === 200,
      );
    cluster.state.refused.add(1);
    const submit = () => cluster.request(1, "POST", "/work", submission("req-9", { pieces: 5000 }));
    assert.equal((await cluster.until(submit, isAccepted)).body.nameId, "req-9");
    const getJob = () => cluster.request(1, "GET", "/work/req-8");
    await cluster.until(getJob, (a) => a.body.stage === "done");
    const cancel = () => cluster.request(1, "POST", "/work/req-9/withdraw");
    assert.equal((await cluster.until(cancel, (a) => a.status === 200)).body.stage, "aborted");
    assert.equal((await cluster.request(1, "GET", "/up")).status, 200);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "a node cut off from the state store and all peers is unhealthy until it can follow the records again",
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
  "jobs complete and no task runs twice despite delayed duplicates, lost responses to a machine, and each controller cut off in turn",
  3,
  async (cluster) => {
    cluster.workers.duplicateShare = 1;
    const waitUntilDone = (id: string, node: number): Promise<unknown> =>
      cluster.until(
        () => cluster.request(node, "GET", `/work/${id}`),
        (a) => a.body.stage === "done",
      );
    const submit = (id: string, node: number): Promise<unknown> =>
      cluster.until(() => cluster.request(node, "POST", "/work", submission(id, { pieces: 60 })), isAccepted);
    await submit("req-10", 0);
    await cluster.until(
      () => cluster.request(0, "GET", "/work/req-10"),
      (a) => a.body.stage === "running",
    );
    const busyMachine = [...cluster.cloud.machines.values()].find((m) => m.running.size > 0);
    if (busyMachine) busyMachine.areResponsesLost = true;
    for (const node of [0, 1, 2]) {
      cluster.state.refused.add(node);
      const other = (node + 1) % 3;
      await submit(`req-1${node + 1}`, other);
      // The other controller restarts within a fraction of a second, during the failover.
      await cluster.kill(cluster.nodes[other]!.node);
      cluster.launch(cluster.nodes[other]!.node);
      await waitUntilDone(`req-1${node + 1}`, other);
      cluster.state.refused.delete(node);
    }
    await waitUntilDone("req-10", 0);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "no task is lost when a controller is cut off from its workers only: another one takes over its shard",
  3,
  async (cluster) => {
    cluster.workers.unreachableControllers = new Set();
    // Longer than a lease, so that tasks would be lost if no controller responded to their machines.
    cluster.workers.runMs = 2 * cluster.workers.leaseMs;
    const pieces = 12;
    await cluster.until(
      () => cluster.request(0, "POST", "/work", submission("req-20", { pieces })),
      isAccepted,
    );
    const getJob = () => cluster.request(0, "GET", "/work/req-20");
    await cluster.until(getJob, (a) => a.body.running === pieces);
    cluster.workers.unreachableControllers.add(cluster.ownerOf(0));
    await cluster.until(getJob, (a) => a.body.stage === "done");
    assert.equal(cluster.cloud.startedTasks.length, pieces);
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest(
  "a controller that resumes after its membership lease expired, with requests in its buffers, does not act on the lease",
  3,
  async (cluster) => {
    // Longer than the suspension, so that tasks of the old owner still run when the new one takes over.
    cluster.workers.runMs = cluster.workers.leaseMs / 2;
    const submit = (id: string, node: number): Promise<unknown> =>
      cluster.until(() => cluster.request(node, "POST", "/work", submission(id, { pieces: 40 })), isAccepted);
    await submit("req-30", 0);
    await submit("req-31", 0);
    const getJob = (id: string, node: number) => cluster.request(node, "GET", `/work/${id}`);
    await cluster.until(
      () => getJob("req-30", 0),
      (a) => a.body.stage === "running",
    );
    const suspended = cluster.ownerOf(0);
    const suspendedIndex = cluster.nodes.findIndex((n) => n.node === suspended);
    const other = (suspendedIndex + 1) % 3;
    cluster.pause(suspended, true);
    // Requests that wait in its socket buffers while another controller cancels the job.
    const bufferedRequests = [1, 2, 3].map(() => getJob("req-31", suspendedIndex));
    const cancel = () => cluster.request(other, "POST", "/work/req-31/withdraw");
    assert.equal((await cluster.until(cancel, (a) => a.status === 200)).body.stage, "aborted");
    await cluster.until(
      () => Promise.resolve({ status: 0, body: { owner: cluster.ownerOf(0) } }),
      (a) => a.body.owner !== suspended,
    );
    cluster.pause(suspended, false);
    const responses = await Promise.all(bufferedRequests);
    const stages = responses.filter((a) => a.status === 200).map((a) => a.body.stage);
    assert.deepEqual(
      stages.filter((stage) => stage !== "aborted"),
      [],
    );
    await cluster.until(
      () => getJob("req-30", suspendedIndex),
      (a) => a.body.stage === "done",
    );
    assert.equal(
      (
        await cluster.until(
          () => getJob("req-31", suspendedIndex),
          (a) => a.status === 200,
        )
      ).body.stage,
      "aborted",
    );
    assert.deepEqual(cluster.cloud.duplicateRuns, []);
  },
);

clusterTest("each kind of invalid request gets its specific status", 1, async (cluster) => {
  const submit = (body: unknown) => cluster.request(0, "POST", "/work", body);
  await cluster.until(() => submit(submission("req-6")), isAccepted);
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
