/**
 * Chooses the regions of each request by effective weights, which follow the
 * table's weights at a limited speed (the ramp). Guarantee: the distribution of
 * one region's requests over all regions changes by at most the service's
 * `shift_pct_per_s` percentage points in any second, whatever the number of table
 * changes.
 *
 * The ramp applies to shares of traffic and not to the weights of the rows,
 * because a small change of a weight can move most of the spilled traffic.
 * Failover is not covered by the guarantee: it is immediate and bounded by the
 * region caps.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as RoundRobin from "./round_robin.ts";
import * as Shares from "./shares.ts";

/** Current traffic shares in percent, by service, origin and region; serializable as JSON. */
export type Ramp = Readonly<
  Record<
    Types.Service,
    Readonly<Record<Types.Region, Readonly<Record<Types.Region, number>>>>
  >
>;

/** Dependencies of the steering. */
export interface SteeringOptions {
  /** Region of this instance. */
  readonly region: Types.Region;
  readonly clock: Clock.Clock;
  /** Requests the ramp of a peer; resolves to undefined when no peer responds. */
  readonly getPeerRamp?: () => Promise<unknown>;
}

/** Steering whose ramp can be copied between peers. */
export interface RampedSteering extends Contracts.Steering {
  /** The current shares of all origins, for a peer that starts. */
  exportRamp(): Ramp;
  /**
   * Adopts a peer's ramp for the services that have not chosen a region yet. For
   * other services the ramp is ignored, because it would move traffic at once.
   * Returns false when no share was adopted, also for malformed input.
   */
  importRamp(ramp: unknown): boolean;
  /**
   * Adopts the ramp of `getPeerRamp`, as `importRamp` does; must be called
   * before the first request.
   */
  bootstrap(): Promise<boolean>;
}

/** Unassigned percentages below this are rounding errors. */
const MIN_UNASSIGNED_PCT = 1e-6;

interface OriginState {
  /** Shares in force. */
  shares: Shares.Shares;
  /** Shares that the table defines; the ramp moves `shares` towards them. */
  tableShares: Shares.Shares;
}

interface ServiceState {
  rows: readonly Types.Row[];
  /** The table's weights above 0, largest first. */
  weights: ReadonlyMap<Types.Region, number>;
  readonly origins: Map<Types.Region, OriginState>;
  /** Monotonic ms up to which the ramp has advanced. */
  advancedAtMs: number;
  /** Lowest limit of the service's rows, percentage points per second. */
  shiftPctPerS: number;
  /** True once a region was chosen for a request. */
  hasChosen: boolean;
  readonly firstRegions: RoundRobin.RoundRobin<Types.Region>;
  /** Round robin of the fallback regions, by the region that was chosen first. */
  readonly fallbacks: Map<Types.Region, RoundRobin.RoundRobin<Types.Region>>;
}

/**
 * Stands for the traffic that no region accepts. Its share ramps like that of a
 * region, so a service whose weights were all 0 regains its traffic gradually.
 */
const NO_REGION: Types.Region = "";

/** Adds the percentage that no region accepts to the shares, under `NO_REGION`. */
function addUnassigned(
  shares: Shares.Shares,
): ReadonlyMap<Types.Region, number> {
  const sum = [...shares.values()].reduce((total, share) => total + share, 0);
  const unassigned = 100 - sum;
  return unassigned > MIN_UNASSIGNED_PCT
    ? new Map([...shares, [NO_REGION, unassigned]])
    : shares;
}

/** Weights above 0 by region, largest first. */
function getWeights(
  rows: readonly Types.Row[],
): ReadonlyMap<Types.Region, number> {
  const weightedRows = rows.filter((row) => row.weight > 0);
  const sortedRows = weightedRows.toSorted((a, b) => b.weight - a.weight);
  return new Map(sortedRows.map((row) => [row.region, row.weight]));
}

/**
 * Parses the shares of one origin from a peer's ramp; undefined when they are
 * malformed or exceed 100 in sum.
 */
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

