/**
 * Which peers to ask for tokens of a key, and for how many.
 *
 * Estimates only: a wrong one costs a message or a wait, never a token. What a
 * peer can lend is guessed from the shards in its heartbeat, and corrected by
 * its answers, from where it refills at its rate.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Bucket from "./bucket.ts";
import type * as AllocationPlan from "./allocation_plan.ts";
import type * as Messages from "./messages.ts";

/** Less than this part of the need is not worth a message. */
const MIN_ASK_FRACTION = 0.01;
/** Float rounding of summed fractions. */
const ROUNDING = 1e-6;
const MAX_WAVE = 12;
/** A peer that did not answer is left out for as long as it takes to be found unreachable. */
const SILENCE_MS = 3_000;

/** Assumed round trips, in ms, until one was measured: within a domain, and between regions. */
const NEAR_RTT_MS = 20;
const FAR_RTT_MS = 120;
const RTT_WEIGHT = 0.2;
/** After this an answer says nothing any more. */
const ANSWER_STALE_MS = 4_000;
/**
 * Longest pause before peers are asked again. One request makes the holder of a
 * slow account look busy for seconds, so its estimate may not rule for longer.
 */
const MAX_RETRY_MS = 500;

/** One peer to ask. */
export interface Ask {
  readonly id: Types.InstanceId;
  readonly want: number;
  /** What it probably can lend. */
  readonly expected: number;
  /** Round trip in ms, measured or assumed. */
  readonly rttMs: number;
}

/** Knowledge of what peers can lend. */
export interface Lenders {
  /** Peers to ask at the same time for `want` tokens; none when all together could not cover `need`. */
  choose(
    key: Contracts.BudgetKey,
    need: number,
    want: number,
    asked: ReadonlySet<Types.InstanceId>,
  ): readonly Ask[];
  /** Ms until the peers should be able to cover `need`. */
  getRetryMs(key: Contracts.BudgetKey, need: number): number;
  /** Sum of the bursts that reachable peers hold. */
  getBurst(key: Contracts.BudgetKey): number;
  noteAnswer(
    key: Contracts.BudgetKey,
    id: Types.InstanceId,
    answer: Messages.BorrowAnswer,
    rttMs: number,
  ): void;
  noteSilence(id: Types.InstanceId): void;
}

interface Candidate {
  readonly id: Types.InstanceId;
  readonly isNear: boolean;
  readonly limits: Bucket.Limits;
  readonly expected: number;
  readonly spareRate: number;
}

interface Answer {
  readonly left: number;
  /** Tokens per second that the lender does not use itself. */
  readonly spareRate: number;
  readonly atMs: number;
}

/** Creates lenders without knowledge of their levels. */
export function createLenders(
  domain: Types.Domain,
  peers: Contracts.PeerNet,
  clock: Clock.Clock,
  getDivision: () => AllocationPlan.AllocationPlan | undefined,
): Lenders {
  const answers = new Map<string, Answer>();
  const silentUntil = new Map<Types.InstanceId, number>();
  const rtts = new Map<Types.InstanceId, number>();

  function getLimits(
    key: Contracts.BudgetKey,
    heartbeat: Types.Heartbeat,
  ): Bucket.Limits {
    let rate = 0;
    let burst = 0;
    for (const shard of heartbeat.shards) {
      const share = getDivision()?.getShardShare(heartbeat.domain, shard, key);
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
    const answer = answers.get(`${id} ${key}`);
    const ageMs = clock.nowMs() - (answer?.atMs ?? -Infinity);
    if (answer === undefined || ageMs > ANSWER_STALE_MS) {
      return { expected: limits.burst, spareRate: limits.rate };
    }
    const { left, spareRate } = answer;
    const refilled = left + (spareRate * ageMs) / 1000;
    return { expected: Math.min(limits.burst, refilled), spareRate };
  }

  function listCandidates(
    key: Contracts.BudgetKey,
    asked: ReadonlySet<Types.InstanceId>,
  ): readonly Candidate[] {
    const found: Candidate[] = [];
    for (const { heartbeat, isReachable } of peers.getMembers()) {
      const { id } = heartbeat;
      const isSilent = (silentUntil.get(id) ?? 0) > clock.nowMs();
      if (!isReachable || isSilent || asked.has(id)) continue;
      const limits = getLimits(key, heartbeat);
      if (limits.burst <= 0) continue;
      const isNear = heartbeat.domain === domain;
      found.push({ id, isNear, limits, ...estimate(key, id, limits) });
    }
    return found;
  }

  /** Near ones that cover the need alone, then those that hold most. */
  function order(
    candidates: readonly Candidate[],
    need: number,
  ): readonly Candidate[] {
    const isGood = (one: Candidate) => one.isNear && one.expected >= need;
    return candidates.toSorted((a, b) =>
      Number(isGood(b)) - Number(isGood(a)) || b.expected - a.expected ||
      Number(b.isNear) - Number(a.isNear) || b.limits.rate - a.limits.rate
    );
  }

  return {
    choose(key, need, want, asked) {
      const candidates = listCandidates(key, asked);
      let total = 0;
      for (const { expected } of candidates) total += expected;
      if (total + ROUNDING < need) return [];
      const asks: Ask[] = [];
      let left = want;
      for (const { id, expected, isNear } of order(candidates, need)) {
        if (left <= 0 || asks.length >= MAX_WAVE) break;
        if (expected <= MIN_ASK_FRACTION * Math.max(0, need)) continue;
        const rttMs = rtts.get(id) ?? (isNear ? NEAR_RTT_MS : FAR_RTT_MS);
        asks.push({ id, want: left, expected, rttMs });
        left -= expected;
      }
      return asks;
    },
    getRetryMs(key, need) {
      let total = 0;
      let spareRate = 0;
      for (const candidate of listCandidates(key, new Set())) {
        total += candidate.expected;
        spareRate += candidate.spareRate;
      }
      if (total >= need) return 0;
      if (spareRate <= 0) return MAX_RETRY_MS;
      const refillMs = ((need - total) / spareRate) * 1000;
      return Math.min(refillMs, MAX_RETRY_MS);
    },
    getBurst(key) {
      let burst = 0;
      for (const one of listCandidates(key, new Set())) {
        burst += one.limits.burst;
      }
      return burst;
    },
    noteAnswer(key, id, { left, spareRate }, rttMs) {
      const atMs = clock.nowMs();
      const old = rtts.get(id) ?? rttMs;
      rtts.set(id, Math.max(rttMs, old + (rttMs - old) * RTT_WEIGHT));
      answers.set(`${id} ${key}`, { left, spareRate, atMs });
    },
    noteSilence(id) {
      silentUntil.set(id, clock.nowMs() + SILENCE_MS);
    },
  };
}
