/** A user cancels a job and is told so; the same controller then gives that user an older answer. */
import { fileURLToPath } from "node:url";
import { ARCHEIO, CannotRun, job, runCase } from "../lib/deployment.mjs";
import { sleep } from "../lib/record.mjs";

const ID = "req-000001";
/** How long the owner of the job's shard stands still; the pages name seconds, their days have 20 s. */
const FREEZE_MS = 3000;
/** How often the user asks before the cancellation. */
const LOOKS = 4;
const LOOK_EVERY_MS = 80;

await runCase(
  fileURLToPath(new URL(".", import.meta.url)),
  ARCHEIO,
  {},
  async (deployment, isTroubled, record) => {
    await deployment.waitUntilUp();
    const accepted = await deployment.submit(job(ID, { pieces: 4, guessS: 60 }));
    if (accepted.status !== 201) throw new CannotRun("the job was not accepted");
    await deployment.waitUntil("a task of the job runs", () => deployment.starts.length > 0, 60);
    await sleep(3000);

    const { shard } = deployment.state.value(`fernpond/live/jobs/${ID}`);
    const owner = deployment.ownerOf(shard);
    const others = deployment.nodes.flatMap(({ name }, index) => (name === owner ? [] : [index]));
    record.add("owner of the job's shard", { shard, owner });
    if (isTroubled) deployment.signal(owner, "SIGSTOP");
    await sleep(300);

    // The user asks the controllers that do not stand still, again and again, and cancels at one of them meanwhile.
    const looks = [];
    for (let i = 0; i < LOOKS; i++) {
      looks.push(deployment.ask(others[i % others.length], "GET", `/work/${ID}`, undefined, 2000));
      await sleep(LOOK_EVERY_MS);
    }
    const cancelled = await deployment.ask(others[0], "POST", `/work/${ID}/withdraw`);
    const answers = await Promise.all(looks);
    await sleep(FREEZE_MS - 1500);
    if (isTroubled) deployment.signal(owner, "SIGCONT");
    if (cancelled.status !== 200 || cancelled.body.stage !== "aborted")
      throw new CannotRun("the cancellation was not confirmed");

    return answers
      .filter(
        ({ status, body, answeredAt }) =>
          status === 200 && body.stage !== "aborted" && answeredAt > cancelled.answeredAt,
      )
      .map(({ body, sentAt, answeredAt }) => ({
        rule: "went_back",
        job: ID,
        told: cancelled.body.stage,
        toldAt: cancelled.answeredAt,
        thenTold: body.stage,
        askedAt: sentAt,
        thenToldAt: answeredAt,
      }));
  },
);
