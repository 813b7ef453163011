/** Queries of the operators' tool about a request, and the answers of an instance. */
import * as Json from "../json.ts";
import type * as Types from "../types.ts";
import type * as Choice from "./choice.ts";
import type * as GatewayTypes from "./types.ts";

/** Longest text that a query may contain, UTF-16 units. */
const MAX_TEXT = 4_096;

/** A request to explain. It carries the account's name, never a key. */
export interface Query {
  readonly host: string;
  /** Path, with or without a query string. */
  readonly path: string;
  readonly method: string;
  readonly account: Types.Account | undefined;
  /** Affinity key; undefined for a request without one. */
  readonly keyObject: string | undefined;
}

/** The rule that decided: one of the choice of a target or of what precedes it. */
export type Rule =
  | Choice.Rule
  /** The route needs a key. */
  | "key-required"
  /** This instance reaches no target, so it passes the request on. */
  | "no-target-reached"
  /** The account has a token, or no limit. */
  | "within-limit"
  /** The account has no token here; the domain's coordinator decides. */
  | "no-token-here"
  /** The account's part of its limit is used up. */
  | "account-limit";

/** What happens to the request. */
export type Decision =
  /** It is admitted, and a target is chosen. */
  | { readonly kind: "admit"; readonly rule: Rule }
  /** Its admission depends on the tokens that the instance grants. */
  | {
    readonly kind: "ask";
    readonly instance: Types.InstanceId;
    readonly rule: Rule;
  }
  /** It is passed on to another instance. */
  | { readonly kind: "relay"; readonly rule: Rule }
  | {
    readonly kind: "send";
    readonly target: Types.TargetId;
    readonly rule: Rule;
  }
  /** It waits for at most `maxMs` until a warm-up request at the target ends. */
  | {
    readonly kind: "wait";
    readonly target: Types.TargetId;
    readonly maxMs: number;
    readonly rule: Rule;
  }
  | {
    readonly kind: "reject";
    /** Number and name of the result code. */
    readonly code: number;
    readonly name: string;
    readonly status: number;
    readonly retryAfterMs: number | undefined;
    readonly rule: Rule;
  };

/** Why a candidate was chosen or not. */
export type Verdict =
  | "chosen"
  | "available"
  | "paused"
  /** The affinity key may not spill to it while its service is overloaded. */
  | "service-overloaded"
  | "outside-working-set"
  | "rate-limit-reached"
  | "full"
  | "over-wait-bound"
  | "sheds";

/** Why a target is paused, and for how long. */
export type PauseView =
  | { readonly reason: "wants-nothing"; readonly leftMs: number }
  | {
    readonly reason: "failures";
    /** Failures in a row. */
    readonly failures: number;
    readonly leftMs: number;
  };

/** A candidate and what the instance knows of it. Times are ms. */
export interface CandidateView {
  readonly target: Types.TargetId;
  readonly region: Types.Region;
  readonly domain: Types.Domain;
  /** Position in the ranking of the affinity key; 0 is the primary target. */
  readonly rank: number;
  readonly verdict: Verdict;
  readonly slots: number;
  /** Requests of all instances that run or wait there, as estimated here. */
  readonly outstanding: number;
  /** Requests of this instance in flight there. */
  readonly ownInFlight: number;
  readonly report: GatewayTypes.LoadReport | undefined;
  readonly reportAgeMs: number | undefined;
  /** Age of the newest report that another instance passed on. */
  readonly peerReportAgeMs: number | undefined;
  readonly isCold: boolean;
  readonly pause: PauseView | undefined;
  readonly shedShare: number;
  readonly cacheHitChance: number;
  readonly warmupRemainingMs: number | undefined;
  readonly roundTripMs: number;
  readonly queueWaitMs: number;
  readonly waitBoundMs: number;
  /** Expected time until the response arrives. */
  readonly expectedMs: number;
  /** Expected time plus the cost to other requests, by which the choice compares. */
  readonly costMs: number | undefined;
}

/** The request as one for a service of its route. */
export interface ServiceView {
  readonly service: Types.Service;
  /** Share of the route's requests that go to the service, 0 to 1. */
  readonly share: number;
  /** Usable targets in the home regions. */
  readonly eligibleTargets: number;
  readonly profile: {
    readonly priority: number;
    readonly deadlineMs: number;
    readonly targetLatencyMs: number;
    readonly cacheHitMs: number;
    readonly cacheMissMs: number;
  };
  /** Share of such requests that is admitted, 0 to 1; below 1 while the service is overloaded. */
  readonly admittedShare: number;
  readonly candidates: readonly CandidateView[];
  /** What happens to an admitted request. */
  readonly decision: Decision;
}

/** Where a request would go from one instance. */
export interface Explanation {
  readonly kind: "explanation";
  readonly instance: Types.InstanceId;
  readonly instanceState: Types.MemberState;
  readonly configVersion: number;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly route: {
    readonly name: string;
    readonly pathPrefix: string;
    readonly isRepeatable: boolean;
    readonly timeoutMs: number;
    readonly maxTargets: number;
  };
  /** Regions that may serve the request. */
  readonly homeRegions: readonly Types.Region[] | "all";
  readonly account: {
    readonly name: Types.Account;
    /** The account's limit over all instances; a rate of 0 is no limit. */
    readonly ratePerS: number;
    readonly burst: number;
    /** The instance that has the domain's share of the limit. */
    readonly coordinator: Types.InstanceId;
    readonly domainShare: number;
    /** Requests per second that the coordinator may admit; known only there. */
    readonly domainRatePerS: number | undefined;
    /** Tokens that the instance may spend without asking. */
    readonly tokens: number;
  } | undefined;
  readonly affinityKey: string;
  /** True when the request has no affinity key, so that its id would decide the candidates. */
  readonly isSpread: boolean;
  /** False while the instance can open no new connections to targets. */
  readonly canOpenConnections: boolean;
  /** What precedes the choice of a target. */
  readonly admission: Decision;
  /** One for each service of the route. */
  readonly services: readonly ServiceView[];
}

/** Names of the result codes of queries that can't be answered. */
export type ErrorCode =
  | "badRequest"
  | "configUnknown"
  | "noSuchRoute"
  | "noSuchAccount";

/** Answer of an instance. */
export type Answer =
  | Explanation
  | {
    readonly kind: "error";
    readonly code: ErrorCode;
    readonly detail: string;
  };

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_TEXT;
}

/** Reads a query; undefined if it is malformed. */
export function tryReadQuery(raw: unknown): Query | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { account, host, keyObject, method = "GET", path } = raw;
  if (!isText(host) || !isText(path) || !isText(method)) return undefined;
  if (account !== undefined && !isText(account)) return undefined;
  if (keyObject !== undefined && !isText(keyObject)) return undefined;
  return { account, host, keyObject, method, path };
}
