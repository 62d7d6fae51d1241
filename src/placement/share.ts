/**
 * One share as its owner sees it: the jobs and machines of the records, the workers' reports, and the decisions
 * that follow. Time and records come in, commands, writes and summaries go out; nothing here waits or calls.
 */
import type { Settings } from "../config/settings.js";
import { CHUNK_TASKS } from "../jobs/bits.js";
import { ProgressPages } from "../jobs/progress.js";
import { readDone, readJob, readProgress } from "../jobs/records.js";
import { suits, type Demand, type MachineSummary, type ShareLoad, type Summary } from "../peers/messages.js";
import { LRUCache } from "lru-cache";
import type { SteadyClock } from "../runtime/clock.js";
import type { Logger } from "../runtime/log.js";
import { keys, prefixes } from "../state/keys.js";
import type { ReplicaView } from "../state/replica.js";
import {
  BESIDE_ROOM_S,
  CLOCK_DRIFT,
  PRIORITIES,
  type Change,
  type Command,
  type Guard,
  type MachineType,
  type Priority,
  type WorkerReport,
  type Write,
} from "../wire/index.js";
import { attach, Job, Machine, type Placement } from "../workers/model.js";
import { machineOf, readGroup, type MachineRecord } from "../workers/records.js";
import { applyReport, isNewer, noteAnswer, releaseAll } from "../workers/reports.js";
import { endsIn, uncovered, type Uncovered } from "./forecast.js";
import { orderByUrgency, type Turn } from "./urgency.js";
import { choosePreemptions } from "./preempt.js";
import {
  allows,
  placeOn,
  placeRound,
  slotsOn,
  queueOf,
  startable,
  teamUsage,
  underLimit,
  unseenUsage,
  type Round,
  type RoundInput,
} from "./place.js";

/** Attempts are a token and a count within its term, so that they never repeat. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;
/** A job that fails on so many machines is at fault itself. */
const FAULTY_JOB_MACHINES = 3;
/** So many report intervals a machine is kept for the job for which tasks were stopped there. */
const RESERVED_REPORTS = 3;
/** So many report intervals a machine stays cordoned after the leader last asked for it. */
const CORDON_REPORTS = 3;
/** The longest that a machine may take to run empty once cordoned, as a part of the time that nobody waits beside room. */
const MOST_CORDONED = 2 / 3;
/** The longest that a faulty job is not tried, as a part of the time that nobody waits beside room. */
const MOST_BACK_OFF = 2 / 3;
/** So many leases after a failure the job may be tried on that machine again. */
const FORGIVEN_LEASES = 2;
/** A machine on which so many jobs fail, with no success between, is at fault itself. */
const FAULTY_MACHINE_JOBS = 2;

/** With more than this part of its processors free a share has room to spare. */
const ROOMY = 1 / 8;

/** The weight of one more task in what is known of a class's estimates. */
const LEARNING = 0.1;

export interface Completion {
  guards: Guard[];
  writes: Write[];
  /** To be called once the writes are durable. */
  durable(): void;
  /** To be called if the job's record turned out to be gone: it was cancelled first. */
  lost(): void;
  /** The job whose record the guards name; empty where they name none. */
  job: string;
}

/** How many machines that have left are remembered, so that late copies of their reports are known for what they are. */
const REMEMBERED_MACHINES = 1000;

/** How many cancellations that were told are remembered: many more than are made while the feed is behind. */
const REMEMBERED_CANCELLATIONS = 10_000;

