/** Injects the faults of a soak plan into a cluster of real processes. */
import { sleep } from "../../../src/runtime/sleep.js";
import type { Cluster } from "../cluster.js";
import type { TransactionDelivery } from "../state-service.js";
import type { FakeWorker } from "../worker.js";
import { CONTROLLERS, type SeededRandom, type SoakFault, type Target } from "./plan.js";
import type { SoakRecorder } from "./recorder.js";

/** The range of delays after which a late transaction is executed. */
const LATE_TRANSACTION_DELAY_MS = { min: 2000, max: 12_000 };

/** How often to check whether an owner has responded to a worker. */
const POLL_INTERVAL_MS = 20;

/** The faults of messages between workers, controllers and the state service, and of machines. */
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

/** Draws a fault for each message, with the shares of faulty messages that are set at the time. */
export class MessageFaults {
  /** The share of transactions that are executed late and get no response. */
  lateTransactionShare = 0;
  /** The share of the other transactions that are executed while their response is lost. */
  lostAnswerShare = 0;
  /** The longest delay of a response to a worker. */
  maxAnswerDelayMs = 0;

  constructor(private readonly random: SeededRandom) {}

  nextTransactionDelivery(): TransactionDelivery {
    if (this.random.fraction() < this.lateTransactionShare)
      return {
        lateMs: this.random.integerBetween(LATE_TRANSACTION_DELAY_MS.min, LATE_TRANSACTION_DELAY_MS.max),
      };
    return this.random.fraction() < this.lostAnswerShare ? "answer_lost" : "answered";
  }

  nextAnswerDelayMs(): number {
    return this.maxAnswerDelayMs === 0 ? 0 : this.random.integerBetween(0, this.maxAnswerDelayMs);
  }
}

/** What the fault injector acts on. */
export interface FaultContext {
  cluster: Cluster;
  messages: MessageFaults;
  recorder: SoakRecorder;
  random: SeededRandom;
  /** Cancels all jobs with running tasks. */
  cancelRunning: () => Promise<void>;
}

/** Injects faults at their planned times, several at once where they overlap. */
export class FaultInjector {
  /** Controllers that are down or suspended; no other fault launches or resumes them early or twice. */
  private readonly restartingNodes = new Set<string>();
  private readonly pausedNodes = new Set<string>();
  private activeOutages = 0;

  constructor(private readonly context: FaultContext) {}

  /** Waits until the fault is due, and returns after its end. */
  async inject(fault: SoakFault): Promise<void> {
    await sleep(fault.at);
    this.context.recorder.note(`fault begins: ${JSON.stringify(fault)}`);
    await this.execute(fault);
    this.context.recorder.note(`fault ends: ${fault.kind}`);
  }

