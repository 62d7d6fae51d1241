/** Replays traces of the link monitor: observations and peers' views as input; states, rules and actions as output. */
import { pino } from "pino";
import { LinkMonitor, type LinkMonitorOptions } from "../src/links/monitor.js";
import type { Direction, LinkName, Observation } from "../src/links/model.js";
import { encodeView, VIEW_VERSION } from "../src/links/link-view.js";
import { defaultLinkTimings, TICK_MS } from "./support/link-timings.js";
import { listOption, numberOption, traceTests, type TraceStep, type TraceEvent } from "./support/trace.js";

/** The current term of each shard's owner. */
const TERM = 7;

/** A line of the monitor's log. */
interface LogLine {
  msg: string;
  link?: string;
  direction?: string;
  from?: string;
  to?: string;
  evidence?: string;
  scope?: string;
  reason?: string;
  lost?: string[];
  restricted?: string[];
}

const formatNames = (names: string[] = []): string => (names.length === 0 ? "nothing" : names.join(","));

class Scenario {
  private now = 0;
  private shards: { shard: number; term: number; machines: number }[] = [];
  private isLeader = false;
  private members = ["b", "c"];
  private outputs: string[] = [];
  private readonly monitor: LinkMonitor;

  constructor() {
    const timings = defaultLinkTimings();
    const options: LinkMonitorOptions = {
      node: "a",
      incarnation: "a.1",
      peers: ["b", "c"],
      mode: "enforce",
      timings,
      probes: { cloudRps: 4, controllers: 3, share: 0.02 },
      misroutedWindowMs: 8000,
      maxMachines: 100,
      usersSilenceMs: 5000,
      clock: () => this.now,
    };
    const log = pino(
      { base: null },
      {
        write: (line) => {
          this.recordLogLine(JSON.parse(line) as LogLine);
        },
      },
    );
    const callbacks = {
      ownedShards: () => this.shards,
      isLeader: () => this.isLeader,
      isMember: (node: string) => this.members.includes(node),
      // Probes of peers are left out of the traces; links-cost.test.ts counts them.
      probe: (link: LinkName) => {
        if (link === "cloud") this.outputs.push("probe cloud");
      },
      handOver: (shard: number, to: string) => void this.outputs.push(`hand over ${shard} to ${to}`),
      resign: () => void this.outputs.push("resign"),
    };
    this.monitor = new LinkMonitor(options, callbacks, log);
  }

  private recordLogLine(line: LogLine): void {
    const { msg, link, direction, from, to, evidence, scope, lost, restricted, reason } = line;
    if (msg === "link state changed")
      this.outputs.push(
        `${link} ${direction}: ${from} to ${to}, ${evidence}${scope === "none" ? "" : ` (${scope})`}`,
      );
    if (msg === "degradation policy changed")
      this.outputs.push(`lost: ${formatNames(lost)}; restricted: ${formatNames(restricted)}`);
    if (msg.endsWith("dropped")) this.outputs.push(`view dropped: ${reason}`);
  }

  step(event: TraceEvent): string[] {
    const [link = "", direction = ""] = event.words;
    switch (event.verb) {
      case "answered":
        this.observe({ kind: "answered", link: link as LinkName, latencyMs: numberOption(event, "ms", 5) });
        break;
      case "refused":
      case "unanswered":
        this.observe({ kind: event.verb, link: link as LinkName });
        break;
      case "delivered":
        this.observe({ kind: "delivered", link: link as LinkName, direction: direction as Direction });
        break;
      case "misrouted":
        this.monitor.tell({ kind: "misrouted", shard: Number(link), term: TERM, host: direction });
        break;
      case "view":
        this.monitor.receiveView(viewOf(event));
        break;
      case "garbage":
        this.monitor.receiveView(Uint8Array.from(listOption(event, "bytes").map(Number)));
        break;
      case "owns":
        this.shards = event.words.map((word) => {
          const [shard, machines] = word.split(":").map(Number);
          return { shard: shard!, term: TERM, machines: machines! };
        });
        break;
      case "leads":
        this.isLeader = link !== "no";
        break;
      case "members":
        this.members = event.words;
        break;
      case "stall":
        this.now += Number(link);
        this.monitor.tell({ kind: "tick" });
        break;
      case "wait":
        this.wait(Number(link), listOption(event, "with"), event);
        break;
      default:
        throw new Error(`unknown verb ${event.verb}`);
    }
    return this.outputs.splice(0);
  }

  private observe(observation: Observation): void {
    this.monitor.tell({ kind: "observed", observation });
  }

  /**
   * Advances time in ticks and applies the given traffic at each: `ok:LINK`, `slow:LINK`, `refused:LINK`, `lost:LINK`,
   * `in:LINK`, `out:LINK`, or `view:NODE:NOTE…` with notes as in `viewBytes`.
   */
  private wait(ms: number, traffic: string[], event: TraceEvent): void {
    const until = this.now + ms;
    let sequence = numberOption(event, "seq", 0);
    while (this.now < until) {
      this.now = Math.min(until, this.now + TICK_MS);
      for (const item of traffic) this.applyTraffic(item, sequence++);
      this.monitor.tell({ kind: "tick" });
    }
  }

  private applyTraffic(item: string, sequence: number): void {
    const [outcome = "", ...rest] = item.split(":");
    const link = rest.join(":") as LinkName;
    if (outcome === "ok") this.observe({ kind: "answered", link, latencyMs: 5 });
    if (outcome === "slow") this.observe({ kind: "answered", link, latencyMs: 900 });
    if (outcome === "refused") this.observe({ kind: "refused", link });
    if (outcome === "lost") this.observe({ kind: "unanswered", link });
    if (outcome === "in" || outcome === "out")
      this.observe({ kind: "delivered", link, direction: outcome === "in" ? "inbound" : "outbound" });
    if (outcome === "view") this.monitor.receiveView(viewBytes(rest[0]!, sequence, rest.slice(1)));
  }
}

/**
 * Encodes a view of a peer. Notes are `LINK~STATE`, or `misrouted~SHARD/COUNT` with an optional `/TERM` (default: the
 * current term).
 */
function viewBytes(
  node: string,
  sequence: number,
  notes: string[],
  version = VIEW_VERSION,
  incarnation = `${node}.1`,
): Uint8Array {
  const links: { link: string; direction: Direction; state: "up" }[] = [];
  const misrouted: { shard: number; term: number; workers: number }[] = [];
  for (const note of notes) {
    const [link = "", value = ""] = note.split("~");
    if (link === "misrouted") {
      const [shard, workers, term = TERM] = value.split("/").map(Number);
      misrouted.push({ shard: shard!, term, workers: workers! });
    } else
      for (const direction of ["outbound", "inbound"] as const)
        links.push({ link, direction, state: value as "up" });
  }
  return encodeView({ version, node, incarnation, sequence, links, misrouted });
}

function viewOf(event: TraceEvent): Uint8Array {
  const [node = ""] = event.words;
  const notes = event.words.slice(1);
  const incarnation = event.options.get("incarnation") ?? `${node}.1`;
  return viewBytes(
    node,
    numberOption(event, "seq", 1),
    notes,
    numberOption(event, "version", VIEW_VERSION),
    incarnation,
  );
}

traceTests("links", (): TraceStep => {
  const scenario = new Scenario();
  return (event) => scenario.step(event);
});
