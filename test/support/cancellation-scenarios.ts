/** Cancellations that coincide with faults of controllers, of the state service and of machines. */
import assert from "node:assert/strict";
import { faults } from "./faults.js";
import { type FaultCombination, ownerAndOther, startJob, submitLongJob } from "./scenario.js";

/**
 * Another controller confirms a cancellation that the owner cannot see, as the state service refuses its requests. Then
 * the state service is down for all, so that the owner does not learn of the cancellation from it either.
 */
function cancelBeforeOutage(refusedMs: number, outageMs: number, isCutFromPeers: boolean): FaultCombination {
  return {
    name: `a job is cancelled while the state service refuses its owner for ${refusedMs} ms before an outage of ${outageMs} ms${isCutFromPeers ? ", and the owner is cut off from its peers" : ""}`,
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      const { owner, other } = ownerAndOther(simulation, 0);
      simulation.store.refused.add(owner.index);
      owner.cut.peers = isCutFromPeers;
      await simulation.run(refusedMs / 2);
      await Promise.race([simulation.cancel(job, other), simulation.run(refusedMs / 2)]);
      assert.ok(
        job.cancelledAt !== null && simulation.runningTaskCount(job) > 0,
        "the cancellation is confirmed while tasks run",
      );
      simulation.store.down = true;
      await simulation.run(outageMs);
      simulation.store.refused.delete(owner.index);
      owner.cut.peers = false;
      simulation.store.down = false;
    },
  };
}

export const cancellationScenarios: FaultCombination[] = [
  cancelBeforeOutage(2000, 45_000, false),
  cancelBeforeOutage(2000, 45_000, true),
  cancelBeforeOutage(500, 45_000, false),
  cancelBeforeOutage(8000, 45_000, true),
  {
    name: "a job is cancelled while the state service refuses its owner, and the owner starts none of its waiting tasks",
    async run(simulation) {
      simulation.cloud.capacity = 4;
      (simulation.workers.runMsByJob ??= new Map()).set("req-1", 3000);
      const job = simulation.submit("req-1", { pieces: 400, guessS: 2 });
      assert.ok(
        await simulation.runUntil(() => job.completedTasks.size > 8, 60_000),
        "the first tasks are completed",
      );
      const { owner, other } = ownerAndOther(simulation, 0);
      simulation.store.refused.add(owner.index);
      await Promise.race([simulation.cancel(job, other), simulation.run(3000)]);
      assert.ok(
        job.cancelledAt !== null && job.completedTasks.size < 300,
        "the cancellation is confirmed while tasks wait",
      );
      await simulation.run(12_000);
      assert.equal(simulation.invariants.startsAfterCancellation, 0);
      simulation.store.refused.delete(owner.index);
    },
  },
  {
    name: "a job is cancelled while its owner renews its lease and receives no changes from the state service",
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      const { owner, other } = ownerAndOther(simulation, 0);
      owner.cut.watches = true;
      await simulation.run(1000);
      await Promise.race([simulation.cancel(job, other), simulation.run(3000)]);
      assert.ok(
        job.cancelledAt !== null && simulation.runningTaskCount(job) > 0,
        "the cancellation is confirmed while tasks run",
      );
      await simulation.run(45_000);
      owner.cut.watches = false;
    },
  },
  {
    name: "a shard's owner crashes while a team is at its limit and heartbeats are lost, and a job is cancelled meanwhile",
    // The lease is so long that tasks of the previous owner still run when the next one decides.
    settings: { leaseS: 24, cancelS: 70 },
    async run(simulation) {
      const cancelled = await startJob(simulation, "req-1", { crew: "tight", pieces: 4, vcpus: 2 });
      const { owner, other } = ownerAndOther(simulation, 2);
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = true;
      simulation.crash(owner);
      await Promise.race([simulation.cancel(cancelled, other), simulation.run(5000)]);
      assert.ok(await simulation.runUntil(() => simulation.ownerOf(2) !== owner, 30_000));
      // This job is accepted in the new owner's term, so it need not wait for machines that have not reported yet.
      submitLongJob(simulation, "req-2", { crew: "tight", pieces: 8, vcpus: 2 });
      await simulation.run(9000);
      assert.ok(
        simulation.runningTaskCount(cancelled) > 0,
        "tasks of the cancelled job still run without reporting",
      );
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = false;
      simulation.startNode(owner);
    },
  },
  {
    name: "the state service is slow, then refuses the leader, then everyone, while users cancel jobs",
    async run(simulation) {
      const job = await startJob(simulation, "req-1");
      simulation.stateLatencyMs = 600;
      await simulation.run(5000);
      const leader = simulation.leader()!;
      simulation.store.refused.add(leader.index);
      void simulation.cancel(job);
      await simulation.run(3000);
      simulation.store.down = true;
      void simulation.cancel(submitLongJob(simulation, "req-2"));
      await simulation.run(35_000);
      simulation.store.refused.delete(leader.index);
      simulation.store.down = false;
      await simulation.run(10_000);
      simulation.stateLatencyMs = 4;
    },
  },
  {
    name: "a job is cancelled while its workers reach no controller",
    async run(simulation) {
      const job = await startJob(simulation, "req-1", { pieces: 8 });
      await startJob(simulation, "req-2", { pieces: 8 });
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = true;
      void simulation.cancel(job);
      await simulation.run(22_000);
      for (const m of simulation.cloud.machines.values()) m.areHeartbeatsLost = false;
    },
  },
  {
    name: "jobs are cancelled, queried and submitted again as their last task completes",
    async run(simulation) {
      const cancellations = faults.cancelAtCompletion!(simulation, 60_000);
      for (let i = 0; i < 20; i++) {
        const job = simulation.submit(`req-${i}`, { pieces: 1 + (i % 3) });
        (simulation.workers.runMsByJob ??= new Map()).set(job.id, 1000 + simulation.randomBelow(4000));
        await simulation.run(2500);
        for (const submitted of simulation.jobs.values())
          if (submitted.isAccepted) void simulation.resubmit(submitted);
      }
      await Promise.race([cancellations, simulation.run(60_000)]);
    },
  },
  {
    name: "all jobs are cancelled at the same time while their machines hang",
    async run(simulation) {
      const jobs = [];
      for (let i = 0; i < 4; i++) jobs.push(await startJob(simulation, `req-${i}`, { pieces: 4 }));
      const hung = [...simulation.cloud.machines.values()].map((m, i) => m.hang(3000 * (1 + (i % 5))));
      for (const job of jobs) void simulation.cancel(job);
      await Promise.race([Promise.all(hung), simulation.run(20_000)]);
    },
  },
];