  private execute(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case "restart":
        return this.restart(this.nodeOf(fault.target), fault.backMs);
      case "restart_all":
        return this.restartAll(fault.backMs);
      case "owners_in_series":
        return this.restartOwnersInSeries(fault.count, fault.gapMs, fault.backMs);
      case "owners_end_after_first_answer":
        return this.restartOwnersAfterFirstAnswer(fault.afterMs, fault.backMs, fault.forMs);
      case "pause":
        return this.pause(this.nodeOf(fault.target), fault.forMs);
      case "cut":
        return this.cut(fault);
      case "refused":
        return this.refuseAtStateService(this.nodeOf(fault.target), fault.forMs);
      case "outage":
        return this.outage(fault.forMs);
      case "cancel_running":
        return this.context.cancelRunning();
      default:
        return this.executeMessageFault(fault);
    }
  }

  private async executeMessageFault(fault: MessageFault): Promise<void> {
    const { messages, cluster } = this.context;
    switch (fault.kind) {
      case "late_transactions":
        return enableFor(fault.forMs, (on) => (messages.lateTransactionShare = on ? fault.share : 0));
      case "lost_answers":
        return enableFor(fault.forMs, (on) => (messages.lostAnswerShare = on ? fault.share : 0));
      case "answers_held":
        return enableFor(fault.forMs, (on) => (messages.maxAnswerDelayMs = on ? fault.mostMs : 0));
      case "late_reports":
        return enableFor(fault.forMs, (on) => (cluster.workers.duplicateShare = on ? fault.share : 0));
      case "machines_hang":
        await Promise.all(this.randomMachines(fault.share).map((machine) => machine.hang(fault.forMs)));
        return;
      case "machines_deaf":
        return this.impairMachines(
          fault.share,
          fault.forMs,
          (machine, on) => (machine.areResponsesLost = on),
        );
      case "machines_mute":
        return this.impairMachines(
          fault.share,
          fault.forMs,
          (machine, on) => (machine.areHeartbeatsLost = on),
        );
    }
  }

  private nodeOf(target: Target): string {
    const { cluster } = this.context;
    if (typeof target === "number") return cluster.nodes[target]!.node;
    const key = target === "leader" ? "fernpond/live/leader" : "fernpond/live/shards/0";
    const record = cluster.state.value(key) as { node: string } | undefined;
    return record?.node ?? cluster.nodes[0]!.node;
  }

  private async restart(node: string, backMs: number): Promise<void> {
    const { cluster, recorder } = this.context;
    if (this.restartingNodes.has(node)) return;
    this.restartingNodes.add(node);
    recorder.note(`${node} is killed; restart in ${backMs} ms`);
    await cluster.kill(node);
    this.pausedNodes.delete(node);
    await sleep(backMs);
    cluster.launch(node);
    this.restartingNodes.delete(node);
    recorder.note(`${node} is launched`);
  }

  private async restartAll(backMs: number): Promise<void> {
    await Promise.all(this.context.cluster.nodes.map(({ node }) => this.restart(node, backMs)));
  }

  /** Restarts the current owner of the first shard several times. */
  private async restartOwnersInSeries(count: number, gapMs: number, backMs: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      void this.restart(this.nodeOf("owner"), backMs);
      await sleep(gapMs);
    }
  }

  /** Kills the owner, then each controller that responds to a worker with a newer token; all are launched again. */
  private async restartOwnersAfterFirstAnswer(afterMs: number, backMs: number, forMs: number): Promise<void> {
    const { recorder } = this.context;
    const until = recorder.now + forMs;
    let highestAnswered = this.highestReceivedToken();
    await this.restart(this.nodeOf("owner"), backMs);
    while (recorder.now < until) {
      await sleep(POLL_INTERVAL_MS);
      const token = this.highestReceivedToken();
      if (token <= highestAnswered) continue;
      highestAnswered = token;
      await sleep(afterMs);
      await this.restart(this.nodeOf("owner"), backMs);
    }
  }

  private highestReceivedToken(): number {
    let highest = 0;
    for (const machine of this.context.cluster.cloud.machines.values())
      if (machine.running.size > 0) highest = Math.max(highest, machine.highestToken);
    return highest;
  }

  private async pause(node: string, forMs: number): Promise<void> {
    const { cluster, recorder } = this.context;
    if (this.restartingNodes.has(node) || this.pausedNodes.has(node)) return;
    this.pausedNodes.add(node);
    recorder.note(`${node} is suspended`);
    cluster.pause(node, true);
    await sleep(forMs);
    // If the controller was killed in the meantime, its new process runs and must not be resumed.
    if (!this.pausedNodes.delete(node)) return;
    cluster.pause(node, false);
    recorder.note(`${node} is resumed`);
  }

  private async cut(fault: Extract<SoakFault, { kind: "cut" }>): Promise<void> {
    const node = this.nodeOf(fault.target);
    this.context.recorder.note(`${node}: link cut: ${fault.link}`);
    this.context.cluster.cut(node, fault.link, fault.mode, ...fault.directions);
    await sleep(fault.forMs);
    this.context.cluster.heal(node, fault.link);
  }

  private async refuseAtStateService(name: string, forMs: number): Promise<void> {
    const { cluster, recorder } = this.context;
    const index = cluster.nodes.findIndex(({ node }) => node === name);
    recorder.note(`the state service refuses ${name}`);
    cluster.state.refused.add(index);
    await sleep(forMs);
    cluster.state.refused.delete(index);
  }

  /** Makes the state service unavailable; overlapping outages end together with the last one. */
  private async outage(forMs: number): Promise<void> {
    const { state } = this.context.cluster;
    this.activeOutages++;
    state.down = true;
    await sleep(forMs);
    if (--this.activeOutages === 0) state.down = false;
  }

  private randomMachines(share: number): FakeWorker[] {
    const machines = [...this.context.cluster.cloud.machines.values()];
    return machines.filter(() => this.context.random.fraction() < share);
  }

  private async impairMachines(
    share: number,
    forMs: number,
    set: (machine: FakeWorker, on: boolean) => void,
  ): Promise<void> {
    const machines = this.randomMachines(share);
    for (const machine of machines) set(machine, true);
    await sleep(forMs);
    for (const machine of machines) set(machine, false);
  }

  /** Ends refusals and outages of the state service that faults have left behind. */
  healAll(): void {
    const { cluster } = this.context;
    for (let node = 0; node < CONTROLLERS; node++) cluster.state.refused.delete(node);
    if (cluster.state.down) cluster.state.down = false;
  }
}

async function enableFor(forMs: number, set: (on: boolean) => void): Promise<void> {
  set(true);
  await sleep(forMs);
  set(false);
}