/** Creates the steering of an entry instance in `opts.region`. */
export function createSteering(opts: SteeringOptions): RampedSteering {
  const { clock, region: localRegion } = opts;
  const services = new Map<Types.Service, ServiceState>();
  /** The peer's ramp by service, kept for services that the table doesn't contain yet. */
  let peerRamp: Readonly<Record<string, unknown>> = {};

  /** Lowest limit of the rows whose share changes, percentage points per second. */
  function getShiftPctPerS(state: ServiceState, origin: OriginState): number {
    const changedRegions = new Set(
      Shares.getChangedRegions(origin.shares, origin.tableShares),
    );
    const limits = state.rows.filter((row) => changedRegions.has(row.region))
      .map((row) => row.shiftPctPerS);
    return limits.length === 0 ? state.shiftPctPerS : Math.min(...limits);
  }

  /** Advances the ramps of all origins to the present time. */
  function advance(state: ServiceState): void {
    const nowMs = clock.nowMs();
    const elapsedS = Math.max(0, nowMs - state.advancedAtMs) / 1_000;
    state.advancedAtMs = nowMs;
    for (const origin of state.origins.values()) {
      if (origin.shares === origin.tableShares) continue;
      const points = getShiftPctPerS(state, origin) * elapsedS;
      origin.shares = Shares.moveTowards(
        origin.shares,
        origin.tableShares,
        points,
      );
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
      firstRegions: RoundRobin.createRoundRobin(),
      fallbacks: new Map(),
    };
  }

  function setRules(state: ServiceState, rules: Types.ServiceRules): void {
    // The time until now counts for the ramp towards the previous table.
    advance(state);
    state.rows = rules.rows;
    state.weights = getWeights(rules.rows);
    const limits = rules.rows.map((row) => row.shiftPctPerS);
    if (limits.length > 0) state.shiftPctPerS = Math.min(...limits);
    const origins = rules.rows.map((row) => row.region);
    for (const origin of new Set([...origins, localRegion])) {
      const tableShares = Shares.getTableShares(rules.rows, origin);
      const originState = state.origins.get(origin);
      if (originState === undefined) {
        state.origins.set(origin, { shares: tableShares, tableShares });
      } else originState.tableShares = tableShares;
    }
  }

  function setTable(table: Types.Table): void {
    for (const service of services.keys()) {
      if (!table.services.has(service)) services.delete(service);
    }
    for (const [service, rules] of table.services) {
      const existing = services.get(service);
      const state = existing ?? createState(rules);
      services.set(service, state);
      setRules(state, rules);
      if (existing === undefined) importService(service, peerRamp[service]);
    }
  }

  /**
   * Regions to try after `first`: the local region, then one that is chosen in
   * proportion to the table's weights, then the remaining ones.
   */
  function getFallbacks(
    state: ServiceState,
    first: Types.Region,
  ): readonly Types.Region[] {
    const weights = new Map(state.weights);
    weights.delete(first);
    const existing = state.fallbacks.get(first);
    const roundRobin = existing ?? RoundRobin.createRoundRobin<Types.Region>();
    state.fallbacks.set(first, roundRobin);
    const next = roundRobin.tryNext(weights);
    const preferred = [localRegion, ...(next === undefined ? [] : [next])];
    return [...new Set([...preferred, ...weights.keys()])].filter((region) =>
      weights.has(region)
    );
  }

  function chooseRegions(service: Types.Service): readonly Types.Region[] {
    const state = services.get(service);
    if (state === undefined) return [];
    advance(state);
    state.hasChosen = true;
    const shares = state.origins.get(localRegion)?.shares ?? new Map();
    const first = state.firstRegions.tryNext(addUnassigned(shares));
    if (first === undefined || first === NO_REGION) return [];
    return [first, ...getFallbacks(state, first)];
  }

  function getEffectiveWeights(service: Types.Service): Shares.Shares {
    const state = services.get(service);
    if (state === undefined) return new Map();
    advance(state);
    const weights = new Map<Types.Region, number>();
    for (const row of state.rows) weights.set(row.region, 0);
    const shares = state.origins.get(localRegion)?.shares ?? new Map();
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

  /** Adopts a peer's shares of one service; returns false when none was adopted. */
  function importService(service: Types.Service, value: unknown): boolean {
    const state = services.get(service);
    if (state === undefined || state.hasChosen || !isRecord(value)) {
      return false;
    }
    let isAdopted = false;
    for (const [origin, originState] of state.origins) {
      const shares = tryParseShares(value[origin]);
      if (shares === undefined) continue;
      originState.shares = shares;
      isAdopted = true;
    }
    state.advancedAtMs = clock.nowMs();
    return isAdopted;
  }

  function importRamp(ramp: unknown): boolean {
    if (!isRecord(ramp)) return false;
    peerRamp = ramp;
    const adopted = Object.entries(ramp).map(([service, value]) =>
      importService(service, value)
    );
    return adopted.includes(true);
  }

  return {
    setTable,
    chooseRegions,
    getEffectiveWeights,
    exportRamp,
    importRamp,
    async bootstrap() {
      return importRamp(await opts.getPeerRamp?.());
    },
  };
}
