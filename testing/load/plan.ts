/** What a load run sends. Plans are JSON-safe, so that they can go to a process. */
import type * as Types from "../../src/types.ts";
import * as Json from "../../src/json.ts";
import * as HttpJson from "../http_json.ts";

/** When a caller sends. */
export type Arrivals =
  /** At a rate, whether or not earlier requests are answered. */
  | {
    readonly kind: "open";
    readonly ratePerS: number;
    /** `even` spacing, or `poisson` with exponentially distributed gaps. */
    readonly spacing: "even" | "poisson";
  }
  /** Each of `concurrency` loops sends when its last request has ended. */
  | {
    readonly kind: "closed";
    readonly concurrency: number;
    /** Pause of a loop after each request. */
    readonly pauseMs?: number;
  };

/** A request to send. */
export interface RequestPlan {
  readonly method: "GET" | "HEAD" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** One caller; results are grouped by its name. */
export interface CallerPlan {
  readonly name: string;
  /** Used in turn. */
  readonly addresses: readonly Types.Address[];
  readonly arrivals: Arrivals;
  readonly request: RequestPlan;
  /** Bound on requests in progress of an open caller; arrivals beyond it are counted as skipped. */
  readonly maxInFlight?: number;
}

/** A whole run, bounded in time and count. */
export interface LoadPlan {
  readonly callers: readonly CallerPlan[];
  readonly durationMs: number;
  /** Requests of the whole run. */
  readonly maxRequests: number;
  /** Bound of each request. */
  readonly timeoutMs: number;
  /** Seed of the random gaps; chosen and reported when not given. */
  readonly seed?: number;
}

const METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE"];

function isPositive(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value > 0;
}

function isGoodArrivals(arrivals: Arrivals | undefined): boolean {
  if (arrivals?.kind === "closed") return isPositive(arrivals.concurrency);
  return arrivals?.kind === "open" && isPositive(arrivals.ratePerS) &&
    ["even", "poisson"].includes(arrivals.spacing);
}

function tryFindWrong(caller: CallerPlan): string | undefined {
  if (typeof caller.name !== "string") return "name";
  if (!Array.isArray(caller.addresses) || caller.addresses.length === 0) {
    return "addresses";
  }
  for (const address of caller.addresses) HttpJson.parseAddress(address);
  if (!isGoodArrivals(caller.arrivals)) return "arrivals";
  if (!METHODS.includes(caller.request?.method)) return "request.method";
  if (!caller.request.path?.startsWith("/")) return "request.path";
  return undefined;
}

/** Checks a plan that was read from JSON; throws naming the wrong field. */
export function checkPlan(text: string): LoadPlan {
  const plan = Json.tryParseObject(text) as LoadPlan | undefined;
  if (plan === undefined) throw new Error("the plan is not a JSON object");
  for (const name of ["durationMs", "maxRequests", "timeoutMs"] as const) {
    if (!isPositive(plan[name])) throw new Error(`plan: ${name}`);
  }
  if (!Array.isArray(plan.callers)) throw new Error("plan: callers");
  for (const [i, caller] of plan.callers.entries()) {
    const wrong = tryFindWrong(caller);
    if (wrong !== undefined) throw new Error(`plan: callers[${i}].${wrong}`);
  }
  return plan;
}
