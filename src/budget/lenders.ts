/**
 * Chooses the peers to borrow from for a key, and how many tokens to request.
 *
 * Estimates only: a wrong estimate costs a message or a wait, never a token. The
 * tokens that a peer can lend are estimated from the shards in its heartbeat,
 * then from its last response, from which they refill at its unused rate.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Bucket from "./bucket.ts";
import type * as AllocationPlan from "./allocation_plan.ts";
import type * as Messages from "./messages.ts";

/** A peer expected to lend at most this fraction of the need is not worth a message. */
const MIN_EXPECTED_FRACTION = 0.01;
/** Rounding error tolerated in sums of fractional tokens. */
const ROUNDING_TOLERANCE = 1e-6;
const MAX_BATCH = 12;
/**
 * A peer that did not respond gets no request for this long; by then its
 * heartbeats show whether it is unreachable.
 */
const UNRESPONSIVE_MS = 3_000;

/**
 * Round trips in ms assumed until one was measured: within a domain, and to
 * other domains (as between regions).
 */
const LOCAL_RTT_MS = 20;
const REMOTE_RTT_MS = 120;
const RTT_WEIGHT = 0.2;
/** A response older than this is ignored, in ms. */
const RESPONSE_STALE_MS = 4_000;
/**
 * Longest delay before the next requests to peers, in ms. A single request makes
 * the holder of a slow account look busy for seconds, so the delay that follows
 * from its estimated rate needs a bound.
 */
const MAX_RETRY_DELAY_MS = 500;

/** A peer chosen for a loan request. */
export interface ChosenLender {
  readonly id: Types.InstanceId;
  readonly want: number;
  /** Estimated tokens that the peer can lend. */
  readonly expected: number;
  /** Round trip in ms, measured or assumed. */
  readonly rttMs: number;
}

/** Estimates of what peers can lend. */
export interface Lenders {
  /**
   * Chooses peers to request `want` tokens from at the same time; none when all
   * of them together could not cover `need`.
   */
  choose(
    key: Contracts.BudgetKey,
    need: number,
    want: number,
    triedPeers: ReadonlySet<Types.InstanceId>,
  ): readonly ChosenLender[];
  /** Returns the ms until the peers can probably cover `need`. */
  getRetryDelayMs(key: Contracts.BudgetKey, need: number): number;
  /** Returns the sum of the bursts that reachable peers hold. */
  getPeerBurst(key: Contracts.BudgetKey): number;
  /** Records a lender's response and its round trip in ms. */
  recordResponse(
    key: Contracts.BudgetKey,
    id: Types.InstanceId,
    response: Messages.BorrowResponse,
    rttMs: number,
  ): void;
  /** Records that a peer did not respond, or not with a valid response. */
  recordNoResponse(id: Types.InstanceId): void;
}

interface Candidate {
  readonly id: Types.InstanceId;
  readonly isLocal: boolean;
  readonly limits: Bucket.Limits;
  readonly expected: number;
  readonly spareRate: number;
}

interface LastResponse {
  readonly left: number;
  /** Tokens per second that the lender's callers do not use. */
  readonly spareRate: number;
  readonly atMs: number;
}

