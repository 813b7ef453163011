/**
 * Active health checks: `GET /healthz` and `GET /load` of every target, with
 * jitter. Guarantee: a probe ends within its timeouts, at most one runs per
 * target, and the probing cost of instances and targets is bounded however many
 * there are of either.
 */
import * as Undici from "undici";
import * as Clock from "../clock.ts";
import * as ResponseGuard from "../response_guard.ts";
import type * as Entry from "./entry.ts";
import type * as Health from "./health.ts";
import type * as Pool from "./pool.ts";

/** Probes that start together share process wake-ups: with 40 targets, 6% of a core at 50 ms and 4% at 250 ms. */
const TICK_INTERVAL_MS = 250;
const PROBE_INTERVAL_MS = 1_000;
const JITTER_FRACTION = 0.2;
/** Above a round trip between regions (110 ms), below the 3 s bound for detecting leaving targets. */
const CONNECT_TIMEOUT_MS = 500;
const CALL_TIMEOUT_MS = 700;
const MAX_BODY_BYTES = 16 * 1024;
const IDLE_CONNECTION_MS = 5_000;
/** Bound on the cost of this instance, with two calls per probe; 40 targets are each probed once a second. */
const MAX_PROBES_PER_S = 40;
/** Time that a probe costs a target: two calls of about 6 ms. */
const TARGET_PROBE_COST_MS = 12;
/** Share (0 to 1) of one slot's time that probes by all instances without slots of the target may cost. */
const PROBE_SLOT_SHARE = 0.15;

const TIMED_OUT = new Error("probe call timed out");

/** Sends probes until it is aborted. */
export interface Prober {
  /** Runs until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Returns the interval between two probes of a target in ms. Instances that own
 * slots of it probe at the full rate; there are at most as many as slots. All
 * other instances share `PROBE_SLOT_SHARE`.
 */
export function getProbeIntervalMs(
  targets: number,
  instances: number,
  isOwner: boolean,
): number {
  const instanceBoundMs = targets * 1_000 / MAX_PROBES_PER_S;
  const targetBoundMs = isOwner ? 0 : instances * TARGET_PROBE_COST_MS /
    PROBE_SLOT_SHARE;
  return Math.max(PROBE_INTERVAL_MS, instanceBoundMs, targetBoundMs);
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

function parseBody(json: string): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(json);
    const isObject = typeof value === "object" && value !== null;
    return isObject ? value as Record<string, unknown> : {};
  } catch {
    // A health endpoint may respond with plain text.
    return {};
  }
}

function createFailedCall(reach: Health.ProbeReach): CallResult {
  return { reach, isLeaving: false, body: {} };
}

/**
 * Sends one GET of a probe; the promise never rejects. Uses undici's `dispatch`,
 * because `request` adds a stream, an abort signal and the parsing of an address
 * to each call, and probes are most of the work of an idle instance.
 */
