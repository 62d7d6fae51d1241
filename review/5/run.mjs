/**
 * Case 5: a user submits a job by mistake with the largest number of tasks, each of which needs next to nothing, and
 * asks to cancel it 27 s later. Another user asks about an ordinary job all the time.
 */
import { now, sleep } from "../stand-ins-2/http.mjs";
import { finish, Platform, submission } from "../stand-ins-2/platform.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** The most tasks of a job. */
const PIECES = 100_000;
const MISTAKEN = { vcpus: 0.0001, memGb: 0.0001 };
const INTENDED = { vcpus: 2, memGb: 5.8 };
const CANCEL_AFTER_MS = 27_000;
/** A job about which no question is answered for this long counts as forgotten. */
const FORGOTTEN_MS = 75_000;
const RUN_MS = 111_000;

const platform = new Platform({
  nodes: 3,
  zones: ["aburra"],
  teams: Array.from({ length: 3 }, (_, i) => ({ name: `red-${i + 1}`, cpus: 16, cpus_max: 48 })),
  workers: { report_s: 1.5, lease_s: 10, cancel_s: 30 },
  state: { rps: 100, write_rps: 15, value_kb: 8, txn_ops: 8 },
  stateLatencyMs: () => 1 + Math.random() * 8,
  cloud: { rps: 8, list_lag_s: 3 },
  cloudLatencyMs: () => 200 + Math.random() * 100,
  sockets: 1200,
  types: [
    {
      label: "carriel",
      vcpus: 16,
      cards: 0,
      memGb: 64,
      cacheGb: 35,
      pullGbPerS: 0.25,
      hourly: 0.91,
      lowPrice: 0.34,
      readyS: 25,
      banks: ["aburra"],
    },
  ],
  // At times machines are up within a second or two.
  bootMs: () => 500 + Math.random() * 500,
  runMs: () => 600_000,
});

const ORDINARY = "req-000001";
const LARGE = "req-000002";
const isAsking = () => !platform.isOver;

/**
 * Asks all controllers about the ordinary job every 2 s, and keeps the longest time without any answer; it counts from
 * when the user of the large job has asked to cancel it.
 */
async function askAll(gaps) {
  let answeredAt = now();
  while (isAsking()) {
    const askedAt = now();
    const answers = await Promise.all(
      platform.nodes.map((_, node) => platform.ask(node, "GET", `/work/${ORDINARY}`, undefined, 2000)),
    );
    const statuses = answers.map(({ status }) => status);
    if (statuses.includes(200)) answeredAt = now();
    gaps.longestMs = Math.max(gaps.longestMs, now() - Math.max(answeredAt, gaps.countsFrom));
    platform.record("asked all controllers", { job: ORDINARY, statuses });
    await sleep(Math.max(0, 2000 - (now() - askedAt)));
  }
}

await finish(platform, new URL("record.txt", import.meta.url), ["forgotten"], async () => {
  await platform.start();
  await platform.untilUp();
  await platform.submit(
    submission(ORDINARY, { crew: "red-1", pieces: 4, vcpus: 2, memGb: 5.8, guessS: 600 }),
  );
  const gaps = { longestMs: 0, countsFrom: Infinity };
  void askAll(gaps);
  const fields = { crew: "red-2", pieces: PIECES, guessS: 60, ...(HAS_TROUBLE ? MISTAKEN : INTENDED) };
  void platform.submit(submission(LARGE, fields));
  await sleep(CANCEL_AFTER_MS);
  if (![...platform.placesOf.keys()].some((piece) => piece.startsWith(ORDINARY)))
    throw new Error("the ordinary job has not started");
  platform.record("its user asks to cancel", { job: LARGE });
  void platform.withdraw(LARGE);
  gaps.countsFrom = now();
  for (; now() - platform.startedAt < RUN_MS && gaps.longestMs <= FORGOTTEN_MS;) await sleep(200);
  const cancelled = platform.jobs.get(LARGE).cancelledAt !== null;
  platform.record("result", { longestMsWithoutAnswer: Math.round(gaps.longestMs), cancelled });
  if (gaps.longestMs > FORGOTTEN_MS)
    platform.breaks("forgotten", { job: ORDINARY, msWithoutAnswer: Math.round(gaps.longestMs), cancelled });
});
