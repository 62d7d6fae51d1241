/** The actor that owns one shard while this process is its owner: answers workers, places, writes what is done. */
import { Actor } from "../runtime/actor.js";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import type { WritePriority } from "../state/shared-write-rate.js";
import type { StateStoreClient } from "../state/state-store-client.js";
import { StateStoreError } from "../state/state-store-error.js";
import { keys } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import { jittered, sleep } from "../runtime/sleep.js";
import type { Fleet, FleetChange } from "../workers/fleet.js";
import { readMachineGroup } from "../workers/machine-records.js";
import { limitCommands } from "../workers/worker-commands.js";
import type { Heartbeat } from "../wire/index.js";
import type { RenewalGuard } from "./renewal-guard.js";
import type { Completion } from "./completion-log.js";
import { JobMigrator } from "./job-migrator.js";
import type { Shard } from "./shard.js";
import type {
  HeartbeatResponse,
  ShardOwnerCallbacks,
  ShardOwnerMessage,
  ShardOwnerTimings,
} from "./shard-owner-messages.js";
import { withoutDemand } from "../placement/shard-summary.js";

const REFUSED: HeartbeatResponse = { kind: "refused" };

/** The whole rounds that reports lead to take at most about this part of the time. */
const ROUND_TIME_FRACTION = 1 / 8;

/** Acts for one shard from the moment this process owns it until it is retired. */
export class ShardOwner extends Actor<ShardOwnerMessage> {
  private completionWritePending = false;
  private machineWritePending = false;
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
  private readonly transfers: JobMigrator;

  constructor(
    private readonly shard: Shard,
    private readonly timings: ShardOwnerTimings,
    private readonly state: StateStoreClient,
    private readonly view: ReplicaView,
    private readonly fleet: Fleet,
    private readonly clock: SteadyClock,
    private readonly callbacks: ShardOwnerCallbacks,
    private readonly renewalGuard: RenewalGuard,
    log: Logger,
  ) {
    super(log);
    this.transfers = this.makeTransfers();
  }