export class Share {
  readonly jobs = new Map<string, Job>();
  readonly machines = new Map<string, Machine>();
  private readonly dirty = new Map<Job, Set<number>>();
  /** Chunks of completed tasks of jobs that are over: to be cleared away when there is room. */
  private readonly leftovers = new Set<string>();
  /** What tasks really take for each second of their estimate, by class. */
  private readonly ratios = new Map<string, number>();
  private attempts = 0;
  private resumeAt: string | null = null;
  private fresh: Job[] = [];
  private roomy = false;
  /** The waiting jobs as last ordered, and the machines held back for overdue ones. */
  private queue: Turn[] = [];
  /** How many usable machines have an image, as of the last whole round. */
  private imageCounts = new Map<string, number>();
  private kept = new Map<Machine, Job>();
  /** Machines on which tasks were stopped for a job, and until when they are kept for it. */
  private readonly reserved = new Map<Machine, { job: Job; until: number }>();
  /** Machines that run empty for another share, which share, and until when unless the leader asks again. */
  private readonly cordons = new Map<Machine, { to: number; until: number }>();
  /** Which machines of which group's record are here. */
  private readonly groups = new Map<string, Set<string>>();
  /** All tokens of this owner's term. */
  private readonly tokens: Set<number>;
  private readonly progress: ProgressPages;
  /** How new the last report was of machines that have left. */
  private readonly departed = new LRUCache<string, { session: number; seq: number }>({
    max: REMEMBERED_MACHINES,
  });
  /** Jobs of which another told that they are cancelled. */
  private readonly cancellations = new LRUCache<string, true>({ max: REMEMBERED_CANCELLATIONS });
  private readonly leaseMs: number;

  constructor(
    readonly n: number,
    /** The token with which this owner's term began. */
    readonly termToken: number,
    private readonly startedAt: number,
    private readonly settings: Settings,
    private readonly types: () => Map<string, MachineType>,
    view: ReplicaView,
    private readonly log: Logger,
  ) {
    const { leaseMs, reportMs } = settings.workers;
    this.leaseMs = leaseMs * (1 + 2 * CLOCK_DRIFT) + reportMs / 4;
    this.tokens = new Set([termToken]);
    this.progress = new ProgressPages(settings.state.valueBytes);
    this.sync(view, null, startedAt);
    // A machine that never spoke to an owner has never been told to start anything.
    for (const machine of this.machines.values()) machine.inCensus = machine.record.up;
  }

  /** The share's token has been raised by this owner itself: workers that show the new one follow it as well. */
  raised(token: number): void {
    this.tokens.add(token);
  }

  /** Whether everything that an earlier owner may have left running has been seen, or is surely over. */
  get settled(): boolean {
    for (const machine of this.machines.values()) if (machine.inCensus) return false;
    return true;
  }

  /** Follows the records: what is new, what is gone. */
  sync(view: ReplicaView, changes: Change[] | null, now: number): void {
    if (changes === null) {
      for (const id of this.jobs.keys()) if (!view.get(keys.job(id))) this.dropJob(id);
      changes = [
        ...view.under(prefixes.jobs),
        ...view.under(prefixes.done),
        ...view.under(prefixes.machines),
      ];
      for (const change of changes) if (change.key.startsWith(prefixes.machines)) this.syncGroup(change, now);
      for (const key of [...this.groups.keys()])
        if (view.get(key) === undefined) this.syncGroup({ key, value: undefined, version: 0 }, now);
    }
    for (const change of changes) {
      if (change.key.startsWith(prefixes.jobs)) this.syncJob(change);
      else if (change.key.startsWith(prefixes.machines)) this.syncGroup(change, now);
      else if (change.key.startsWith(prefixes.done)) this.syncDone(change, view);
    }
  }

  /** A cancellation is durable, whether or not the feed has shown it yet. */
  cancelled(id: string): void {
    this.cancellations.set(id, true);
    this.dropJob(id);
    this.sweepJobs();
  }

  private syncJob(change: Change): void {
    const id = change.key.slice(prefixes.jobs.length);
    if (change.value === undefined) return this.dropJob(id);
    // Guards against starting a cancelled job again from records read before the cancellation.
    if (this.jobs.has(id) || this.cancellations.has(id)) return;
    const record = readJob(change.value);
    if (record === null) return void this.log.error({ key: change.key }, "unreadable job record");
    if (record.share !== this.n) return;
    const job = Job.fromRecord(record, change.version);
    this.jobs.set(id, job);
    this.fresh.push(job);
  }

  private syncDone(change: Change, view: ReplicaView): void {
    const [of = "", part = ""] = change.key.slice(prefixes.done.length).split("/");
    if (of === String(this.n)) return this.syncProgress(Number(part), readProgress(change.value));
    const job = this.jobs.get(of);
    const bits = readDone(change.value);
    if (bits === null) return;
    if (job) job.mergeDone(Number(part), bits);
    else if (this.n === 0 && !view.get(keys.job(of))) this.leftovers.add(change.key);
  }

