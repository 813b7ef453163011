/**
 * A model of a fleet under more demand than its targets have room for: several
 * services, client accounts with rate limits, callers that return after a
 * rejection, and targets that are replaced by cold ones. Time is simulated.
 * Decisions come from the production modules, `overload.ts` among them.
 */
import * as CacheState from "../../src/gateway/cache_state.ts";
import * as Choice from "../../src/gateway/choice.ts";
import * as Overload from "../../src/gateway/overload.ts";
import * as Placement from "../../src/gateway/placement.ts";
import type * as State from "../../src/gateway/state.ts";
import * as TargetLoad from "../../src/gateway/target_load.ts";
import * as Timings from "../../src/gateway/timings.ts";
import * as Warmup from "../../src/gateway/warmup.ts";
import * as WorkingSet from "../../src/gateway/working_set.ts";
import * as RetryBudget from "../../src/retry/retry_budget.ts";
import * as Random from "../load/random.ts";
import * as EventQueue from "./event_queue.ts";
import type * as Scenario from "./overload_scenarios.ts";

/** Requests that ended in one interval, by result. Each send of a caller is one request. */
export interface Counts {
  requested: number;
  /** Responses within the latency target. */
  inTime: number;
  late: number;
  /** Rejected for the account's rate limit. */
  limited: number;
  /** Rejected for lack of room. */
  rejected: number;
}

/** Counts of one interval, by kind of request and by class of account. */
export interface Interval {
  readonly byKind: ReadonlyMap<string, Counts>;
  readonly hotAccount: Counts;
  readonly otherAccounts: Counts;
}

/** Length of an interval, ms. */
export const INTERVAL_MS = 2_000;

/** Result of a run. */
export interface Outcome {
  readonly intervals: readonly Interval[];
  readonly misses: number;
  /** Requests that a target received after another one had shed them. */
  readonly secondSends: number;
}

const LOCAL_ROUND_TRIP_MS = 2;
const REMOTE_ROUND_TRIP_MS = 110;
const CALLER_DELAY_MS = 8;
const COLD_SLOWDOWN = 2;
const MAX_TARGETS = 2;
const MAX_QUEUED_PER_SLOT = 3;
/** The fleet may send a tenth of its requests a second time. */
const RETRY_LIMIT = { share: 0.1, windowMs: 10_000, getExtraRetries: () => 1 };

interface ModelTarget {
  readonly known: State.KnownTarget;
  running: number;
  readonly queue: (() => void)[];
  /** Cached affinity keys, the most recently served last. */
  readonly cachedKeys: Set<string>;
  readonly cacheCapacity: number;
}

interface ModelRequest {
  readonly kind: Scenario.Kind;
  readonly account: number;
  readonly affinityKey: string;
  readonly instance: number;
  /** Sends of the caller before this one. */
  readonly attempt: number;
  readonly returnsAtOnce: boolean;
  startedAtMs: number;
  readonly triedIds: Set<string>;
}

interface AccountState {
  readonly name: string;
  /** Share of the callers' demand. */
  readonly share: number;
  readonly ratePerS: number;
  tokens: number;
  updatedAtMs: number;
  /** Requests per second over the limit. */
  demand: number;
}

function createCounts(): Counts {
  return { requested: 0, inTime: 0, late: 0, limited: 0, rejected: 0 };
}

/** Parts of the decisions that a run uses. */
export interface Policy {
  /** Asks `overload.ts` before the choice of a target. */
  readonly isAdmissionOn: boolean;
  /** Uses the retry delays of `overload.ts`. */
  readonly areReturnsSpread: boolean;
  /** Keeps second sends for failures other than sheds. */
  readonly areResendsReserved: boolean;
}

/** The decisions of the product. */
export const PRODUCT: Policy = {
  isAdmissionOn: true,
  areReturnsSpread: true,
  areResendsReserved: true,
};

/** The decisions of the product without `overload.ts`. */
export const BEFORE: Policy = {
  isAdmissionOn: false,
  areReturnsSpread: false,
  areResendsReserved: false,
};

