/**
 * Stand-ins for the cases 6 to 10: the platform's store, workers, clients, and the
 * start and end of the project's instances as processes of their own. Everything
 * listens on loopback addresses and free ports.
 */
import { spawn } from "node:child_process";
import * as Fs from "node:fs";
import * as Http from "node:http";
import * as Net from "node:net";
import * as Os from "node:os";
import * as Path from "node:path";
import * as Url from "node:url";

export const ROOT = Path.resolve(
  Path.dirname(Url.fileURLToPath(import.meta.url)),
  "..",
  "..",
);
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const startedAt = performance.now();
/** Seconds since the start of the script. */
export const now = () => (performance.now() - startedAt) / 1000;

/** Writes record.txt beside the script of a case. */
export function openRecord(dir) {
  const fd = Fs.openSync(Path.join(dir, "record.txt"), "w");
  const write = (...words) =>
    Fs.writeSync(fd, `${now().toFixed(3)} ${words.join(" ")}\n`);
  return {
    write,
    say(...words) {
      write("#", ...words);
      console.log(now().toFixed(3), ...words);
    },
  };
}

/** The command of the role in the deploy file. */
export function readCommand() {
  const text = Fs.readFileSync(
    Path.join(ROOT, "deploy", "system.toml"),
    "utf8",
  );
  const run = /^run\s*=\s*"([^"]+)"/m.exec(text);
  if (run === null) throw new Error("no command in the deploy file");
  return run[1].split(" ");
}

function listen(server, host = "127.0.0.1", port = 0) {
  return new Promise((done, fail) => {
    server.once("error", fail);
    server.listen({ host, port }, () => done(server.address().port));
  });
}

/** Addresses that the machines of a case use. */
const MACHINE_IPS = [11, 12, 13, 14].map((n) => `127.0.0.${n}`);

/** Ports that are free at this moment on all loopback addresses: front, ready, control, directory, and the first of two internal ones. */
export async function findPorts() {
  const servers = [];
  const hold = async (port = 0) => {
    const server = Net.createServer();
    const bound = await listen(server, "127.0.0.1", port);
    servers.push(server);
    for (const ip of MACHINE_IPS) {
      const other = Net.createServer();
      await listen(other, ip, bound);
      servers.push(other);
    }
    return bound;
  };
  const ports = [await hold(), await hold(), await hold(), await hold()];
  for (let tries = 0; ports.length < 5; tries++) {
    const first = await hold();
    try {
      await hold(first + 1);
      ports.push(first);
    } catch (err) {
      if (tries > 50) throw err;
    }
  }
  await Promise.all(
    servers.map((one) => new Promise((done) => one.close(done))),
  );
  return ports;
}

/** Loopback address at which a machine finds the store. */
const getStoreIp = (ip) => ip.replace("127.0.0.", "127.0.1.");