  /** What this owner wrote itself comes back as well, and changes nothing. */
  private syncProgress(page: number, jobs: Record<string, string> | null): void {
    if (jobs === null) return;
    for (const [id, bits] of Object.entries(jobs)) {
      const job = this.jobs.get(id);
      if (job === undefined) continue;
      if (job.durable.count === 0) this.progress.load(page, { [id]: bits });
      job.mergeDone(0, bits);
    }
  }

  private syncGroup(change: Change, now: number): void {
    const { key } = change;
    const group = change.value === undefined ? null : readGroup(change.value);
    // A record that cannot be read proves nothing: what is on its machines still counts.
    if (group === null && change.value !== undefined)
      return void this.log.error({ key }, "unreadable machine record");
    const here = group?.share === this.n ? Object.keys(group.machines) : [];
    const former = this.groups.get(key);
    const present = new Set(here);
    if (present.size > 0) this.groups.set(key, present);
    else this.groups.delete(key);
    for (const host of here) {
      const record = machineOf(key, group!, host);
      const machine = this.machines.get(host);
      if (machine) machine.record = record;
      else this.machines.set(host, this.newMachine(host, record, now));
    }
    for (const host of former ?? [])
      if (!present.has(host) && this.machines.get(host)?.record.group === key) this.dropMachine(host);
  }

  private newMachine(host: string, record: MachineRecord, now: number): Machine {
    const machine = new Machine(host, record, now);
    // Guards against late copies from an earlier stay in this share: they are no newer than what was seen then.
    const known = this.departed.get(host);
    if (known !== undefined) [machine.session, machine.seq] = [known.session, known.seq];
    return machine;
  }

  /** The record is gone: over or cancelled. Tasks still on machines are stopped and count until proven gone. */
  private dropJob(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    job.closing = true;
    this.dirty.delete(job);
    this.progress.drop(id);
    if (job.durable.count > 0 && !this.progress.holds(job.spec.tasks))
      for (let c = 0; c * CHUNK_TASKS < job.spec.tasks; c++) this.leftovers.add(keys.done(id, c));
    if (job.active.size === 0) this.jobs.delete(id);
  }

  /** A machine's record goes only after the cloud's 200 to its return, or when it is passed on empty. */
  private dropMachine(host: string): void {
    const machine = this.machines.get(host);
    if (machine === undefined) return;
    releaseAll(machine);
    this.machines.delete(host);
    this.kept.delete(machine);
    this.reserved.delete(machine);
    this.cordons.delete(machine);
    const { session, seq } = machine;
    this.departed.set(host, { session, seq });
    this.sweepJobs();
  }

  private sweepJobs(): void {
    for (const [id, job] of this.jobs) if (job.closing && job.active.size === 0) this.jobs.delete(id);
  }

  /** Null: an old report, about which nothing is to be said. */
  report(report: WorkerReport, now: number): Command[] | null {
    const machine = this.machines.get(report.host);
    if (machine === undefined || !isNewer(machine, report)) return null;
    const wasUp = machine.up;
    const commands = applyReport(machine, report, {
      jobs: this.jobs,
      now,
      startedAt: this.startedAt,
      leaseMs: this.leaseMs,
      ofTerm: (token) => this.tokens.has(token),
      ended: (job, index, where, cause) => this.ended(job, index, where, cause, now),
      finished: (placement) => this.learn(placement, now),
    });
    if (machine.up && !wasUp) this.log.info({ host: machine.host, share: this.n }, "machine heard");
    if (machine.heard) machine.inCensus = false;
    noteAnswer(machine, now);
    this.sweepJobs();
    return commands;
  }

