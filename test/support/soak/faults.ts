/** Carries out the faults of a soak run's plan on a cluster of real processes. */
import { sleep } from "../../../src/runtime/sleep.js";
import type { Cluster } from "../cluster.js";
import type { TransactionDelivery } from "../state-service.js";
import type { FakeWorker } from "../worker.js";
import { CONTROLLERS, type Luck, type SoakFault, type Target } from "./plan.js";
import type { SoakRecorder } from "./recorder.js";

/** A transaction that is carried out late comes after so long. */
const LATE_MS = { least: 2000, most: 12_000 };

/** How often it is looked whether an owner has answered. */
const LOOK_MS = 20;

/** The faults of messages between workers, controllers and the state service, and of the machines themselves. */
type MessageFault = Extract<
  SoakFault,
  {
    kind:
      | "late_transactions"
      | "lost_answers"
      | "answers_held"
      | "late_reports"
      | "machines_hang"
      | "machines_deaf"
      | "machines_mute";
  }
>;

/** Shares of messages that meet a fault at the moment. */
export class MessageFaults {
  lateTransactions = 0;
  lostAnswers = 0;
  answersHeldMs = 0;

  constructor(private readonly luck: Luck) {}

  transactionFate(): TransactionDelivery {
    if (this.luck.chance() < this.lateTransactions)
      return { lateMs: this.luck.between(LATE_MS.least, LATE_MS.most) };
    return this.luck.chance() < this.lostAnswers ? "answer_lost" : "answered";
  }

  answerDelayMs(): number {
    return this.answersHeldMs === 0 ? 0 : this.luck.between(0, this.answersHeldMs);
  }
}

/** What the faults act on. */
export interface FaultTargets {
  cluster: Cluster;
  messages: MessageFaults;
  recorder: SoakRecorder;
  luck: Luck;
  cancelRunning: () => Promise<void>;
}

export class FaultPlayer {
  /** Controllers that are away, and paused ones: no other fault brings them back early, or twice. */
  private readonly away = new Set<string>();
  private readonly paused = new Set<string>();
  private outages = 0;

  constructor(private readonly targets: FaultTargets) {}

  async play(fault: SoakFault): Promise<void> {
    await sleep(fault.at);
    this.targets.recorder.remark(`fault begins: ${JSON.stringify(fault)}`);
    await this.carryOut(fault);
    this.targets.recorder.remark(`fault ends: ${fault.kind}`);
  }

