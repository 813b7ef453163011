/**
 * Stand-ins for the platform, its store, workers and clients, as the users' pages
 * describe them, and the start of entry instances as the deploy file runs them.
 * Everything listens on loopback addresses and uses the real clock.
 */
import * as ChildProcess from "node:child_process";
import * as Crypto from "node:crypto";
import * as Fs from "node:fs";
import * as Http from "node:http";
import * as Net from "node:net";
import * as Os from "node:os";
import * as Path from "node:path";
import * as Url from "node:url";

const ROOT = Path.resolve(
  Path.dirname(Url.fileURLToPath(import.meta.url)),
  "../..",
);
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
const STORE_IP = "127.77.200.1";
const KEY = "b9wu3fexd9dnn2ctnfzs";
const TENANT = "kaje80";
export const HOST = "ficu95.example";
export const SERVICE = "huvo11a";
export const UNSAFE = "/pufi791/";
export const SAFE = "/lohu930/";
/** Bounds of the site file, as the settings and the rules name them. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableMs: 4000,
  ackMaxMs: 5000,
  syncS: 4,
  drainMaxMs: 2500,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2500,
  rollbackSlackMs: 250,
  stretchMaxMs: 6000,
  revokeStrict: false,
  revokeMaxMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetExtra: 56,
  quotaWindowS: 5,
  quotaOverage: 0.1,
  quotaSlack: 20,
  coldOver: 1.5,
  coldSlack: 5,
  evacuateMs: 5000,
  recoveryS: 15,
  ttl_max_s: 5,
  shiftMax: 0.15,
};
const BEAT_MS = 1500;

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Runs a case: writes the record, ends all processes, and exits with the verdict. */
export async function runCase(folder, limitMs, play) {
  const startedAt = performance.now();
  const lines = [];
  const children = new Set();
  const env = {
    isTroubled: process.env.TROUBLE !== "0",
    children,
    isEnding: false,
    now: () => performance.now() - startedAt,
    /** Adds a line to the record, with the time since the start in seconds. */
    record(text) {
      lines.push(`${(env.now() / 1000).toFixed(3)} ${text}`);
    },
    dir: Fs.mkdtempSync(Path.join(Os.tmpdir(), "review-")),
    ports: await findPorts(),
  };
  function end(code, verdict) {
    env.isEnding = true;
    env.record(`verdict: ${verdict}`);
    for (const child of children) child.kill("SIGKILL");
    Fs.writeFileSync(Path.join(folder, "record.txt"), lines.join("\n") + "\n");
    Fs.rmSync(env.dir, { recursive: true, force: true });
    console.log(verdict);
    process.exit(code);
  }
  for (const name of ["SIGTERM", "SIGINT"]) {
    process.on(name, () => end(COULD_NOT_RUN, `ended by ${name}`));
  }
  setTimeout(() => end(COULD_NOT_RUN, "the case took too long"), limitMs);
  env.record(`trouble: ${env.isTroubled ? "yes" : "no"}`);
  try {
    const { isBroken, verdict } = await play(env);
    end(isBroken ? BROKEN : HELD, verdict);
  } catch (err) {
    end(COULD_NOT_RUN, `could not run: ${err.stack ?? err}`);
  }
}

function isFree(ip, port) {
  return new Promise((done) => {
    const server = Net.createServer();
    server.once("error", () => done(false));
    server.listen(port, ip, () => server.close(() => done(true)));
  });
}

/** Finds a run of free ports; all machines use the same ports, each on its own address. */
async function findPorts() {
  for (let tries = 0; tries < 50; tries++) {
    const first = 20_000 + Crypto.randomInt(10_000);
    let areFree = true;
    for (let i = 0; i < 24 && areFree; i++) {
      areFree = await isFree("0.0.0.0", first + i);
    }
    if (!areFree) continue;
    return {
      ready: first,
      directory: first + 1,
      control: first + 2,
      front: first + 3,
      internal: [first + 4, first + 19],
      store: first + 20,
      worker: first + 21,
    };
  }
  throw new Error("no free ports");
}