  private makeTransfers(): JobMigrator {
    const term = { token: () => this.currentToken(), over: () => this.retired };
    return new JobMigrator(
      this.shard,
      term,
      this.timings.spacingMs,
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
  get isCutOffFromWorkers(): boolean {
    return this.quietTicks > this.timings.quietTicks;
  }

  /** How many machines should report here. */
  get expectedHeartbeatSources(): number {
    return this.shard.expectedHeartbeatSources;
  }

  protected override receive(message: ShardOwnerMessage): void {
    switch (message.kind) {
      case "records_changed":
        this.shard.sync(this.view, message.changes, this.clock(), message.completeAsOf);
        return;
      case "heartbeat":
        this.quietTicks = 0;
        message.reply(this.respond(message.heartbeat));
        return;
      case "tick":
        this.tick();
        return;
      case "machines_recorded":
        this.machineWritePending = false;
        return;
      case "completions_written":
        this.completionWritePending = false;
        this.writeCompletions();
        return;
      case "task_counts":
        message.reply(this.shard.taskCounts(message.job));
        return;
      case "drain_machines":
        if (!this.callbacks.mayRemoveMachines()) message.reply([]);
        else void this.removeMachines(message.hosts, true, (hosts) => this.drainChange(hosts), message.reply);
        return;
      case "job_cancelled":
        this.shard.cancelled(message.job, this.clock());
        return;
      case "migrate_job":
        void this.transfers.migrate(message.job, message.targetShard);
        return;
      case "cordon_machine":
        this.shard.cordon(message.targetShard, message.demand, this.clock());
        return;
      case "transfer_machines":
        void this.removeMachines(
          message.hosts,
          false,
          (hosts) => this.transferChange(hosts, message.targetShard),
          message.reply,
        );
        return;
    }
  }

  private currentToken(): number | null {
    const authority = this.callbacks.authority();
    if (!authority.held) return null;
    this.followToken(authority.token);
    return authority.token;
  }

  private followToken(token: number): void {
    if (token === this.token) return;
    this.token = token;
    this.shard.tokenAdvanced(token);
    this.shard.resetAttempts();
  }

  private respond(report: Heartbeat): HeartbeatResponse {
    const now = this.clock();
    const right = this.renewalGuard.permission(
      this.callbacks.authority(),
      report.highestToken,
      now - this.shard.viewCompleteAsOf,
    );
    if (!right.allowed) {
      // Either we are deposed, and raising fails, or the machine comes from a shard with a higher token.
      if (right.reason === "newer_token") this.callbacks.advanceToken();
      return REFUSED;
    }
    this.followToken(right.token);
    const commands = this.shard.reconcileHeartbeat(report, now);
    if (commands === null) {
      this.renewalGuard.heartbeatIgnored();
      return REFUSED;
    }
    this.recordReportingMachines();
    if (this.callbacks.mayPlace() && this.placeAtHeartbeat(report.host, right.token, now)) {
      const known = new Set(commands.filter((c) => c.op === "start").map((c) => c.attempt));
      for (const start of this.shard.startsFor(report.host))
        if (!known.has(start.attempt)) commands.push(start);
    }
    this.writeCompletions();
    const renewal = this.renewalGuard.decide(right, report, limitCommands(commands), (job) =>
      this.shard.isLiveJob(job),
    );
    return renewal === null ? REFUSED : { kind: "commands", renewal };
  }

  private placeAtHeartbeat(host: string, token: number, now: number): boolean {
    if (this.shard.wantsRound && now >= this.nextRoundAt) return this.place(token);
    return this.shard.placeOnMachine(host, token, now) > 0;
  }

  private tick(): void {
    const now = this.clock();
    const token = this.currentToken();
    this.quietTicks++;
    this.shard.expire(now);
    if (token === null) return;
    if (this.shard.attemptsExhausted) this.callbacks.advanceToken();
    this.recordReportingMachines();
    this.shard.drainInterrupted();
    if (this.callbacks.mayPlace()) {
      this.place(token);
      this.preempt(now);
    }
    this.writeCompletions();
    if (now - this.lastSummary >= this.timings.spacingMs) {
      this.lastSummary = now;
      const summary = this.shard.summary(token, now);
      if (this.log.isLevelEnabled("debug"))
        this.log.debug(
          { shard: this.shard.id, ...summary.load, ...this.shard.cpusByTaskState(), demand: summary.demand },
          "load",
        );
      this.callbacks.sendSummary(this.callbacks.mayPlace() ? summary : withoutDemand(summary));
    }
  }

  /** Looked at again once its last victims could have been seen stopped. */
  private preempt(now: number): void {
    if (now - this.lastPreempt < this.timings.preemptMs) return;
    this.lastPreempt = now;
    this.shard.preempt(now, this.clock, this.clock() + this.timings.roundMs);
  }

  private place(token: number): boolean {
    const now = this.clock();
    const placed = this.shard.place(token, now, this.clock, now + this.timings.roundMs) > 0;
    const end = this.clock();
    // Guards against a large shard whose every report leads to a whole round: it would have time for little else.
    this.nextRoundAt = end + (end - now) / ROUND_TIME_FRACTION;
    return placed;
  }

  /** Notes durably which machines have come up, before anything is placed on them: see ShardRecords. */
  private recordReportingMachines(): void {
    const token = this.currentToken();
    const now = this.clock();
    if (this.machineWritePending || token === null || now - this.lastNote < this.timings.spacingMs / 4)
      return;
    this.lastNote = now;
    const up = this.shard.unrecordedHosts();
    if (up.length === 0) return;
    const { conditions: guards, writes } = this.fleet.changeStage(up, "up", this.state.txnOps);
    if (writes.length === 0) return;
    this.machineWritePending = true;
    this.state
      .compareAndSwap([{ key: keys.shard(this.shard.id), version: token }, ...guards], writes, "note")
      .catch((err: unknown) => {
        this.log.debug({ err: (err as Error).message }, "machines not noted yet");
      })
      .finally(() => this.tell({ kind: "machines_recorded" }));
  }

  /**
   * Writes completed work: one transaction at a time, each guarded by the shard's record. Jobs that are over come
   * first, since users wait for them; progress is written now and then, and workers keep results until it is.
   */
  private writeCompletions(): void {
    const token = this.currentToken();
    const now = this.clock();
    if (this.completionWritePending || token === null || now - this.lastWrite < this.timings.spacingMs / 4)
      return;
    const over = this.shard.takeFinishedJobs(this.state.txnOps);
    const kind = over.length > 0 ? "result" : "note";
    if (over.length === 0 && now - this.lastProgress < this.timings.spacingMs) return;
    const completions = over.length > 0 ? over : this.shard.takeProgress(this.state.txnOps);
    if (completions.length === 0) return;
    this.completionWritePending = true;
    this.lastWrite = now;
    if (over.length === 0) this.lastProgress = now;
    void this.commitCompletions(token, completions, kind);
  }

  private async commitCompletions(
    token: number,
    completions: Completion[],
    kind: WritePriority,
  ): Promise<void> {
    const own = keys.shard(this.shard.id);
    try {
      const result = await this.state.compareAndSwap(
        [{ key: own, version: token }, ...completions.flatMap((c) => c.conditions)],
        completions.flatMap((c) => c.writes),
        kind,
      );
      if (result.ok) for (const completion of completions) completion.onDurable();
      // Guards against a completion racing with a cancellation: whoever changed the job's record first has won.
      else if (!result.failedKeys.includes(own))
        for (const completion of completions)
          if (completion.conditions.some((g) => result.failedKeys.includes(g.key)))
            await this.resolveCompletion(completion);
    } catch (err) {
      this.log.debug({ err: (err as Error).message }, "completions not written yet");
    }
    this.tell({ kind: "completions_written" });
  }

  /** The job's record is not as we knew it: over by another's hand, or by an earlier try of ours. */
  private async resolveCompletion(completion: Completion): Promise<void> {
    if ((await this.state.read(keys.job(completion.job))) === null) completion.onJobGone();
  }

  private drainChange(hosts: string[]): FleetChange {
    return this.fleet.changeStage(hosts, "leaving", this.state.txnOps);
  }

  private transferChange(hosts: string[], to: number): FleetChange {
    return this.fleet.transferToShard(hosts, to, () => crypto.randomUUID(), this.state.txnOps);
  }

  /** Marks machines durably before anyone acts on their leaving: a later owner must not place on them either. */
  private async removeMachines(
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
    const marked = this.shard.beginRemoval(hosts, anyState);
    const { conditions: guards, writes, hosts: leaving } = change(marked);
    this.shard.cancelRemoval(marked.filter((host) => !leaving.includes(host)));
    if (leaving.length === 0) {
      reply([]);
      return;
    }
    const own = { key: keys.shard(this.shard.id), version: token };
    try {
      const result = await this.state.compareAndSwap([own, ...guards], writes, "note");
      if (result.ok) {
        this.log.info({ shard: this.shard.id, hosts: leaving }, "machines leave");
        reply(leaving);
        return;
      }
      this.shard.cancelRemoval(leaving);
    } catch (err) {
      this.log.debug({ err: (err as Error).message, hosts: leaving }, "leaving not confirmed");
      if (!(err instanceof StateStoreError) || err.outcome === "unknown")
        for (const { key } of guards) void this.resolveRemoval(key, leaving);
      else this.shard.cancelRemoval(leaving);
    }
    reply([]);
  }

  /**
   * Guards against `ran_twice`: the write may yet be applied, and a machine must not be filled again before that
   * is ruled out. A newer version of its group's record, written by us, rules it out; nothing is placed until then.
   */
  private async resolveRemoval(key: string, leaving: string[]): Promise<void> {
    for (;;) {
      await sleep(jittered(this.timings.spacingMs));
      const token = this.currentToken();
      try {
        const now = await this.state.read(key);
        const group = readMachineGroup(now?.value);
        // Gone or passed on: the records say so, and that is followed.
        if (now === null || group?.shard !== this.shard.id) return;
        // The term is over: whoever owns the shard now knows nothing of what was meant here.
        if (token === null) {
          if (this.retired) return;
          continue;
        }
        const guards = [
          { key: keys.shard(this.shard.id), version: token },
          { key, version: now.version },
        ];
        const result = await this.state.compareAndSwap(guards, [{ put: key, value: group }], "note");
        // What was selected for removal after all is marked in the record, and stays unused by that.
        if (result.ok) {
          this.shard.cancelRemoval(leaving.filter((host) => host in group.machines));
          return;
        }
      } catch (err) {
        this.log.debug({ err: (err as Error).message, key }, "leaving not recovered yet");
      }
    }
  }
}