  private carryOut(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case "restart":
        return this.restart(this.nodeOf(fault.target), fault.backMs);
      case "restart_all":
        return this.restartAll(fault.backMs);
      case "owners_in_series":
        return this.ownersInSeries(fault.count, fault.gapMs, fault.backMs);
      case "owners_end_after_first_answer":
        return this.endOwnersAfterFirstAnswer(fault.afterMs, fault.backMs, fault.forMs);
      case "pause":
        return this.pause(this.nodeOf(fault.target), fault.forMs);
      case "cut":
        return this.cut(fault);
      case "refused":
        return this.refuse(this.nodeOf(fault.target), fault.forMs);
      case "outage":
        return this.outage(fault.forMs);
      case "cancel_running":
        return this.targets.cancelRunning();
      default:
        return this.carryOutOnMessages(fault);
    }
  }

  private async carryOutOnMessages(fault: MessageFault): Promise<void> {
    const { messages, cluster } = this.targets;
    switch (fault.kind) {
      case "late_transactions":
        return during(fault.forMs, (on) => (messages.lateTransactions = on ? fault.share : 0));
      case "lost_answers":
        return during(fault.forMs, (on) => (messages.lostAnswers = on ? fault.share : 0));
      case "answers_held":
        return during(fault.forMs, (on) => (messages.answersHeldMs = on ? fault.mostMs : 0));
      case "late_reports":
        return during(fault.forMs, (on) => (cluster.workers.duplicateShare = on ? fault.share : 0));
      case "machines_hang":
        await Promise.all(this.someMachines(fault.share).map((machine) => machine.hang(fault.forMs)));
        return;
      case "machines_deaf":
        return this.ail(fault.share, fault.forMs, (machine, on) => (machine.areResponsesLost = on));
      case "machines_mute":
        return this.ail(fault.share, fault.forMs, (machine, on) => (machine.areHeartbeatsLost = on));
    }
  }

  private nodeOf(target: Target): string {
    const { cluster } = this.targets;
    if (typeof target === "number") return cluster.nodes[target]!.node;
    const key = target === "leader" ? "fernpond/live/leader" : "fernpond/live/shards/0";
    const record = cluster.state.value(key) as { node: string } | undefined;
    return record?.node ?? cluster.nodes[0]!.node;
  }

  private async restart(node: string, backMs: number): Promise<void> {
    const { cluster, recorder } = this.targets;
    if (this.away.has(node)) return;
    this.away.add(node);
    recorder.remark(`${node} is killed, back after ${backMs} ms`);
    await cluster.kill(node);
    this.paused.delete(node);
    await sleep(backMs);
    cluster.launch(node);
    this.away.delete(node);
    recorder.remark(`${node} is launched`);
  }

  private async restartAll(backMs: number): Promise<void> {
    await Promise.all(this.targets.cluster.nodes.map(({ node }) => this.restart(node, backMs)));
  }

  /** Ends whoever owns the first shard, again and again. */
  private async ownersInSeries(count: number, gapMs: number, backMs: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      void this.restart(this.nodeOf("owner"), backMs);
      await sleep(gapMs);
    }
  }

  /** The owner ends, and then whoever has answered a worker under a new token; each is back within a moment. */
  private async endOwnersAfterFirstAnswer(afterMs: number, backMs: number, forMs: number): Promise<void> {
    const { recorder } = this.targets;
    const until = recorder.now + forMs;
    let answered = this.highestToken();
    await this.restart(this.nodeOf("owner"), backMs);
    while (recorder.now < until) {
      await sleep(LOOK_MS);
      const token = this.highestToken();
      if (token <= answered) continue;
      answered = token;
      await sleep(afterMs);
      await this.restart(this.nodeOf("owner"), backMs);
    }
  }

  private highestToken(): number {
    let highest = 0;
    for (const machine of this.targets.cluster.cloud.machines.values())
      if (machine.running.size > 0) highest = Math.max(highest, machine.highestToken);
    return highest;
  }

  private async pause(node: string, forMs: number): Promise<void> {
    const { cluster, recorder } = this.targets;
    if (this.away.has(node) || this.paused.has(node)) return;
    this.paused.add(node);
    recorder.remark(`${node} stands still`);
    cluster.pause(node, true);
    await sleep(forMs);
    // It may have been killed, and its next life runs.
    if (!this.paused.delete(node)) return;
    cluster.pause(node, false);
    recorder.remark(`${node} goes on`);
  }

  private async cut(fault: Extract<SoakFault, { kind: "cut" }>): Promise<void> {
    const node = this.nodeOf(fault.target);
    this.targets.recorder.remark(`${node} is cut: ${fault.link}`);
    this.targets.cluster.cut(node, fault.link, fault.mode, ...fault.directions);
    await sleep(fault.forMs);
    this.targets.cluster.heal(node, fault.link);
  }

  private async refuse(name: string, forMs: number): Promise<void> {
    const { cluster, recorder } = this.targets;
    const index = cluster.nodes.findIndex(({ node }) => node === name);
    recorder.remark(`${name} is refused by the state service alone`);
    cluster.state.refused.add(index);
    await sleep(forMs);
    cluster.state.refused.delete(index);
  }

  /** Outages that overlap end with the last. */
  private async outage(forMs: number): Promise<void> {
    const { state } = this.targets.cluster;
    this.outages++;
    state.down = true;
    await sleep(forMs);
    if (--this.outages === 0) state.down = false;
  }

  private someMachines(share: number): FakeWorker[] {
    const machines = [...this.targets.cluster.cloud.machines.values()];
    return machines.filter(() => this.targets.luck.chance() < share);
  }

  private async ail(
    share: number,
    forMs: number,
    set: (machine: FakeWorker, on: boolean) => void,
  ): Promise<void> {
    const machines = this.someMachines(share);
    for (const machine of machines) set(machine, true);
    await sleep(forMs);
    for (const machine of machines) set(machine, false);
  }

  /** Whatever faults have left: every controller runs and reaches everybody. */
  healAll(): void {
    const { cluster } = this.targets;
    for (let node = 0; node < CONTROLLERS; node++) cluster.state.refused.delete(node);
    if (cluster.state.down) cluster.state.down = false;
  }
}

async function during(forMs: number, set: (on: boolean) => void): Promise<void> {
  set(true);
  await sleep(forMs);
  set(false);
}