/** Creates lenders without any recorded response. */
export function createLenders(
  domain: Types.Domain,
  peers: Contracts.PeerNet,
  clock: Clock.Clock,
  tryGetPlan: () => AllocationPlan.AllocationPlan | undefined,
): Lenders {
  const responses = new Map<string, LastResponse>();
  const unresponsiveUntilMs = new Map<Types.InstanceId, number>();
  const rtts = new Map<Types.InstanceId, number>();

  function getLimits(
    key: Contracts.BudgetKey,
    heartbeat: Types.Heartbeat,
  ): Bucket.Limits {
    let rate = 0;
    let burst = 0;
    for (const shard of heartbeat.shards) {
      const share = tryGetPlan()?.getShardShare(heartbeat.domain, shard, key);
      rate += share?.rate ?? 0;
      burst += share?.burst ?? 0;
    }
    return { rate, burst };
  }

  function estimate(
    key: Contracts.BudgetKey,
    id: Types.InstanceId,
    limits: Bucket.Limits,
  ): { readonly expected: number; readonly spareRate: number } {
    const response = responses.get(`${id} ${key}`);
    const ageMs = clock.nowMs() - (response?.atMs ?? -Infinity);
    if (response === undefined || ageMs > RESPONSE_STALE_MS) {
      return { expected: limits.burst, spareRate: limits.rate };
    }
    const { left, spareRate } = response;
    const refilled = left + (spareRate * ageMs) / 1000;
    return { expected: Math.min(limits.burst, refilled), spareRate };
  }

  function listCandidates(
    key: Contracts.BudgetKey,
    triedPeers: ReadonlySet<Types.InstanceId>,
  ): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const { heartbeat, isReachable } of peers.getMembers()) {
      const { id } = heartbeat;
      const isUnresponsive = (unresponsiveUntilMs.get(id) ?? 0) > clock.nowMs();
      if (!isReachable || isUnresponsive || triedPeers.has(id)) continue;
      const limits = getLimits(key, heartbeat);
      if (limits.burst <= 0) continue;
      const isLocal = heartbeat.domain === domain;
      candidates.push({ id, isLocal, limits, ...estimate(key, id, limits) });
    }
    return candidates;
  }

  /**
   * Sorts peers of the local domain that cover the need alone first, then by
   * expected tokens, most first.
   */
  function sortByPreference(
    candidates: readonly Candidate[],
    need: number,
  ): readonly Candidate[] {
    const isLocalCover = (candidate: Candidate) =>
      candidate.isLocal && candidate.expected >= need;
    return candidates.toSorted((a, b) =>
      Number(isLocalCover(b)) - Number(isLocalCover(a)) ||
      b.expected - a.expected ||
      Number(b.isLocal) - Number(a.isLocal) || b.limits.rate - a.limits.rate
    );
  }

  return {
    choose(key, need, want, triedPeers) {
      const candidates = listCandidates(key, triedPeers);
      let total = 0;
      for (const { expected } of candidates) total += expected;
      if (total + ROUNDING_TOLERANCE < need) return [];
      const chosen: ChosenLender[] = [];
      let remaining = want;
      for (
        const { id, expected, isLocal } of sortByPreference(candidates, need)
      ) {
        if (remaining <= 0 || chosen.length >= MAX_BATCH) break;
        if (expected <= MIN_EXPECTED_FRACTION * Math.max(0, need)) continue;
        const rttMs = rtts.get(id) ?? (isLocal ? LOCAL_RTT_MS : REMOTE_RTT_MS);
        chosen.push({ id, want: remaining, expected, rttMs });
        remaining -= expected;
      }
      return chosen;
    },
    getRetryDelayMs(key, need) {
      let total = 0;
      let spareRate = 0;
      for (const candidate of listCandidates(key, new Set())) {
        total += candidate.expected;
        spareRate += candidate.spareRate;
      }
      if (total >= need) return 0;
      if (spareRate <= 0) return MAX_RETRY_DELAY_MS;
      const refillDelayMs = ((need - total) / spareRate) * 1000;
      return Math.min(refillDelayMs, MAX_RETRY_DELAY_MS);
    },
    getPeerBurst(key) {
      let burst = 0;
      for (const candidate of listCandidates(key, new Set())) {
        burst += candidate.limits.burst;
      }
      return burst;
    },
    recordResponse(key, id, { left, spareRate }, rttMs) {
      const atMs = clock.nowMs();
      const previousMs = rtts.get(id) ?? rttMs;
      rtts.set(
        id,
        Math.max(rttMs, previousMs + (rttMs - previousMs) * RTT_WEIGHT),
      );
      responses.set(`${id} ${key}`, { left, spareRate, atMs });
    },
    recordNoResponse(id) {
      unresponsiveUntilMs.set(id, clock.nowMs() + UNRESPONSIVE_MS);
    },
  };
}
