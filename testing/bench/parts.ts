/**
 * Processor time of an instance by part: for each request, and for each second
 * without requests. One of two instances is profiled while it is idle, then under
 * load, after a while in which its code is compiled.
 *
 * `npm run bench -- parts` writes the figures to `target/bench/parts-COMMIT.json`;
 * `--program DIR` profiles the build of another checkout; `--against FILE` compares
 * with the figures of another commit, as a table and as a plot in
 * `target/bench/parts-COMMIT.svg`.
 */
import * as ChildProcess from "node:child_process";
import * as Fs from "node:fs";
import * as Http from "node:http";
import * as Path from "node:path";
import * as Gateway from "../harness/gateway.ts";
import * as KvStore from "../kv/kv_store.ts";
import * as KvTarget from "../kv/kv_target.ts";
import * as PartsTable from "./parts_table.ts";
import * as Profile from "./profile.ts";
import * as Profiler from "./profiler.ts";
import type * as Report from "./report.ts";

/** The program in its modules; the bundle has all of them in one file. */
const MAIN = "dist/platform/main.js";
const OUT_DIR = "target/bench";
const INSPECTOR_PORT = 9_229;
/** Time for what follows a start, such as first reads of the store. */
const SETTLE_MS = 5_000;
const IDLE_MS = 10_000;
const WARM_UP_MS = 6_000;
const LOAD_MS = 10_000;
const TARGETS = 4;
const CLIENTS = 16;
const REQUESTS_PER_S = 200;
const SERVICE_MS = 5;

function formatConfig(): string {
  return JSON.stringify({
    version: "r1",
    services: [{ name: "orders", maxConns: 330, coldS: 0, coldPerS: 100 }],
    limits: { maxBodyBytes: 1_000_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "hut", apiKeys: ["k1"], ratePerS: 0, burst: 0 }],
    hosts: [{
      host: "shop.example",
      paths: [{
        name: "r-read",
        pathPrefix: "/read/",
        kind: "safe",
        timeoutMs: 1_500,
        targetLatencyMs: 400,
        priority: 1,
        service: "orders",
        attempts: 2,
        public: false,
      }],
    }],
  });
}

/** Sends one request; returns whether it was served. */
function send(address: string, agent: Http.Agent, id: string) {
  const [host, port] = address.split(":");
  return new Promise<boolean>((resolve) => {
    const req = Http.request({
      host,
      port,
      agent,
      path: "/read/x",
      headers: {
        host: "shop.example",
        authorization: "Bearer k1",
        "x-request-id": id,
        cookie: `X-Affinity-Key=${id}`,
      },
    }, (res) => {
      res.resume();
      res.once("end", () => resolve(res.statusCode === 200));
      res.once("error", () => resolve(false));
    });
    req.once("error", () => resolve(false));
    req.end();
  });
}

/** Sends requests at the bench's rate on kept connections; returns how many were served. */
async function sendLoad(address: string, ms: number): Promise<number> {
  const agent = new Http.Agent({ keepAlive: true, maxSockets: CLIENTS });
  const count = REQUESTS_PER_S * ms / 1_000;
  const startMs = performance.now();
  const pending: Promise<boolean>[] = [];
  for (let i = 0; i < count; i++) {
    const waitMs = startMs + i * 1_000 / REQUESTS_PER_S - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    pending.push(send(address, agent, `parts-${i}`));
  }
  const results = await Promise.all(pending);
  agent.destroy();
  return results.filter(Boolean).length;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Parts of an instance without requests, and under load with the requests that it served. */
interface Measured {
  readonly idle: Profile.PartTimes;
  readonly load: Profile.PartTimes;
  readonly served: number;
}

async function profileInstance(
  instance: Gateway.GatewayProcess,
): Promise<Measured> {
  const profiler = await Profiler.connectProfiler(
    `${instance.ip}:${INSPECTOR_PORT}`,
  );
  await sleep(SETTLE_MS);
  await profiler.start();
  await sleep(IDLE_MS);
  const idle = Profile.getPartTimes(await profiler.stop());
  await sendLoad(instance.caller, WARM_UP_MS);
  await profiler.start();
  const served = await sendLoad(instance.caller, LOAD_MS);
  const load = Profile.getPartTimes(await profiler.stop());
  profiler.close();
  return { idle, load, served };
}

/** Starts a fleet of two instances and profiles the first one. */
async function measure(programDir: string): Promise<Measured> {
  const store = await KvStore.startKvStore();
  store.put("op/config", formatConfig());
  const targets = await Promise.all(
    Array.from({ length: TARGETS }, async (_, i) => {
      const target = await KvTarget.startKvTarget(
        store,
        `i-${i}`,
        "orders",
        "north-a",
      );
      target.setServiceMs(SERVICE_MS);
      return target;
    }),
  );
  const instances = [1, 2].map((n) => {
    const ip = `127.91.${process.pid % 200}.${n}`;
    return Gateway.startGatewayProcess({
      id: `front-${n}`,
      domain: "north-a",
      region: "north",
      ip,
      store: store.address,
      regionOfDomain: { "north-a": "north" },
      main: Path.resolve(programDir, MAIN),
      nodeArgs: [`--inspect=${ip}:${INSPECTOR_PORT}`],
    });
  });
  try {
    await Promise.all(instances.map((one) => one.waitUntilReady()));
    return await profileInstance(instances[0]!);
  } finally {
    for (const one of instances) one.signal("SIGKILL");
    await Promise.all(instances.map(({ exited }) => exited));
    await Promise.all(targets.map((target) => target.close()));
    await store.close();
  }
}

function getCommit(dir: string): string {
  const args = ["-C", dir, "rev-parse", "--short", "HEAD"];
  return ChildProcess.execFileSync("git", args, { encoding: "utf8" }).trim();
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const programDir = PartsTable.tryGetOption(process.argv, "program") ?? ".";
  const { idle, load, served } = await measure(programDir);
  const figures: PartsTable.Figures = {
    commit: getCommit(programDir),
    parts: Profile.partNames.map((name) => {
      const idleUsPerS = (idle.get(name) ?? 0) / (IDLE_MS / 1_000);
      const idleUs = idleUsPerS * LOAD_MS / 1_000;
      const loadUs = load.get(name) ?? 0;
      return {
        name,
        idleUsPerS,
        requestUs: (loadUs - idleUs) / Math.max(served, 1),
      };
    }),
  };
  Fs.mkdirSync(OUT_DIR, { recursive: true });
  const path = Path.join(OUT_DIR, `parts-${figures.commit}`);
  Fs.writeFileSync(`${path}.json`, JSON.stringify(figures, undefined, 2));
  const againstPath = PartsTable.tryGetOption(process.argv, "against");
  const against = againstPath === undefined
    ? undefined
    : PartsTable.parseFigures(Fs.readFileSync(againstPath, "utf8"));
  process.stdout.write(`${PartsTable.formatTable(figures, against)}\n`);
  if (against !== undefined) {
    Fs.writeFileSync(`${path}.svg`, PartsTable.formatPlot(figures, against));
  }
  const { idleUsPerS, requestUs } = PartsTable.getTotals(figures);
  report.line({ served, file: `${path}.json` });
  report.figure({
    figure: "processor time of a request",
    value: requestUs,
    unit: "us",
    bound: undefined,
    limit: "at-most",
  });
  report.figure({
    figure: "processor time of an idle second",
    value: idleUsPerS,
    unit: "us",
    bound: undefined,
    limit: "at-most",
  });
}
