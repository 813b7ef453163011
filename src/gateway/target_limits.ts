/**
 * Keeps the requests to a target within the rate that it names in its responses.
 *
 * Load pattern: a target in need takes a few requests a second from all instances
 * together, while each instance sends it the affinity keys for which it ranks
 * first.
 *
 * The rate is divided into equal permits, which are allocated like the rate of a
 * cold target: first to the failure domains, then to the instances of each. A permit
 * allows one request at a time and accrues its part of the rate, so that as many
 * requests as there are permits may arrive at once. An instance without a permit
 * sends none. Instances tell each other what they read last: otherwise one without
 * a permit would never learn that the target no longer names a rate.
 */
import type * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Types from "../types.ts";
import * as ColdStart from "./cold_start.ts";
import * as RelayedObservation from "./relayed_observation.ts";

/** Permits of a target, as the time in which as many requests accrue. */
const PERMITS_S = 1.5;
/** Permits beyond that, so that the lowest rate is used by several instances. */
const MIN_PERMITS = 3;
/** A rate that nobody has read again for this time no longer applies; no instance with a permit has requests for the target then. */
const EXPIRY_MS = 60_000;
/** Age up to which a reading is reported to peers. Each response renews it. */
const REPORT_MS = 3_000;

/** What a response of a target named, as instances report it to each other. */
export interface LimitReport {
  readonly target: Types.TargetId;
  /** Requests per second of all instances together; null when the target named none. */
  readonly ratePerS: number | null;
  /** Time since the response arrived, ms. */
  readonly ageMs: number;
  /** Instances that relayed the report to its sender; undefined from an older build. */
  readonly relays?: number;
}

/** The rates that targets name, and this instance's part of each. */
export interface TargetLimits {
  /** Records the rate that a target's response names, in requests per second of all instances together; undefined if it names none. */
  recordResponse(target: Types.TargetId, ratePerS: number | undefined): void;
  /** Returns true when this instance may send the target a request now. */
  canSend(target: Types.TargetId): boolean;
  /** Returns what `canSend` would, and changes nothing. */
  peekCanSend(target: Types.TargetId): boolean;
  /** Records that a request is sent to the target. */
  recordSend(target: Types.TargetId): void;
  removeTarget(target: Types.TargetId): void;
  /** Recent readings of targets that name or named a rate. */
  getReports(): readonly LimitReport[];
  /** Applies the readings of a peer that are newer than those known here. */
  recordReports(reports: readonly LimitReport[]): void;
}

interface Limit {
  /** Undefined when the target no longer names a rate. */
  ratePerS: number | undefined;
  /** Monotonic ms at which a response named it. */
  readAtMs: number;
  /** Relays by which this instance knows it. */
  relays: number;
  tokens: number;
  /** Monotonic ms up to which `tokens` are computed. */
  accruedAtMs: number;
}

/** The part of a target's rate that one instance may use. */
export interface RateShare {
  /** Requests that may be sent at once. */
  readonly permits: number;
  readonly perS: number;
}

/** Returns the part of the rate of the instance at `position`; the parts of all instances add up to the rate. */
export function getRateShare(
  target: Types.TargetId,
  ratePerS: number,
  position: ColdStart.FleetPosition,
): RateShare {
  const fleetPermits = MIN_PERMITS + Math.floor(ratePerS * PERMITS_S);
  const permits = ColdStart.getInstanceRate(target, fleetPermits, position);
  return { permits, perS: ratePerS * permits / fleetPermits };
}