/** Plays a scenario. The same seed gives the same result. */
export function playOverload(
  scenario: Scenario.OverloadScenario,
  policy: Policy,
  seed: number,
): Outcome {
  const random = Random.createRandom(seed);
  const events = EventQueue.createEventQueue();
  const clock = { nowMs: events.nowMs, wallMs: events.nowMs };
  const { kinds, regions } = scenario;
  let epoch = 0;
  let misses = 0;
  let secondSends = 0;
  const targets = new Map<string, readonly ModelTarget[]>();
  for (const kind of kinds) targets.set(kind.name, createTargets(kind));
  const accounts = createAccounts();
  const intervals: Interval[] = [];
  const intervalCount = Math.ceil(scenario.durationMs / INTERVAL_MS);
  for (let i = 0; i < intervalCount; i++) {
    intervals.push({
      byKind: new Map(kinds.map(({ name }) => [name, createCounts()])),
      hotAccount: createCounts(),
      otherAccounts: createCounts(),
    });
  }
  const startInstances = () =>
    regions.flatMap(({ name, instances }) =>
      Array.from({ length: instances }, () => createInstance(name))
    );
  let instances = startInstances();

  function createTargets(kind: Scenario.Kind): ModelTarget[] {
    return Array.from(
      { length: kind.targets },
      (_, index) => createTarget(kind, index, 0, 0),
    );
  }

  function createTarget(
    kind: Scenario.Kind,
    index: number,
    process: number,
    coldUntilMs: number,
  ): ModelTarget {
    let left = (index + 0.5) / kind.targets;
    const region = regions.find(({ targetShare }) => {
      left -= targetShare;
      return left <= 0;
    }) ?? regions[0]!;
    return {
      known: {
        entry: {
          id: `${kind.name}-${index}-${process}`,
          service: kind.name,
          address: "",
          domain: region.name,
          slots: kind.slots,
          isLeaving: false,
          coldLeftMs: 0,
          startedAtMs: process,
        },
        region: region.name,
        coldUntilMs,
      },
      running: 0,
      queue: [],
      cachedKeys: new Set(),
      cacheCapacity: 10 + Math.floor(random() * 18),
    };
  }

  /** Sizes fall off with the rank, so that a few accounts are large. */
  function createAccounts(): readonly AccountState[] {
    const sizes = Array.from(
      { length: scenario.accounts },
      (_, rank) => 1 / (rank + 1) ** 0.9,
    );
    const totalSize = sizes.reduce((sum, size) => sum + size, 0);
    const totalPerS = kinds.reduce((sum, { perS }) => sum + perS, 0);
    return sizes.map((size, rank) => {
      const share = size / totalSize;
      const ratePerS = share * totalPerS * scenario.limitFactor;
      return {
        name: `account ${rank}`,
        share,
        ratePerS,
        tokens: ratePerS,
        updatedAtMs: 0,
        demand: 0,
      };
    });
  }

  /** The account's fleet-wide limit; returns the retry delay, or undefined if the request is admitted. */
  function tryLimit(account: AccountState): number | undefined {
    const elapsedMs = events.nowMs() - account.updatedAtMs;
    account.updatedAtMs = events.nowMs();
    account.tokens = Math.min(
      Math.max(4, account.ratePerS),
      account.tokens + account.ratePerS * elapsedMs / 1_000,
    );
    account.demand = account.demand * Math.exp(-elapsedMs / 1_500) +
      1 / 1.5 / account.ratePerS;
    if (account.tokens < 1) {
      const waitMs = (1 - account.tokens) * 1_000 / account.ratePerS;
      return Math.min(1_000, waitMs);
    }
    account.tokens--;
    return undefined;
  }

  function count(req: ModelRequest, result: keyof Counts): void {
    const index = Math.floor(events.nowMs() / INTERVAL_MS);
    const interval = intervals[index];
    if (interval === undefined) return;
    interval.byKind.get(req.kind.name)![result]++;
    const { hotAccount, otherAccounts } = interval;
    (req.account === scenario.hotAccount ? hotAccount : otherAccounts)[
      result
    ]++;
  }

  /** A caller that was rejected returns at once up to three times, or once after the advised delay if it has the time. */
  function returnLater(req: ModelRequest, retryAfterMs: number): void {
    const { returnsAtOnce, attempt, kind } = req;
    const maxAttempts = returnsAtOnce ? 3 : 1;
    if (attempt >= maxAttempts) return;
    if (!returnsAtOnce && retryAfterMs > kind.deadlineMs / 3) return;
    const delayMs = (returnsAtOnce ? 1 : retryAfterMs) + 2 * CALLER_DELAY_MS;
    events.schedule(delayMs, () =>
      receive({
        ...req,
        instance: Math.floor(random() * instances.length),
        attempt: attempt + 1,
        triedIds: new Set(),
      }));
  }

  function receive(req: ModelRequest): void {
    req.startedAtMs = events.nowMs();
    count(req, "requested");
    const waitMs = tryLimit(accounts[req.account]!);
    if (waitMs !== undefined) {
      count(req, "limited");
      return returnLater(req, waitMs);
    }
    instances[req.instance]!.admit(req);
  }

  function createInstance(region: string) {
    const loads = TargetLoad.createTargetLoads(clock);
    const timings = Timings.createTimings();
    const cacheState = CacheState.createCacheState(clock);
    const workingSets = WorkingSet.createWorkingSets(clock);
    const warmups = Warmup.createWarmups(clock);
    const retryBudget = RetryBudget.createRetryBudget({
      clock,
      fleetLimit: RETRY_LIMIT,
    });
    const overload = Overload.createOverload({ clock, random });
    const placement = Placement.createPlacement({
      origin: region,
      demand: new Map(regions.map(({ name, callers }) => [name, callers])),
    });
    const getRoundTripMs = (target: State.KnownTarget) =>
      target.region === region ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
    for (const { name } of regions) {
      timings.recordConnect(
        name,
        name === region ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS,
      );
    }

    function getCandidates(req: ModelRequest): readonly Choice.Candidate[] {
      const usable = targets.get(req.kind.name)!.map(({ known }) => known);
      const ranked = placement.rank(
        req.kind.name,
        req.affinityKey,
        epoch,
        usable,
      );
      return ranked.map((target, rank): Choice.Candidate => {
        const { id } = target.entry;
        return {
          target,
          rank,
          isPaused: loads.isPaused(id),
          isCold: target.coldUntilMs > events.nowMs(),
          isRateLimitReached: false,
          isExcluded: rank === 0
            ? !workingSets.has(req.affinityKey, id)
            : workingSets.isLimited(id),
          outstanding: loads.getOutstanding(id),
          shedShare: loads.getShedShare(id),
          roundTripMs: getRoundTripMs(target),
          cacheHitChance: cacheState.isCached(req.affinityKey, id)
            ? 1
            : cacheState.getHitChance(rank),
          warmupRemainingMs: warmups.tryGetRemainingMs(req.affinityKey, id),
        };
      }).filter(({ target }) => !req.triedIds.has(target.entry.id));
    }

    function getProfile(req: ModelRequest): Choice.RequestProfile {
      const { deadlineMs, name, priority, targetLatencyMs } = req.kind;
      const fallbackMs = targetLatencyMs / 3;
      return {
        deadlineMs: deadlineMs - (events.nowMs() - req.startedAtMs),
        targetLatencyMs,
        priority,
        cacheHitMs: timings.getServiceMs(name, true, fallbackMs),
        cacheMissMs: timings.getServiceMs(name, false, fallbackMs),
        missCostMs: timings.getMissCostMs(name, fallbackMs),
      };
    }

    function admit(req: ModelRequest): void {
      retryBudget.recordRequest(req.kind.name);
      forward(req);
    }

    function getOverloadRequest(req: ModelRequest): Overload.OverloadRequest {
      return {
        service: req.kind.name,
        timeoutMs: req.kind.deadlineMs,
        usage: scenario.isUsageKnown
          ? accounts[req.account]!.demand
          : undefined,
      };
    }

    function getRetryAfterMs(req: ModelRequest, advisedMs: number): number {
      if (!policy.areReturnsSpread) return advisedMs;
      return overload.getRetryAfterMs(getOverloadRequest(req), advisedMs);
    }

    function reject(req: ModelRequest, retryAfterMs: number): void {
      const account = accounts[req.account]!;
      account.tokens++;
      count(req, "rejected");
      returnLater(req, retryAfterMs);
    }

    function forward(req: ModelRequest): void {
      const profile = getProfile(req);
      const all = getCandidates(req);
      const decision: Overload.Decision = policy.isAdmissionOn &&
          req.triedIds.size === 0
        ? overload.decide(getOverloadRequest(req), all, profile)
        : { kind: "admit", candidates: all };
      if (decision.kind === "reject") {
        const primary = all[0];
        if (primary?.rank === 0 && !primary.isExcluded) {
          workingSets.recordAdmission(primary.target.entry.id, false);
        }
        return reject(req, decision.retryAfterMs);
      }
      const { candidates } = decision;
      const choice = Choice.chooseCandidate(candidates, profile);
      const primary = all[0];
      if (primary?.rank === 0 && req.triedIds.size === 0) {
        const { id } = primary.target.entry;
        if (choice.kind === "reject" && !primary.isExcluded) {
          workingSets.recordAdmission(id, false);
        } else if (choice.kind === "send" && choice.candidate === primary) {
          workingSets.recordAdmission(id, true);
        }
      }
      switch (choice.kind) {
        case "reject":
          return reject(req, getRetryAfterMs(req, choice.retryAfterMs));
        case "wait":
          return events.schedule(choice.maxMs, () => forward(req));
        case "send":
          return send(req, choice.candidate, profile);
      }
    }

    function send(
      req: ModelRequest,
      candidate: Choice.Candidate,
      profile: Choice.RequestProfile,
    ): void {
      const { id } = candidate.target.entry;
      const sentAtMs = events.nowMs();
      const { roundTripMs } = candidate;
      const endWarmup = Choice.isLikelyCached(candidate) ? () => {} : warmups
        .start(
          req.affinityKey,
          id,
          Choice.getExpectedResponseMs(candidate, profile),
        );
      if (req.triedIds.size > 0) secondSends++;
      req.triedIds.add(id);
      loads.start(id);
      const target = targets.get(req.kind.name)!.find(({ known }) =>
        known === candidate.target
      );
      events.schedule(roundTripMs / 2, () => {
        const respond = (isServed: boolean) =>
          events.schedule(roundTripMs / 2, () => {
            endWarmup();
            receiveResponse(
              req,
              candidate,
              profile,
              sentAtMs,
              isServed,
              target,
            );
          });
        if (target === undefined) respond(false);
        else arrive(target, req, respond);
      });
    }

    function receiveResponse(
      req: ModelRequest,
      candidate: Choice.Candidate,
      profile: Choice.RequestProfile,
      sentAtMs: number,
      isServed: boolean,
      target: ModelTarget | undefined,
    ): void {
      const { kind } = req;
      const { id, slots } = candidate.target.entry;
      const nowMs = events.nowMs();
      loads.end(id, isServed ? "answered" : "shed");
      if (target !== undefined) {
        const report = {
          running: target.running,
          waiting: target.queue.length,
          slots: target.known.entry.slots,
        };
        loads.recordReport(id, report);
        overload.recordReport(kind.name, id, report, profile);
      }
      if (!isServed) {
        const mayResend = req.triedIds.size < MAX_TARGETS &&
          !(policy.areResendsReserved && overload.isOverloaded(kind.name)) &&
          retryBudget.tryAcquireRetry(
            kind.name,
            Math.max(1 - kind.priority * 0.25, 0.3),
          );
        if (mayResend) return forward(req);
        const waitMs = Choice.getQueueWaitMs(candidate, profile);
        return reject(
          req,
          getRetryAfterMs(req, Math.min(Math.max(waitMs, 20), 500)),
        );
      }
      const isCached = cacheState.isCached(req.affinityKey, id) &&
        !workingSets.isLimited(id);
      if (candidate.outstanding < slots) {
        const wasHit = timings.recordResponse(
          kind.name,
          isCached,
          Math.max(1, nowMs - sentAtMs - candidate.roundTripMs),
        );
        if (!isCached && wasHit !== undefined) {
          cacheState.recordOutcome(candidate.rank, wasHit);
        }
      }
      cacheState.recordCached(req.affinityKey, id);
      const latencyMs = nowMs - req.startedAtMs + 2 * CALLER_DELAY_MS;
      count(req, latencyMs <= kind.targetLatencyMs ? "inTime" : "late");
    }

    return { region, admit };
  }

  function arrive(
    target: ModelTarget,
    req: ModelRequest,
    respond: (isServed: boolean) => void,
  ): void {
    const { kind, affinityKey } = req;
    const { cachedKeys, known, queue } = target;
    const isFull = target.running >= kind.slots &&
      queue.length >= kind.slots * MAX_QUEUED_PER_SLOT;
    if (isFull) return respond(false);
    const serve = () => {
      target.running++;
      const isHit = cachedKeys.has(affinityKey);
      if (!isHit) misses++;
      const isCold = known.coldUntilMs > events.nowMs();
      const workMs = (isHit ? kind.hitMs : kind.missMs) *
        (isCold ? COLD_SLOWDOWN : 1);
      events.schedule(workMs, () => {
        target.running--;
        cachedKeys.delete(affinityKey);
        cachedKeys.add(affinityKey);
        const [oldest] = cachedKeys;
        if (cachedKeys.size > target.cacheCapacity) cachedKeys.delete(oldest!);
        respond(true);
        queue.shift()?.();
      });
    };
    if (target.running < kind.slots) serve();
    else queue.push(serve);
  }

  /** Replaces a share of the targets by new processes with empty caches. */
  function replaceTargets(): void {
    epoch++;
    for (const kind of kinds) {
      const previous = targets.get(kind.name)!;
      const coldUntilMs = events.nowMs() + scenario.coldMs;
      targets.set(
        kind.name,
        previous.map((target, index) =>
          random() < scenario.replacedShare
            ? createTarget(kind, index, 1, coldUntilMs)
            : target
        ),
      );
    }
  }

  function pickAccount(isHot: boolean): number {
    if (isHot) return scenario.hotAccount;
    let left = random();
    const index = accounts.findIndex(({ share }) => (left -= share) < 0);
    return Math.max(0, index);
  }

  function pickInstance(): number {
    let left = random() *
      regions.reduce((sum, { callers }) => sum + callers, 0);
    let first = 0;
    for (const { callers, instances: size } of regions) {
      if (left < callers) return first + Math.floor(random() * size);
      left -= callers;
      first += size;
    }
    return 0;
  }

  /** Schedules the requests of a kind; `isHot` are the extra requests of the hot account. */
  function scheduleRequests(kind: Scenario.Kind, isHot: boolean): void {
    const nowMs = events.nowMs();
    const isPressed = nowMs >= scenario.pressureFromMs &&
      nowMs < scenario.pressureToMs;
    const hotShare = accounts[scenario.hotAccount]!.share;
    const factor = !isHot
      ? (isPressed ? kind.burstFactor : 1)
      : isPressed
      ? hotShare * (scenario.hotFactor - kind.burstFactor)
      : 0.001;
    const gapMs = -Math.log(1 - random()) * 1_000 / (kind.perS * factor);
    const isSkipped = gapMs > 500;
    events.schedule(Math.min(gapMs, 500), () => {
      if (events.nowMs() >= scenario.durationMs) return;
      if (!isSkipped) {
        const instance = pickInstance();
        const { region } = instances[instance]!;
        const key = Math.floor(random() ** scenario.keySkew * kind.keys);
        receive({
          kind,
          account: pickAccount(isHot),
          affinityKey: `${kind.name} ${region} ${key}`,
          instance,
          attempt: 0,
          returnsAtOnce: isPressed && random() < scenario.returnAtOnceShare,
          startedAtMs: events.nowMs(),
          triedIds: new Set(),
        });
      }
      scheduleRequests(kind, isHot);
    });
  }

  for (const kind of kinds) {
    scheduleRequests(kind, false);
    scheduleRequests(kind, true);
  }
  events.schedule(scenario.pressureFromMs, replaceTargets);
  if (scenario.restartAtMs !== undefined) {
    events.schedule(scenario.restartAtMs, () => instances = startInstances());
  }
  events.runUntil(scenario.durationMs + 5_000);
  return { intervals, misses, secondSends };
}
