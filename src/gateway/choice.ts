/**
 * Chooses which candidate target gets a request, or rejects the request.
 *
 * An affinity key names the object that a request concerns. A target caches the
 * affinity keys that it served lately and serves them faster: a cache hit. A
 * request with another affinity key is a cache miss, which takes longer and uses
 * more of the target's capacity. The candidates of an affinity key are the first
 * targets of its ranking (see `placement.ts`): rank 0 is the primary target,
 * which normally serves the key; higher ranks take its overflow.
 *
 * Load pattern: the primary target is full, slow, cold or sheds requests, while
 * other candidates have free slots and some of them have the affinity key cached.
 *
 * The candidate with the lowest cost gets the request. The cost is the expected
 * response time, plus, for a candidate other than the primary target, a fixed
 * cost for its rank and the capacity that a cache miss would take from other
 * requests at a busy target.
 *
 * The wait bound limits how long a request may queue at a target. It keeps the
 * requests that are admitted within the latency target; without it, the queue
 * would grow until every response was late. Requests beyond the bound are
 * rejected at once. The bound is shorter for less urgent requests, so these are
 * rejected first.
 */
import type * as StateModule from "./state.ts";

/** One target that may serve an affinity key, as this instance sees it. */
export interface Candidate {
  readonly target: StateModule.KnownTarget;
  /** Position in the affinity key's ranking; 0 is the primary target. */
  readonly rank: number;
  /** True while the target is paused after failures. */
  readonly isPaused: boolean;
  /** True when the target just started and is still slow. */
  readonly isCold: boolean;
  /** True when this instance has used up its send rate for the target, which is cold or names a rate limit. */
  readonly isRateLimitReached: boolean;
  /** True when the target is overloaded and the affinity key is outside its working set. */
  readonly isExcluded: boolean;
  /** Requests that run or wait at the target, as far as this instance knows. */
  readonly outstanding: number;
  /** Share of recent requests that the target shed, 0 to 1. */
  readonly shedShare: number;
  /** Network round trip to the target's region, ms. */
  readonly roundTripMs: number;
  /** Probability that the affinity key is cached at the target, 0 to 1. */
  readonly cacheHitChance: number;
  /** Time until the warm-up request for the affinity key ends, ms; undefined when none runs. */
  readonly warmupRemainingMs: number | undefined;
}

/** Properties of a request that the choice depends on. */
export interface RequestProfile {
  /** Remaining time before the deadline, ms; a later response is of no use. */
  readonly deadlineMs: number;
  /** The route's latency target, from the arrival of the request, ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected service time of a cache hit, ms. */
  readonly cacheHitMs: number;
  /** Expected service time of a cache miss, ms. */
  readonly cacheMissMs: number;
  /**
   * Service time that a cache miss takes beyond a cache hit, ms; an estimate
   * before the first measurement.
   */
  readonly missCostMs: number;
}

/** What to do with a request. */
export type Choice =
  /** Send the request to the candidate. */
  | { readonly kind: "send"; readonly candidate: Candidate }
  /** Wait at most `maxMs` for the warm-up request at the candidate, then choose again. */
  | {
    readonly kind: "wait";
    readonly candidate: Candidate;
    readonly maxMs: number;
  }
  /** Reject the request. */
  | {
    readonly kind: "reject";
    readonly reason: "no-target" | "full";
    /** Time after which a retry may be admitted, ms. */
    readonly retryAfterMs: number;
  };

/** The rule that decided a choice. */
export type Rule =
  /** There is no candidate. */
  | "no-candidate"
  /** All candidates are paused. */
  | "all-paused"
  /** The affinity key is outside the working sets of all candidates. */
  | "outside-working-sets"
  /** All candidates have a full queue or have reached their send rate. */
  | "all-full"
  /** At all candidates the request would queue for longer than its wait bound. */
  | "wait-bound"
  /** The response of the cheapest candidate would come after the deadline. */
  | "deadline"
  /** A warm-up request for the affinity key is running. */
  | "warm-up"
  /** Only candidates that shed many requests have room; the cheapest one gets it. */
  | "only-shedding"
  /** The cheapest candidate gets it. */
  | "lowest-cost";

/** A choice and the rule that decided it. */
export interface Decision {
  readonly choice: Choice;
  readonly rule: Rule;
}

