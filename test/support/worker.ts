/** A stand-in for one machine's worker, from the published protocol. */
import { sleep } from "../../src/runtime/sleep.js";

interface ReportedTask {
  piece: string;
  try: number;
  stage: "running" | "exited";
  cause?: string;
}

interface ReceivedCommand {
  verb: "start" | "halt" | "reap";
  piece: string;
  try: number;
}

/** How workers reach the controllers, and what tells the time meanwhile. */
export interface WorkerNetwork {
  controllers: string[];
  clock(): number;
  /** One report from a zone to one controller: its answer within the worker's time-out, or a rejection. */
  send(
    zone: string,
    node: number,
    text: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: unknown }>;
}

export interface WorkerOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  runMs: number;
  /** How long tasks of some jobs run, where that differs. */
  runMsByJob?: Map<string, number>;
  /** Jobs whose tasks fail wherever they run. */
  faultyJobs?: Set<string>;
  bootMs?: number;
  /** The part of the machines that take several times as long to boot; half of these never come up. */
  lateBootShare?: number;
  /** How long an answer is waited for; how soon the next node is tried. */
  timeoutMs?: number;
  retryMs?: number;
  /** The part of the reports of which copies come late: some time and more than a lease after them. */
  duplicateShare?: number;
  /** Nodes that no worker reaches. */
  unreachableControllers?: Set<string>;
}

/** What an observer beside the machine sees. */
export interface WorkerObserver {
  started(piece: string, worker: FakeWorker): void;
  completed(piece: string): void;
  /** An attempt is no longer on the machine, since a moment by the network's clock. */
  ended?(piece: string, worker: FakeWorker, cause: EndCause, at: number): void;
}

/** How an attempt ended; `lost` with the worker's lease or its machine. */
export type EndCause = "done" | "error" | "halted" | "lost";

/** How many usual boot times a late machine takes. */
const LATE_BOOT_FACTOR = 5;

/** One machine's worker. */
export class FakeWorker {
  readonly running = new Set<string>();
  /** Reports still go out, and no answer arrives. */
  areResponsesLost = false;
  /** It reaches no controller. */
  areHeartbeatsLost = false;
  /** Every task fails as soon as it starts. */
  isFaulty = false;
  /** Whether its last report was answered. */
  isConnected = false;
  private tasks: ReportedTask[] = [];
  private epoch = 1;
  private sequence = 0;
  private highestSeenToken = 0;
  private controllerIndex = 0;
  private isStopped = false;
  private isHung = false;
  private leaseTimer: NodeJS.Timeout | undefined;
  private leaseEndsAt = Infinity;

  constructor(
    readonly host: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly network: WorkerNetwork,
    private readonly figures: WorkerOptions,
    private readonly observer: WorkerObserver,
  ) {
    void this.run();
  }

  /** The highest token that any answer has shown to this worker. */
  get highestToken(): number {
    return this.highestSeenToken;
  }

  /** The cloud takes the machine away. */
  stop(): void {
    this.isStopped = true;
    this.isConnected = false;
    clearTimeout(this.leaseTimer);
    this.loseRunningTasks(this.network.clock());
  }

  private loseRunningTasks(at: number): void {
    for (const piece of this.running) this.observer.ended?.(piece, this, "lost", at);
    this.running.clear();
  }

  /** It neither reports nor works for so long, and goes on with what its lease has left it. */
  async hang(ms: number): Promise<void> {
    this.isHung = true;
    await sleep(ms);
    this.isHung = false;
  }

  private async run(): Promise<void> {
    const { bootMs, lateBootShare: late = 0 } = this.figures;
    const luck = late > 0 ? Math.random() : 1;
    // It is charged for and never speaks.
    if (luck < late / 2) return;
    if (bootMs !== undefined) await sleep(luck < late ? bootMs * LATE_BOOT_FACTOR : bootMs);
    this.renewLease(this.network.clock());
    while (!this.isStopped) {
      const sentAt = this.network.clock();
      const { epoch: tenure } = this;
      // An answer to a report of an earlier session is dropped, lease and all.
      const answered = !this.isHung && (await this.sendHeartbeat(tenure));
      this.isConnected = answered;
      if (answered && tenure === this.epoch) this.renewLease(sentAt);
      await sleep(answered || this.isHung ? this.figures.heartbeatIntervalMs : this.retryMs);
    }
  }

  private get retryMs(): number {
    return this.figures.retryMs ?? this.figures.heartbeatIntervalMs;
  }

  /** The lease counts from when the answered report was sent. */
  private renewLease(sentAt: number): void {
    if (this.isStopped) return;
    clearTimeout(this.leaseTimer);
    this.leaseEndsAt = sentAt + this.figures.leaseMs;
    this.leaseTimer = setTimeout(() => {
      this.expireLease();
    }, this.leaseEndsAt - this.network.clock());
    this.leaseTimer.unref();
  }

