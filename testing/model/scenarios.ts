/** Load patterns of the users' sites as scenarios of the model. */
import type * as FleetModel from "./fleet_model.ts";

/** Regions of the users' first site: one region has only 2 of the 20 targets. */
const UNEVEN_REGIONS = [
  { name: "lombardia", targets: 2, instances: 3 },
  { name: "trentino", targets: 8, instances: 3 },
  { name: "piemonte", targets: 10, instances: 2 },
] as const;

const COMMON = {
  regions: UNEVEN_REGIONS,
  affinityKeysPerRegion: 137,
  durationMs: 20_000,
} as const;

/** All scenarios by name. */
export const scenarios = {
  calm: {
    ...COMMON,
    name: "calm",
    pattern:
      "a third of the capacity of the targets; no affinity key is cached at the start",
    requestsPerS: 300,
  },
  "cold-start": {
    ...COMMON,
    name: "cold-start",
    pattern: "high load from the first second, when no affinity key is cached",
    requestsPerS: 750,
  },
  burst: {
    ...COMMON,
    name: "burst",
    pattern: "1.7 times a high load for three seconds",
    requestsPerS: 650,
    getRateFactor: (atMs) => atMs >= 10_000 && atMs < 13_000 ? 1.7 : 1,
  },
  loss: {
    ...COMMON,
    name: "loss",
    pattern: "half of a region's targets become unreachable at high load",
    requestsPerS: 600,
    loss: { region: "trentino", atMs: 10_000, targets: 4 },
  },
  "random-shed": {
    ...COMMON,
    name: "random-shed",
    pattern: "all targets shed more than half of the requests",
    requestsPerS: 400,
    shed: { fromMs: 8_000, toMs: 14_000, share: 0.55 },
  },
  restart: {
    ...COMMON,
    name: "restart",
    pattern:
      "all instances restart at high load while the affinity keys are cached",
    requestsPerS: 700,
    restartAtMs: 10_000,
  },
  "large-fleet": {
    name: "large-fleet",
    pattern:
      "87 instances, each of which receives an affinity key about twice a minute",
    regions: [
      { name: "lombardia", targets: 34, instances: 27 },
      { name: "trentino", targets: 140, instances: 30 },
      { name: "piemonte", targets: 168, instances: 30 },
    ],
    affinityKeysPerRegion: 417,
    durationMs: 20_000,
    requestsPerS: 1_400,
    site: {
      hitServiceMs: 640,
      missServiceMs: 2_120,
      targetLatencyMs: 1_500,
      deadlineMs: 10_000,
      cacheCapacity: 15,
    },
  },
  "small-queues": {
    name: "small-queues",
    pattern:
      "61 instances and 85 targets of 4 slots; an instance sends to one target every 7 s",
    regions: [
      { name: "lombardia", targets: 9, instances: 20 },
      { name: "trentino", targets: 34, instances: 20 },
      { name: "piemonte", targets: 42, instances: 21 },
    ],
    affinityKeysPerRegion: 538,
    durationMs: 30_000,
    requestsPerS: 744,
    keySkew: 0.9,
    site: {
      hitServiceMs: 192,
      missServiceMs: 637,
      targetLatencyMs: 508,
      deadlineMs: 3_046,
      cacheCapacity: [10, 27],
      slots: 4,
      priority: 0,
    },
  },
  "shared-machines": {
    name: "shared-machines",
    pattern:
      "33 instances and 151 targets, of which 15% are 2.5 times slower, others every 600 ms; demand swings by region",
    regions: [
      { name: "uusimaa", targets: 15, instances: 11 },
      { name: "pirkanmaa", targets: 62, instances: 11 },
      { name: "pohjanmaa", targets: 74, instances: 11 },
    ],
    affinityKeysPerRegion: 956,
    durationMs: 36_000,
    requestsPerS: 865,
    keySkew: 0.9,
    getRegionFactor: (region, atMs) =>
      1 + 0.55 * Math.sin(
          2 * Math.PI *
            (atMs / 36_000 + ["uusimaa", "pirkanmaa"].indexOf(region) / 3),
        ),
    slowTargets: { share: 0.15, slowdown: 2.5, changeMs: 600 },
    longWork: { share: 0.03, factor: 7 },
    site: {
      hitServiceMs: 330,
      missServiceMs: 1_099,
      targetLatencyMs: 1_048,
      deadlineMs: 6_287,
      cacheCapacity: [10, 27],
      slots: 6,
      remoteRoundTripMs: 70,
      priority: 0,
    },
  },
  homed: {
    ...COMMON,
    name: "homed",
    pattern:
      "two targets for 450 requests a second that must stay in their region",
    requestsPerS: 750,
    homed: { region: "lombardia", share: 0.6, affinityKeys: 186 },
    site: {
      hitServiceMs: 144,
      missServiceMs: 1_100,
      targetLatencyMs: 400,
      deadlineMs: 2_500,
      cacheCapacity: 32,
    },
  },
  overload: {
    ...COMMON,
    name: "overload",
    pattern: "a lasting load that is a fifth above the capacity of the targets",
    requestsPerS: 1_500,
  },
} as const satisfies Readonly<Record<string, FleetModel.Scenario>>;

/** Name of a scenario. */
export type ScenarioName = keyof typeof scenarios;