/** Targets queue about three requests for each slot and shed the others. */
const MAX_QUEUED_PER_SLOT = 3;
/** A candidate that sheds at least this share is used only when no other meets the wait bound. */
export const MAX_SHED_SHARE = 0.3;
/**
 * Cost of each rank, as a multiple of the cost of a cache miss. It keeps an
 * affinity key at two targets when two suffice: a target caches a bounded number
 * of affinity keys, and each further target of one key evicts another key from a
 * cache. At the users' sites a target caches about 67 keys and is the primary
 * target of about 17.
 */
const RANK_COST_FACTORS: readonly number[] = [0, 0.24, 0.48, 0.9];
/** Wait share of a request of priority 0: the share of the time available for queueing that it may use. */
const MAX_WAIT_SHARE = 1;
/** Reduction of the wait share for each less urgent priority. */
const WAIT_SHARE_STEP = 0.15;
/** Lower limit of the wait share. */
const MIN_WAIT_SHARE = 0.4;
/** Lower limit of the wait bound, ms: a queue this short occurs at any load. */
const MIN_WAIT_BOUND_MS = 60;
/** Retry advice when no candidate is available, ms. */
const NO_TARGET_RETRY_MS = 300;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

/** Service time of a cold target relative to a warm one (2 at the users' sites). */
export const COLD_SLOWDOWN = 2;
/** Hit probability from which the affinity key is treated as cached. */
const LIKELY_CACHED_CHANCE = 0.5;

/** Returns true when the affinity key is treated as cached at the candidate. */
export function isLikelyCached(candidate: Candidate): boolean {
  return candidate.cacheHitChance >= LIKELY_CACHED_CHANCE;
}

/**
 * Expected time in the candidate's queue, ms; requests that this instance
 * doesn't know of are left out.
 */
export function getQueueWaitMs(
  candidate: Candidate,
  profile: RequestProfile,
): number {
  const { slots } = candidate.target.entry;
  const queuedAhead = Math.max(0, candidate.outstanding + 1 - slots);
  return queuedAhead * profile.cacheHitMs / slots;
}

/** Expected time until the candidate's response arrives: round trip, wait and service time, ms. */
export function getExpectedResponseMs(
  candidate: Candidate,
  profile: RequestProfile,
): number {
  // After the warm-up request the affinity key is cached.
  const hitChance = candidate.warmupRemainingMs === undefined
    ? candidate.cacheHitChance
    : 1;
  const slowdown = candidate.isCold ? COLD_SLOWDOWN : 1;
  const serviceMs = slowdown *
    (hitChance * profile.cacheHitMs + (1 - hitChance) * profile.cacheMissMs);
  const waitMs = Math.max(
    getQueueWaitMs(candidate, profile),
    candidate.warmupRemainingMs ?? 0,
  );
  return candidate.roundTripMs + waitMs + serviceMs;
}

/** Expected response time plus the cost to other requests, ms. */
export function getCostMs(
  candidate: Candidate,
  profile: RequestProfile,
): number {
  const expectedMs = getExpectedResponseMs(candidate, profile);
  // A cache miss at the primary target is unavoidable, so it has no extra cost.
  if (candidate.rank === 0) return expectedMs;
  const { missCostMs } = profile;
  const rankMs = (RANK_COST_FACTORS[candidate.rank] ?? Infinity) * missCostMs;
  if (candidate.warmupRemainingMs !== undefined) return expectedMs + rankMs;
  const utilization = Math.min(
    1,
    candidate.outstanding / candidate.target.entry.slots,
  );
  return expectedMs + rankMs +
    utilization * (1 - candidate.cacheHitChance) * missCostMs;
}

/** The wait bound: longest time that a request of this priority may queue at the candidate, ms. */
export function getWaitBoundMs(
  candidate: Candidate,
  profile: RequestProfile,
): number {
  const availableMs = profile.targetLatencyMs - candidate.roundTripMs -
    profile.cacheHitMs;
  const share = Math.max(
    MAX_WAIT_SHARE - profile.priority * WAIT_SHARE_STEP,
    MIN_WAIT_SHARE,
  );
  return Math.max(MIN_WAIT_BOUND_MS, availableMs * share);
}

