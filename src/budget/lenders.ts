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
import type * as Division from "./division.ts";

/** Less than this is not worth a message. */
const MIN_ASK = 0.01;
/** Float rounding of summed fractions. */
const ROUNDING = 1e-6;
const MAX_WAVE = 12;
/** A peer that did not answer is left out for as long as it takes to be found unreachable. */
const SILENCE_MS = 3_000;

/** One peer to ask. */
export interface Ask {
  readonly id: Types.InstanceId;
  readonly want: number;
}

/** Knowledge of what peers can lend. */
export interface Lenders {
  /** Peers to ask at the same time; empty when they could not cover `need` of the wanted tokens. */
  choose(
    key: Contracts.BudgetKey,
    need: number,
    want: number,
    asked: ReadonlySet<Types.InstanceId>,
  ): readonly Ask[];
  noteAnswer(
    key: Contracts.BudgetKey,
    id: Types.InstanceId,
    left: number,
  ): void;
  noteSilence(id: Types.InstanceId): void;
}

interface Candidate {
  readonly id: Types.InstanceId;
  readonly isNear: boolean;
  readonly limits: Bucket.Limits;
  readonly expected: number;
}

interface Answer {
  readonly left: number;
  readonly atMs: number;
}

/** Creates lenders without knowledge of their levels. */
export function createLenders(
  domain: Types.Domain,
  peers: Contracts.PeerNet,
  clock: Clock.Clock,
  getDivision: () => Division.Division | undefined,
): Lenders {
  const answers = new Map<string, Answer>();
  const silentUntil = new Map<Types.InstanceId, number>();

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
  ): number {
    const answer = answers.get(`${id} ${key}`);
    if (answer === undefined) return limits.burst;
    const refill = (limits.rate * (clock.nowMs() - answer.atMs)) / 1000;
    return Math.min(limits.burst, answer.left + refill);
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
      const expected = estimate(key, id, limits);
      if (expected < MIN_ASK) continue;
      const isNear = heartbeat.domain === domain;
      found.push({ id, isNear, limits, expected });
    }
    return found.sort((a, b) =>
      Number(b.isNear) - Number(a.isNear) || b.expected - a.expected ||
      b.limits.rate - a.limits.rate
    );
  }

  return {
    choose(key, need, want, asked) {
      const candidates = listCandidates(key, asked);
      const total = candidates.reduce((sum, one) => sum + one.expected, 0);
      if (total + ROUNDING < need) return [];
      const asks: Ask[] = [];
      let left = want;
      for (const { id, expected } of candidates) {
        if (left <= 0 || asks.length >= MAX_WAVE) break;
        asks.push({ id, want: left });
        left -= expected;
      }
      return asks;
    },
    noteAnswer(key, id, left) {
      answers.set(`${id} ${key}`, { left, atMs: clock.nowMs() });
    },
    noteSilence(id) {
      silentUntil.set(id, clock.nowMs() + SILENCE_MS);
    },
  };
}