/** Creates the limits of one instance; `onChange` is called when a target begins or ceases to name a rate. */
export function createTargetLimits(opts: {
  readonly clock: Clock.Clock;
  readonly getFleetPosition: () => ColdStart.FleetPosition;
  readonly onChange?: (
    target: Types.TargetId,
    ratePerS: number | undefined,
  ) => void;
}): TargetLimits {
  const { clock } = opts;
  const limits = new Map<Types.TargetId, Limit>();

  /** The target's tokens, with those that have accrued by now. */
  function getTokens(
    target: Types.TargetId,
    limit: Limit,
    ratePerS: number,
  ): number {
    const share = getRateShare(target, ratePerS, opts.getFleetPosition());
    const accrued = share.perS * (clock.nowMs() - limit.accruedAtMs) / 1_000;
    return Math.min(share.permits, limit.tokens + accrued);
  }

  function isExpired(limit: Limit): boolean {
    return clock.nowMs() - limit.readAtMs > EXPIRY_MS;
  }

  function record(
    target: Types.TargetId,
    ratePerS: number | undefined,
    readAtMs: number,
    relays: number,
  ): void {
    const limit = limits.get(target);
    if (limit === undefined && ratePerS === undefined) return;
    if (limit === undefined) {
      const accruedAtMs = clock.nowMs();
      const tokens = 0;
      limits.set(target, { ratePerS, readAtMs, relays, tokens, accruedAtMs });
      return opts.onChange?.(target, ratePerS);
    }
    if (readAtMs < limit.readAtMs) return;
    const isSameRate = limit.ratePerS === ratePerS;
    if (isSameRate && !isLater(limit, readAtMs, relays)) return;
    const isNamed = limit.ratePerS !== undefined;
    limit.ratePerS = ratePerS;
    limit.readAtMs = readAtMs;
    limit.relays = relays;
    if (isNamed !== (ratePerS !== undefined)) opts.onChange?.(target, ratePerS);
  }

  /** Returns the target's limit unless it has expired. */
  function tryGetLimit(target: Types.TargetId): Limit | undefined {
    const limit = limits.get(target);
    if (limit === undefined) return undefined;
    if (!isExpired(limit)) return limit;
    limits.delete(target);
    return undefined;
  }

  return {
    recordResponse: (target, ratePerS) =>
      record(target, ratePerS, clock.nowMs(), 0),
    canSend(target) {
      const limit = tryGetLimit(target);
      if (limit?.ratePerS === undefined) return true;
      limit.tokens = getTokens(target, limit, limit.ratePerS);
      limit.accruedAtMs = clock.nowMs();
      return limit.tokens >= 1;
    },
    peekCanSend(target) {
      const limit = limits.get(target);
      if (limit?.ratePerS === undefined || isExpired(limit)) return true;
      return getTokens(target, limit, limit.ratePerS) >= 1;
    },
    recordSend(target) {
      const limit = tryGetLimit(target);
      if (limit?.ratePerS !== undefined) limit.tokens--;
    },
    removeTarget: (target) => void limits.delete(target),
    getReports() {
      const nowMs = clock.nowMs();
      return [...limits]
        .filter(([, { readAtMs, relays }]) =>
          RelayedObservation.isReportable({ atMs: readAtMs, relays })
        )
        .map(([target, { ratePerS, readAtMs, relays }]) => ({
          target,
          ratePerS: ratePerS ?? null,
          ageMs: Math.ceil(nowMs - readAtMs),
          relays,
        }))
        .filter(({ ageMs }) => ageMs <= REPORT_MS);
    },
    recordReports(reports) {
      const nowMs = clock.nowMs();
      for (const { ageMs, ratePerS, relays: raw, target } of reports) {
        const relays = RelayedObservation.readRelays(raw);
        record(target, ratePerS ?? undefined, nowMs - ageMs, relays);
      }
    },
  };
}

function isLater(limit: Limit, atMs: number, relays: number): boolean {
  const known = { atMs: limit.readAtMs, relays: limit.relays };
  return RelayedObservation.isLater({ atMs, relays }, known);
}

/** Reads the reports in a peer's message; malformed ones are omitted. */
export function readReports(raw: unknown): readonly LimitReport[] {
  if (!Array.isArray(raw)) return [];
  return raw.filter((report): report is LimitReport => {
    if (!Json.isObject(report)) return false;
    const { ageMs, ratePerS, target } = report;
    return typeof target === "string" && isAmount(ageMs) &&
      (ratePerS === null || isAmount(ratePerS));
  });
}

function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