/** The platform's store: items, ranges, watches, conditional writes and leases, as the protocol page tells. */
export async function startStore(record) {
  const items = new Map();
  const leases = new Map();
  const waiters = new Set();
  const sockets = new Set();
  const history = [];
  let rev = 1;
  let nextLease = 1000;
  let mode = "serving";
  const silentTo = new Set();
  /** Entries of workers without their `callSeq`, by key. */
  const entries = new Map();

  function wake(waiter) {
    const events = history.filter((one) =>
      one.rev > waiter.after && one.key.startsWith(waiter.prefix)
    );
    if (events.length === 0) return false;
    waiters.delete(waiter);
    waiter.answer(200, { events, asOf: rev });
    return true;
  }
  function add(event) {
    history.push(event);
    for (const waiter of [...waiters]) wake(waiter);
  }
  function write(key, value, lease = 0) {
    rev++;
    const item = {
      key,
      value,
      rev,
      createdRev: items.get(key)?.createdRev ?? rev,
      lease,
    };
    items.set(key, item);
    add(item);
  }
  function remove(key) {
    if (!items.delete(key)) return;
    rev++;
    add({ key, rev, deleted: true });
  }
  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    for (const item of [...items.values()]) {
      if (item.lease === id) remove(item.key);
    }
  }
  function keep(id) {
    const lease = leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs);
  }
  function handle(method, url, body, answer, from) {
    const query = url.searchParams;
    const [, , call, id] = url.pathname.split("/");
    switch (`${method} ${call}`) {
      case "GET kv-key": {
        const item = items.get(query.get("key"));
        return item === undefined
          ? answer(404, {})
          : answer(200, { ...item, asOf: rev });
      }
      case "GET kv-range": {
        const prefix = query.get("pathPrefix") ?? "";
        const after = query.get("after") ?? "";
        const all = [...items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => a.key < b.key ? -1 : 1);
        return answer(200, {
          items: all.slice(0, 500),
          hasMore: all.length > 500,
          asOf: rev,
        });
      }
      case "GET kv-watch": {
        const waiter = {
          from,
          prefix: query.get("pathPrefix") ?? "",
          after: Number(query.get("after")),
          answer,
        };
        if (wake(waiter)) return;
        waiters.add(waiter);
        const waitMs = Math.min(30000, Number(query.get("waitMaxMs")));
        setTimeout(() => {
          if (waiters.delete(waiter)) answer(200, { events: [], asOf: rev });
        }, waitMs);
        return;
      }
      case "POST kv-txn": {
        const { expect = [], writes = [], remove: removed = [] } = body;
        if (
          !expect.every((one) => (items.get(one.key)?.rev ?? 0) === one.rev)
        ) {
          return answer(412, {
            items: expect.map(({ key }) => items.get(key)).filter((one) => one),
          });
        }
        if (writes.some(({ lease }) => lease && !leases.has(lease))) {
          return answer(404, {});
        }
        for (const { key, value, lease } of writes) {
          write(key, value, lease ?? 0);
        }
        removed.forEach(remove);
        return answer(200, { rev });
      }
      case "POST kv-lease": {
        const lease = ++nextLease;
        leases.set(lease, { ttlMs: body.ttlMs });
        keep(lease);
        return answer(200, { lease, ttlMs: body.ttlMs });
      }
      case "POST kv-keep":
        if (!leases.has(Number(id))) return answer(404, {});
        keep(Number(id));
        return answer(200, { ttlMs: leases.get(Number(id)).ttlMs });
      case "DELETE kv-lease-end":
        endLease(Number(id));
        return answer(200, {});
      default:
        return answer(404, {});
    }
  }
  const answerCall = (req, res) => {
    const chunks = [];
    req.on("error", () => {});
    res.on("error", () => {});
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const isSilent = () =>
        mode === "silent" || silentTo.has(req.socket.localAddress);
      if (isSilent()) return;
      const answer = (status, value) => {
        if (isSilent() || res.destroyed) return;
        const text = JSON.stringify(value);
        res.writeHead(status, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        });
        res.end(text);
      };
      const text = Buffer.concat(chunks).toString();
      const body = text === "" ? {} : JSON.parse(text);
      setTimeout(
        () =>
          handle(
            req.method,
            new URL(req.url, "http://store"),
            body,
            answer,
            req.socket.localAddress,
          ),
        4,
      );
    });
  };
  /** One server for each machine's address of the store. */
  const servers = [];
  let port = 0;
  for (const ip of MACHINE_IPS.map(getStoreIp)) {
    const server = Http.createServer({ keepAliveTimeout: 60000 }, answerCall);
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
    });
    port = await listen(server, ip, port);
    servers.push(server);
  }
  return {
    /** The address for a machine. Each has its own, so that the store can tell them apart. */
    getAddress: (ip) => `${getStoreIp(ip)}:${port}`,
    /** Writes as the operator or a worker does; false while the store is down. */
    put(key, value) {
      if (mode !== "serving") return false;
      // The entry of a worker changes only when more than its `callSeq` changes.
      const { callSeq, ...lasting } = value;
      if (
        callSeq !== undefined && entries.get(key) === JSON.stringify(lasting)
      ) return true;
      entries.set(key, JSON.stringify(lasting));
      record.write("store", "put", key, JSON.stringify(value));
      write(key, Buffer.from(JSON.stringify(value)).toString("base64"));
      return true;
    },
    remove(key) {
      if (mode !== "serving") return false;
      record.write("store", "remove", key);
      entries.delete(key);
      remove(key);
      return true;
    },
    /** True if the machine watches the store now. */
    isWatchedBy: (ip) =>
      [...waiters].some(({ from }) => from === getStoreIp(ip)),
    /** Gives one machine no response, or serves it again. */
    setSilent({ name, ip }, isSilent) {
      if (isSilent) silentTo.add(getStoreIp(ip));
      else silentTo.delete(getStoreIp(ip));
      record.say("store", isSilent ? "gives no response to" : "serves", name);
    },
    setMode(next) {
      mode = next;
      record.say("store is", next);
      if (next !== "serving") waiters.clear();
    },
    close() {
      for (const { timer } of leases.values()) clearTimeout(timer);
      sockets.forEach((socket) => socket.destroy());
      servers.forEach((server) => server.close());
    },
  };
}

