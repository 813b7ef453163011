// REFUSED: a worker comes back at its address under a new id; an extra answer makes an order that runs look refused.
import * as Net from "node:net";
import * as Path from "node:path";
import * as Url from "node:url";
import * as Lab from "../stand-ins-2/lab.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** Share of its answers that a faulty worker writes a second time. */
const MAX_DOUBLED_SHARE = 0.03;
/** Workers, and how many of them are faulty. One at a time goes down. */
const WORKERS = 7;
const FAULTY = 4;
const BEAT_MS = 1500;
const DOWN_MS = 1500;
const ZONE = "north-a";
const REGION = "north";
const record = Lab.openRecord(Path.dirname(Url.fileURLToPath(import.meta.url)));

/** A worker on its own address that starts again and again, each time under a new id. */
async function startWorker(store, name, isFaulty) {
  const ran = [];
  const sockets = new Set();
  const counts = { answers: 0, doubled: 0 };
  let incarnation = 0;
  let port = 0;
  let server;
  let id;

  const beat = () => {
    if (id === undefined) return;
    store.put(`servers/${id}`, {
      service: "orders",
      address: `127.0.0.1:${port}`,
      zone: ZONE,
      version: "v1",
      capacity: 9,
      state: "ready",
      coldLeftMs: 0,
      callSeq: counts.answers,
      born,
    });
  };
  let born = 0;

  /** Serves one connection, one request after the other. */
  function serve(socket) {
    let text = "";
    let extra;
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    const answer = (status, requestId, headers, body = "") => {
      counts.answers++;
      const written =
        `HTTP/1.1 ${status}\r\nX-Request-Id: ${requestId}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
      socket.write(written);
      record.write("worker", id, "answers", status, requestId);
      return written;
    };
    const handle = (head) => {
      const [, requestId] = /x-request-id: *(\S+)/i.exec(head);
      const [, expected] = /x-expect-instance: *(\S+)/i.exec(head) ?? [];
      if (extra !== undefined) {
        // The extra answer arrives where the next one is expected.
        record.write(
          "worker",
          id,
          "writes an earlier answer once more, before that of",
          requestId,
        );
        socket.write(extra);
        extra = undefined;
      }
      if (expected !== undefined && expected !== id) {
        const written = answer(
          "421 Misdirected Request",
          requestId,
          `X-Instance-Id: ${id}\r\n`,
        );
        const mayDouble = hasTrouble && isFaulty &&
          counts.doubled + 1 <= counts.answers * MAX_DOUBLED_SHARE;
        if (!mayDouble) return;
        counts.doubled++;
        extra = written;
        return;
      }
      ran.push({ requestId, id });
      record.write("run", id, requestId);
      setTimeout(() => {
        if (!socket.destroyed) {
          answer(
            "200 OK",
            requestId,
            `X-Server-Stamp: ${id}.${requestId}\r\nX-Server-Load: 1,0,9\r\n`,
            "ok",
          );
        }
      }, 40);
    };
    socket.on("data", (data) => {
      text += data.toString("latin1");
      for (;;) {
        const headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) return;
        const length = Number(
          /content-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0,
        );
        if (text.length < headEnd + 4 + length) return;
        const head = text.slice(0, headEnd);
        text = text.slice(headEnd + 4 + length);
        handle(head);
      }
    });
  }
  async function start() {
    server = Net.createServer(serve);
    port = await new Promise((done) =>
      server.listen(port, "127.0.0.1", () => done(server.address().port))
    );
    id = `${name}-${++incarnation}`;
    born = Date.now();
    record.write("worker", id, "starts");
    beat();
  }
  await start();
  const timer = setInterval(beat, BEAT_MS);
  return {
    ran,
    counts,
    /** The process ends; the store removes its entry after three beats. It comes back at its address under a new id. */
    async restart() {
      const ended = id;
      record.say("worker", ended, "ends");
      id = undefined;
      for (const socket of sockets) socket.resetAndDestroy();
      await new Promise((done) => server.close(done));
      setTimeout(() => store.remove(`servers/${ended}`), 3 * BEAT_MS);
      await Lab.sleep(DOWN_MS);
      await start();
    },
    close() {
      clearInterval(timer);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

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
  for (let i = 0; i < WORKERS; i++) {
    workers.push(add(await startWorker(store, `i-${i}`, i < FAULTY)));
  }
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
        targetLatencyMs: 500,
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
  clients.setRate(120);
  await Lab.sleep(6000);
  for (let i = 0; i < 12; i++) {
    await workers[i % FAULTY].restart();
    await Lab.sleep(4500);
  }
  clients.setRate(0);
  await Lab.sleep(3500);

  const runs = new Map();
  for (const { requestId, id } of workers.flatMap(({ ran }) => ran)) {
    runs.set(requestId, [...(runs.get(requestId) ?? []), id]);
  }
  const twice = [...runs].filter(([, ids]) => ids.length > 1);
  const refused = clients.requests.filter(({ id, status }) =>
    [408, 421, 429, 503].includes(status) && runs.has(id)
  );
  for (const [requestId, ids] of twice) {
    record.say(requestId, "ran twice, at", ids.join(" and "));
  }
  for (const { id, status } of refused) {
    record.say(
      id,
      "was answered",
      status,
      "and ran at",
      runs.get(id).join(" "),
    );
  }
  const [answers, doubled] = ["answers", "doubled"].map((name) =>
    workers.reduce((sum, { counts }) => sum + counts[name], 0)
  );
  record.say("answers", Lab.countAnswers(clients.requests));
  record.say(
    `${doubled} of ${answers} answers of workers were written a second time; ${refused.length} orders were refused and ran, ${twice.length} ran twice`,
  );
  return refused.length + twice.length > 0;
});