function fetchEndpoint(
  dispatcher: Undici.Dispatcher,
  origin: string,
  path: string,
): Promise<CallResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let controller: Undici.Dispatcher.DispatchController | undefined;
    let status = 0;
    let hasLeavingHeader = false;
    let isFinished = false;

    function finish(result: CallResult): void {
      isFinished = true;
      clearTimeout(timer);
      resolve(result);
    }

    const timer = setTimeout(() => {
      finish(createFailedCall("failed"));
      controller?.abort(TIMED_OUT);
    }, CALL_TIMEOUT_MS);

    dispatcher.dispatch({ origin, path, method: "GET" }, {
      onRequestStart(requestController) {
        controller = requestController;
        // The timeout may expire before the connection is established.
        if (isFinished) requestController.abort(TIMED_OUT);
      },
      onResponseStart(_, statusCode, headers) {
        status = statusCode;
        hasLeavingHeader = headers["target-state"] === "leaving";
      },
      onResponseData: (_, chunk) => void chunks.push(chunk),
      onResponseEnd() {
        const body = parseBody(Buffer.concat(chunks).toString());
        const isLeaving = hasLeavingHeader || body["state"] === "leaving";
        const reach = status === 200 ? "ok" : "failed";
        finish({ reach, isLeaving, body });
      },
      onResponseError: (_, err) => finish(createFailedCall(classifyError(err))),
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
  const reportedSlots = Number(result.body["slots"]);
  const isPositiveInteger = Number.isInteger(reportedSlots) &&
    reportedSlots > 0;
  // The slots in the instance list bound the effect of a wrong report.
  return {
    inUse,
    slots: isPositiveInteger ? Math.min(reportedSlots, slots) : slots,
  };
}

/**
 * Probes one target; `startedAtMs` (monotonic) is copied into the result.
 * Destroying the dispatcher ends the probe early.
 */
export async function probe(
  dispatcher: Undici.Dispatcher,
  entry: Entry.Entry,
  startedAtMs: number,
): Promise<Health.ProbeResult> {
  const origin = `http://${entry.info.address}`;
  const health = await fetchEndpoint(dispatcher, origin, "/healthz");
  if (health.reach === "refused" || health.reach === "unreachable") {
    const { reach } = health;
    return { reach, startedAtMs, isLeaving: false, load: undefined };
  }
  const load = await fetchEndpoint(dispatcher, origin, "/load");
  return {
    reach: health.reach,
    startedAtMs,
    isLeaving: health.isLeaving || load.isLeaving,
    load: parseLoad(load, entry.info.slots),
  };
}

/** Creates the prober of a pool's targets; `localAddress` is the source IP. */
export function createProber(
  pool: Pool.Pool,
  clock: Clock.Clock,
  localAddress?: string,
): Prober {
  /** Targets for which another probe was requested while one was running. */
  const pendingReprobes = new Set<Entry.Entry>();

  function scheduleNext(entry: Entry.Entry): void {
    const { targets, instances } = pool.getCounts();
    const isOwner = pool.isOwner(entry);
    const intervalMs = getProbeIntervalMs(targets, instances, isOwner);
    const jitter = 1 + JITTER_FRACTION * (2 * Math.random() - 1);
    entry.nextProbeAtMs = clock.nowMs() + intervalMs * jitter;
  }

  async function startProbe(
    dispatcher: Undici.Dispatcher,
    entry: Entry.Entry,
    signal: AbortSignal,
  ): Promise<void> {
    if (entry.isProbing) return void pendingReprobes.add(entry);
    entry.isProbing = true;
    pendingReprobes.delete(entry);
    scheduleNext(entry);
    const result = await probe(dispatcher, entry, clock.nowMs());
    entry.isProbing = false;
    if (signal.aborted) return;
    pool.recordProbe(entry, result);
    if (pendingReprobes.has(entry)) await startProbe(dispatcher, entry, signal);
  }

  /** True if the target's next probe is due; a dropped target is probed only while its drop is held. */
  function isDue(entry: Entry.Entry, now: number): boolean {
    if (entry.isProbing || now < entry.nextProbeAtMs) return false;
    return entry.isListed || entry.dropHeldUntilMs !== undefined;
  }

  async function runProbeLoop(
    dispatcher: Undici.Dispatcher,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      pool.recordAlive();
      pool.tick();
      const now = clock.nowMs();
      for (const entry of pool.getEntries()) {
        if (isDue(entry, now)) void startProbe(dispatcher, entry, signal);
      }
      await Clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }

  async function run(signal: AbortSignal): Promise<void> {
    const dispatcher = new Undici.Agent({
      connections: 1,
      pipelining: 1,
      connect: ResponseGuard.createConnector({ timeout: CONNECT_TIMEOUT_MS }),
      // Not within `connect`, where undici overwrites it.
      ...localAddress === undefined ? {} : { localAddress },
      keepAliveTimeout: IDLE_CONNECTION_MS,
      // Each call has its own timer.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_BODY_BYTES,
    });
    pool.onProbeRequested((entry) => {
      if (!signal.aborted) void startProbe(dispatcher, entry, signal);
    });
    try {
      await runProbeLoop(dispatcher, signal);
    } finally {
      await dispatcher.destroy();
    }
  }

  return { run };
}
