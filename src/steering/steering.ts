/**
 * Region choice by effective weights. Promise: the distribution of the callers
 * of a region over the regions moves by at most the service's `shift_pct_per_s`
 * percentage points in any second, through any number of table changes.
 *
 * The ramp runs over shares of traffic and not over the weights of the rows: a
 * small change of a weight can move most of the spilled traffic at once.
 * What breaks it: a failover, which is immediate and bounded by region caps.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as RoundRobin from "./round_robin.ts";
import * as Shares from "./shares.ts";

/** Share in percent by service, origin and region; JSON-safe. */
export type Ramp = Readonly<
  Record<
    Types.Service,
    Readonly<Record<Types.Region, Readonly<Record<Types.Region, number>>>>
  >
>;

/** What steering needs of its instance. */
export interface SteeringOptions {
  readonly region: Types.Region;
  readonly clock: Clock.Clock;
  /** Asks a peer for its ramp; undefined when none answers. */
  readonly getPeerWeights?: () => Promise<unknown>;
}

/** Steering with the ramp's exchange between peers. */
export interface RampedSteering extends Contracts.Steering {
  /** The ramps of all origins as they are now, for a peer that starts. */
  exportRamp(): Ramp;
  /**
   * Takes a peer's ramp over, for services that have not chosen yet; returns
   * false when nothing was taken. A later one would move traffic at once.
   */
  importRamp(ramp: unknown): boolean;
  /** Takes the ramp of `getPeerWeights` over; call before the first request. */
  bootstrap(): Promise<boolean>;
}

/** Sums of shares differ from 100 by rounding; less than this is no rest. */
const MIN_REST_PCT = 1e-6;

interface OriginState {
  shares: Shares.Shares;
  target: Shares.Shares;
}

interface ServiceState {
  rows: readonly Types.Row[];
  /** Weights above 0, largest first. */
  weights: ReadonlyMap<Types.Region, number>;
  readonly origins: Map<Types.Region, OriginState>;
  advancedAtMs: number;
  /** Percentage points per second. */
  shiftPctPerS: number;
  hasChosen: boolean;
  readonly choice: RoundRobin.RoundRobin<Types.Region>;
  /** By the region that refused. */
  readonly fallbacks: Map<Types.Region, RoundRobin.RoundRobin<Types.Region>>;
}

/**
 * Takes the part of the traffic that no region takes. It ramps like the others:
 * a service whose weights were all 0 gets its traffic back step by step.
 */
const NO_REGION: Types.Region = "";

/** Weights for the round robin, with the part that no region takes. */
function withRest(
  shares: Shares.Shares,
): ReadonlyMap<Types.Region, number> {
  const sum = [...shares.values()].reduce((total, share) => total + share, 0);
  const rest = 100 - sum;
  return rest > MIN_REST_PCT ? new Map([...shares, [NO_REGION, rest]]) : shares;
}

function getWeights(
  rows: readonly Types.Row[],
): ReadonlyMap<Types.Region, number> {
  const usable = rows.filter((row) => row.weight > 0);
  const ranked = usable.toSorted((a, b) => b.weight - a.weight);
  return new Map(ranked.map((row) => [row.region, row.weight]));
}

/** Shares of a peer's ramp; undefined unless they are a distribution. */
function tryParseShares(value: unknown): Shares.Shares | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const shares = new Map<Types.Region, number>();
  let sum = 0;
  for (const [region, share] of Object.entries(value)) {
    if (typeof share !== "number" || !(share >= 0)) return undefined;
    shares.set(region, share);
    sum += share;
  }
  return sum <= 100.001 ? shares : undefined;
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null;
}

