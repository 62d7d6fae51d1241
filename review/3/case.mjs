/** A job is left waiting for 90 s while a machine that fits has room. */
import { fileURLToPath } from "node:url";
import { ARCHEIO, CannotRun, job, runCase } from "../lib/deployment.mjs";
import { sleep } from "../lib/record.mjs";

const ARRAY = "req-000001";
const LONG = "req-000002";
/** The bound of the rule. */
const LONGEST_WAIT_S = 90;

/** As on the days of kit/more on which the guest team is there. */
const site = {
  ...ARCHEIO,
  teams: [...ARCHEIO.teams, { name: "lykeio-lens", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
};
const array = job(ARRAY, { pieces: 8, guessS: 30 });
const long = job(LONG, {
  lane: "siesta-crops",
  crew: "lykeio-lens",
  rank: "best_effort",
  pieces: 2,
  vcpus: 2,
  memGb: 7.2,
  bundle: "img-siesta",
  imageGb: 0.5,
  guessS: 300,
  markEveryS: 30,
  markCostS: 3,
});
/** The cloud has two machines; all later requests are refused, as it has no others. */
const options = { capacity: (flavor, zone, isSpot, cloud) => 3 - cloud.nextNumber };

await runCase(
  fileURLToPath(new URL(".", import.meta.url)),
  site,
  options,
  async (deployment, isTroubled, record) => {
    const { cloud, starts, results } = deployment;
    const firstStart = (id) => starts.find(({ task }) => task.startsWith(`${id}/`));
    await deployment.waitUntilUp();
    for (const body of [array, long])
      if ((await deployment.submit(body)).status !== 201) throw new CannotRun("a job was not accepted");
    await deployment.waitUntil("both jobs run", () => firstStart(ARRAY) && firstStart(LONG), 60);
    const { host } = firstStart(ARRAY);
    if (firstStart(LONG).host === host) throw new CannotRun("both jobs run on one machine");
    await sleep(3000);
    if (isTroubled) {
      record.add("machine stops with all that is on it", { host });
      cloud.die(host);
    }

    // Whether a machine is up that has room for a task of the array, by what is on it, the tasks that fetch included.
    const hasRoom = (worker) => {
      const [flavor] = site.flavors;
      let { vcpus, memGb } = flavor;
      for (const { piece, stage } of worker.tasks.values()) {
        if (stage === "exited") continue;
        const spec = deployment.jobs.get(piece.slice(0, piece.indexOf("/")));
        vcpus -= spec.vcpus;
        memGb -= spec.memGb;
      }
      return vcpus >= array.vcpus && memGb >= array.memGb;
    };
    const isOnMachine = () =>
      cloud
        .workers()
        .some((worker) =>
          [...worker.tasks.values()].some(
            ({ piece, stage }) => piece.startsWith(`${ARRAY}/`) && stage !== "exited",
          ),
        );
    let waitingSince = null;
    for (;;) {
      const now = record.now();
      const left = Array.from({ length: array.pieces }, (_, i) => i).filter(
        (i) => !results.has(`${ARRAY}/${i}`),
      );
      if (left.length === 0) return [];
      const withRoom = cloud
        .workers()
        .filter(hasRoom)
        .map((worker) => worker.host);
      const isWaiting = !isOnMachine() && withRoom.length > 0;
      waitingSince = isWaiting ? (waitingSince ?? now) : null;
      record.add("array", { tasksLeft: left.length, isWaiting, machinesWithRoom: withRoom });
      if (waitingSince !== null && now - waitingSince > LONGEST_WAIT_S) {
        await deployment.ask(0, "GET", `/work/${ARRAY}`, undefined, 2000);
        return [
          { rule: "left_waiting", job: ARRAY, waitedS: now - waitingSince, machinesWithRoom: withRoom },
        ];
      }
      await sleep(1000);
    }
  },
);
