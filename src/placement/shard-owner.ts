/** The actor that owns one shard while this process is its owner: answers workers, places, writes what is done. */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { Demand, Summary } from "../peers/messages.js";
import { StateFailure, type StateClient, type WriteKind } from "../state/client.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { jittered, sleep } from "../runtime/wait.js";
import type { Fleet, FleetChange } from "../workers/fleet.js";
import { readGroup } from "../workers/records.js";
import type { Authority } from "../membership/authority.js";
import { Renewal } from "../workers/renewal-verdict.js";
import { withinLimit } from "../workers/reports.js";
import type { Change, WorkerReport } from "../wire/index.js";
import type { AnswerGate } from "./answer-gate.js";
import type { Completion } from "./completion-log.js";
import { JobTransfers } from "./job-transfers.js";
import type { Shard } from "./shard.js";
import { withoutClaims } from "./summary.js";

/** The owner's answer to a worker's report. */
export type ReportAnswer =
  | { kind: "commands"; renewal: Renewal }
  /** Not entitled, or it makes no sense to act: the worker should look elsewhere or come again. */
  | { kind: "refused" };

const REFUSED: ReportAnswer = { kind: "refused" };

/** What a shard owner is told. */
export type ShardOwnerMessage =
  /** Changed records, and the time up to which they are surely complete. */
  | { kind: "records"; changes: Change[] | null; asOf: number }
  | { kind: "report"; report: WorkerReport; reply: (answer: ReportAnswer) => void }
  | { kind: "tick" }
  | { kind: "written" }
  | { kind: "noted" }
  | {
      kind: "counts";
      job: string;
      reply: (counts: { known: boolean; done: number; running: number }) => void;
    }
  | { kind: "drain"; hosts: string[]; reply: (hosts: string[]) => void }
  | { kind: "cancelled"; job: string }
  | { kind: "transfer"; job: string; to: number }
  | { kind: "cordon"; to: number; demand: Demand }
  | { kind: "give"; to: number; hosts: string[]; reply: (hosts: string[]) => void };

/** What a shard owner needs of the rest of the process. */
export interface ShardOwnerHooks {
  /** Whether this process may act for the shard now. */
  authority(): Authority;
  advanceToken(): void;
  summary(summary: Summary): void;
  /** Whether tasks may be started and stopped now, as far as links go. */
  mayPlace(): boolean;
  /** Whether machines may be selected for removal now, as far as links go. */
  mayGiveBack(): boolean;
}

/** Durations that a shard owner goes by. */
export interface ShardOwnerTimings {
  /** How long a round of placing may take. */
  roundMs: number;
  /** The least time between two summaries, and between two writes of completions. */
  spacingMs: number;
  /** The least time between two looks for tasks to stop. */
  preemptMs: number;
  /** After so many ticks without a report the shard's workers do not reach this node. */
  quietTicks: number;
}

/** The whole rounds that reports lead to take at most about this part of the time. */
const ROUNDS_PART = 1 / 8;

/** Acts for one shard from the moment this process owns it until it is retired. */
export class ShardOwner extends Actor<ShardOwnerMessage> {
  private writing = false;
  private noting = false;
  private lastWrite = -Infinity;
  private lastProgress = -Infinity;
  private lastNote = -Infinity;
  private lastPreempt = -Infinity;
  private lastSummary = -Infinity;
  /** Before this no report leads to a whole round of placing. */
  private nextRoundAt = -Infinity;
  private token: number | null = null;
  /** Ticks since a worker of the shard last came here. In ticks, since a process that stood still has heard nobody. */
  private quietTicks = 0;
  /** Set when another owner, or another node, has taken the shard's place. */
  private retired = false;
  private readonly transfers: JobTransfers;

  constructor(
    private readonly shard: Shard,
    private readonly figures: ShardOwnerTimings,
    private readonly state: StateClient,
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    private readonly clock: SteadyClock,
    private readonly hooks: ShardOwnerHooks,
    private readonly gate: AnswerGate,
    log: Logger,
  ) {
    super(log);
    this.transfers = this.makeTransfers();
  }

  private makeTransfers(): JobTransfers {
    const term = { token: () => this.currentToken(), over: () => this.retired };
    return new JobTransfers(
      this.shard,
      term,
      this.figures.spacingMs,
      this.state,
      this.view,
      this.clock,
      this.log,
    );
  }

  /** The shard is no longer this owner's: nothing it began is tried any further. */
  retire(): void {
    this.retired = true;
  }

  /** Whether no worker has come here for longer than any of them waits between two reports. */
  get unheard(): boolean {
    return this.quietTicks > this.figures.quietTicks;
  }

  /** How many machines should report here. */
  get expectedReporters(): number {
    return this.shard.expectedReporters;
  }

