/** A stand-in for one machine's worker, from the published protocol. */
import { sleep } from "../../src/runtime/sleep.js";

interface Piece {
  piece: string;
  try: number;
  stage: "running" | "exited";
  cause?: string;
}

interface Order {
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

export interface WorkerFigures {
  reportMs: number;
  leaseMs: number;
  runMs: number;
  /** How long tasks of some jobs run, where that differs. */
  runOf?: Map<string, number>;
  /** Jobs whose tasks fail wherever they run. */
  faulty?: Set<string>;
  bootMs?: number;
  /** The part of the machines that take several times as long to boot; half of these never come up. */
  late?: number;
  /** How long an answer is waited for; how soon the next node is tried. */
  timeoutMs?: number;
  retryMs?: number;
  /** The part of the reports of which copies come late: some time and more than a lease after them. */
  copies?: number;
  /** Nodes that no worker reaches. */
  unreachable?: Set<string>;
}

/** What an observer beside the machine sees. */
export interface WorkerObserver {
  started(piece: string, worker: WorkerStandIn): void;
  completed(piece: string): void;
  /** An attempt is no longer on the machine, since a moment by the network's clock. */
  ended?(piece: string, worker: WorkerStandIn, cause: EndCause, at: number): void;
}

/** How an attempt ended; `lost` with the worker's lease or its machine. */
export type EndCause = "done" | "error" | "halted" | "lost";

/** How many usual boot times a late machine takes. */
const LATE_BOOTS = 5;

/** One machine's worker. */
export class WorkerStandIn {
  readonly running = new Set<string>();
  /** Reports still go out, and no answer arrives. */
  responsesLost = false;
  /** It reaches no controller. */
  reportsLost = false;
  /** Every task fails as soon as it starts. */
  sick = false;
  /** Whether its last report was answered. */
  well = false;
  private pieces: Piece[] = [];
  private tenure = 1;
  private tick = 0;
  private baton = 0;
  private node = 0;
  private stopped = false;
  private hung = false;
  private leaseTimer: NodeJS.Timeout | undefined;
  private leaseEndsAt = Infinity;

  constructor(
    readonly host: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly network: WorkerNetwork,
    private readonly figures: WorkerFigures,
    private readonly observer: WorkerObserver,
  ) {
    void this.run();
  }

  /** The highest token that any answer has shown to this worker. */
  get highestToken(): number {
    return this.baton;
  }

  /** The cloud takes the machine away. */
  stop(): void {
    this.stopped = true;
    this.well = false;
    clearTimeout(this.leaseTimer);
    this.loseAll(this.network.clock());
  }

  private loseAll(at: number): void {
    for (const piece of this.running) this.observer.ended?.(piece, this, "lost", at);
    this.running.clear();
  }

  /** It neither reports nor works for so long, and goes on with what its lease has left it. */
  async hang(ms: number): Promise<void> {
    this.hung = true;
    await sleep(ms);
    this.hung = false;
  }

  private async run(): Promise<void> {
    const { bootMs, late = 0 } = this.figures;
    const luck = late > 0 ? Math.random() : 1;
    // It is charged for and never speaks.
    if (luck < late / 2) return;
    if (bootMs !== undefined) await sleep(luck < late ? bootMs * LATE_BOOTS : bootMs);
    this.renew(this.network.clock());
    while (!this.stopped) {
      const sentAt = this.network.clock();
      const { tenure } = this;
      // An answer to a report of an earlier session is dropped, lease and all.
      const answered = !this.hung && (await this.report(tenure));
      this.well = answered;
      if (answered && tenure === this.tenure) this.renew(sentAt);
      await sleep(answered || this.hung ? this.figures.reportMs : this.retryMs);
    }
  }

  private get retryMs(): number {
    return this.figures.retryMs ?? this.figures.reportMs;
  }

  /** The lease counts from when the answered report was sent. */
  private renew(sentAt: number): void {
    if (this.stopped) return;
    clearTimeout(this.leaseTimer);
    this.leaseEndsAt = sentAt + this.figures.leaseMs;
    this.leaseTimer = setTimeout(() => {
      this.expire();
    }, this.leaseEndsAt - this.network.clock());
    this.leaseTimer.unref();
  }

