/** A fake worker that implements the worker side of the published protocol. */
import { sleep } from "../../src/runtime/sleep.js";

/** A task in the wire format of a heartbeat. */
interface ReportedTask {
  piece: string;
  try: number;
  stage: "running" | "exited";
  cause?: string;
}

/** A command in the wire format of a response. */
interface ReceivedCommand {
  verb: "start" | "halt" | "reap";
  piece: string;
  try: number;
}

/** The connection of workers to the controllers, and the clock. */
export interface WorkerNetwork {
  controllers: string[];
  clock(): number;
  /** Sends a heartbeat from a zone to a controller. Rejects if no response arrives within the timeout. */
  send(
    zone: string,
    controllerIndex: number,
    text: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: unknown }>;
}

/** The behaviour of the workers of a test; may be changed while they run. Shares are between 0 and 1. */
export interface WorkerOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  runMs: number;
  /** Run times of the tasks of some jobs, by job id, where they differ from `runMs`. */
  runMsByJob?: Map<string, number>;
  /** The ids of jobs whose tasks fail on every machine. */
  faultyJobs?: Set<string>;
  bootMs?: number;
  /** The share of machines that boot late: half of them take several times as long, the others never come up. */
  lateBootShare?: number;
  /** How long a worker waits for a response; half a lease by default. */
  timeoutMs?: number;
  /** How long a worker waits after a failed heartbeat; the heartbeat interval by default. */
  retryMs?: number;
  /** The share of heartbeats of which two duplicates arrive, one within a lease and one after more than a lease. */
  duplicateShare?: number;
  /** The names of controllers that no worker reaches. */
  unreachableControllers?: Set<string>;
}

/** Receives the events on a machine. Tasks are identified as "job/index". */
export interface WorkerObserver {
  started(task: string, worker: FakeWorker): void;
  completed(task: string): void;
  /** An attempt has ended; `at` is by the network's clock, and may lie in the past. */
  ended?(task: string, worker: FakeWorker, cause: EndCause, at: number): void;
}

/** How an attempt ended; `lost`: its worker's lease expired, or its machine was removed. */
export type EndCause = "done" | "error" | "halted" | "lost";

/** The boot time of a late machine as a multiple of the usual one. */
const LATE_BOOT_FACTOR = 5;