  private ended(job: Job, index: number, machine: Machine, cause: string, now: number): void {
    const { reportMs } = this.settings.workers;
    switch (cause) {
      case "done":
        machine.failedJobs.clear();
        job.failures = 0;
        job.suspect = false;
        // Guards against writing the end of a job that was cancelled while its last task ended: its record is gone, and
        // the transaction would fail again and again, with those of all the jobs that are written together with it.
        if (job.closing) return;
        if (!this.dirty.has(job)) this.dirty.set(job, new Set());
        this.dirty.get(job)!.add(index);
        return;
      case "error":
        this.failed(job, machine, now);
        return;
      case "no_room":
        // The worker counts something that we do not see yet; its next reports will show it.
        machine.notBefore = now + 2 * reportMs;
        return;
      case "unknown":
        // The owner of the job has yet to upload it.
        job.notBefore = now + 2 * reportMs;
        return;
    }
  }

  private failed(job: Job, machine: Machine, now: number): void {
    // What was still under way when the job was found faulty says nothing new, of it or of its machines.
    if (job.notBefore > now) return;
    job.failedOn.set(machine.host, now);
    machine.failedJobs.add(job.spec.id);
    if (job.suspect || job.failedOn.size >= FAULTY_JOB_MACHINES) this.backOff(job, now);
    else if (machine.failedJobs.size >= FAULTY_MACHINE_JOBS && !machine.sick) {
      machine.sick = true;
      this.log.info({ host: machine.host, jobs: [...machine.failedJobs] }, "machine quarantined");
    }
  }

  /**
   * It fails wherever it runs. Its machines are not to blame, and it is tried again ever more rarely, but within the time
   * that nobody waits beside room: it may have been the machines after all.
   */
  private backOff(job: Job, now: number): void {
    for (const host of job.failedOn.keys()) this.machines.get(host)?.failedJobs.delete(job.spec.id);
    job.failedOn.clear();
    job.suspect = true;
    job.notBefore = now + Math.min(2 ** job.failures * this.leaseMs, MOST_BACK_OFF * BESIDE_ROOM_S * 1000);
    job.failures++;
    this.log.info({ job: job.spec.id, failures: job.failures }, "job fails on every machine, backing off");
  }

  /** Ends what can be proven over by the passing of time. */
  expire(now: number): void {
    for (const machine of this.machines.values()) {
      // Before the first report in this term, an earlier owner may have answered until the term began.
      const since = machine.lastReportAt ?? (machine.inCensus ? this.startedAt : machine.spokeAt);
      if (since === null || machine.silentSince !== null || now - since <= this.leaseMs) continue;
      machine.silentSince = now;
      const lost = machine.placements.size;
      releaseAll(machine);
      machine.emptySince = null;
      machine.emptyReports = 0;
      machine.inCensus = false;
      this.log.info({ host: machine.host, share: this.n, lost }, "machine silent, its lease is over");
    }
    this.endCordons(now);
    // Guards against a job that waits for ever beside room: the only machines may be those on which it once failed.
    for (const { failedOn } of this.jobs.values())
      for (const [host, at] of failedOn) if (now - at > FORGIVEN_LEASES * this.leaseMs) failedOn.delete(host);
    this.sweepJobs();
  }

  /** A whole round of placing; starts go out with the machines' next answers. */
  place(token: number, now: number, clock: SteadyClock, deadline: number): number {
    this.fresh = [];
    // Most rounds find nothing to place: they must not cost a look at every machine of a large share.
    const input = this.waits() ? this.roundInput(now) : null;
    this.queue = input === null ? [] : queueOf(input);
    if (input === null || this.queue.length === 0) {
      this.kept = new Map();
      this.resumeAt = null;
      return 0;
    }
    this.countImages();
    const round = placeRound(input, this.queue, clock, deadline);
    this.resumeAt = round.resumeAt;
    const started = this.take(round, token, now);
    const load = this.load();
    this.roomy = load.cpus - load.used > ROOMY * load.cpus;
    return started;
  }

  private waits(): boolean {
    for (const job of this.jobs.values()) if (job.waiting > 0) return true;
    return false;
  }

  /** Offers the room of a machine that has just spoken to what waits. */
  placeOn(host: string, token: number, now: number): number {
    const machine = this.machines.get(host);
    if (machine === undefined || !machine.usable || this.queue.length === 0) return 0;
    // Jobs accepted since the last whole round are served from the next one on, in their order.
    const atHome = (job: Job): boolean => this.atHome(job, machine);
    return this.take(placeOn(machine, this.queue, this.roundInput(now), atHome), token, now);
  }