function readBody(req) {
  return new Promise((done) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => done(Buffer.concat(chunks)));
    req.on("error", () => {});
  });
}

/** The platform's store: items, watches, transactions and leases. */
export async function startStore(env) {
  const address = `${STORE_IP}:${env.ports.store}`;
  const items = new Map();
  const events = [];
  const leases = new Map();
  const waiting = new Set();
  let rev = 100;
  let lastLease = 7000;

  function change(key, value, lease) {
    rev++;
    if (value === undefined) {
      if (!items.delete(key)) return;
      events.push({ key, rev, deleted: true });
    } else {
      const createdRev = items.get(key)?.createdRev ?? rev;
      const item = { key, value, rev, createdRev, lease };
      items.set(key, item);
      events.push(item);
    }
    for (const wake of [...waiting]) wake();
  }
  function endLease(id) {
    if (!leases.delete(id)) return false;
    for (const item of [...items.values()]) {
      if (item.lease === id) change(item.key, undefined);
    }
    return true;
  }
  setInterval(() => {
    for (const [id, { untilMs }] of leases) {
      if (untilMs < performance.now()) endLease(id);
    }
  }, 100).unref();
  const getUnder = (prefix) =>
    [...items.values()].filter(({ key }) => key.startsWith(prefix))
      .sort((a, b) => a.key < b.key ? -1 : 1);
  function runTransaction({ expect = [], writes = [], remove = [] }) {
    const isMet = expect.every(({ key, rev: expected }) =>
      (items.get(key)?.rev ?? 0) === expected
    );
    if (!isMet) {
      const current = expect.map(({ key }) => items.get(key))
        .filter((item) => item !== undefined);
      return [412, { items: current }];
    }
    if (writes.some(({ lease }) => lease > 0 && !leases.has(lease))) {
      return [404, {}];
    }
    for (const { key, value, lease = 0 } of writes) change(key, value, lease);
    for (const key of remove) change(key, undefined);
    return [200, { rev }];
  }
  async function watch(prefix, after, waitMs) {
    const getNew = () =>
      events.filter((event) =>
        event.rev > after && event.key.startsWith(prefix)
      );
    if (getNew().length === 0) {
      await new Promise((done) => {
        const wake = () => {
          if (getNew().length > 0) finish();
        };
        const finish = () => {
          waiting.delete(wake);
          clearTimeout(timer);
          done();
        };
        const timer = setTimeout(finish, waitMs);
        waiting.add(wake);
      });
    }
    return [200, { events: getNew(), asOf: rev }];
  }
  async function answer(req) {
    const url = new URL(req.url, "http://store");
    const path = url.pathname.replace("/anvilroute/", "");
    const query = url.searchParams;
    const text = (await readBody(req)).toString();
    const body = text === "" ? {} : JSON.parse(text);
    const [call, id] = path.split("/");
    switch (call) {
      case "kv-key": {
        const item = items.get(query.get("key"));
        return item === undefined ? [404, {}] : [200, { ...item, asOf: rev }];
      }
      case "kv-range": {
        const after = query.get("after") ?? "";
        const found = getUnder(query.get("pathPrefix"))
          .filter(({ key }) => key > after);
        const hasMore = found.length > 500;
        return [200, { items: found.slice(0, 500), hasMore, asOf: rev }];
      }
      case "kv-watch":
        return await watch(
          query.get("pathPrefix"),
          Number(query.get("after")),
          Number(query.get("waitMaxMs")),
        );
      case "kv-txn":
        return runTransaction(body);
      case "kv-lease": {
        const ttlMs = Math.max(1000, body.ttlMs);
        leases.set(++lastLease, { ttlMs, untilMs: performance.now() + ttlMs });
        return [200, { lease: lastLease, ttlMs }];
      }
      case "kv-keep": {
        const lease = leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.untilMs = performance.now() + lease.ttlMs;
        return [200, { ttlMs: lease.ttlMs }];
      }
      case "kv-lease-end":
        return endLease(Number(id)) ? [200, {}] : [404, {}];
      default:
        return [404, {}];
    }
  }
  const server = Http.createServer(async (req, res) => {
    const [status, body] = await answer(req);
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((done) => server.listen(env.ports.store, STORE_IP, done));
  return {
    address,
    /** Writes as an operator or a worker does. */
    put(key, value) {
      change(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
    },
    remove: (key) => change(key, undefined),
  };
}

/** The configuration of the users' example, with one service. */
export function createConfig(tenants = [{ name: TENANT, key: KEY }]) {
  const createRoute = (name, pathPrefix, kind) => ({
    name,
    pathPrefix,
    kind,
    timeoutMs: 3000,
    targetLatencyMs: 500,
    priority: 1,
    service: SERVICE,
    attempts: 2,
    public: false,
    sticky: true,
    homeRegions: [],
  });
  return {
    version: "r7",
    baseVersion: "r5",
    services: [{
      name: SERVICE,
      healthPath: "/health",
      maxConns: 330,
      protocol: "h1",
      tls: false,
      coldS: 3.0,
      coldPerS: 15.0,
    }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 67108864,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: tenants.map(({ key, name }) => ({
      name,
      apiKeys: [key],
      priority: 1,
      ratePerS: 0,
      burst: 0,
      homeRegions: [],
    })),
    hosts: [{
      host: HOST,
      paths: [
        createRoute("r-unsafe", UNSAFE, "unsafe"),
        createRoute("r-safe", SAFE, "safe"),
      ],
    }],
  };
}

/**
 * A worker with `slots`. It crashes when it begins to run a request for which
 * `isPoison` returns true: its connections are reset, its port is closed, and it is
 * back after `backMs`, with the id that `getId` returns.
 */
export async function startWorker(env, store, opts) {
  const { ip, zone, workMs, slots = 9, coldMs = 3000, backMs = 3000 } = opts;
  const address = `${ip}:${env.ports.worker}`;
  const isPoison = opts.isPoison ?? (() => false);
  const worker = { id: "", runs: 0, crashes: 0 };
  let server;
  let beats;
  let life = 0;
  /** Changes also at the crash, which ends the requests that were running. */
  let incarnation = 0;
  let running = 0;

  async function start() {
    life++;
    incarnation++;
    worker.id = opts.getId(life);
    const startedAt = Date.now();
    let callSeq = 0;
    // The first life began long before the case.
    const coldUntil = life === 1 ? 0 : performance.now() + coldMs;
    const getColdLeft = () =>
      Math.max(0, Math.round(coldUntil - performance.now()));
    const beat = () =>
      store.put(`servers/${worker.id}`, {
        service: SERVICE,
        address,
        zone,
        version: "v1",
        capacity: slots,
        state: "ready",
        coldLeftMs: getColdLeft(),
        callSeq: ++callSeq,
        born: startedAt,
      });
    server = Http.createServer({ maxHeaderSize: 65_536 }, (req, res) => {
      handle(req, res).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 10_000;
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((done) => server.listen(env.ports.worker, ip, done));
    beat();
    beats = setInterval(beat, BEAT_MS);
  }

  function crash() {
    worker.crashes++;
    env.record(`worker ${worker.id} crashes with ${running} requests`);
    clearInterval(beats);
    incarnation++;
    running = 0;
    const { id } = worker;
    for (const socket of sockets) socket.resetAndDestroy();
    sockets.clear();
    server.close();
    // The entry of a worker that comes back with another id runs out.
    setTimeout(() => {
      if (worker.id !== id) store.remove(`servers/${id}`);
    }, 3 * BEAT_MS);
    setTimeout(start, backMs);
  }

  const sockets = new Set();
  async function handle(req, res) {
    const { socket } = req;
    const requestId = req.headers["x-request-id"];
    const own = incarnation;
    const body = await readBody(req);
    if (own !== incarnation || socket.destroyed) return;
    const expected = req.headers["x-expect-instance"];
    const headers = {
      "x-instance-id": worker.id,
      "x-request-id": requestId ?? "",
      "x-server-load": `${Math.min(running, slots)},${
        Math.max(0, running - slots)
      },${slots}`,
    };
    function reply(status, more, text) {
      res.writeHead(status, {
        ...headers,
        ...more,
        "content-length": Buffer.byteLength(text),
      });
      res.end(text);
    }
    if (req.url === "/health") return reply(200, {}, "");
    if (expected !== undefined && expected !== worker.id) {
      return reply(421, {}, "");
    }
    if (running >= slots * 4) return reply(503, { "x-not-run": "1" }, "");
    running++;
    worker.runs++;
    opts.onRun?.({ requestId, worker: worker.id, bytes: body.length, req });
    if (isPoison(req)) return crash();
    await sleep(workMs);
    if (own !== incarnation) return;
    running--;
    if (opts.isAnswerLost?.()) {
      env.record(`worker ${worker.id} ran ${requestId}; its answer is lost`);
      socket.resetAndDestroy();
      return;
    }
    const text = `${requestId} ${body.length}`;
    reply(200, { "x-server-stamp": `s.${worker.id}.${requestId}` }, text);
  }

  await start();
  return worker;
}

/** An entry instance, run as the deploy file says; the platform restarts it when it ends. */
export function startMachine(env, store, opts) {
  const { ip, name, zone, zones } = opts;
  const { control, directory, front, internal, ready } = env.ports;
  const memoryMb = 350;
  const settings = {
    self: {
      nodeName: name,
      role: "entry",
      machineClass: "front",
      serves: ["front", "directory"],
      bindIp: ip,
      zone,
      region: zones[zone],
      countsAsLoss: false,
      bootstrap: true,
      dataDir: null,
      limits: {
        cpuQuota: 0.54,
        cores: 1,
        memoryMb,
        maxFds: 4100,
        linkMbps: 1000.0,
        diskMb: 0,
      },
    },
    network: {
      listen: {
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        control: `${ip}:${control}`,
        directory: `${ip}:${directory}`,
      },
      internalPorts: internal,
      seedAddrs: [],
      zones,
    },
    platform: {
      discovery: "platform",
      entry: "directory",
      beatIntervalMs: BEAT_MS,
      platform: {
        address: store.address,
        form: "kv",
        writesPerS: 400,
        readsPerS: 2000,
        historyTtlS: 20,
        valueBytes: 1048576,
        ttlMinMs: 1000,
      },
    },
    terms: {
      contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "places",
        "tenants",
        "quota",
        "platform",
      ],
      tolerate: { machines: 2, zones: 1, regions: 1 },
      bounds: BOUNDS,
    },
  };
  const path = Path.join(env.dir, `${name}.json`);
  Fs.writeFileSync(path, JSON.stringify(settings));
  const deploy = Fs.readFileSync(Path.join(ROOT, "deploy/system.toml"), "utf8");
  const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
  const { HOME, LANG, PATH } = process.env;
  const machine = {
    name,
    ip,
    zone,
    region: zones[zone],
    front: `${ip}:${front}`,
    starts: 0,
    memoryEnds: 0,
    /** The process that the platform has killed last. */
    killedPid: 0,
    rssMb: 0,
    peakMb: 0,
    child: undefined,
    signal: (signal) => machine.child.kill(signal),
  };
  function start() {
    machine.starts++;
    const log = Fs.openSync(Path.join(env.dir, `${name}.log`), "a");
    const child = ChildProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, ANVILROUTE_CONFIG: path },
      stdio: ["ignore", log, log],
    });
    Fs.closeSync(log);
    env.children.add(child);
    machine.child = child;
    child.once("exit", (code, signal) => {
      env.children.delete(child);
      if (env.isEnding) return;
      env.record(`${name} ends: ${signal ?? `code ${code}`}`);
      setTimeout(start, 500);
    });
  }
  /** The platform kills a process that exceeds the memory of its machine. */
  function checkMemory() {
    let status;
    try {
      const file = `/proc/${machine.child.pid}/status`;
      status = Fs.readFileSync(file, "utf8");
    } catch {
      return;
    }
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
    if (match === null) return;
    const mb = Number(match[1]) * 1024 / 1e6;
    machine.rssMb = mb;
    machine.peakMb = Math.max(machine.peakMb, mb);
    if (mb <= memoryMb || machine.killedPid === machine.child.pid) return;
    machine.killedPid = machine.child.pid;
    machine.memoryEnds++;
    env.record(
      `${name} uses ${mb.toFixed(0)} MB of ${memoryMb}: the platform kills it`,
    );
    machine.child.kill("SIGKILL");
  }
  start();
  if (opts.isMemoryLimited) setInterval(checkMemory, 10).unref();
  return machine;
}

/** Resolves when the platform's check finds each machine ready. */
export async function waitUntilReady(env, machines) {
  const untilMs = env.now() + 20_000;
  for (const { ip, name } of machines) {
    const url = `http://${ip}:${env.ports.ready}/anvilroute/ready`;
    for (;;) {
      const isReady = await fetch(url).then(({ ok }) => ok, () => false);
      if (isReady) break;
      if (env.now() > untilMs) throw new Error(`${name} is not ready`);
      await sleep(100);
    }
  }
  env.record("all machines are ready");
}

export const createId = () => Crypto.randomBytes(8).toString("hex");

/** A kept connection of a client; it is opened again after it was closed. */
export function createClient() {
  return new Http.Agent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Sends one client attempt. Resolves with its status, or with the status 0 and the
 * reason when the connection ends without a complete answer.
 */
export function send(env, machine, request) {
  const { agent, body, deadlineMs = 3000, method = "POST", path } = request;
  const id = request.id ?? createId();
  const startedAt = env.now();
  return new Promise((done) => {
    const finish = (status, reason, text, headers) => {
      clearTimeout(timer);
      done({ id, status, reason, text, headers, ms: env.now() - startedAt });
    };
    const req = Http.request({
      agent,
      host: machine.ip,
      port: env.ports.front,
      localAddress: "127.0.0.1",
      method,
      path,
      headers: {
        host: HOST,
        "x-request-id": id,
        "x-deadline-ms": String(deadlineMs),
        authorization: `Bearer ${request.key ?? KEY}`,
        ...request.object === undefined
          ? {}
          : { cookie: `X-Affinity-Key=${request.object}` },
        ...body === undefined ? {} : { "content-length": body.length },
      },
    }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", (err) => finish(0, err.code ?? err.message));
      res.on("end", () => {
        if (!res.complete) return finish(0, "cut off");
        const text = Buffer.concat(chunks).toString();
        finish(res.statusCode, undefined, text, res.headers);
      });
    });
    req.on("error", (err) => finish(0, err.code ?? err.message));
    const timer = setTimeout(() => {
      finish(0, "deadline");
      req.destroy();
    }, deadlineMs);
    if (request.bytesPerS === undefined) req.end(body);
    else writePaced(req, body, request.bytesPerS);
  });
}

/** Writes the body at the rate of a link. */
async function writePaced(req, body, bytesPerS) {
  const startedAt = performance.now();
  let sent = 0;
  while (sent < body.length && !req.destroyed) {
    const due = (performance.now() - startedAt) / 1000 * bytesPerS;
    const end = Math.min(body.length, Math.ceil(due));
    if (end > sent && req.writableLength < 1e6) {
      req.write(body.subarray(sent, end));
      sent = end;
    }
    await sleep(5);
  }
  if (!req.destroyed) req.end();
}