/** Creates the steering of an entry instance in `region`. */
export function createSteering(opts: SteeringOptions): RampedSteering {
  const { clock, region: ownRegion } = opts;
  const services = new Map<Types.Service, ServiceState>();
  /** A peer's ramp that came before the table. */
  let pending: Readonly<Record<string, unknown>> = {};

  /** The slowest cap of the rows whose share changes. */
  function getShift(state: ServiceState, origin: OriginState): number {
    const changed = new Set(Shares.getChanged(origin.shares, origin.target));
    const shifts = state.rows.filter((row) => changed.has(row.region))
      .map((row) => row.shiftPctPerS);
    return shifts.length === 0 ? state.shiftPctPerS : Math.min(...shifts);
  }

  function advance(state: ServiceState): void {
    const now = clock.nowMs();
    const elapsedS = Math.max(0, now - state.advancedAtMs) / 1_000;
    state.advancedAtMs = now;
    for (const origin of state.origins.values()) {
      if (origin.shares === origin.target) continue;
      const points = getShift(state, origin) * elapsedS;
      origin.shares = Shares.moveTowards(origin.shares, origin.target, points);
    }
  }

  function createState(rules: Types.ServiceRules): ServiceState {
    return {
      rows: rules.rows,
      weights: new Map(),
      origins: new Map(),
      advancedAtMs: clock.nowMs(),
      shiftPctPerS: Infinity,
      hasChosen: false,
      choice: RoundRobin.createRoundRobin(),
      fallbacks: new Map(),
    };
  }

  function setRules(state: ServiceState, rules: Types.ServiceRules): void {
    // Time so far counts for the old target.
    advance(state);
    state.rows = rules.rows;
    state.weights = getWeights(rules.rows);
    const shifts = rules.rows.map((row) => row.shiftPctPerS);
    if (shifts.length > 0) state.shiftPctPerS = Math.min(...shifts);
    const origins = rules.rows.map((row) => row.region);
    for (const origin of new Set([...origins, ownRegion])) {
      const target = Shares.getTableShares(rules.rows, origin);
      const known = state.origins.get(origin);
      if (known === undefined) {
        state.origins.set(origin, { shares: target, target });
      } else known.target = target;
    }
  }

  function setTable(table: Types.Table): void {
    for (const service of services.keys()) {
      if (!table.services.has(service)) services.delete(service);
    }
    for (const [service, rules] of table.services) {
      const known = services.get(service);
      const state = known ?? createState(rules);
      services.set(service, state);
      setRules(state, rules);
      if (known === undefined) importService(service, pending[service]);
    }
  }

  /** Other regions to try after `first`: the own one, then in proportion to the table's weights. */
  function getFallbacks(
    state: ServiceState,
    first: Types.Region,
  ): readonly Types.Region[] {
    const weights = new Map(state.weights);
    weights.delete(first);
    const known = state.fallbacks.get(first);
    const fallback = known ?? RoundRobin.createRoundRobin<Types.Region>();
    state.fallbacks.set(first, fallback);
    const next = fallback.tryNext(weights);
    const ordered = [ownRegion, ...(next === undefined ? [] : [next])];
    return [...new Set([...ordered, ...weights.keys()])].filter((region) =>
      weights.has(region)
    );
  }

  function chooseRegions(service: Types.Service): readonly Types.Region[] {
    const state = services.get(service);
    if (state === undefined) return [];
    advance(state);
    state.hasChosen = true;
    const shares = state.origins.get(ownRegion)?.shares ?? new Map();
    const first = state.choice.tryNext(withRest(shares));
    if (first === undefined || first === NO_REGION) return [];
    return [first, ...getFallbacks(state, first)];
  }

  function getEffectiveWeights(service: Types.Service): Shares.Shares {
    const state = services.get(service);
    if (state === undefined) return new Map();
    advance(state);
    const weights = new Map<Types.Region, number>();
    for (const row of state.rows) weights.set(row.region, 0);
    const shares = state.origins.get(ownRegion)?.shares ?? new Map();
    for (const [region, share] of shares) weights.set(region, share);
    return weights;
  }

  function exportRamp(): Ramp {
    const ramp: Record<string, Record<string, Record<string, number>>> = {};
    for (const [service, state] of services) {
      advance(state);
      const origins = [...state.origins].map(([origin, { shares }]) =>
        [origin, Object.fromEntries(shares)] as const
      );
      ramp[service] = Object.fromEntries(origins);
    }
    return ramp;
  }

  function importService(service: Types.Service, value: unknown): boolean {
    const state = services.get(service);
    if (state === undefined || state.hasChosen || !isRecord(value)) {
      return false;
    }
    let isTaken = false;
    for (const [origin, known] of state.origins) {
      const shares = tryParseShares(value[origin]);
      if (shares === undefined) continue;
      known.shares = shares;
      isTaken = true;
    }
    state.advancedAtMs = clock.nowMs();
    return isTaken;
  }

  function importRamp(ramp: unknown): boolean {
    if (!isRecord(ramp)) return false;
    pending = ramp;
    const taken = Object.entries(ramp).map(([service, value]) =>
      importService(service, value)
    );
    return taken.includes(true);
  }

  return {
    setTable,
    chooseRegions,
    getEffectiveWeights,
    exportRamp,
    importRamp,
    async bootstrap() {
      return importRamp(await opts.getPeerWeights?.());
    },
  };
}
