/** The HTML report of a measurement: a page that needs nothing else, its plots drawn as SVG. */
import * as echarts from "echarts";
import type { Measurements, Reaction } from "./links.js";

const WIDTH = 900;
const HEIGHT = 380;

/** The middle of what happened; null where most of it did not. */
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
    name: { shown: "shown as down", handled: "another takes over", recovered: "up again after healing" }[
      what
    ],
    type: "bar",
    data: reactions.map((reaction) => median(reaction[what])),
  }));
  return plot({
    title: { text: `Medians in report intervals; a worker's lease is ${leaseMs / reportMs}` },
    legend: { top: 30 },
    grid: { top: 70, bottom: 60 },
    xAxis: { type: "category", data: reactions.map(nameOf), axisLabel: { rotate: 25 } },
    yAxis: { type: "value", name: "report intervals" },
    series,
  });
}

function costPlot({ costs }: Measurements): string {
  return plot({
    title: { text: "A simulated minute of three controllers" },
    legend: { top: 30 },
    grid: { top: 70 },
    xAxis: { type: "category", data: costs.map(({ mode }) => mode) },
    yAxis: { type: "value" },
    series: [
      {
        name: "questions between controllers",
        type: "bar",
        data: costs.map((cost) => Math.round(cost.peerQuestions)),
      },
      {
        name: "requests to the state service",
        type: "bar",
        data: costs.map((cost) => Math.round(cost.stateRequests)),
      },
      {
        name: "processor time of all that is simulated (ms)",
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

/** The whole page. */
export function reportPage(measured: Measurements): string {
  const { seeds, falseAlarms, progress } = measured;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Link monitor: measurements</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em 1em;text-align:right}</style></head>
<body><h1>Link monitor: measurements</h1>
<p>Simulated time and stand-ins, three controllers, ${seeds} seeds. Durations are in report intervals.</p>
<h2>From a cut to the right state and conduct</h2>${reactionPlot(measured)}
<h2>Links found down where none was cut</h2>${table(
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
<h2>Done while links were cut</h2>${table(
    ["policy", "tasks done", "starts", "writes of shard records", "broken rules"],
    progress.map((sum) => [sum.mode, sum.tasksDone, sum.starts, sum.shardMoves, sum.broken]),
  )}
</body></html>
`;
}