/** A worker: some slots, a queue, a health path, its load in each answer, and a beat in the store. */
export async function startWorker(
  {
    store,
    record,
    id,
    service,
    zone,
    slots = 9,
    workMs = 40,
    coldX = 2,
    crashAbovePerS = Infinity,
    beatMs = 1500,
  },
) {
  const arrivals = [];
  const sockets = new Set();
  const queue = [];
  let running = 0;
  let callSeq = 0;
  let coldUntil = -Infinity;
  const born = Date.now();
  let port = 0;
  let server;
  let isUp = false;
  let state = "ready";

  const coldLeftMs = () =>
    Math.max(0, Math.round(coldUntil - performance.now()));
  const load = () => `${running},${queue.length},${slots}`;

  function start(job) {
    running++;
    job.isRunning = true;
    job.arrival.ranAt = now();
    record.write("run", id, job.requestId);
    const ms = workMs * (coldLeftMs() > 0 ? coldX : 1);
    job.timer = setTimeout(() => {
      end(job);
      if (job.res.destroyed) return;
      job.res.writeHead(200, {
        "X-Request-Id": job.requestId,
        "X-Server-Stamp": `${id}.${job.requestId}`,
        "X-Server-Load": load(),
        "Content-Length": 2,
      });
      job.res.end("ok");
    }, ms);
  }
  function end(job) {
    if (job.isEnded) return;
    job.isEnded = true;
    clearTimeout(job.timer);
    if (!job.isRunning) {
      queue.splice(queue.indexOf(job), 1);
      return;
    }
    running--;
    if (queue.length > 0) start(queue.shift());
  }
  function reject(res, requestId, status, headers) {
    res.writeHead(status, {
      "X-Request-Id": requestId,
      "X-Not-Run": "1",
      "X-Server-Load": load(),
      "Content-Length": 0,
      ...headers,
    });
    res.end();
  }
  /** A cold worker crashes at a rate well above the one that it tolerates. */
  function checkCold() {
    const recent =
      arrivals.filter(({ at, isCold }) => isCold && at > now() - 1).length;
    if (recent > crashAbovePerS) {
      void crash(`${recent} requests in one second while it is cold`);
    }
  }
  async function crash(reason) {
    record.say("worker", id, "ends:", reason);
    isUp = false;
    for (const socket of sockets) socket.resetAndDestroy();
    await new Promise((done) => server.close(done));
  }
  function handle(req, res) {
    const requestId = String(req.headers["x-request-id"]);
    if (req.url === "/health") {
      res.writeHead(200, {
        "X-Instance-Id": id,
        "X-Server-Load": load(),
        "X-Cold-Ms": String(coldLeftMs()),
        "Content-Length": 0,
      });
      return void res.end();
    }
    const arrival = {
      requestId,
      at: now(),
      isCold: coldLeftMs() > 0,
      from: req.socket.remoteAddress,
      deadlineMs: Number(req.headers["x-deadline-ms"]),
    };
    record.write(
      "arrive",
      id,
      requestId,
      "from",
      arrival.from,
      arrival.isCold ? "cold" : "warm",
    );
    req.on("error", () => {});
    res.on("error", () => {});
    req.resume();
    req.on("end", () => {
      const expected = req.headers["x-expect-instance"];
      if (expected !== undefined && expected !== id) {
        return reject(res, requestId, 421, { "X-Instance-Id": id });
      }
      arrivals.push(arrival);
      if (arrival.isCold) checkCold();
      if (!isUp) return;
      const job = { requestId, res, arrival };
      res.on("close", () => end(job));
      if (running < slots) return start(job);
      if (queue.length >= 3 * slots) return reject(res, requestId, 503, {});
      queue.push(job);
    });
  }
  function entry() {
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: "v1",
      capacity: slots,
      state,
      coldLeftMs: coldLeftMs(),
      callSeq,
      born,
    };
  }
  function beat() {
    if (!isUp) return;
    callSeq++;
    store.put(`servers/${id}`, entry());
  }
  async function open() {
    server = Http.createServer({ keepAliveTimeout: 10000 }, handle);
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
    });
    port = await listen(server, "127.0.0.1", port);
    isUp = true;
    beat();
  }
  await open();
  const timer = setInterval(beat, beatMs);
  return {
    id,
    arrivals,
    beat,
    /** It ends as it had announced: its entry leaves the store, and its connections are reset. */
    async leave() {
      store.remove(`servers/${id}`);
      await crash("it leaves");
    },
    /** It reports that it leaves; returns when the store has accepted that. */
    drain() {
      state = "draining";
      beat();
      record.say("worker", id, "is draining");
      return now();
    },
    /** It becomes cold in the middle of its life. */
    turnCold(coldMs) {
      coldUntil = performance.now() + coldMs;
      record.say("worker", id, "is cold for", coldMs, "ms");
      beat();
    },
    close() {
      isUp = false;
      clearInterval(timer);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.once(signal, () => process.exit(2));
}

/** One machine of the system: a process with the command of the deploy file, started again when it ends. */
export function startMachine(
  {
    record,
    name,
    ip,
    ports,
    zone,
    region,
    zones,
    store,
    bounds = {},
    seeds = [],
    memoryMb = 350,
  },
) {
  const [front, ready, control, directory, internal] = ports;
  const dir = Fs.mkdtempSync(Path.join(Os.tmpdir(), "anvilroute-case-"));
  const path = Path.join(dir, "node.json");
  const settings = {
    self: {
      nodeName: name,
      role: "entry",
      machineClass: "front",
      serves: ["front", "directory"],
      bindIp: ip,
      zone,
      region,
      countsAsLoss: false,
      bootstrap: true,
      dataDir: null,
      limits: {
        cpuQuota: 0.54,
        cores: 1,
        memoryMb,
        maxFds: 4100,
        linkMbps: 1000,
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
      internalPorts: [internal, internal + 15],
      seedAddrs: seeds,
      zones,
    },
    platform: {
      discovery: "platform",
      entry: "directory",
      beatIntervalMs: 1500,
      platform: {
        address: store.getAddress(ip),
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
      bounds: {
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
        ...bounds,
      },
    },
  };
  Fs.writeFileSync(path, JSON.stringify(settings));
  const [program, ...args] = readCommand();
  let child;
  let isClosed = false;
  const log = [];

  function start() {
    child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        ANVILROUTE_CONFIG: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const started = child;
    children.add(started);
    for (const stream of [started.stdout, started.stderr]) {
      stream.on("data", (chunk) => {
        log.push(String(chunk));
        if (log.length > 2000) log.shift();
      });
    }
    record.say("machine", name, "starts, process", started.pid);
    started.once("exit", (code, signal) => {
      children.delete(started);
      record.say("machine", name, "ended", code ?? signal);
      // The platform starts a process that has ended again after a short delay.
      if (!isClosed) setTimeout(() => isClosed || start(), 500);
    });
  }
  start();
  return {
    name,
    ip,
    zone,
    region,
    front: `${ip}:${front}`,
    directory: { host: ip, port: directory },
    getLog: () => log.join(""),
    /** True if the ready address answers 200. */
    isReady: () =>
      new Promise((done) => {
        const req = Http.get({
          host: ip,
          port: ready,
          path: "/anvilroute/ready",
          timeout: 1000,
          agent: false,
        }, (res) => {
          res.resume();
          done(res.statusCode === 200);
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => done(false));
      }),
    signal(signal) {
      record.say("machine", name, "gets", signal);
      child.kill(signal);
    },
    /** Resident memory of the process, MB; 0 if it has ended. */
    getMemoryMb() {
      try {
        const status = Fs.readFileSync(`/proc/${child.pid}/status`, "utf8");
        return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * 1024 / 1e6;
      } catch {
        return 0;
      }
    },
    isRunning: () => child.exitCode === null && child.signalCode === null,
    close() {
      isClosed = true;
      child.kill("SIGKILL");
      Fs.rmSync(dir, { recursive: true, force: true });
    },
  };
}

export async function waitUntilReady(machines, limitS = 20) {
  const until = now() + limitS;
  for (;;) {
    const ready = await Promise.all(machines.map((one) => one.isReady()));
    if (ready.every(Boolean)) return;
    if (now() > until) throw new Error("not all machines are ready");
    await sleep(100);
  }
}

/** Clients of one zone: they ask the directory, keep connections, and send at a steady rate. */
export function startClients(
  {
    record,
    machines,
    zone,
    region,
    host,
    key,
    path,
    method = "GET",
    body,
    isChunked = false,
    deadlineMs = 2000,
    onSend,
  },
) {
  const requests = [];
  const idle = new Map();
  let addresses = [];
  let validUntil = 0;
  let asking;
  let count = 0;
  const nearest = [...machines].sort((a, b) =>
    Number(b.zone === zone) - Number(a.zone === zone) ||
    Number(b.region === region) - Number(a.region === region)
  );

  function askOne({ directory }) {
    return new Promise((done) => {
      const req = Http.get({
        host: directory.host,
        port: directory.port,
        agent: false,
        timeout: 1000,
        path: `/anvilroute/resolve?name=${host}&region=${region}&zone=${zone}`,
      }, (res) => {
        const chunks = [];
        res.on("data", (chunk) => chunks.push(chunk));
        res.on("end", () => {
          try {
            const value = JSON.parse(Buffer.concat(chunks).toString());
            done(
              res.statusCode === 200 && value.addresses?.length > 0
                ? value
                : undefined,
            );
          } catch {
            done(undefined);
          }
        });
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => done(undefined));
    });
  }
  async function ask() {
    for (const machine of nearest.slice(0, 3)) {
      const value = await askOne(machine);
      if (value === undefined) continue;
      addresses = value.addresses;
      validUntil = now() + Math.min(5, value.ttlS);
      // Open connections to addresses that are missing from a new response are not used any more.
      for (const [address, agent] of idle) {
        if (!addresses.includes(address)) {
          idle.delete(address);
          setTimeout(() => agent.destroy(), deadlineMs + 500);
        }
      }
      return;
    }
  }
  async function getAddress(failed) {
    if (now() > validUntil) {
      asking ??= ask().finally(() => asking = undefined);
      if (addresses.length === 0) await asking;
    }
    const usable = addresses.filter((one) => !failed.has(one));
    const from = usable.length > 0 ? usable : addresses;
    return from[Math.floor(Math.random() * from.length)];
  }
  function getAgent(address) {
    const agent = idle.get(address) ??
      new Http.Agent({
        keepAlive: true,
        maxSockets: 256,
        maxFreeSockets: 64,
        timeout: 10000,
      });
    idle.set(address, agent);
    return agent;
  }
  async function send() {
    const id = `${process.pid.toString(16)}${
      (count++).toString(16).padStart(8, "0")
    }`;
    const failed = new Set();
    const address = await getAddress(failed);
    if (address === undefined) return;
    const [ip, port] = address.split(":");
    const request = {
      id,
      at: now(),
      address,
      status: undefined,
      endAt: undefined,
    };
    requests.push(request);
    record.write("send", id, address, method, path);
    onSend?.(request);
    await new Promise((done) => {
      const end = (status) => {
        if (request.endAt !== undefined) return;
        request.status = status;
        request.endAt = now();
        record.write("answer", id, status);
        clearTimeout(timer);
        done();
      };
      const req = Http.request({
        host: ip,
        port: Number(port),
        method,
        path,
        agent: getAgent(address),
        headers: {
          "Host": host,
          "X-Request-Id": id,
          "X-Deadline-Ms": String(deadlineMs),
          "Authorization": `Bearer ${key}`,
          ...(body === undefined || isChunked
            ? {}
            : { "Content-Length": Buffer.byteLength(body) }),
        },
      }, (res) => {
        res.on("data", () => {});
        res.on("error", () => end("cut"));
        res.on("end", () => end(res.complete ? res.statusCode : "cut"));
      });
      const timer = setTimeout(() => {
        end("deadline");
        req.destroy();
      }, deadlineMs);
      req.on("error", (err) => end(err.code ?? "error"));
      if (!isChunked) return void req.end(body);
      // Chunks of 16 kB, as fast as the connection takes them.
      let offset = 0;
      const push = () => {
        while (offset < body.length) {
          const chunk = body.subarray(offset, offset + 16384);
          offset += chunk.length;
          if (!req.write(chunk)) return void req.once("drain", push);
        }
        req.end();
      };
      push();
    });
  }
  let timer;
  return {
    requests,
    send,
    prepare: ask,
    /** Sends `perS` requests a second from now on; 0 stops. */
    setRate(perS) {
      clearInterval(timer);
      if (perS === 0) return;
      const beganAt = now();
      let sent = 0;
      timer = setInterval(() => {
        const due = Math.floor((now() - beganAt) * perS);
        for (; sent < due; sent++) void send();
      }, 5);
    },
    close() {
      clearInterval(timer);
      for (const agent of idle.values()) agent.destroy();
    },
  };
}

/** The operator's configuration: one host, its routes, the services and the tenants. */
export function createConfig(
  { version = 1, services, routes, tenants, limits = {} },
) {
  return {
    version: `r${version}`,
    services: services.map((name) => ({
      name,
      healthPath: "/health",
      maxConns: 330,
      protocol: "h1",
      tls: false,
      coldS: 3,
      coldPerS: 15,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 67108864,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
      ...limits,
    },
    tenants,
    baseVersion: `r${version}`,
    hosts: [{ host: "shop.example", paths: routes }],
  };
}

/** Runs a case and ends the script: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export function runCase(record, run) {
  const closers = [];
  const close = () => closers.forEach((one) => one.close());
  const add = (one) => {
    closers.push(one);
    return one;
  };
  run(add).then((isBroken) => {
    close();
    record.say(isBroken ? "the rule was broken" : "the rule held");
    process.exit(isBroken ? 1 : 0);
  }, (err) => {
    close();
    record.say("the case couldn't run:", err.stack);
    process.exit(2);
  });
}

/** Counts the requests by what their clients saw. */
export function countAnswers(requests) {
  const counts = {};
  for (const { status } of requests) counts[status] = (counts[status] ?? 0) + 1;
  return JSON.stringify(counts);
}