  /** Whether the machines that have a job's image could hold all that waits of it at once. */
  private atHome({ spec, waiting }: Job, machine: Machine): boolean {
    const type = this.types().get(machine.record.type);
    const slots = type === undefined ? 0 : slotsOn(spec, type);
    return slots > 0 && (this.imageCounts.get(spec.image) ?? 0) * slots >= waiting;
  }

  private countImages(): void {
    this.imageCounts = new Map();
    for (const machine of this.machines.values())
      if (machine.usable)
        for (const image of machine.images)
          this.imageCounts.set(image, (this.imageCounts.get(image) ?? 0) + 1);
  }

  /**
   * Whether a report should lead to a whole round: jobs have come since the last one, or there is room to spare. With
   * room to spare the room of whichever machine speaks is not the best: work is drawn together on full machines, so
   * that the others run empty and can be given back.
   */
  get wantsRound(): boolean {
    return this.fresh.length > 0 || this.roomy;
  }

  private take(round: Round, token: number, now: number): number {
    this.kept = round.kept;
    for (const { job, index, machine } of round.starts) {
      const attempt = token * ATTEMPTS_PER_TOKEN + ++this.attempts;
      const placement: Placement = {
        job,
        index,
        attempt,
        machine,
        state: "assigned",
        since: now,
        stop: null,
        resumed: job.stopped.has(index),
        unseen: 0,
      };
      if (!job.begun) {
        const waitedS = Math.round((Date.now() - job.acceptedAt) / 1000);
        this.log.info({ job: job.spec.id, tasks: job.spec.tasks, waitedS }, "job begins");
      }
      attach(placement);
      machine.emptySince = null;
      machine.emptyReports = 0;
    }
    if (round.starts.length > 0) this.log.debug({ share: this.n, starts: round.starts.length }, "placed");
    return round.starts.length;
  }

  /** The commands for what has been placed on a machine since its report was taken in. */
  startsFor(host: string): Command[] {
    const machine = this.machines.get(host);
    if (!machine?.heard) return [];
    return [...machine.placements]
      .filter((p) => p.state === "assigned" && !p.stop && !p.job.closing)
      .map((p) => ({ op: "start", job: p.job.spec.id, index: p.index, attempt: p.attempt }));
  }

  /** Stops less urgent work where that makes room for more urgent work in time. */
  preempt(now: number, clock: SteadyClock, deadline: number): void {
    const input = { ...this.roundInput(now), reportMs: this.settings.workers.reportMs };
    const { victims, reserved } = choosePreemptions(input, clock, deadline);
    let save = 0;
    for (const victim of victims) {
      const graceS = victim.job.spec.checkpointS > 0 ? victim.job.spec.saveS : 0;
      victim.stop = { why: "preempt", graceS };
      save = Math.max(save, graceS * 1000);
    }
    // Guards against stopping tasks in vain: what waits for less would take the room before enough of it is there.
    const until = now + save + RESERVED_REPORTS * this.settings.workers.reportMs;
    for (const [machine, job] of reserved) this.reserved.set(machine, { job, until });
    if (victims.length > 0) this.log.debug({ share: this.n, stopped: victims.length }, "preempting");
  }

  /** Stops what can be saved before the cloud takes its machine away. */
  drainNoticed(): void {
    const { reportMs } = this.settings.workers;
    for (const machine of this.machines.values()) {
      if (machine.noticeS === null) continue;
      for (const placement of machine.placements) {
        const { saveS, checkpointS } = placement.job.spec;
        // The notice may be half of what it says; three reports are needed to stop and to see it stopped.
        if (checkpointS > 0 && machine.noticeS / 2 < saveS + (3 * reportMs) / 1000)
          placement.stop ??= { why: "drain", graceS: saveS };
      }
    }
  }

  private roundInput(now: number): RoundInput {
    return {
      jobs: [...this.jobs.values()],
      machines: [...this.machines.values()],
      types: this.types(),
      teams: this.settings.teams,
      objectives: this.settings.objectives,
      wallNow: Date.now(),
      ratio: (className: string) => this.ratios.get(className) ?? 1,
      now,
      settled: this.settled,
      termToken: this.termToken,
      resumeAt: this.resumeAt,
      kept: this.kept,
      reserved: this.reservations(now),
    };
  }

