/**
 * Load generator over HTTP with keep-alive. Latency counts from the time at
 * which a request was due, so that a slow system can't hide its latency by
 * delaying the generator.
 */
import { Pool } from "undici";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";
import type * as Plan from "./plan.ts";
import * as Random from "./random.ts";
import * as Recorder from "./recorder.ts";

const DEFAULT_MAX_IN_FLIGHT = 1_000;

/** A complete answer. */
export interface Answer {
  readonly caller: string;
  /** Number of the request at its caller, from 0. */
  readonly n: number;
  readonly address: Types.Address;
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Monotonic ms at which the request was due. */
  readonly dueAtMs: number;
  readonly latencyMs: number;
}

/** A request without a complete answer. */
export interface LoadError {
  readonly caller: string;
  readonly n: number;
  readonly address: Types.Address;
  /** `timeout`, or the code of the connection's error. */
  readonly code: string;
  readonly dueAtMs: number;
}

/** Hooks of a run. */
export interface LoadHooks {
  /** Makes the request; the caller's plan has the fixed one. */
  readonly makeRequest?: (
    caller: Plan.CallerPlan,
    n: number,
  ) => Plan.RequestPlan;
  readonly onAnswer?: (answer: Answer) => void;
  readonly onError?: (error: LoadError) => void;
  /** Ends the run early; requests in progress still end. */
  readonly signal?: AbortSignal;
}

/** Result of a run. */
export interface LoadReport {
  readonly seed: number;
  readonly elapsedMs: number;
  readonly total: Recorder.LoadSummary;
  readonly callers: Readonly<Record<string, Recorder.LoadSummary>>;
}

interface Run {
  readonly plan: Plan.LoadPlan;
  readonly hooks: LoadHooks;
  readonly signal: AbortSignal;
  /** Takes one request of the run's count; false when it is used up. */
  takeRequest(): boolean;
}

function getText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** The text code of a connection's error; other errors have their name. */
function toErrorCode(err: unknown): string {
  const { code, name } = err as { code?: unknown; name?: string };
  return typeof code === "string" ? code : name ?? String(err);
}

/** Pools of one caller: connections are not shared between callers. */
function createPools(addresses: readonly Types.Address[]) {
  const pools = addresses.map((address) => ({
    address,
    pool: new Pool(`http://${address}`, {
      // Requests end by their own timeout, which is finer than undici's.
      headersTimeout: 0,
      bodyTimeout: 0,
    }),
  }));
  return {
    get: (n: number) => pools[n % pools.length] ?? pools[0]!,
    close: () => Promise.all(pools.map(({ pool }) => pool.destroy())),
  };
}

interface Caller {
  readonly recorder: Recorder.Recorder;
  /** Sends request `n`; resolves when it has ended. */
  send(n: number, dueAtMs: number): Promise<void>;
  close(): Promise<unknown>;
}

function createCaller(run: Run, plan: Plan.CallerPlan): Caller {
  const recorder = Recorder.createRecorder();
  const pools = createPools(plan.addresses);
  const { timeoutMs } = run.plan;

  async function exchange(
    pool: Pool,
    req: Plan.RequestPlan,
    signal: AbortSignal,
  ) {
    const res = await pool.request({
      method: req.method,
      path: req.path,
      headers: req.headers ?? {},
      body: req.body ?? null,
      signal,
    });
    const body = await res.body.text();
    return { status: res.statusCode, headers: res.headers, body };
  }

  async function send(n: number, dueAtMs: number): Promise<void> {
    const { address, pool } = pools.get(n);
    const req = run.hooks.makeRequest?.(plan, n) ?? plan.request;
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), timeoutMs);
    const about = { caller: plan.name, n, address, dueAtMs };
    recorder.countSent();
    const res = await exchange(pool, req, abort.signal).catch(toErrorCode);
    clearTimeout(timer);
    if (typeof res === "string") {
      const code = abort.signal.aborted ? "timeout" : res;
      recorder.countError(code);
      run.hooks.onError?.({ ...about, code });
      return;
    }
    const latencyMs = performance.now() - dueAtMs;
    recorder.countAnswer({
      status: res.status,
      outcome: getText(res.headers["anvilroute-outcome"]),
      code: getText(res.headers["anvilroute-code"]),
      latencyMs,
    });
    run.hooks.onAnswer?.({ ...about, ...res, latencyMs });
  }

  return { recorder, send, close: pools.close };
}