  /** The lease ended when it was due, also where this process stood still then and notices later. */
  private expireLease(): void {
    this.epoch++;
    this.tasks = [];
    this.loseRunningTasks(Math.min(this.leaseEndsAt, this.network.clock()));
    this.renewLease(this.network.clock());
  }

  private async sendHeartbeat(tenure: number): Promise<boolean> {
    const body = {
      host: this.host,
      addr: "127.0.0.1:1",
      breed: "small",
      bank: this.zone,
      loaners: this.spot,
      tenure,
      tick: ++this.sequence,
      baton: this.highestSeenToken,
      recallS: null,
      pieces: this.tasks,
    };
    const text = JSON.stringify(body);
    const { controllers } = this.network;
    if (Math.random() < (this.figures.duplicateShare ?? 0))
      for (const leases of [0.25, 1.25]) this.sendCopy(text, leases);
    try {
      const answer = await this.exchange(text);
      const { baton, orders, overseer } = (answer.body ?? {}) as {
        baton?: number;
        orders?: ReceivedCommand[];
        overseer?: string;
      };
      if (answer.status === 200 && tenure === this.epoch && (baton ?? -1) >= this.highestSeenToken) {
        this.highestSeenToken = baton!;
        for (const order of orders ?? []) this.execute(order);
        return true;
      }
      const named = controllers.indexOf(overseer ?? "");
      this.controllerIndex = named >= 0 ? named : (this.controllerIndex + 1) % controllers.length;
    } catch {
      this.controllerIndex = (this.controllerIndex + 1) % controllers.length;
    }
    return false;
  }

  private async exchange(text: string): Promise<{ status: number; body: unknown }> {
    const timeoutMs = this.figures.timeoutMs ?? this.figures.leaseMs / 2;
    const unreachable = this.figures.unreachableControllers?.has(
      this.network.controllers[this.controllerIndex]!,
    );
    if (this.areHeartbeatsLost || unreachable) {
      await sleep(timeoutMs / 2);
      throw new Error("no answer");
    }
    const sentAt = this.network.clock();
    const answer = await this.network.send(this.zone, this.controllerIndex, text, timeoutMs);
    const now = this.network.clock();
    // A process that stood still finds the answer, its time-out and the end of the lease at once.
    if (now > this.leaseEndsAt) this.expireLease();
    const late = now - sentAt > timeoutMs;
    if (late || this.areResponsesLost || this.isHung || this.isStopped) throw new Error("the answer is lost");
    return answer;
  }

  /** A copy of a report, to every controller; what they answer reaches nobody. */
  private sendCopy(body: string, leases: number): void {
    const timer = setTimeout(() => {
      for (let node = 0; node < this.network.controllers.length; node++)
        this.network.send(this.zone, node, body, this.figures.leaseMs).catch(() => undefined);
    }, leases * this.figures.leaseMs);
    timer.unref();
  }

  private execute(order: ReceivedCommand): void {
    const known = this.tasks.find((p) => p.piece === order.piece && p.try === order.try);
    if (order.verb === "reap") this.tasks = this.tasks.filter((p) => p !== known || p.stage !== "exited");
    if (order.verb === "halt" && known?.stage === "running") this.exit(known, "halted");
    if (order.verb !== "start" || known) return;
    const piece: ReportedTask = { piece: order.piece, try: order.try, stage: "running" };
    this.tasks.push(piece);
    this.running.add(order.piece);
    this.observer.started(order.piece, this);
    const job = order.piece.slice(0, order.piece.indexOf("/"));
    if (this.isFaulty || this.figures.faultyJobs?.has(job)) {
      this.exit(piece, "error");
      return;
    }
    void this.runTask(piece, this.figures.runMsByJob?.get(job) ?? this.figures.runMs);
  }

  /** A task makes no progress while its machine hangs. */
  private async runTask(piece: ReportedTask, runMs: number): Promise<void> {
    const { epoch: tenure } = this;
    await sleepUnreferenced(runMs);
    while (this.isHung) await sleep(this.figures.heartbeatIntervalMs);
    if (this.isStopped || this.epoch !== tenure || piece.stage !== "running") return;
    this.exit(piece, "done");
    this.observer.completed(piece.piece);
  }

  private exit(piece: ReportedTask, cause: Exclude<EndCause, "lost">): void {
    piece.stage = "exited";
    piece.cause = cause;
    this.running.delete(piece.piece);
    this.observer.ended?.(piece.piece, this, cause, this.network.clock());
  }
}

/** Guards against a test process that stays until the longest task of a machine that is long gone would have ended. */
function sleepUnreferenced(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