  protected override receive(message: ShardOwnerMessage): void {
    switch (message.kind) {
      case "records":
        this.shard.sync(this.view, message.changes, this.clock(), message.asOf);
        return;
      case "report":
        this.quietTicks = 0;
        message.reply(this.answer(message.report));
        return;
      case "tick":
        this.tick();
        return;
      case "noted":
        this.noting = false;
        return;
      case "written":
        this.writing = false;
        this.flush();
        return;
      case "counts":
        message.reply(this.shard.counts(message.job));
        return;
      case "drain":
        if (!this.hooks.mayGiveBack()) message.reply([]);
        else void this.leave(message.hosts, true, (hosts) => this.toDrain(hosts), message.reply);
        return;
      case "cancelled":
        this.shard.cancelled(message.job, this.clock());
        return;
      case "transfer":
        void this.transfers.transfer(message.job, message.to);
        return;
      case "cordon":
        this.shard.cordon(message.to, message.demand, this.clock());
        return;
      case "give":
        void this.leave(message.hosts, false, (hosts) => this.toGive(hosts, message.to), message.reply);
        return;
    }
  }

  private currentToken(): number | null {
    const authority = this.hooks.authority();
    if (!authority.held) return null;
    this.followToken(authority.token);
    return authority.token;
  }

  private followToken(token: number): void {
    if (token === this.token) return;
    this.token = token;
    this.shard.tokenAdvanced(token);
    this.shard.attemptsRenewed();
  }

  private answer(report: WorkerReport): ReportAnswer {
    const now = this.clock();
    const right = this.gate.right(this.hooks.authority(), report.token, now - this.shard.copyAsOf);
    if (!right.allowed) {
      // Either we are deposed, and raising fails, or the machine comes from a shard with a higher token.
      if (right.reason === "newer_token") this.hooks.advanceToken();
      return REFUSED;
    }
    this.followToken(right.token);
    const commands = this.shard.report(report, now);
    if (commands === null) {
      this.gate.reportIgnored();
      return REFUSED;
    }
    this.noteUp();
    if (this.hooks.mayPlace() && this.placeAtReport(report.host, right.token, now)) {
      const known = new Set(commands.filter((c) => c.op === "start").map((c) => c.attempt));
      for (const start of this.shard.startsFor(report.host))
        if (!known.has(start.attempt)) commands.push(start);
    }
    this.flush();
    const renewal = this.gate.decide(right, report, withinLimit(commands), (job) =>
      this.shard.knowsLive(job),
    );
    return renewal === null ? REFUSED : { kind: "commands", renewal };
  }

  private placeAtReport(host: string, token: number, now: number): boolean {
    if (this.shard.wantsRound && now >= this.nextRoundAt) return this.place(token);
    return this.shard.placeOn(host, token, now) > 0;
  }

  private tick(): void {
    const now = this.clock();
    const token = this.currentToken();
    this.quietTicks++;
    this.shard.expire(now);
    if (token === null) return;
    if (this.shard.attemptsExhausted) this.hooks.advanceToken();
    this.noteUp();
    this.shard.drainNoticed();
    if (this.hooks.mayPlace()) {
      this.place(token);
      this.preempt(now);
    }
    this.flush();
    if (now - this.lastSummary >= this.figures.spacingMs) {
      this.lastSummary = now;
      const summary = this.shard.summary(token, now);
      if (this.log.isLevelEnabled("debug"))
        this.log.debug(
          { shard: this.shard.n, ...summary.load, ...this.shard.usage(), demand: summary.demand },
          "load",
        );
      this.hooks.summary(this.hooks.mayPlace() ? summary : withoutClaims(summary));
    }
  }

  /** Looked at again once its last victims could have been seen stopped. */
  private preempt(now: number): void {
    if (now - this.lastPreempt < this.figures.preemptMs) return;
    this.lastPreempt = now;
    this.shard.preempt(now, this.clock, this.clock() + this.figures.roundMs);
  }

  private place(token: number): boolean {
    const now = this.clock();
    const placed = this.shard.place(token, now, this.clock, now + this.figures.roundMs) > 0;
    const end = this.clock();
    // Guards against a large shard whose every report leads to a whole round: it would have time for little else.
    this.nextRoundAt = end + (end - now) / ROUNDS_PART;
    return placed;
  }

  /** Notes durably which machines have come up, before anything is placed on them: see ShardRecords. */
  private noteUp(): void {
    const token = this.currentToken();
    const now = this.clock();
    if (this.noting || token === null || now - this.lastNote < this.figures.spacingMs / 4) return;
    this.lastNote = now;
    const up = this.shard.newlyUp();
    if (up.length === 0) return;
    const { guards, writes } = this.fleet.change(up, "up", this.state.txnOps);
    if (writes.length === 0) return;
    this.noting = true;
    this.state
      .commit([{ key: keys.shard(this.shard.n), version: token }, ...guards], writes, "note")
      .catch((err: unknown) => {
        this.log.debug({ err: (err as Error).message }, "machines not noted yet");
      })
      .finally(() => this.tell({ kind: "noted" }));
  }