  private reservations(now: number): Map<Machine, Job> {
    const open = new Map<Machine, Job>();
    for (const [machine, { job, until }] of this.reserved) {
      if (now > until || job.waiting === 0) this.reserved.delete(machine);
      else open.set(machine, job);
    }
    return open;
  }

  /** Whether the attempts of this token are nearly used up. */
  get attemptsExhausted(): boolean {
    return this.attempts >= ATTEMPTS_PER_TOKEN / 2;
  }

  attemptsRenewed(): void {
    this.attempts = 0;
  }

  /** Jobs whose last task has completed, to be written within so many operations. */
  finished(room: number): Completion[] {
    const out: Completion[] = [];
    for (const job of this.dirty.keys()) {
      if (job.done.count !== job.spec.tasks) continue;
      const completion = this.finish(job);
      if (completion.writes.length > room) break;
      room -= completion.writes.length;
      out.push(completion);
    }
    return out;
  }

  /** Completed tasks of jobs that go on, to be written within so many operations. */
  progressed(room: number): Completion[] {
    const out: Completion[] = [];
    const pages = new Map<number, { job: Job; indexes: Set<number>; written: number[] }[]>();
    for (const [job, indexes] of this.dirty) {
      if (job.done.count === job.spec.tasks) continue;
      if (!this.progress.holds(job.spec.tasks)) {
        if (room < 1) continue;
        const completion = this.chunks(job, indexes, room);
        room -= completion.writes.length;
        out.push(completion);
        continue;
      }
      const page = this.progress.set(job.spec.id, job.done.encodeChunk(0));
      const part = { job, indexes, written: [...indexes] };
      const parts = pages.get(page);
      if (parts) parts.push(part);
      else pages.set(page, [part]);
    }
    for (const [page, parts] of pages) {
      if (room-- < 1) break;
      out.push({
        job: "",
        guards: [],
        writes: [{ put: keys.progress(this.n, page), value: this.progress.value(page) }],
        durable: () => parts.forEach(({ job, indexes, written }) => this.nowDurable(job, indexes, written)),
        lost: () => undefined,
      });
    }
    const stale = [...this.leftovers].slice(0, Math.max(0, room));
    if (stale.length > 0)
      out.push({
        job: "",
        guards: [],
        writes: stale.map((key) => ({ remove: key })),
        durable: () => stale.forEach((key) => this.leftovers.delete(key)),
        lost: () => undefined,
      });
    return out;
  }

  private nowDurable(job: Job, indexes: Set<number>, written: number[]): void {
    for (const i of written) {
      job.durable.add(i);
      indexes.delete(i);
    }
    if (indexes.size === 0 && this.dirty.get(job) === indexes) this.dirty.delete(job);
  }

  private finish(job: Job): Completion {
    const { id, tasks } = job.spec;
    return {
      job: id,
      guards: [{ key: keys.job(id), version: job.version }],
      writes: [{ put: keys.ended(id), value: { stage: "done", done: tasks } }, { remove: keys.job(id) }],
      durable: () => {
        for (let i = 0; i < tasks; i++) job.durable.add(i);
        this.dirty.delete(job);
        this.progress.drop(id);
        this.log.info({ job: id }, "job done");
      },
      lost: () => this.loseJob(job),
    };
  }

  /** What was to be written of a job whose record is gone is never tried again, or it would take others with it. */
  private loseJob(job: Job): void {
    this.dirty.delete(job);
    this.dropJob(job.spec.id);
  }

  private chunks(job: Job, indexes: Set<number>, room: number): Completion {
    const { id } = job.spec;
    const chunks = [...new Set([...indexes].map((i) => Math.floor(i / CHUNK_TASKS)))].slice(
      0,
      Math.max(1, room),
    );
    const written = [...indexes].filter((i) => chunks.includes(Math.floor(i / CHUNK_TASKS)));
    return {
      job: id,
      guards: [{ key: keys.job(id), version: job.version }],
      writes: chunks.map((c) => ({ put: keys.done(id, c), value: { bits: job.done.encodeChunk(c) } })),
      durable: () => this.nowDurable(job, indexes, written),
      lost: () => this.loseJob(job),
    };
  }

