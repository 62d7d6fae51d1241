/** An urgent job is left waiting for 90 s beside machines with room, since another team has a large backlog. */
import { fileURLToPath } from "node:url";
import { CannotRun, RUTAVIVA, job, runCase } from "../lib/deployment.mjs";
import { sleep } from "../lib/record.mjs";

/** The bound of the rule. */
const LONGEST_WAIT_S = 90;
/** The guest's arrays as usual, and how many times as many come in a burst; the pages' days have up to 3 times. */
const USUAL_ARRAYS = 2;
const BURST_FACTOR = 3;
/** The machines that the cloud has, of the 32 of the site; later requests are refused, with the burst and without. */
const MACHINES = 6;

/** As on the days of kit/more on which the guest team is there. */
const site = {
  ...RUTAVIVA,
  teams: [...RUTAVIVA.teams, { name: "ciclovia-lab", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
};
const options = {
  capacity: (flavor, zone, isSpot, cloud) => MACHINES - cloud.machines.size,
};

/** Two tasks fill 14 of 16 CPUs and 40 of 64 GB of a machine. */
const guestArray = (id) =>
  job(id, {
    lane: "gran-censo",
    crew: "ciclovia-lab",
    rank: "best_effort",
    pieces: 25_000,
    vcpus: 7,
    memGb: 20,
    bundle: "img-censo",
    imageGb: 0.5,
    guessS: 8,
  });
const redJob = (id, overrides) =>
  job(id, {
    lane: "desvio",
    crew: "red-02",
    rank: "urgent",
    vcpus: 2,
    memGb: 3.6,
    bundle: "img-desvio",
    imageGb: 0.8,
    ...overrides,
  });

/** Whether a machine has room for a task of a job, by what is on it, the tasks that still fetch included. */
function hasRoom(worker, jobs, { vcpus, memGb }) {
  const free = { vcpus: site.flavors[0].vcpus, memGb: site.flavors[0].memGb };
  for (const { piece, stage } of worker.tasks.values()) {
    if (stage === "exited") continue;
    const spec = jobs.get(piece.slice(0, piece.indexOf("/")));
    free.vcpus -= spec.vcpus;
    free.memGb -= spec.memGb;
  }
  return free.vcpus >= vcpus && free.memGb >= memGb;
}

/** The tasks of a job that are on machines, those that still fetch included. */
const tasksOf = (id, cloud) =>
  cloud
    .workers()
    .flatMap((worker) => [...worker.tasks.values()])
    .filter(({ piece, stage }) => piece.startsWith(`${id}/`) && stage !== "exited").length;

await runCase(
  fileURLToPath(new URL(".", import.meta.url)),
  site,
  options,
  async (deployment, isTroubled, record) => {
    const { cloud, jobs, starts } = deployment;
    const submit = async (body) => {
      if ((await deployment.submit(body)).status !== 201)
        throw new CannotRun(`${body.nameId} was not accepted`);
    };
    await deployment.waitUntilUp();
    const arrays = USUAL_ARRAYS * (isTroubled ? BURST_FACTOR : 1);
    for (let i = 1; i <= arrays; i++) await submit(guestArray(`req-00010${i}`));
    await deployment.waitUntil(
      "the guest's tasks run on all machines",
      () => starts.length >= 2 * MACHINES,
      40,
    );

    // A long job of one task, and an array; the array alone needs more than the team's limit, as arrays may.
    const single = redJob("req-000001", { pieces: 1, guessS: 150 });
    const array = redJob("req-000002", { pieces: 30, guessS: 15 });
    await submit(single);
    await submit(array);

    let waitingSince = null;
    for (;;) {
      const now = record.now();
      const running = tasksOf(array.nameId, cloud);
      const cpusOfTeam = 2 * (running + tasksOf(single.nameId, cloud));
      const withRoom = cloud.workers().filter((worker) => hasRoom(worker, jobs, array));
      const isWaiting = running === 0 && withRoom.length > 0 && cpusOfTeam + array.vcpus <= 48;
      waitingSince = isWaiting ? (waitingSince ?? now) : null;
      const machinesWithRoom = withRoom.map((worker) => worker.host);
      record.add("array of red-02", { running, cpusOfTeam, isWaiting, machinesWithRoom });
      if (starts.filter(({ task }) => task.startsWith(`${array.nameId}/`)).length > 0) return [];
      if (waitingSince !== null && now - waitingSince > LONGEST_WAIT_S) {
        await deployment.ask(0, "GET", `/work/${array.nameId}`, undefined, 2000);
        return [{ rule: "left_waiting", job: array.nameId, waitedS: now - waitingSince, machinesWithRoom }];
      }
      await sleep(500);
    }
  },
);
