/**
 * Active health checks: `GET /healthz` and `GET /load` of every target, with
 * jitter. Promise: a probe ends within its timeouts, at most one per target
 * runs, and the cost for instance and targets stays bounded however many there
 * are of either.
 */
import * as Undici from "undici";
import * as Clock from "../clock.ts";
import type * as Entry from "./entry.ts";
import type * as Health from "./health.ts";
import type * as Pool from "./pool.ts";

/** Probes that start together share wake-ups: with 40 targets 6% of a core at 50 ms and 4% at 250 ms. */
const TICK_MS = 250;
const PROBE_INTERVAL_MS = 1_000;
const JITTER = 0.2;
/** Over a round trip between regions (110 ms), under the 3 s bound for leaving targets. */
const CONNECT_TIMEOUT_MS = 500;
const CALL_TIMEOUT_MS = 700;
const MAX_BODY_BYTES = 16 * 1024;
const IDLE_CONNECTION_MS = 5_000;
/** Bound for this instance, at two calls a probe; today's 40 targets are probed each second. */
const MAX_PROBES_PER_S = 40;
/** A call costs a target about 6 ms. */
const PROBE_COST_MS = 12;
/** Share of one slot's time that the probes of all instances without own slots may cost. */
const PROBE_COST_SHARE = 0.15;

const TIMED_OUT = new Error("no answer to a probe in time");

/** Sends probes until it is stopped. */
export interface Prober {
  /** Runs until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Time between two probes of a target in ms. Owners of its slots probe at the
 * full rate; there are at most as many as slots. The others share a budget.
 */
export function getProbeIntervalMs(
  targets: number,
  instances: number,
  isOwner: boolean,
): number {
  const forSelfMs = targets * 1_000 / MAX_PROBES_PER_S;
  const forTargetMs = isOwner ? 0 : instances * PROBE_COST_MS /
    PROBE_COST_SHARE;
  return Math.max(PROBE_INTERVAL_MS, forSelfMs, forTargetMs);
}

interface CallResult {
  readonly reach: Health.ProbeReach;
  readonly isLeaving: boolean;
  readonly body: Readonly<Record<string, unknown>>;
}

const UNREACHABLE_CODES: ReadonlySet<unknown> = new Set([
  "UND_ERR_CONNECT_TIMEOUT",
  "ETIMEDOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EHOSTDOWN",
]);

function classifyError(err: unknown): Health.ProbeReach {
  const { code } = err as { code?: unknown };
  if (code === "ECONNREFUSED") return "refused";
  return UNREACHABLE_CODES.has(code) ? "unreachable" : "failed";
}

function parseBody(text: string): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === "object" && value !== null;
    return isObject ? value as Record<string, unknown> : {};
  } catch {
    // A health endpoint may answer plain text.
    return {};
  }
}

function createFailure(reach: Health.ProbeReach): CallResult {
  return { reach, isLeaving: false, body: {} };
}

/**
 * One call of a probe; never rejects. It uses undici's dispatch, because
 * `request` adds a stream, an abort signal and the parsing of an address to
 * each call, and probes are most of what an idle instance does.
 */
function call(
  dispatcher: Undici.Dispatcher,
  origin: string,
  path: string,
): Promise<CallResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let controller: Undici.Dispatcher.DispatchController | undefined;
    let status = 0;
    let isMarked = false;
    let isOver = false;

    function finish(result: CallResult): void {
      isOver = true;
      clearTimeout(timer);
      resolve(result);
    }

    const timer = setTimeout(() => {
      finish(createFailure("failed"));
      controller?.abort(TIMED_OUT);
    }, CALL_TIMEOUT_MS);

    dispatcher.dispatch({ origin, path, method: "GET" }, {
      onRequestStart(started) {
        controller = started;
        // The time may be over before there is a connection.
        if (isOver) started.abort(TIMED_OUT);
      },
      onResponseStart(_, statusCode, headers) {
        status = statusCode;
        isMarked = headers["target-state"] === "leaving";
      },
      onResponseData: (_, chunk) => void chunks.push(chunk),
      onResponseEnd() {
        const body = parseBody(Buffer.concat(chunks).toString());
        const isLeaving = isMarked || body["state"] === "leaving";
        const reach = status === 200 ? "ok" : "failed";
        finish({ reach, isLeaving, body });
      },
      onResponseError: (_, err) => finish(createFailure(classifyError(err))),
    });
  });
}

