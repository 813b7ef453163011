/** Small fleets, their tables and keys, for the benches. */
import * as Clock from "../../src/clock.ts";
import * as Table from "../../src/table/table.ts";
import * as Fleet from "../fleet/fleet.ts";
import type * as Layout from "../fleet/layout.ts";
import type * as Settings from "../harness/settings.ts";
import type * as Records from "../target/records.ts";

/** The service of all benches. */
export const SERVICE = "order";
/** A path that needs a key and no ticket. */
export const READ_PATH = "/lots/1";

/** Rate and burst of an account, fleet-wide. */
export interface AccountLimit {
  readonly rate: number;
  readonly burst: number;
}

/** One region's row. */
export interface RegionRow {
  readonly region: string;
  readonly weight?: number;
  readonly capRps?: number;
  readonly shiftPctPerS?: number;
}

/** What a bench's table says. */
export interface TableOptions {
  readonly regions: readonly RegionRow[];
  readonly accounts: Readonly<Record<string, AccountLimit>>;
  readonly open?: readonly string[];
}

/** Entry instances and targets of a bench's fleet. */
export interface RigOptions {
  readonly table: TableOptions;
  /** Instances of the two domains of each region. */
  readonly instances: readonly [number, number];
  readonly workers: number;
  readonly slots: number;
  readonly serviceMs: number;
  readonly listLagMs?: number;
  readonly settings?: Partial<Settings.SettingsOptions>;
}

function getDomains(region: string): readonly string[] {
  return [`${region}-1`, `${region}-2`];
}

/** The table as CSV; account limits are split equally over the regions. */
export function formatTable(opts: TableOptions): string {
  const accounts = Object.entries(opts.accounts);
  const head = [
    "service,region,domains,weight,cap_rps,shift_pct_per_s,link_mbps,once",
    "open,deadline_ms",
    ...accounts.map(([name]) => `rate:${name},burst:${name}`),
  ];
  const rows = opts.regions.map((row) =>
    [
      SERVICE,
      row.region,
      getDomains(row.region).join(" "),
      row.weight ?? 100,
      row.capRps ?? 20_000,
      row.shiftPctPerS ?? 100,
      1_000,
      "POST /orders",
      (opts.open ?? []).join(" "),
      10_000,
      ...accounts.map(([, limit]) =>
        `${limit.rate / opts.regions.length},${
          limit.burst / opts.regions.length
        }`
      ),
    ].join(",")
  );
  const csv = [head.join(","), ...rows].join("\n") + "\n";
  const parsed = Table.parseTable(csv, 1);
  if (parsed.isErr()) throw new Error(parsed.error.detail);
  return csv;
}

/** Starts a fleet; every domain has the given number of instances. */
export function startRig(opts: RigOptions): Promise<Fleet.Fleet> {
  const layout: Layout.FleetLayout = {
    name: "bench",
    domains: opts.table.regions.flatMap(({ region }) =>
      getDomains(region).map((domain, i) => ({
        domain,
        region,
        instances: opts.instances[i] ?? 0,
      }))
    ).filter((one) => one.instances > 0),
    services: [{
      service: SERVICE,
      workers: opts.workers,
      slots: opts.slots,
      serviceMs: opts.serviceMs,
    }],
    orderService: SERVICE,
    orderPath: "/orders",
    browsePath: "/lots",
    accounts: Object.keys(opts.table.accounts),
  };
  return Fleet.startFleet({
    layout,
    tableCsv: formatTable(opts.table),
    listLagMs: opts.listLagMs ?? 0,
    settings: { logLevel: "warn", ...opts.settings },
  });
}

/** A fleet's key of an account; throws for an unknown one. */
export function getKey(fleet: Fleet.Fleet, account: string): string {
  const key = fleet.keys.get(account);
  if (key === undefined) throw new Error(`no key of ${account}`);
  return key;
}

/** Requests that targets started to run, oldest first; shed ones are left out. */
export async function collectRuns(
  targets: readonly Fleet.FleetTarget[],
): Promise<readonly Records.ExecutionRecord[]> {
  const running = targets.filter((one) => one.process.isRunning());
  const lists = await Promise.all(running.map((one) => one.getRecords()));
  return lists.flat()
    .filter((record) => record.outcome !== "shed")
    .toSorted((a, b) => a.startedWallMs - b.startedWallMs);
}

/** Most events within any window of `windowMs`, open at its end; times are ascending. */
export function getPeak(timesMs: readonly number[], windowMs: number): number {
  let first = 0;
  let peak = 0;
  timesMs.forEach((timeMs, last) => {
    while (timeMs - (timesMs[first] ?? 0) >= windowMs) first++;
    peak = Math.max(peak, last - first + 1);
  });
  return peak;
}

/** Starts `act` at a steady rate with random gaps until the time has passed; resolves when all have ended. */
export async function runSteadily(
  durationMs: number,
  ratePerS: number,
  act: (n: number) => Promise<void>,
): Promise<void> {
  const untilMs = performance.now() + durationMs;
  const pending: Promise<void>[] = [];
  let dueAtMs = performance.now();
  for (let n = 0;; n++) {
    dueAtMs += -Math.log(1 - Math.random()) * 1_000 / ratePerS;
    if (dueAtMs >= untilMs) break;
    const waitMs = dueAtMs - performance.now();
    if (waitMs > 0) await Clock.sleep(waitMs);
    pending.push(act(n));
  }
  await Promise.all(pending);
}
