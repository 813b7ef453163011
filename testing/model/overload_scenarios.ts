/** Load patterns with more demand than room, for `overload_model.ts`. */

/** A kind of request with a service of its own. */
export interface Kind {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: number;
  readonly slots: number;
  /** Usual requests per second over all instances. */
  readonly perS: number;
  /** Time of a request whose affinity key is cached, ms. */
  readonly hitMs: number;
  readonly missMs: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  /** Demand under pressure relative to the usual. */
  readonly burstFactor: number;
  /** Affinity keys of each region. */
  readonly keys: number;
}

/** Load pattern of a run. */
export interface OverloadScenario {
  readonly regions: readonly {
    readonly name: string;
    readonly instances: number;
    readonly callers: number;
    /** Share of the targets, 0 to 1. */
    readonly targetShare: number;
  }[];
  readonly kinds: readonly Kind[];
  readonly accounts: number;
  /** Index of the account that sends several times its usual rate. */
  readonly hotAccount: number;
  readonly hotFactor: number;
  /** Rate limit of an account relative to its usual rate. */
  readonly limitFactor: number;
  /** Share of the callers that return at once, three times, after a rejection. */
  readonly returnAtOnceShare: number;
  /** Share of the targets that cold ones replace when the pressure begins. */
  readonly replacedShare: number;
  readonly coldMs: number;
  /** Exponent of the distribution of affinity keys; 1 is uniform. */
  readonly keySkew: number;
  readonly durationMs: number;
  readonly pressureFromMs: number;
  readonly pressureToMs: number;
  /** Time at which all instances restart and lose their state. */
  readonly restartAtMs?: number;
  /** True when instances learn the fleet-wide usage of accounts. */
  readonly isUsageKnown: boolean;
}

/** Deployment Q of docs/design/hard_load.md: 2.7 times the usual demand for 8 s. */
export const DEPLOYMENT_Q: OverloadScenario = {
  regions: [
    { name: "north", instances: 20, callers: 20, targetShare: 0.1 },
    { name: "middle", instances: 21, callers: 21, targetShare: 0.43 },
    { name: "south", instances: 20, callers: 20, targetShare: 0.47 },
  ],
  kinds: [
    {
      name: "receipt-lookup",
      priority: 0,
      targets: 85,
      slots: 4,
      perS: 744,
      hitMs: 192,
      missMs: 637,
      targetLatencyMs: 508,
      deadlineMs: 3_046,
      burstFactor: 2.1,
      keys: 255,
    },
    {
      name: "refund-payout",
      priority: 1,
      targets: 38,
      slots: 5,
      perS: 262,
      hitMs: 253,
      missMs: 844,
      targetLatencyMs: 619,
      deadlineMs: 4_029,
      burstFactor: 1.8,
      keys: 114,
    },
    {
      name: "claims-history",
      priority: 2,
      targets: 62,
      slots: 4,
      perS: 220,
      hitMs: 483,
      missMs: 1_610,
      targetLatencyMs: 2_536,
      deadlineMs: 8_009,
      burstFactor: 1.8,
      keys: 186,
    },
  ],
  accounts: 73,
  hotAccount: 2,
  hotFactor: 6.7,
  limitFactor: 1.6,
  returnAtOnceShare: 0.3,
  replacedShare: 1 / 3,
  coldMs: 3_000,
  keySkew: 1,
  durationMs: 28_000,
  pressureFromMs: 12_000,
  pressureToMs: 20_000,
  isUsageKnown: true,
};

/** The same load on a third of the instances and targets. */
export const SMALL_Q: OverloadScenario = {
  ...DEPLOYMENT_Q,
  regions: [
    { name: "north", instances: 7, callers: 20, targetShare: 0.1 },
    { name: "middle", instances: 7, callers: 21, targetShare: 0.43 },
    { name: "south", instances: 7, callers: 20, targetShare: 0.47 },
  ],
  kinds: DEPLOYMENT_Q.kinds.map((kind) => ({
    ...kind,
    targets: Math.round(kind.targets / 3),
    perS: kind.perS / 3,
    keys: Math.round(kind.keys / 3),
  })),
};

/** One account at several times its usual rate, and nothing else. */
export const HOT_ACCOUNT: OverloadScenario = {
  ...SMALL_Q,
  kinds: SMALL_Q.kinds.map((kind) => ({ ...kind, burstFactor: 1 })),
  replacedShare: 0,
};
