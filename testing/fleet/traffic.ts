/** Callers that go on in the background of a proof, bounded in time and count. */
import * as Crypto from "node:crypto";
import * as Caller from "../caller/caller.ts";
import * as Clock from "../../src/clock.ts";
import type * as Fleet from "./fleet.ts";

/** Longer than any proof needs its traffic, also on a busy machine. */
const MAX_TRAFFIC_MS = 180_000;
const MAX_CALLS_PER_WORKER = 5_000;

/** One finished call. */
export interface Call extends Caller.CallResult {
  readonly what: "read" | "order";
  /** Ticket of an order; empty for a read. */
  readonly ticket: string;
  readonly startedWallMs: number;
}

/** What to send. */
export interface TrafficOptions {
  readonly account: string;
  readonly readers: number;
  readonly orderers: number;
  /** Time between two calls of a worker. */
  readonly pauseMs: number;
  readonly readPath?: string;
  readonly orderPath?: string;
}

/** Running traffic. */
export interface Traffic {
  getCalls(): readonly Call[];
  /** Sends no more; resolves with all calls when the last one has ended. */
  end(): Promise<readonly Call[]>;
}

/** Starts callers that know every running instance. */
export function startTraffic(
  fleet: Fleet.Fleet,
  service: string,
  opts: TrafficOptions,
): Traffic {
  const calls: Call[] = [];
  let isEnding = false;
  const untilMs = performance.now() + MAX_TRAFFIC_MS;
  const entries = fleet.instances.filter((one) => one.process.isRunning())
    .map((one) => one.caller);

  async function send(caller: Caller.Caller, what: Call["what"], n: string) {
    const startedWallMs = Date.now();
    if (what === "read") {
      const result = await caller.read(opts.readPath ?? "/bikes");
      calls.push({ ...result, what, ticket: "", startedWallMs });
      return;
    }
    const result = await caller.order(opts.orderPath ?? "/bookings", n);
    calls.push({ ...result, what, startedWallMs });
  }

  async function work(what: Call["what"], worker: number): Promise<void> {
    const key = fleet.keys.get(opts.account);
    const caller = Caller.createCaller({ entries, service, key });
    for (let i = 0; i < MAX_CALLS_PER_WORKER; i++) {
      if (isEnding || performance.now() > untilMs) break;
      await send(caller, what, `order ${worker}-${i}`);
      await Clock.sleep(opts.pauseMs * (0.5 + Math.random()));
    }
    await caller.close();
  }

  const workers = [
    ...Array.from({ length: opts.readers }, (_, i) => work("read", i)),
    ...Array.from({ length: opts.orderers }, (_, i) => work("order", i)),
  ];
  return {
    getCalls: () => [...calls],
    async end() {
      isEnding = true;
      await Promise.all(workers);
      return calls;
    },
  };
}

/** Calls that were cut, refused or left unknown, as lines for a failure message. */
export function describeBad(calls: readonly Call[]): readonly string[] {
  return calls.filter((one) => one.kind !== "answered" || one.status !== 200)
    .map((one) =>
      `${one.what} at ${one.entry}: ${one.kind} ${one.status} ${one.codeNumber}`
    );
}

/** Calls per outcome and result code. */
export function summarize(calls: readonly Call[]): string {
  const counts = new Map<string, number>();
  for (const { what, kind, codeNumber } of calls) {
    const name = `${what} ${kind}${codeNumber > 0 ? ` E${codeNumber}` : ""}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].toSorted().map(([name, n]) => `${name}: ${n}`).join(", ");
}

/** What a target sees in place of the ticket. */
export function getIdempotencyId(ticket: string): string {
  const payload = ticket.split(".").slice(0, -1).join(".");
  return Crypto.createHash("sha256").update(payload).digest("base64url");
}

/** Executions of orders at all running targets, by idempotency id. */
export async function countExecutions(
  fleet: Fleet.Fleet,
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  for (const target of fleet.targets) {
    if (!target.hasRecords()) continue;
    for (const record of await target.getRecords()) {
      const { idempotencyKey: id, outcome } = record;
      if (id === undefined || outcome === "shed") continue;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  return counts;
}

/** Answered orders that did not run once, and tickets that ran more than once. */
export async function findWrongOrders(
  fleet: Fleet.Fleet,
  orders: readonly Call[],
): Promise<readonly string[]> {
  const executions = await countExecutions(fleet);
  const answered = orders.filter((one) => one.kind === "answered");
  const wrong = answered.map(({ ticket }) => ({
    ticket,
    count: executions.get(getIdempotencyId(ticket)) ?? 0,
  })).filter(({ count }) => count !== 1);
  const twice = [...executions].filter(([, count]) => count > 1);
  return [
    ...wrong.map(({ ticket, count }) => `${ticket} ran ${count} times`),
    ...twice.map(([id, count]) => `${id} ran ${count} times`),
  ];
}