async function runOpen(
  run: Run,
  caller: Caller,
  plan: Plan.CallerPlan,
  arrivals: Extract<Plan.Arrivals, { kind: "open" }>,
  random: Random.Random,
): Promise<void> {
  const maxInFlight = plan.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT;
  const meanGapMs = 1_000 / arrivals.ratePerS;
  const pending = new Set<Promise<void>>();
  const getGapMs = () =>
    arrivals.spacing === "even"
      ? meanGapMs
      : -Math.log(1 - random()) * meanGapMs;
  let dueAtMs = performance.now();

  for (let n = 0;; n++) {
    const waitMs = dueAtMs - performance.now();
    if (waitMs > 0) await Clock.sleep(waitMs, run.signal);
    if (run.signal.aborted || !run.takeRequest()) break;
    if (caller.recorder.getInFlight() >= maxInFlight) {
      caller.recorder.countSkipped();
    } else {
      const sent = caller.send(n, dueAtMs);
      pending.add(sent);
      sent.finally(() => pending.delete(sent));
    }
    dueAtMs += getGapMs();
  }
  await Promise.all(pending);
}

async function runClosed(
  run: Run,
  caller: Caller,
  arrivals: Extract<Plan.Arrivals, { kind: "closed" }>,
): Promise<void> {
  let n = 0;
  async function loop(): Promise<void> {
    while (!run.signal.aborted && run.takeRequest()) {
      await caller.send(n++, performance.now());
      const { pauseMs = 0 } = arrivals;
      if (pauseMs > 0) await Clock.sleep(pauseMs, run.signal);
    }
  }
  const loops = Array.from({ length: arrivals.concurrency }, loop);
  await Promise.all(loops);
}

/** Runs a plan to its end; requests in progress at the end are waited for. */
export async function runLoad(
  plan: Plan.LoadPlan,
  hooks: LoadHooks = {},
): Promise<LoadReport> {
  const seed = plan.seed ?? Random.createSeed();
  const ended = new AbortController();
  const timer = setTimeout(() => ended.abort(), plan.durationMs);
  const signal = AbortSignal.any([
    ended.signal,
    ...hooks.signal === undefined ? [] : [hooks.signal],
  ]);
  let left = plan.maxRequests;
  const takeRequest = () => left-- > 0;
  const run = { plan, hooks, signal, takeRequest };
  const total = Recorder.createRecorder();
  const startedAtMs = performance.now();

  const recorders = new Map<string, Recorder.Recorder>();
  await Promise.all(plan.callers.map(async (callerPlan, i) => {
    const caller = createCaller(run, callerPlan);
    const { name, arrivals } = callerPlan;
    const random = Random.createRandom(seed + i);
    await (arrivals.kind === "open"
      ? runOpen(run, caller, callerPlan, arrivals, random)
      : runClosed(run, caller, arrivals));
    await caller.close();
    const same = recorders.get(name);
    if (same === undefined) recorders.set(name, caller.recorder);
    else same.add(caller.recorder);
  }));
  clearTimeout(timer);
  const elapsedMs = performance.now() - startedAtMs;
  const callers: Record<string, Recorder.LoadSummary> = {};
  for (const [name, recorder] of recorders) {
    callers[name] = recorder.summarize(elapsedMs);
    total.add(recorder);
  }
  return { seed, elapsedMs, total: total.summarize(elapsedMs), callers };
}
