/**
 * Decides which requests a service takes while demand exceeds its room.
 *
 * Load pattern: 2.7 times the usual demand for some seconds. Accounts send more
 * than usual, one of them several times its rate, rejected callers return at once,
 * and new targets have cold caches. An instance sends to one target every few
 * seconds, so it knows the queues of most targets only on average. Without that
 * average, a target that it knows nothing about counts as empty: keys spill to
 * targets that are full as well, and the first runs there (3.3 times the work of a
 * cached key) displace other requests.
 *
 * The load report in each response is a sample of the queues of the service. A
 * target's queue is estimated from its own last sample and, the older that is, the
 * more from the service's average. While targets queue:
 * - an affinity key of an overloaded service doesn't spill to a target where it
 *   isn't cached; before, a spill to a free target shortens the wait;
 * - requests to a target with an estimated wait near the wait bound are admitted
 *   with a probability that falls with the wait, so instances don't start and
 *   stop sending together. Accounts that use more of their limit get a lower one
 *   (max-min shares weighted by the limits);
 * - callers are told to return at times that are spread;
 * - second sends are kept for failures other than sheds.
 *
 * An instance without samples, or whose targets report no queues, changes nothing.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import * as Choice from "./choice.ts";
import type * as GatewayTypes from "./types.ts";

/** Weight of the newest sample in the service's averages: about the last 10 responses, 0.3 to 1 s at 12 to 33 a second. */
const SERVICE_WEIGHT = 0.1;
/** Weight of the newest sample of a target. */
const TARGET_WEIGHT = 0.6;
/** Time constant with which a target's estimate returns to the service's average, ms; 1.5 s served as much in the model. */
const TARGET_MEMORY_MS = 3_000;
/** Time constant with which the service's averages return to 0 without responses, ms. */
const SERVICE_MEMORY_MS = 2_000;
/** Wait, as a multiple of the wait bound, up to which all requests are admitted. */
const FULL_ADMISSION_RATIO = 0.7;
/** Wait, as a multiple of the wait bound, from which only the minimum is admitted. */
const MIN_ADMISSION_RATIO = 1.7;
/** Least share of the requests that is admitted, so that no kind of request is served less than a quarter as often as all. */
const MIN_ADMISSION = 0.25;
/**
 * Wait, as a multiple of the wait bound, up to which an affinity key spills to a
 * target where it isn't cached. In the model 0.15 served a tenth less and 0.3 a
 * fifth less than 0.05.
 */
const MAX_SPILL_RATIO = 0.02;
/** Mean wait, as a multiple of the wait bound, from which the service counts as overloaded. */
const OVERLOAD_RATIO = 0.2;
/** Callers wait at most this share of their deadline. */
const MAX_WAIT_SHARE = 1 / 3;
const MIN_RETRY_MS = 100;
/** Lower limit of the time available for waiting, ms; as the smallest wait bound. */
const MIN_AVAILABLE_MS = 60;
/** Longer queues for each slot are taken for a malformed report; targets queue about three. */
const MAX_WAITING = 100;
/** Weight of the newest request in the mean usage; small accounts' usage is uneven. */
const USAGE_WEIGHT = 0.02;
/** Lower limit of an account's usage in the shares; an account with a few requests has no steady rate. */
const MIN_USAGE = 0.1;

/** A request that asks for admission. */
export interface OverloadRequest {
  readonly service: Types.Service;
  /** Time that the caller waits for a response, ms. */
  readonly timeoutMs: number;
  /** The account's requests relative to its limit over all instances; undefined if unknown or without a limit. */
  readonly usage: number | undefined;
}

/** Whether a request is admitted. */
export type Decision =
  /** It may go to these of its candidates, ordered by rank. */
  | {
    readonly kind: "admit";
    readonly candidates: readonly Choice.Candidate[];
  }
  | { readonly kind: "reject"; readonly retryAfterMs: number };