  /** Machines that have spoken and whose records do not say so yet. */
  newlyUp(): string[] {
    return [...this.machines.values()]
      .filter((m) => m.lastReportAt !== null && !m.record.up && !m.record.drain && !m.leaving)
      .map((m) => m.host);
  }

  /** The machines of `hosts` that are empty, so that they may leave; nothing is placed on them from now on. */
  beginLeaving(hosts: string[], anyState: boolean): string[] {
    return hosts.filter((host) => {
      const machine = this.machines.get(host);
      if (machine === undefined || machine.leaving) return false;
      const idle = machine.sound && machine.empty && machine.emptyReports >= 2;
      // A machine that never spoke, fell silent or is sick need not be empty: the return itself is the proof.
      const lost = !machine.heard || machine.silentSince !== null || machine.deaf || machine.sick;
      if (!idle && !(anyState && lost)) return false;
      machine.leaving = true;
      return true;
    });
  }

  /**
   * Lets one machine that suits run empty for a share that has none: the one that will be empty soonest. Nothing is
   * cordoned that would take so long that its room stood beside this share's own queue for too long.
   */
  cordon(to: number, demand: Demand, now: number): void {
    const until = now + CORDON_REPORTS * this.settings.workers.reportMs;
    for (const cordon of this.cordons.values())
      if (cordon.to === to) {
        cordon.until = until;
        return;
      }
    const machine = this.soonestEmpty(demand, now);
    if (machine === null) return;
    machine.cordoned = true;
    this.cordons.set(machine, { to, until });
    for (const placement of machine.placements)
      if (yieldsTo(placement, demand)) placement.stop ??= { why: "drain", graceS: placement.job.spec.saveS };
    this.log.info({ host: machine.host, share: this.n, to }, "machine cordoned");
  }

  private soonestEmpty(demand: Demand, now: number): Machine | null {
    const input = this.roundInput(now);
    let best: Machine | null = null;
    let least = MOST_CORDONED * BESIDE_ROOM_S * 1000;
    for (const machine of this.machines.values()) {
      const type = input.types.get(machine.record.type);
      if (type === undefined || !machine.usable || !suits(demand, machine.record)) continue;
      let emptyInMs = 0;
      for (const placement of machine.placements) {
        const stops = yieldsTo(placement, demand);
        const ms = stops ? placement.job.spec.saveS * 1000 : endsIn(placement, type, input);
        emptyInMs = Math.max(emptyInMs, ms);
      }
      if (emptyInMs < least) [best, least] = [machine, emptyInMs];
    }
    return best;
  }

  private endCordons(now: number): void {
    for (const [machine, { until }] of this.cordons) {
      if (now <= until) continue;
      machine.cordoned = false;
      this.cordons.delete(machine);
    }
  }

  stayAfterAll(hosts: string[]): void {
    for (const host of hosts) {
      const machine = this.machines.get(host);
      if (machine) machine.leaving = false;
    }
  }

  /** How full the share is, and what waits, in processors. */
  private load(): ShareLoad {
    const load = { up: 0, empty: 0, cpus: 0, used: 0, waiting: 0 };
    for (const machine of this.machines.values()) {
      if (!machine.up) continue;
      load.up++;
      load.cpus += this.types().get(machine.record.type)?.cpus ?? 0;
      load.used += machine.used().cpus;
      if (machine.placements.size === 0) load.empty++;
    }
    for (const job of this.jobs.values()) load.waiting += job.waiting * job.spec.cpus;
    return load;
  }

  /** What the processors in use are doing, for operators who ask where money goes. */
  usage(): Record<Placement["state"], number> {
    const cpus = { assigned: 0, fetching: 0, running: 0, saving: 0 };
    for (const machine of this.machines.values())
      for (const { state, job } of machine.placements) cpus[state] += job.spec.cpus;
    return cpus;
  }

  counts(id: string): { known: boolean; done: number; running: number } {
    const job = this.jobs.get(id);
    if (job === undefined) return { known: false, done: 0, running: 0 };
    return { known: true, done: job.done.count, running: job.runningCount };
  }

