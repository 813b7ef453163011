/**
 * `npm run demo [-- kaksin|tende]`: a whole fleet on one machine, browsing and
 * orders from every client account, one entry instance and one target killed.
 * Ends with a table of what happened; exit code 1 when a promise broke.
 */
import * as Fs from "node:fs";
import * as Table from "../../src/table/table.ts";
import * as Process from "../harness/process.ts";
import * as Fleet from "../fleet/fleet.ts";
import * as Layout from "../fleet/layout.ts";
import * as Traffic from "./traffic.ts";
import * as Verdict from "./verdict.ts";

const TRAFFIC_MS = 12_000;
const KILL_INSTANCE_AT_MS = 3_000;
const KILL_TARGET_AT_MS = 6_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function killOneOfEach(
  fleet: Fleet.Fleet,
  layout: Layout.FleetLayout,
): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, KILL_INSTANCE_AT_MS));
  const instance = fleet.instances[1];
  await instance?.process.kill();
  print(`killed entry instance ${instance?.id}`);
  await new Promise((resolve) =>
    setTimeout(resolve, KILL_TARGET_AT_MS - KILL_INSTANCE_AT_MS)
  );
  const target = fleet.targets.find((one) =>
    one.service === layout.orderService
  );
  await target?.process.kill();
  print(`killed target ${target?.id}`);
}

async function main(): Promise<number> {
  const name = process.argv[2] ?? "kaksin";
  const layout = Layout.tryGetLayout(name);
  if (layout === undefined) {
    print(`unknown fleet ${name}; known: kaksin, tende`);
    return 2;
  }
  const tableCsv = Fs.readFileSync(`examples/${name}/table.csv`, "utf8");
  const table = Table.parseTable(tableCsv, 1).unwrap();
  const startedAtMs = performance.now();
  const fleet = await Fleet.startFleet({ layout, tableCsv });
  const startMs = Math.round(performance.now() - startedAtMs);
  print(
    `${name}: ${fleet.instances.length} entry instances, ${fleet.targets.length} targets, ` +
      `${layout.domains.length} failure domains, started in ${startMs} ms`,
  );
  const [results] = await Promise.all([
    Traffic.run(fleet, layout, table, TRAFFIC_MS),
    killOneOfEach(fleet, layout),
  ]);
  const verdict = await Verdict.judge(fleet, layout, results);
  verdict.lines.forEach(print);
  await fleet.stop();
  return verdict.broken.length === 0 ? 0 : 1;
}

main().then(
  (code) => process.exit(code),
  async (err) => {
    print(`demo failed: ${String(err)}`);
    await Process.killAll();
    process.exit(1);
  },
);