/**
 * Returns true when the request may queue at the candidate. A likely cache miss
 * away from the primary target is accepted only on a free slot.
 */
export function isWithinWaitBound(
  candidate: Candidate,
  profile: RequestProfile,
): boolean {
  const isExtraMiss = candidate.rank > 0 && !isLikelyCached(candidate);
  if (isExtraMiss) return candidate.outstanding < candidate.target.entry.slots;
  return getQueueWaitMs(candidate, profile) <=
    getWaitBoundMs(candidate, profile);
}

/** Returns true when the target would shed the request because its queue is full. */
export function isFull(candidate: Candidate): boolean {
  const { slots } = candidate.target.entry;
  return candidate.outstanding >= slots * (1 + MAX_QUEUED_PER_SLOT);
}

function decideRejection(
  rule: Rule,
  reason: "no-target" | "full",
  afterMs: number,
): Decision {
  const retryAfterMs = Math.min(Math.max(afterMs, MIN_RETRY_MS), MAX_RETRY_MS);
  return { rule, choice: { kind: "reject", reason, retryAfterMs } };
}

/** Chooses among the candidates of an affinity key, which are ordered by rank. */
export function chooseCandidate(
  candidates: readonly Candidate[],
  profile: RequestProfile,
): Choice {
  return decide(candidates, profile).choice;
}

/** Chooses like `chooseCandidate` and names the rule that decided. */
export function decide(
  candidates: readonly Candidate[],
  profile: RequestProfile,
): Decision {
  const reachable = candidates.filter((candidate) => !candidate.isPaused);
  const eligible = reachable.filter((candidate) => !candidate.isExcluded);
  if (reachable.length > 0 && eligible.length === 0) {
    return decideRejection("outside-working-sets", "full", MAX_RETRY_MS);
  }
  const available = eligible.filter((candidate) =>
    !candidate.isRateLimitReached && !isFull(candidate)
  );
  if (available.length === 0) {
    if (reachable.length > 0) {
      return decideRejection("all-full", "full", NO_TARGET_RETRY_MS);
    }
    const rule = candidates.length === 0 ? "no-candidate" : "all-paused";
    return decideRejection(rule, "no-target", NO_TARGET_RETRY_MS);
  }
  const withinBound = available.filter((candidate) =>
    isWithinWaitBound(candidate, profile)
  );
  if (withinBound.length === 0) {
    // After the shortest of these times a queue is within its bound again.
    const excessWaitsMs = available.map((candidate) =>
      getQueueWaitMs(candidate, profile) - getWaitBoundMs(candidate, profile)
    );
    return decideRejection("wait-bound", "full", Math.min(...excessWaitsMs));
  }
  const healthy = withinBound.filter((candidate) =>
    candidate.shedShare < MAX_SHED_SHARE
  );
  const cheapest = (healthy.length > 0 ? healthy : withinBound).reduce((a, b) =>
    getCostMs(b, profile) < getCostMs(a, profile) ? b : a
  );
  const warming = tryGetWarmingCandidate(withinBound, cheapest, profile);
  if (warming?.warmupRemainingMs !== undefined) {
    const maxMs = warming.warmupRemainingMs;
    return {
      rule: "warm-up",
      choice: { kind: "wait", candidate: warming, maxMs },
    };
  }
  const expectedMs = getExpectedResponseMs(cheapest, profile);
  if (expectedMs > profile.deadlineMs) {
    const afterMs = expectedMs - profile.deadlineMs;
    return decideRejection("deadline", "full", afterMs);
  }
  return {
    rule: healthy.length > 0 ? "lowest-cost" : "only-shedding",
    choice: { kind: "send", candidate: cheapest },
  };
}

/**
 * A candidate whose running warm-up request is worth waiting for, because the
 * cheapest candidate would likely miss as well. Undefined when there is none from
 * which the response would arrive before the deadline.
 */
function tryGetWarmingCandidate(
  candidates: readonly Candidate[],
  cheapest: Candidate,
  profile: RequestProfile,
): Candidate | undefined {
  if (isLikelyCached(cheapest)) return undefined;
  return candidates.find((candidate) =>
    !isLikelyCached(candidate) && candidate.warmupRemainingMs !== undefined &&
    getExpectedResponseMs(candidate, profile) <= profile.deadlineMs
  );
}
