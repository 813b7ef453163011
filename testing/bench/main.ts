/**
 * `npm run bench -- NAME`: runs one bench. Exit code 1 when a figure misses its
 * bound or the bench fails, 2 for an unknown name.
 */
import * as Process from "../harness/process.ts";
import * as Report from "./report.ts";

const LIMIT_MS = 58_000;

type Bench = (report: Report.Report) => Promise<void>;

const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  overhead: async () => (await import("./overhead.ts")).run,
  fairness: async () => (await import("./fairness.ts")).run,
  limits: async () => (await import("./limits.ts")).run,
  headroom: async () => (await import("./headroom.ts")).run,
  drain: async () => (await import("./drain.ts")).run,
  propagation: async () => (await import("./propagation.ts")).run,
  lookup: async () => (await import("./lookup.ts")).run,
  recovery: async () => (await import("./recovery.ts")).run,
  outage: async () => (await import("./outage.ts")).run,
  heartbeats: async () => (await import("./heartbeats.ts")).run,
  probes: async () => (await import("./probes.ts")).run,
  store: async () => (await import("./store.ts")).run,
  keys: async () => (await import("./keys.ts")).run,
  ledger: async () => (await import("./ledger.ts")).run,
  parts: async () => (await import("./parts.ts")).run,
};

async function main(): Promise<number> {
  const name = process.argv[2] ?? "";
  const load = Object.hasOwn(BENCHES, name) ? BENCHES[name] : undefined;
  if (load === undefined) {
    const known = Object.keys(BENCHES).join(", ");
    process.stderr.write(`unknown bench ${name}; known: ${known}\n`);
    return 2;
  }
  const report = Report.createReport(name);
  const timer = setTimeout(() => {
    process.stderr.write(`bench ${name} took more than ${LIMIT_MS} ms\n`);
    process.exit(1);
  }, LIMIT_MS);
  await (await load())(report);
  clearTimeout(timer);
  return report.isGood() ? 0 : 1;
}

main().then(
  async (code) => {
    await Process.killAll();
    process.exit(code);
  },
  async (err) => {
    process.stderr.write(`bench failed: ${err?.stack ?? String(err)}\n`);
    await Process.killAll();
    process.exit(1);
  },
);
