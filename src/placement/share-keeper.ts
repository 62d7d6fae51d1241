/** The actor that owns one share while this process is its owner: answers workers, places, writes what is done. */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { Summary } from "../peers/messages.js";
import type { StateClient } from "../state/client.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { jittered, sleep } from "../runtime/wait.js";
import { readMachine } from "../workers/records.js";
import { commandsToWire, type Change, type Write, type WorkerReport } from "../wire/index.js";
import type { Completion, Share } from "./share.js";

export type ReportAnswer =
  | { kind: "commands"; body: object }
  /** Not entitled, or it makes no sense to act: the worker should look elsewhere or come again. */
  | { kind: "refused" };

export type KeeperMessage =
  | { kind: "records"; changes: Change[] | null }
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
  | { kind: "give"; to: number; hosts: string[]; reply: (hosts: string[]) => void };

export interface KeeperHooks {
  /** The share's token if this process may act for it now. */
  token(): number | null;
  raiseToken(): void;
  summary(summary: Summary): void;
}

export interface KeeperFigures {
  /** How long a round of placing may take. */
  roundMs: number;
  /** The least time between two summaries, and between two writes of completions. */
  spacingMs: number;
}

export class ShareKeeper extends Actor<KeeperMessage> {
  private writing = false;
  private noting = false;
  private lastWrite = -Infinity;
  private lastSummary = -Infinity;
  private token: number | null = null;

  constructor(
    private readonly share: Share,
    private readonly figures: KeeperFigures,
    private readonly state: StateClient,
    private readonly view: ReplicaView,
    private readonly clock: SteadyClock,
    private readonly hooks: KeeperHooks,
    log: Logger,
  ) {
    super(log);
  }

  protected override receive(message: KeeperMessage): void {
    switch (message.kind) {
      case "records":
        this.share.sync(this.view, message.changes, this.clock());
        return;
      case "report":
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
        message.reply(this.share.counts(message.job));
        return;
      case "drain":
        void this.leave(message.hosts, true, (record) => ({ ...record, drain: true }), message.reply);
        return;
      case "give":
        void this.leave(message.hosts, false, (record) => ({ ...record, share: message.to }), message.reply);
        return;
    }
  }

  private currentToken(): number | null {
    const token = this.hooks.token();
    if (token !== null && token !== this.token) {
      this.token = token;
      this.share.attemptsRenewed();
    }
    return token;
  }

  private answer(report: WorkerReport): ReportAnswer {
    const token = this.currentToken();
    if (token === null) return { kind: "refused" };
    if (report.token > token) {
      // Either we are deposed, and raising fails, or the machine comes from a share with a higher token.
      this.hooks.raiseToken();
      return { kind: "refused" };
    }
    const now = this.clock();
    const commands = this.share.report(report, now);
    if (commands === null) return { kind: "refused" };
    this.noteUp();
    if (this.place(token)) {
      const known = new Set(commands.filter((c) => c.op === "start").map((c) => c.attempt));
      for (const start of this.share.startsFor(report.host))
        if (!known.has(start.attempt)) commands.push(start);
    }
    this.flush();
    return { kind: "commands", body: commandsToWire(token, commands) };
  }

  private tick(): void {
    const now = this.clock();
    const token = this.currentToken();
    this.share.expire(now);
    if (token === null) return;
    if (this.share.attemptsExhausted) this.hooks.raiseToken();
    this.noteUp();
    this.share.drainNoticed();
    this.place(token);
    this.share.preempt(now);
    this.flush();
    if (now - this.lastSummary >= this.figures.spacingMs) {
      this.lastSummary = now;
      const summary = this.share.summary(token, now);
      this.log.debug({ share: this.share.n, ...summary.load, demand: summary.demand }, "load");
      this.hooks.summary(summary);
    }
  }

  private place(token: number): boolean {
    const now = this.clock();
    return this.share.place(token, now, this.clock, now + this.figures.roundMs) > 0;
  }