/** Admission while demand exceeds room. */
export interface Overload {
  /** Decides before a target is chosen. */
  decide(
    req: OverloadRequest,
    candidates: readonly Choice.Candidate[],
    profile: Choice.RequestProfile,
  ): Decision;
  /**
   * Returns the probability with which the request may go to each candidate, 0 to 1
   * or more; changes nothing.
   */
  getShares(
    req: OverloadRequest,
    candidates: readonly Choice.Candidate[],
    profile: Choice.RequestProfile,
  ): readonly number[];
  /** Records the load report that came with a response or a rejection of a target. */
  recordReport(
    service: Types.Service,
    target: Types.TargetId,
    report: GatewayTypes.LoadReport,
    profile: Choice.RequestProfile,
  ): void;
  /** True while the targets of the service queue for so long that requests miss their latency target. */
  isOverloaded(service: Types.Service): boolean;
  /** Retry delay for a caller whom a target or the wait bound rejected; `advisedMs` unless the service is overloaded. */
  getRetryAfterMs(req: OverloadRequest, advisedMs: number): number;
  removeTarget(target: Types.TargetId): void;
}

/** True if the target may get requests, however long its queue is. */
export function isUsable(
  { isPaused, isRateLimitReached }: Choice.Candidate,
): boolean {
  return !isPaused && !isRateLimitReached;
}

interface TargetAverage {
  /** Waiting requests for each slot. */
  waiting: number;
  atMs: number;
}

interface ServiceAverages extends TargetAverage {
  /** Wait as a multiple of the time available for it. */
  waitRatio: number;
  /** Mean of 1 / usage over the requests. */
  inverseUsage: number;
  isOverloaded: boolean;
}

/**
 * Creates the state without samples. `random` returns a number from 0 up to 1;
 * `onChange` is called when the overload of a service starts or ends.
 */
