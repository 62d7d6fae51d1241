/** The HTML report of a measurement: a self-contained page with SVG plots. */
import * as echarts from "echarts";
import type { Measurements, Reaction } from "./links.js";

const WIDTH = 900;
const HEIGHT = 380;

/** Returns the upper median, with null counting as infinite; null if the median is infinite or there are no values. */
export function median(values: (number | null)[]): number | null {
  const sorted = values.map((value) => value ?? Infinity).sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)];
  return middle === undefined || middle === Infinity ? null : middle;
}

function plot(option: echarts.EChartsCoreOption): string {
  const chart = echarts.init(null, null, { renderer: "svg", ssr: true, width: WIDTH, height: HEIGHT });
  chart.setOption({ animation: false, ...option });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

const nameOf = ({ link, direction }: Reaction): string => `${link} ${direction}`;

function reactionPlot({ reactions, leaseMs, reportMs }: Measurements): string {
  const series = (["shown", "handled", "recovered"] as const).map((what) => ({
    name: { shown: "reported as down", handled: "taken over by a peer", recovered: "up after the cut ends" }[
      what
    ],
    type: "bar",
    data: reactions.map((reaction) => median(reaction[what])),
  }));
  return plot({
    title: { text: `Medians in heartbeat intervals; a worker's lease is ${leaseMs / reportMs}` },
    legend: { top: 30 },
    grid: { top: 70, bottom: 60 },
    xAxis: { type: "category", data: reactions.map(nameOf), axisLabel: { rotate: 25 } },
    yAxis: { type: "value", name: "heartbeat intervals" },
    series,
  });
}

function costPlot({ costs }: Measurements): string {
  return plot({
    title: { text: "Cost of three controllers per simulated minute" },
    legend: { top: 30 },
    grid: { top: 70 },
    xAxis: { type: "category", data: costs.map(({ mode }) => mode) },
    yAxis: { type: "value" },
    series: [
      {
        name: "requests between controllers",
        type: "bar",
        data: costs.map((cost) => Math.round(cost.peerQuestions)),
      },
      {
        name: "requests to the state service",
        type: "bar",
        data: costs.map((cost) => Math.round(cost.stateRequests)),
      },
      {
        name: "CPU time of the whole simulation (ms)",
        type: "bar",
        data: costs.map((cost) => Math.round(cost.cpuMs)),
      },
    ],
  });
}

function row(cells: (string | number)[], tag = "td"): string {
  return `<tr>${cells.map((cell) => `<${tag}>${cell}</${tag}>`).join("")}</tr>`;
}

function table(head: string[], rows: (string | number)[][]): string {
  return `<table>${row(head, "th")}${rows.map((cells) => row(cells)).join("")}</table>`;
}

/** Returns the HTML page. */
export function reportPage(measured: Measurements): string {
  const { seeds, falseAlarms, progress } = measured;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Link monitor: measurements</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em 1em;text-align:right}</style></head>
<body><h1>Link monitor: measurements</h1>
<p>Simulated time and simulated services, three controllers, ${seeds} seeds. Durations are in heartbeat intervals.</p>
<h2>Time from a cut to detection and take-over</h2>${reactionPlot(measured)}
<h2>False alarms: links reported as down without a cut</h2>${table(
    ["schedule", "minutes", "transitions to down"],
    falseAlarms.map((found) => [
      found.schedule,
      found.minutes,
      Object.entries(found.downs)
        .map(([link, count]) => `${link}: ${count}`)
        .join(", ") || "none",
    ]),
  )}
<h2>Cost</h2>${costPlot(measured)}
<h2>Progress while links were cut</h2>${table(
    ["policy", "tasks completed", "starts", "writes of shard records", "invariant violations"],
    progress.map((sum) => [sum.mode, sum.tasksDone, sum.starts, sum.shardMoves, sum.broken]),
  )}
</body></html>
`;
}