  /** The lease ended when it was due, also where this process stood still then and notices later. */
  private expire(): void {
    this.tenure++;
    this.pieces = [];
    this.loseAll(Math.min(this.leaseEndsAt, this.network.clock()));
    this.renew(this.network.clock());
  }

  private async report(tenure: number): Promise<boolean> {
    const body = {
      host: this.host,
      addr: "127.0.0.1:1",
      breed: "small",
      bank: this.zone,
      loaners: this.spot,
      tenure,
      tick: ++this.tick,
      baton: this.baton,
      recallS: null,
      pieces: this.pieces,
    };
    const text = JSON.stringify(body);
    const { controllers } = this.network;
    if (Math.random() < (this.figures.copies ?? 0))
      for (const leases of [0.25, 1.25]) this.sendCopy(text, leases);
    try {
      const answer = await this.exchange(text);
      const { baton, orders, overseer } = (answer.body ?? {}) as {
        baton?: number;
        orders?: Order[];
        overseer?: string;
      };
      if (answer.status === 200 && tenure === this.tenure && (baton ?? -1) >= this.baton) {
        this.baton = baton!;
        for (const order of orders ?? []) this.carryOut(order);
        return true;
      }
      const named = controllers.indexOf(overseer ?? "");
      this.node = named >= 0 ? named : (this.node + 1) % controllers.length;
    } catch {
      this.node = (this.node + 1) % controllers.length;
    }
    return false;
  }

  private async exchange(text: string): Promise<{ status: number; body: unknown }> {
    const timeoutMs = this.figures.timeoutMs ?? this.figures.leaseMs / 2;
    const unreachable = this.figures.unreachable?.has(this.network.controllers[this.node]!);
    if (this.reportsLost || unreachable) {
      await sleep(timeoutMs / 2);
      throw new Error("no answer");
    }
    const sentAt = this.network.clock();
    const answer = await this.network.send(this.zone, this.node, text, timeoutMs);
    const now = this.network.clock();
    // A process that stood still finds the answer, its time-out and the end of the lease at once.
    if (now > this.leaseEndsAt) this.expire();
    const late = now - sentAt > timeoutMs;
    if (late || this.responsesLost || this.hung || this.stopped) throw new Error("the answer is lost");
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

  private carryOut(order: Order): void {
    const known = this.pieces.find((p) => p.piece === order.piece && p.try === order.try);
    if (order.verb === "reap") this.pieces = this.pieces.filter((p) => p !== known || p.stage !== "exited");
    if (order.verb === "halt" && known?.stage === "running") this.exit(known, "halted");
    if (order.verb !== "start" || known) return;
    const piece: Piece = { piece: order.piece, try: order.try, stage: "running" };
    this.pieces.push(piece);
    this.running.add(order.piece);
    this.observer.started(order.piece, this);
    const job = order.piece.slice(0, order.piece.indexOf("/"));
    if (this.sick || this.figures.faulty?.has(job)) {
      this.exit(piece, "error");
      return;
    }
    void this.work(piece, this.figures.runOf?.get(job) ?? this.figures.runMs);
  }

  /** A task makes no progress while its machine hangs. */
  private async work(piece: Piece, runMs: number): Promise<void> {
    const { tenure } = this;
    await sleepUnheld(runMs);
    while (this.hung) await sleep(this.figures.reportMs);
    if (this.stopped || this.tenure !== tenure || piece.stage !== "running") return;
    this.exit(piece, "done");
    this.observer.completed(piece.piece);
  }

  private exit(piece: Piece, cause: Exclude<EndCause, "lost">): void {
    piece.stage = "exited";
    piece.cause = cause;
    this.running.delete(piece.piece);
    this.observer.ended?.(piece.piece, this, cause, this.network.clock());
  }
}

/** Guards against a test process that stays until the longest task of a machine that is long gone would have ended. */
function sleepUnheld(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
