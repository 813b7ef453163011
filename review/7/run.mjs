// DRAIN: one machine is partitioned from the store; the other machines go on sending to a worker that leaves.
import * as Path from "node:path";
import * as Url from "node:url";
import * as Lab from "../stand-ins-2/lab.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const DRAIN_MAX_S = 2.5;
/** Length of the partition, s. */
const CUT_S = 5.5;
/** The worker ends this long after the store has accepted that it leaves, s: `drainMaxMs` and a little longer. */
const END_S = 3.3;
const ZONE = "north-a";
const REGION = "north";
const record = Lab.openRecord(Path.dirname(Url.fileURLToPath(import.meta.url)));

Lab.runCase(record, async (add) => {
  const store = add(await Lab.startStore(record));
  const ports = await Lab.findPorts();
  const machines = [1, 2, 3, 4].map((n) =>
    add(Lab.startMachine({
      record,
      name: `front-${n}`,
      ip: `127.0.0.${10 + n}`,
      ports,
      zone: ZONE,
      region: REGION,
      zones: { [ZONE]: REGION },
      store,
    }))
  );
  const workers = [];
  const join = async (id) =>
    workers.push(
      add(
        await Lab.startWorker({
          store,
          record,
          id,
          service: "orders",
          zone: ZONE,
          slots: 9,
          workMs: 500,
        }),
      ),
    );
  for (const id of ["i-1", "i-2", "i-3"]) await join(id);
  store.put(
    "op/config",
    Lab.createConfig({
      services: ["orders"],
      tenants: [{
        name: "hut",
        apiKeys: ["key-hut"],
        priority: 1,
        ratePerS: 0,
        burst: 0,
        homeRegions: [],
      }],
      routes: [{
        name: "order-place",
        pathPrefix: "/order/",
        kind: "unsafe",
        timeoutMs: 3000,
        targetLatencyMs: 1000,
        priority: 1,
        service: "orders",
        attempts: 2,
        public: false,
        sticky: false,
        homeRegions: [],
      }],
    }),
  );
  await Lab.waitUntilReady(machines);
  record.say("all machines are ready");
  const clients = add(Lab.startClients({
    record,
    machines,
    zone: ZONE,
    region: REGION,
    host: "shop.example",
    key: "key-hut",
    method: "POST",
    path: "/order/1",
    body: "one tent",
    deadlineMs: 3000,
  }));
  await clients.prepare();
  clients.setRate(40);
  await Lab.sleep(9000);
  await join("i-4");
  record.say("worker i-4 joins");
  await Lab.sleep(1000);
  const watching = machines.filter(({ ip }) => store.isWatchedBy(ip));
  record.say(
    "machines that watch the store:",
    watching.map(({ name }) => name).join(" "),
  );
  const [cut] = watching;
  if (hasTrouble) {
    store.setSilent(cut, true);
    setTimeout(() => store.setSilent(cut, false), CUT_S * 1000);
  }
  await Lab.sleep(100);
  const [leaving] = workers;
  const acceptedAt = leaving.drain();
  setTimeout(() => void leaving.leave(), END_S * 1000);
  await Lab.sleep(9000);
  clients.setRate(0);
  await Lab.sleep(3500);

  const late = leaving.arrivals.filter(({ at, from }) =>
    at > acceptedAt + DRAIN_MAX_S && from !== cut.ip
  );
  for (const { requestId, at, from } of late) {
    record.say(
      `${requestId} reached ${leaving.id} from ${from}, ${
        (at - acceptedAt).toFixed(3)
      } s after the store had accepted that it leaves`,
    );
  }
  const ran = new Set(
    workers.flatMap(({ arrivals }) => arrivals).filter(({ ranAt }) =>
      ranAt !== undefined
    ).map(({ requestId }) => requestId),
  );
  const lost = clients.requests.filter(({ id, status }) =>
    ran.has(id) && status !== 200
  );
  record.say("answers", Lab.countAnswers(clients.requests));
  record.say(
    `${late.length} requests reached the leaving worker too late, from machines in touch; ${lost.length} orders ran without a success for their client`,
  );
  return late.length > 0;
});
