/** The demo's traffic: each account browses and places orders from each region. */
import * as Clock from "../../src/clock.ts";
import * as Caller from "../caller/caller.ts";
import type * as Fleet from "../fleet/fleet.ts";
import type * as Layout from "../fleet/layout.ts";

/** Well inside the smallest account's rate, so that no refusal is deserved. */
const BROWSE_INTERVAL_MS = 400;
const ORDER_INTERVAL_MS = 1_500;

/** One request of the demo. */
export interface TrafficResult extends Caller.CallResult {
  readonly action: "browse" | "order";
  readonly account: string;
  readonly region: string;
  /** Text that only this request carries. */
  readonly mark: string;
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
    return Promise.all([
      repeat(untilMs, BROWSE_INTERVAL_MS, browse),
      repeat(untilMs, ORDER_INTERVAL_MS, order),
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
