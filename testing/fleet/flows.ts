/** Load on a fleet from several accounts, in the test's process. */
import type * as Plan from "../load/plan.ts";
import * as Load from "../load/load.ts";
import * as Random from "../load/random.ts";
import * as Wait from "../harness/wait.ts";
import type * as Fleet from "./fleet.ts";

/** One account's load, spread evenly over the instances. */
export interface Flow {
  readonly account: string;
  /** All instances together. */
  readonly ratePerS: number;
  /** Path at the service; `from=<instance>` is added to its query. */
  readonly path?: string;
  /** All running instances when not given. */
  readonly instances?: readonly Fleet.FleetInstance[];
  /** One instance after the other in even steps; otherwise Poisson arrivals at each. */
  readonly isEven?: boolean;
}

/** What a caller received. */
export interface Received {
  readonly account: string;
  readonly atMs: number;
  readonly status: number;
  /** 0 for an answer of a target. */
  readonly code: number;
  readonly outcome: string;
  readonly bytes: number;
  readonly latencyMs: number;
}

/** Load in progress. */
export interface Traffic {
  /** Ends the load; resolves when every request has ended. */
  end(): Promise<readonly Received[]>;
  /** Resolves at the end of the load's duration. */
  readonly done: Promise<readonly Received[]>;
  readonly received: readonly Received[];
}

const MAX_REQUESTS = 20_000;

/** Starts the flows; they end after `durationMs` unless they are ended before. */
export function startTraffic(
  fleet: Fleet.Fleet,
  service: string,
  flows: readonly Flow[],
  durationMs: number,
): Traffic {
  const received: Received[] = [];
  const abort = new AbortController();
  const seed = Random.createSeed();
  console.log(`load seed ${seed}`);

  function plan(flow: Flow): readonly Plan.CallerPlan[] {
    const running = fleet.instances.filter((one) => one.process.isRunning());
    const instances = flow.instances ?? running;
    const path = flow.path ?? "/bikes";
    const mark = path.includes("?") ? "&" : "?";
    return instances.map((one) => ({
      name: flow.account,
      addresses: flow.isEven === true
        ? instances.map((each) => each.caller)
        : [one.caller],
      arrivals: {
        kind: "open" as const,
        ratePerS: flow.isEven === true
          ? flow.ratePerS
          : flow.ratePerS / instances.length,
        spacing: flow.isEven === true ? "even" as const : "poisson" as const,
      },
      request: {
        method: "GET" as const,
        path: `/s/${service}${path}${mark}from=${one.id}`,
        headers: { "anvilroute-key": fleet.keys.get(flow.account) ?? "" },
      },
    })).slice(0, flow.isEven === true ? 1 : undefined);
  }

  const run = Load.runLoad({
    callers: flows.flatMap(plan),
    durationMs,
    maxRequests: MAX_REQUESTS,
    timeoutMs: 8_000,
    seed,
  }, {
    signal: abort.signal,
    // Distinct requests, so that those in flight when targets are lost are not taken for one poison request.
    makeRequest: ({ request }, n) => ({
      ...request,
      path: `${request.path}&n=${n}`,
    }),
    onAnswer({ caller, status, headers, body, latencyMs }) {
      received.push({
        account: caller,
        atMs: Date.now(),
        status,
        code: Number(headers["anvilroute-code"] ?? 0),
        outcome: String(headers["anvilroute-outcome"] ?? ""),
        bytes: body.length,
        latencyMs,
      });
    },
  });
  const done = run.then(() => received);
  return {
    received,
    done,
    end() {
      abort.abort();
      return done;
    },
  };
}

/** Waits until `count` more answers came. */
export async function waitForAnswers(
  traffic: Traffic,
  count: number,
): Promise<void> {
  const before = traffic.received.length;
  await Wait.waitFor(
    () => traffic.received.length >= before + count,
    15_000,
    `${count} answers`,
  );
}

/** Number of answers by status and code, for messages. */
export function countCodes(
  received: readonly Received[],
  account: string,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const one of received) {
    if (one.account !== account) continue;
    const name = `${one.status}/${one.code}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