export function createOverload(opts: {
  readonly clock: Clock.Clock;
  readonly random?: () => number;
  readonly onChange?: (service: Types.Service, isOverloaded: boolean) => void;
}): Overload {
  const { clock, onChange = () => {}, random = Math.random } = opts;
  const services = new Map<Types.Service, ServiceAverages>();
  const targets = new Map<Types.TargetId, TargetAverage>();

  /** Share of an average that is still valid. */
  function getFreshness(atMs: number, memoryMs: number): number {
    return Math.exp((atMs - clock.nowMs()) / memoryMs);
  }

  function getWaitRatio(service: ServiceAverages): number {
    return service.waitRatio * getFreshness(service.atMs, SERVICE_MEMORY_MS);
  }

  /** Estimates the waiting requests for each slot of the target from its own and the service's samples. */
  function estimateWaiting(
    service: ServiceAverages,
    id: Types.TargetId,
  ): number {
    const mean = service.waiting *
      getFreshness(service.atMs, SERVICE_MEMORY_MS);
    const target = targets.get(id);
    if (target === undefined) return mean;
    const weight = getFreshness(target.atMs, TARGET_MEMORY_MS);
    return mean + weight * (target.waiting - mean);
  }

  /** Ends the overload only at half of the ratio at which it starts. */
  function updateOverload(name: Types.Service, service: ServiceAverages): void {
    const ratio = getWaitRatio(service);
    const isOverloaded = ratio >
      (service.isOverloaded ? OVERLOAD_RATIO / 2 : OVERLOAD_RATIO);
    if (isOverloaded === service.isOverloaded) return;
    service.isOverloaded = isOverloaded;
    onChange(name, isOverloaded);
  }

  /** Probability with which a request may use the candidate, 0 to 1 or more. */
  function getAdmission(
    service: ServiceAverages,
    candidate: Choice.Candidate,
    isSpill: boolean,
    profile: Choice.RequestProfile,
    usage: number | undefined,
  ): number {
    const waiting = estimateWaiting(service, candidate.target.entry.id);
    const slowdown = candidate.isCold ? Choice.COLD_SLOWDOWN : 1;
    const ratio = slowdown * waiting * profile.cacheHitMs /
      Choice.getWaitBoundMs(candidate, profile);
    const spillRatio = Math.max(ratio, getWaitRatio(service));
    const isHeld = service.isOverloaded && spillRatio > MAX_SPILL_RATIO;
    if (isSpill && isHeld) return 0;
    if (ratio <= FULL_ADMISSION_RATIO) return 1;
    const share = Math.max(
      MIN_ADMISSION,
      1 - (ratio - FULL_ADMISSION_RATIO) /
          (MIN_ADMISSION_RATIO - FULL_ADMISSION_RATIO),
    );
    if (usage === undefined) return share;
    // The harmonic mean keeps the sum over all requests.
    const meanUsage = 1 / service.inverseUsage;
    return share * meanUsage / Math.max(usage, MIN_USAGE);
  }

  function getShares(
    req: OverloadRequest,
    candidates: readonly Choice.Candidate[],
    profile: Choice.RequestProfile,
  ): readonly number[] {
    const service = services.get(req.service);
    if (service === undefined) return candidates.map(() => 1);
    const primary = candidates.find(isUsable);
    return candidates.map((candidate) => {
      const isSpill = candidate !== primary && candidate.rank > 0 &&
        !Choice.isLikelyCached(candidate);
      return getAdmission(service, candidate, isSpill, profile, req.usage);
    });
  }

  function getRetryAfterMs(req: OverloadRequest, advisedMs: number): number {
    if (!isOverloaded(req.service)) return advisedMs;
    const longestMs = req.timeoutMs * MAX_WAIT_SHARE;
    return longestMs - random() * Math.max(0, longestMs - advisedMs) / 2;
  }

  function isOverloaded(name: Types.Service): boolean {
    const service = services.get(name);
    if (service === undefined) return false;
    updateOverload(name, service);
    return service.isOverloaded;
  }

  return {
    decide(req, candidates, profile) {
      const service = services.get(req.service);
      if (service === undefined) return { kind: "admit", candidates };
      if (req.usage !== undefined) {
        const inverse = 1 / Math.max(req.usage, MIN_USAGE);
        service.inverseUsage += USAGE_WEIGHT * (inverse - service.inverseUsage);
      }
      const draw = random();
      const shares = getShares(req, candidates, profile);
      const admitted = candidates.filter((_, i) => draw < shares[i]!);
      const isRejected = candidates.some(isUsable) && !admitted.some(isUsable);
      if (!isRejected) return { kind: "admit", candidates: admitted };
      const waitMs = service.waiting * profile.cacheHitMs;
      const advisedMs = Math.min(
        Math.max(waitMs, MIN_RETRY_MS),
        req.timeoutMs * MAX_WAIT_SHARE,
      );
      return { kind: "reject", retryAfterMs: getRetryAfterMs(req, advisedMs) };
    },
    recordReport(name, id, { slots, waiting: waitingCount }, profile) {
      const waiting = waitingCount / slots;
      if (!(slots > 0 && waiting >= 0 && waiting <= MAX_WAITING)) return;
      const nowMs = clock.nowMs();
      const service = services.get(name) ?? {
        waiting: 0,
        waitRatio: 0,
        inverseUsage: 1,
        isOverloaded: false,
        atMs: nowMs,
      };
      services.set(name, service);
      const freshness = getFreshness(service.atMs, SERVICE_MEMORY_MS);
      const add = (mean: number, value: number) =>
        mean * freshness + SERVICE_WEIGHT * (value - mean * freshness);
      const availableMs = profile.targetLatencyMs - profile.cacheHitMs;
      const ratio = waiting * profile.cacheHitMs /
        Math.max(MIN_AVAILABLE_MS, availableMs);
      service.waiting = add(service.waiting, waiting);
      service.waitRatio = add(service.waitRatio, ratio);
      service.atMs = nowMs;
      const target = targets.get(id) ?? { waiting, atMs: nowMs };
      target.waiting += TARGET_WEIGHT * (waiting - target.waiting);
      target.atMs = nowMs;
      targets.set(id, target);
      updateOverload(name, service);
    },
    getShares,
    isOverloaded,
    getRetryAfterMs,
    removeTarget: (id) => void targets.delete(id),
  };
}
