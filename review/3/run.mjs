import * as Path from "node:path";
import * as Url from "node:url";
import * as Kit from "../common/kit.mjs";

const FOLDER = Path.dirname(Url.fileURLToPath(import.meta.url));
const LIMIT_MS = 115_000;
const ZONES = {
  "brescia-a": "lombardia",
  "trento-a": "trentino",
  "torino-a": "piemonte",
  "bergamo-b": "lombardia",
  "rovereto-b": "trentino",
  "cuneo-b": "piemonte",
};
const WORKERS_PER_ZONE = 2;
/** The request comes again at the next machine after this time. */
const RETRY_MS = 4_200;
const RETRIES = 15;
/** More retries than this may not reach workers once `stableMs` have passed since the third crash. */
const MAX_LATE_RETRIES = 3;
/** Length of path and query; far below the configuration's `maxHeaderBytes` of 16,384. */
const PATH_LENGTH = Number(process.env.PATH_LENGTH ?? 300);

await Kit.runCase(FOLDER, LIMIT_MS, async (env) => {
  const store = await Kit.startStore(env);
  const zones = Object.keys(ZONES);
  const start = `${Kit.UNSAFE}order?note=`;
  const path = start.padEnd(PATH_LENGTH, "n");
  const body = Buffer.from("one scarce bolt");
  /** Monotonic ms of each run of the request. */
  const runs = new Map();
  const crashes = [];
  let lost = 0;
  for (let i = 0; i < zones.length * WORKERS_PER_ZONE; i++) {
    await Kit.startWorker(env, store, {
      ip: `127.77.128.${i + 1}`,
      zone: zones[i % zones.length],
      workMs: 640,
      // Each start of this worker has a new id.
      getId: (life) => `i-${String(i).padStart(2, "0")}b4e0${life}`,
      isPoison: (req) => env.isTroubled && req.url === path,
      onRun({ req, requestId, worker }) {
        if (req.url !== path) return;
        env.record(`worker ${worker} begins to run request ${requestId}`);
        runs.set(requestId, env.now());
        if (env.isTroubled) crashes.push({ worker, atMs: env.now() });
      },
    });
  }
  store.put("op/config", Kit.createConfig());
  const machines = [...zones, zones[0], zones[1]].map((zone, i) =>
    Kit.startMachine(env, store, {
      name: `front-${zone}-${i < zones.length ? 1 : 2}`,
      ip: `127.77.${i + 1}.1`,
      zone,
      zones: ZONES,
    })
  );
  await Kit.waitUntilReady(env, machines);
  // All machines have been in touch for longer than `stableMs`.
  await Kit.sleep(6_000);

  let isPlaying = true;
  async function placeOrders(machine, object) {
    const agent = Kit.createClient();
    while (isPlaying) {
      const { status } = await Kit.send(env, machine, {
        agent,
        body,
        object,
        path: `${Kit.UNSAFE}order-${object}`,
      });
      if (status !== 200 && status !== 503) lost++;
      await Kit.sleep(100);
    }
  }
  for (const machine of machines) {
    for (let i = 0; i < 2; i++) {
      void placeOrders(machine, `${machine.name}${i}`);
    }
  }
  const attempts = [];
  for (let i = 0; i < RETRIES; i++) {
    const machine = machines[i % machines.length];
    const id = Kit.createId();
    const sentAtMs = env.now();
    env.record(`request ${id} is sent to ${machine.name}`);
    const { reason, status, headers } = await Kit.send(env, machine, {
      id,
      body,
      object: "17",
      path,
    });
    const code = headers?.["anvilroute-code"];
    env.record(
      `request ${id} gets ${status === 0 ? reason : status}` +
        `${code === undefined ? "" : `, code ${code}`}`,
    );
    attempts.push({ id, sentAtMs });
    await Kit.sleep(Math.max(0, RETRY_MS - (env.now() - sentAtMs)));
  }
  isPlaying = false;
  await Kit.sleep(3_500);
  const thirdAtMs = crashes[2]?.atMs ?? Infinity;
  const late = attempts.filter(({ id, sentAtMs }) =>
    runs.has(id) && sentAtMs > thirdAtMs + Kit.BOUNDS.stableMs
  );
  const isBroken = late.length > MAX_LATE_RETRIES;
  const verdict =
    `${isBroken ? "broken" : "held"}: the request, with a path of ` +
    `${path.length} characters, crashed ${crashes.length} workers; ` +
    `${late.length} retries reached workers later than ${Kit.BOUNDS.stableMs} ms ` +
    `after the third crash (at most ${MAX_LATE_RETRIES} may); ` +
    `${lost} orders of other clients failed meanwhile`;
  return { isBroken, verdict };
});
