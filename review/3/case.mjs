/** A valid job is refused for good, because the controllers know only a part of the machine types. */
import { fileURLToPath } from "node:url";
import { ARCHEIO, CannotRun, job, runCase } from "../lib/deployment.mjs";
import { sleep } from "../lib/record.mjs";

/** How late the one transaction without an answer is carried out; the pages name 2 to 12 s. */
const LATE_MS = 10_000;

const [kouti] = ARCHEIO.flavors;
const megali = { ...kouti, label: "megali", vcpus: 32, memGb: 128, hourly: 1.68, lowPrice: 0.56 };
const site = { ...ARCHEIO, flavors: [kouti, megali] };

await runCase(
  fileURLToPath(new URL(".", import.meta.url)),
  site,
  {},
  async (deployment, isTroubled, record) => {
    let transactions = 0;
    let late = 0;
    deployment.state.delivery = (node, body) => {
      transactions++;
      const writesLargeType = (body.apply ?? []).some((op) =>
        op.put?.startsWith("fernpond/live/types/megali"),
      );
      if (!isTroubled || late > 0 || !writesLargeType) return "normal";
      late++;
      record.add("transaction gets no answer and is carried out late", {
        node: deployment.nodes[node].name,
        transaction: transactions,
        lateMs: LATE_MS,
        body,
      });
      return { lateMs: LATE_MS };
    };
    await deployment.waitUntilUp();
    // The first job fits both types. Once it is accepted, the controllers have begun to decide on submissions.
    const first = await deployment.submit(job("req-000001", { guessS: 5 }));
    if (first.status !== 201) throw new CannotRun("the first job was not accepted");
    await sleep(2000);

    const answers = [];
    for (let node = 0; node < site.nodes; node++)
      answers.push(
        await deployment.submit(
          job(`req-00001${node}`, { vcpus: 16, memGb: 40, guessS: 5, pieces: 1 }),
          node,
        ),
      );

    // The same kind of job, later: it can run, and does.
    await sleep(LATE_MS + 2000);
    const later = await deployment.submit(job("req-000020", { vcpus: 16, memGb: 40, guessS: 5, pieces: 1 }));
    if (later.status !== 201) throw new CannotRun("the later job was not accepted");
    await deployment.waitUntil(
      "a task of the later job runs",
      () => deployment.starts.some(({ task }) => task === "req-000020/0"),
      60,
    );
    record.add("transactions in all", { transactions, late });
    return answers
      .filter(({ status }) => status === 400 || status === 422)
      .map(({ status, body, answeredAt }) => ({
        rule: "refused_though_it_can_run",
        status,
        body,
        answeredAt,
      }));
  },
);