function parseLoad(
  result: CallResult,
  slots: number,
): { readonly inUse: number; readonly slots: number } | undefined {
  if (result.reach !== "ok") return undefined;
  const inUse = Number(result.body["inUse"]);
  if (!Number.isFinite(inUse) || inUse < 0) return undefined;
  const reported = Number(result.body["slots"]);
  const isSane = Number.isInteger(reported) && reported > 0;
  // The list bounds what a wrong report may open.
  return { inUse, slots: isSane ? Math.min(reported, slots) : slots };
}

/** Probes one target; destroying the dispatcher ends it early. */
export async function probe(
  dispatcher: Undici.Dispatcher,
  entry: Entry.Entry,
  startedAtMs: number,
): Promise<Health.ProbeResult> {
  const origin = `http://${entry.info.address}`;
  const health = await call(dispatcher, origin, "/healthz");
  if (health.reach === "refused" || health.reach === "unreachable") {
    const { reach } = health;
    return { reach, startedAtMs, isLeaving: false, load: undefined };
  }
  const load = await call(dispatcher, origin, "/load");
  return {
    reach: health.reach,
    startedAtMs,
    isLeaving: health.isLeaving || load.isLeaving,
    load: parseLoad(load, entry.info.slots),
  };
}

/** Creates the prober of a pool's targets. */
export function createProber(
  pool: Pool.Pool,
  clock: Clock.Clock,
  localAddress?: string,
): Prober {
  /** Targets for which another probe was wanted while one was running. */
  const again = new Set<Entry.Entry>();

  function scheduleNext(entry: Entry.Entry): void {
    const { targets, instances } = pool.getCounts();
    const isOwner = pool.isOwner(entry);
    const intervalMs = getProbeIntervalMs(targets, instances, isOwner);
    const jitter = 1 + JITTER * (2 * Math.random() - 1);
    entry.nextProbeAtMs = clock.nowMs() + intervalMs * jitter;
  }

  async function start(
    dispatcher: Undici.Dispatcher,
    entry: Entry.Entry,
    signal: AbortSignal,
  ): Promise<void> {
    if (entry.isProbing) return void again.add(entry);
    entry.isProbing = true;
    again.delete(entry);
    scheduleNext(entry);
    const result = await probe(dispatcher, entry, clock.nowMs());
    entry.isProbing = false;
    if (signal.aborted) return;
    pool.takeProbe(entry, result);
    if (again.has(entry)) await start(dispatcher, entry, signal);
  }

  /** A dropped target is probed only while its drop is doubted. */
  function isDue(entry: Entry.Entry, now: number): boolean {
    if (entry.isProbing || now < entry.nextProbeAtMs) return false;
    return entry.isListed || entry.heldUntilMs !== undefined;
  }

  async function repeat(
    dispatcher: Undici.Dispatcher,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      pool.noteAlive();
      pool.tick();
      const now = clock.nowMs();
      for (const entry of pool.getEntries()) {
        if (isDue(entry, now)) void start(dispatcher, entry, signal);
      }
      await Clock.sleep(TICK_MS, signal);
    }
  }

  async function run(signal: AbortSignal): Promise<void> {
    const dispatcher = new Undici.Agent({
      connections: 1,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      // Not within `connect`, where undici overwrites it.
      ...localAddress === undefined ? {} : { localAddress },
      keepAliveTimeout: IDLE_CONNECTION_MS,
      // Each call has its own timer.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_BODY_BYTES,
    });
    pool.setProbeWanted((entry) => {
      if (!signal.aborted) void start(dispatcher, entry, signal);
    });
    try {
      await repeat(dispatcher, signal);
    } finally {
      await dispatcher.destroy();
    }
  }

  return { run };
}