  summary(token: number, now: number): Summary {
    return {
      share: this.n,
      token,
      settled: this.settled,
      load: this.load(),
      demand: this.demand(now),
      machines: [...this.machines.values()].map((m) => summarise(m, now)),
    };
  }

  /** Tasks that need machines yet to be rented, alike ones together; limits of teams respected. */
  private demand(now: number): Demand[] {
    const input = this.roundInput(now);
    const usage = teamUsage(this.jobs.values());
    const unseen = unseenUsage(input.machines, input.types);
    const waiting = new Map<Job, number>();
    const open = [...this.jobs.values()].filter((j) => j.waiting > 0 && startable(j, input));
    for (const job of orderByUrgency(open, input)) {
      const { spec } = job;
      const team = this.settings.teams.find((t) => t.name === spec.team);
      const used = usage.get(spec.team)!;
      const most = job.suspect ? this.worthTrying(job) : job.waiting;
      let count = 0;
      for (; count < most && underLimit(team, used, unseen, spec); count++) {
        used.cpus += spec.cpus;
        used.gpus += spec.gpus;
      }
      if (count > 0) waiting.set(job, count);
    }
    return groupDemand(uncovered({ ...input, waiting }));
  }

  /** A job that may be faulty is tried with one task, for which nothing is rented while a machine could hold it. */
  private worthTrying(job: Job): number {
    if (job.active.size > 0) return 0;
    for (const machine of this.machines.values()) {
      const type = this.types().get(machine.record.type);
      if (type !== undefined && machine.usable && allows(job, machine) && slotsOn(job.spec, type) > 0)
        return 0;
    }
    return 1;
  }

  /** Learns how estimates of a class compare with what its tasks really take. */
  private learn(placement: Placement, now: number): void {
    const { className, estimateS, checkpointS } = placement.job.spec;
    // A task that saves may have gone on from where it was stopped, and then says little.
    if (placement.state !== "running" || estimateS <= 0 || (checkpointS > 0 && placement.resumed)) return;
    const seen = (now - placement.since) / 1000 / estimateS;
    const known = this.ratios.get(className);
    this.ratios.set(className, known === undefined ? seen : known + (seen - known) * LEARNING);
  }
}

/** Whether a task gives way at once where its machine is to run empty: it saves, and is not the more urgent. */
function yieldsTo({ job: { spec } }: Placement, demand: Demand): boolean {
  return (
    spec.checkpointS > 0 &&
    PRIORITIES.indexOf(spec.priority) <= PRIORITIES.indexOf(demand.priority as Priority)
  );
}

function groupDemand(rest: Uncovered[]): Demand[] {
  const groups = new Map<string, Demand>();
  for (const { job, count, zone } of rest) {
    const { cpus, gpus, memoryGb, spot, priority, types } = job.spec;
    const group = { cpus, gpus, memoryGb, types: types ?? [], zone: zone ?? "", spot, priority };
    const key = JSON.stringify(group);
    const known = groups.get(key);
    if (known) known.count += count;
    else groups.set(key, { ...group, count });
  }
  return [...groups.values()];
}

function summarise(machine: Machine, now: number): MachineSummary {
  const { host, emptyReports } = machine;
  const since = (t: number | null): number => (t === null ? 0 : now - t);
  if (machine.record.drain || machine.leaving) return { host, state: "draining", forMs: 0, emptyReports };
  if (machine.silentSince !== null)
    return { host, state: "silent", forMs: since(machine.silentSince), emptyReports };
  // It speaks and does not hear: as good as silent, for what is to become of it.
  if (machine.deaf) return { host, state: "silent", forMs: since(machine.deafSince), emptyReports };
  if (!machine.heard) {
    const state = machine.record.up ? "joining" : "booting";
    return { host, state, forMs: since(machine.addedAt), emptyReports };
  }
  if (machine.sick) return { host, state: "sick", forMs: 0, emptyReports };
  if (machine.empty && machine.noticeS === null)
    return { host, state: "idle", forMs: since(machine.emptySince), emptyReports };
  return { host, state: "busy", forMs: 0, emptyReports };
}
