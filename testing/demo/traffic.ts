/** The demo's traffic: each account browses and places orders from each region. */
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";
import * as Caller from "../caller/caller.ts";
import type * as Fleet from "../fleet/fleet.ts";
import type * as Layout from "../fleet/layout.ts";

/** Share of an account's rate that its callers use together, so that no refusal is deserved. */
const USED_SHARE = 0.5;
/** Bounds the load of large accounts; per account and region. */
const MAX_REQUESTS_PER_S = 3;
const ORDER_SHARE = 0.2;

/** One request of the demo. */
export interface TrafficResult extends Caller.CallResult {
  readonly action: "browse" | "order";
  readonly account: string;
  readonly region: string;
  /** Text that only this request carries. */
  readonly mark: string;
}

/** Fleet-wide rate of an account for a service, in requests per second. */
function getRate(table: Types.Table, service: string, account: string): number {
  const rows = table.services.get(service)?.rows ?? [];
  return rows.reduce(
    (sum, row) => sum + (row.accounts.get(account)?.rate ?? 0),
    0,
  );
}

async function repeat(
  untilMs: number,
  intervalMs: number,
  act: () => Promise<void>,
): Promise<void> {
  await Clock.sleep(Math.random() * intervalMs);
  const running: Promise<void>[] = [];
  while (performance.now() < untilMs) {
    running.push(act());
    await Clock.sleep(intervalMs);
  }
  await Promise.all(running);
}

/** Sends traffic for `durationMs` and resolves with every request's end. */
export async function run(
  fleet: Fleet.Fleet,
  layout: Layout.FleetLayout,
  table: Types.Table,
  durationMs: number,
): Promise<readonly TrafficResult[]> {
  const results: TrafficResult[] = [];
  const untilMs = performance.now() + durationMs;
  const regions = [...new Set(layout.domains.map((one) => one.region))];
  const callers: Caller.Caller[] = [];
  let sent = 0;

  function startCaller(account: string, region: string): Promise<unknown> {
    const entries = fleet.instances
      .filter((one) => one.region === region).map((one) => one.caller);
    const caller = Caller.createCaller({
      entries,
      service: layout.orderService,
      key: fleet.keys.get(account),
    });
    callers.push(caller);
    const browse = async () => {
      const mark = `item-${++sent}`;
      const result = await caller.read(`${layout.browsePath}/${mark}`);
      results.push({ ...result, action: "browse", account, region, mark });
    };
    const order = async () => {
      const mark = `order-${++sent}`;
      const result = await caller.order(
        `${layout.orderPath}/${mark}`,
        JSON.stringify({ mark }),
      );
      results.push({ ...result, action: "order", account, region, mark });
    };
    const rate = getRate(table, layout.orderService, account);
    const perS = Math.min(
      MAX_REQUESTS_PER_S,
      rate * USED_SHARE / regions.length,
    );
    return Promise.all([
      repeat(untilMs, 1_000 / (perS * (1 - ORDER_SHARE)), browse),
      repeat(untilMs, 1_000 / (perS * ORDER_SHARE), order),
    ]);
  }

  await Promise.all(
    layout.accounts.flatMap((account) =>
      regions.map((region) => startCaller(account, region))
    ),
  );
  await Promise.all(callers.map((one) => one.close()));
  return results;
}