  /** Notes durably which machines have come up, before anything is placed on them: see the census. */
  private noteUp(): void {
    const token = this.currentToken();
    if (this.noting || token === null) return;
    const entries = this.share
      .newlyUp()
      .slice(0, this.state.txnOps)
      .flatMap((host) => this.view.get(keys.machine(host)) ?? []);
    if (entries.length === 0) return;
    this.noting = true;
    const guards = [
      { key: keys.share(this.share.n), version: token },
      ...entries.map((e) => ({ key: e.key, version: e.version })),
    ];
    const writes = entries.map((e) => ({ put: e.key, value: { ...(e.value as object), up: true } }));
    this.state
      .commit(guards, writes)
      .catch((err: Error) => this.log.debug({ err: err.message }, "machines not noted yet"))
      .finally(() => this.tell({ kind: "noted" }));
  }

  /** Writes completed work: one transaction at a time, each guarded by the share's record. */
  private flush(): void {
    const token = this.currentToken();
    const now = this.clock();
    if (this.writing || token === null || now - this.lastWrite < this.figures.spacingMs / 4) return;
    const completions = this.share.completions(this.state.txnOps);
    if (completions.length === 0) return;
    this.writing = true;
    this.lastWrite = now;
    void this.commit(token, completions);
  }

  private async commit(token: number, completions: Completion[]): Promise<void> {
    const own = keys.share(this.share.n);
    try {
      const result = await this.state.commit(
        [{ key: own, version: token }, ...completions.flatMap((c) => c.guards)],
        completions.flatMap((c) => c.writes),
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

  /** Marks machines durably before anyone acts on their leaving: a later owner must not place on them either. */
  private async leave(
    hosts: string[],
    anyState: boolean,
    change: (record: object) => object,
    reply: (hosts: string[]) => void,
  ): Promise<void> {
    const token = this.currentToken();
    if (token === null) return reply([]);
    const leaving = this.share.beginLeaving(hosts.slice(0, this.state.txnOps), anyState);
    if (leaving.length === 0) return reply([]);
    const guards = [{ key: keys.share(this.share.n), version: token }];
    const writes: Write[] = [];
    for (const host of leaving) {
      const entry = this.view.get(keys.machine(host));
      if (entry === undefined) continue;
      guards.push({ key: entry.key, version: entry.version });
      writes.push({ put: entry.key, value: change(entry.value as object) });
    }
    try {
      const result = await this.state.commit(guards, writes);
      if (result.ok) {
        this.log.info({ share: this.share.n, hosts: leaving }, "machines leave");
        return reply(leaving);
      }
      this.share.stayAfterAll(leaving);
    } catch (err) {
      this.log.debug({ err: (err as Error).message, hosts: leaving }, "leaving not confirmed");
      for (const host of leaving) void this.settleLeaving(host);
    }
    reply([]);
  }

  /**
   * Guards against `ran_twice`: the write may yet be applied, and a machine must not be filled again before that
   * is ruled out. A newer version of its record, written by us, rules it out; nothing is placed until then.
   */
  private async settleLeaving(host: string): Promise<void> {
    const key = keys.machine(host);
    for (;;) {
      await sleep(jittered(this.figures.spacingMs));
      const token = this.currentToken();
      try {
        const now = await this.state.read(key);
        const record = readMachine(now?.value);
        // Gone, named or passed on: the records say so, and that is followed.
        if (now === null || record === null || record.drain || record.share !== this.share.n) return;
        if (token === null) continue;
        const guards = [
          { key: keys.share(this.share.n), version: token },
          { key, version: now.version },
        ];
        const result = await this.state.commit(guards, [{ put: key, value: record }]);
        if (result.ok) return this.share.stayAfterAll([host]);
        if (result.failed.includes(keys.share(this.share.n)) && this.currentToken() === null) return;
      } catch (err) {
        this.log.debug({ err: (err as Error).message, host }, "leaving not settled yet");
      }
    }
  }
}