/** The worker of one machine. */
export class FakeWorker {
  /** The running tasks, as "job/index". */
  readonly running = new Set<string>();
  /** Whether controllers receive heartbeats while every response is lost. */
  areResponsesLost = false;
  /** Whether no heartbeat reaches a controller. */
  areHeartbeatsLost = false;
  /** Whether every task fails as soon as it starts. */
  isFaulty = false;
  /** Whether the last heartbeat was answered. */
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
    private readonly options: WorkerOptions,
    private readonly observer: WorkerObserver,
  ) {
    void this.run();
  }

  /** The highest token that this worker has received in a response. */
  get highestToken(): number {
    return this.highestSeenToken;
  }

  /** Stops the worker because the cloud removes its machine. */
  stop(): void {
    this.isStopped = true;
    this.isConnected = false;
    clearTimeout(this.leaseTimer);
    this.loseRunningTasks(this.network.clock());
  }

  private loseRunningTasks(at: number): void {
    for (const task of this.running) this.observer.ended?.(task, this, "lost", at);
    this.running.clear();
  }

  /** Suspends heartbeats and task progress. Tasks continue afterwards unless the lease has expired meanwhile. */
  async hang(ms: number): Promise<void> {
    this.isHung = true;
    await sleep(ms);
    this.isHung = false;
  }

  private async run(): Promise<void> {
    const { bootMs, lateBootShare = 0 } = this.options;
    const draw = lateBootShare > 0 ? Math.random() : 1;
    // The machine is rented but never sends a heartbeat.
    if (draw < lateBootShare / 2) return;
    if (bootMs !== undefined) await sleep(draw < lateBootShare ? bootMs * LATE_BOOT_FACTOR : bootMs);
    this.renewLease(this.network.clock());
    while (!this.isStopped) {
      const sentAt = this.network.clock();
      const { epoch } = this;
      // A response to a heartbeat of an earlier epoch is dropped and does not renew the lease.
      const isAnswered = !this.isHung && (await this.sendHeartbeat(epoch));
      this.isConnected = isAnswered;
      if (isAnswered && epoch === this.epoch) this.renewLease(sentAt);
      await sleep(isAnswered || this.isHung ? this.options.heartbeatIntervalMs : this.retryMs);
    }
  }

  private get retryMs(): number {
    return this.options.retryMs ?? this.options.heartbeatIntervalMs;
  }

  /** Renews the lease, which lasts from the time when the answered heartbeat was sent. */
  private renewLease(sentAt: number): void {
    if (this.isStopped) return;
    clearTimeout(this.leaseTimer);
    this.leaseEndsAt = sentAt + this.options.leaseMs;
    this.leaseTimer = setTimeout(() => {
      this.expireLease();
    }, this.leaseEndsAt - this.network.clock());
    this.leaseTimer.unref();
  }

  /** Ends the epoch as of the lease's expiry, even if this process was suspended and detects the expiry later. */
  private expireLease(): void {
    this.epoch++;
    this.tasks = [];
    this.loseRunningTasks(Math.min(this.leaseEndsAt, this.network.clock()));
    this.renewLease(this.network.clock());
  }

  private async sendHeartbeat(epoch: number): Promise<boolean> {
    const body = {
      host: this.host,
      addr: "127.0.0.1:1",
      breed: "small",
      bank: this.zone,
      loaners: this.spot,
      tenure: epoch,
      tick: ++this.sequence,
      baton: this.highestSeenToken,
      recallS: null,
      pieces: this.tasks,
    };
    const text = JSON.stringify(body);
    const { controllers } = this.network;
    if (Math.random() < (this.options.duplicateShare ?? 0))
      for (const delayLeases of [0.25, 1.25]) this.sendDuplicate(text, delayLeases);
    try {
      const response = await this.exchange(text);
      const { baton, orders, overseer } = (response.body ?? {}) as {
        baton?: number;
        orders?: ReceivedCommand[];
        overseer?: string;
      };
      if (response.status === 200 && epoch === this.epoch && (baton ?? -1) >= this.highestSeenToken) {
        this.highestSeenToken = baton!;
        for (const command of orders ?? []) this.execute(command);
        return true;
      }
      const owner = controllers.indexOf(overseer ?? "");
      this.controllerIndex = owner >= 0 ? owner : (this.controllerIndex + 1) % controllers.length;
    } catch {
      this.controllerIndex = (this.controllerIndex + 1) % controllers.length;
    }
    return false;
  }

  private async exchange(text: string): Promise<{ status: number; body: unknown }> {
    const timeoutMs = this.options.timeoutMs ?? this.options.leaseMs / 2;
    const isUnreachable = this.options.unreachableControllers?.has(
      this.network.controllers[this.controllerIndex]!,
    );
    if (this.areHeartbeatsLost || isUnreachable) {
      await sleep(timeoutMs / 2);
      throw new Error("no controller received the heartbeat");
    }
    const sentAt = this.network.clock();
    const response = await this.network.send(this.zone, this.controllerIndex, text, timeoutMs);
    const now = this.network.clock();
    // A process that was suspended sees the response, its timeout and the lease's expiry at the same time.
    if (now > this.leaseEndsAt) this.expireLease();
    const isLate = now - sentAt > timeoutMs;
    if (isLate || this.areResponsesLost || this.isHung || this.isStopped)
      throw new Error("the response was lost");
    return response;
  }

  /** Sends a duplicate of a heartbeat to every controller after a delay in leases; the responses are dropped. */
  private sendDuplicate(body: string, delayLeases: number): void {
    const timer = setTimeout(() => {
      for (let node = 0; node < this.network.controllers.length; node++)
        this.network.send(this.zone, node, body, this.options.leaseMs).catch(() => undefined);
    }, delayLeases * this.options.leaseMs);
    timer.unref();
  }

  private execute(command: ReceivedCommand): void {
    const known = this.tasks.find((task) => task.piece === command.piece && task.try === command.try);
    if (command.verb === "reap")
      this.tasks = this.tasks.filter((task) => task !== known || task.stage !== "exited");
    if (command.verb === "halt" && known?.stage === "running") this.exit(known, "halted");
    if (command.verb !== "start" || known) return;
    const task: ReportedTask = { piece: command.piece, try: command.try, stage: "running" };
    this.tasks.push(task);
    this.running.add(command.piece);
    this.observer.started(command.piece, this);
    const job = command.piece.slice(0, command.piece.indexOf("/"));
    if (this.isFaulty || this.options.faultyJobs?.has(job)) {
      this.exit(task, "error");
      return;
    }
    void this.runTask(task, this.options.runMsByJob?.get(job) ?? this.options.runMs);
  }

  /** Completes a task after its run time; a task does not complete while its machine hangs. */
  private async runTask(task: ReportedTask, runMs: number): Promise<void> {
    const { epoch } = this;
    await sleepUnreferenced(runMs);
    while (this.isHung) await sleep(this.options.heartbeatIntervalMs);
    if (this.isStopped || this.epoch !== epoch || task.stage !== "running") return;
    this.exit(task, "done");
    this.observer.completed(task.piece);
  }

  private exit(task: ReportedTask, cause: Exclude<EndCause, "lost">): void {
    task.stage = "exited";
    task.cause = cause;
    this.running.delete(task.piece);
    this.observer.ended?.(task.piece, this, cause, this.network.clock());
  }
}

/** Sleeps without keeping the process alive: a task on a removed machine must not delay the end of a test process. */
function sleepUnreferenced(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