  /**
   * Writes completed work: one transaction at a time, each guarded by the shard's record. Jobs that are over come
   * first, since users wait for them; progress is written now and then, and workers keep results until it is.
   */
  private flush(): void {
    const token = this.currentToken();
    const now = this.clock();
    if (this.writing || token === null || now - this.lastWrite < this.figures.spacingMs / 4) return;
    const over = this.shard.finished(this.state.txnOps);
    const kind = over.length > 0 ? "result" : "note";
    if (over.length === 0 && now - this.lastProgress < this.figures.spacingMs) return;
    const completions = over.length > 0 ? over : this.shard.progressed(this.state.txnOps);
    if (completions.length === 0) return;
    this.writing = true;
    this.lastWrite = now;
    if (over.length === 0) this.lastProgress = now;
    void this.commit(token, completions, kind);
  }

  private async commit(token: number, completions: Completion[], kind: WriteKind): Promise<void> {
    const own = keys.shard(this.shard.n);
    try {
      const result = await this.state.commit(
        [{ key: own, version: token }, ...completions.flatMap((c) => c.guards)],
        completions.flatMap((c) => c.writes),
        kind,
      );
      if (result.ok) for (const completion of completions) completion.durable();
      // Guards against a completion racing with a cancellation: whoever changed the job's record first has won.
      else if (!result.failed.includes(own))
        for (const completion of completions)
          if (completion.guards.some((g) => result.failed.includes(g.key))) await this.settle(completion);
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "completions not written yet");
    }
    this.tell({ kind: "written" });
  }

  /** The job's record is not as we knew it: over by another's hand, or by an earlier try of ours. */
  private async settle(completion: Completion): Promise<void> {
    if ((await this.state.read(keys.job(completion.job))) === null) completion.lost();
  }

  private toDrain(hosts: string[]): FleetChange {
    return this.fleet.change(hosts, "leaving", this.state.txnOps);
  }

  private toGive(hosts: string[], to: number): FleetChange {
    return this.fleet.pass(hosts, to, () => crypto.randomUUID(), this.state.txnOps);
  }

  /** Marks machines durably before anyone acts on their leaving: a later owner must not place on them either. */
  private async leave(
    hosts: string[],
    anyState: boolean,
    change: (hosts: string[]) => FleetChange,
    reply: (hosts: string[]) => void,
  ): Promise<void> {
    const token = this.currentToken();
    if (token === null) {
      reply([]);
      return;
    }
    const marked = this.shard.beginLeaving(hosts, anyState);
    const { guards, writes, hosts: leaving } = change(marked);
    this.shard.stayAfterAll(marked.filter((host) => !leaving.includes(host)));
    if (leaving.length === 0) {
      reply([]);
      return;
    }
    const own = { key: keys.shard(this.shard.n), version: token };
    try {
      const result = await this.state.commit([own, ...guards], writes, "note");
      if (result.ok) {
        this.log.info({ shard: this.shard.n, hosts: leaving }, "machines leave");
        reply(leaving);
        return;
      }
      this.shard.stayAfterAll(leaving);
    } catch (err) {
      this.log.debug({ err: (err as Error).message, hosts: leaving }, "leaving not confirmed");
      if (!(err instanceof StateFailure) || err.maybe)
        for (const { key } of guards) void this.settleLeaving(key, leaving);
      else this.shard.stayAfterAll(leaving);
    }
    reply([]);
  }

  /**
   * Guards against `ran_twice`: the write may yet be applied, and a machine must not be filled again before that
   * is ruled out. A newer version of its group's record, written by us, rules it out; nothing is placed until then.
   */
  private async settleLeaving(key: string, leaving: string[]): Promise<void> {
    for (;;) {
      await sleep(jittered(this.figures.spacingMs));
      const token = this.currentToken();
      try {
        const now = await this.state.read(key);
        const group = readGroup(now?.value);
        // Gone or passed on: the records say so, and that is followed.
        if (now === null || group?.shard !== this.shard.n) return;
        // The term is over: whoever owns the shard now knows nothing of what was meant here.
        if (token === null) {
          if (this.retired) return;
          continue;
        }
        const guards = [
          { key: keys.shard(this.shard.n), version: token },
          { key, version: now.version },
        ];
        const result = await this.state.commit(guards, [{ put: key, value: group }], "note");
        // What was selected for removal after all is marked in the record, and stays unused by that.
        if (result.ok) {
          this.shard.stayAfterAll(leaving.filter((host) => host in group.machines));
          return;
        }
      } catch (err) {
        this.log.debug({ err: (err as Error).message, key }, "leaving not recovered yet");
      }
    }
  }
}
