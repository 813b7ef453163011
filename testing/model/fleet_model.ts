/**
 * A small deterministic model of targets and instances. Each target has slots, a
 * queue, a bounded cache of affinity keys and slow cache misses. Instances learn
 * the load of a target only from its responses. Time is simulated. Decisions come
 * from the production modules `choice.ts`, `placement.ts`, `warmup.ts` and
 * `target_load.ts`.
 */
import * as Choice from "../../src/gateway/choice.ts";
import * as Placement from "../../src/gateway/placement.ts";
import type * as State from "../../src/gateway/state.ts";
import * as TargetLoad from "../../src/gateway/target_load.ts";
import * as Timings from "../../src/gateway/timings.ts";
import * as CacheState from "../../src/gateway/cache_state.ts";
import * as WorkingSet from "../../src/gateway/working_set.ts";
import * as Warmup from "../../src/gateway/warmup.ts";
import * as Random from "../load/random.ts";
import * as EventQueue from "./event_queue.ts";

/** How an instance chooses a target. */
export type Policy =
  /** The decisions of the production modules. */
  | "product"
  /** As `product`, but without working sets: overloaded targets serve all their affinity keys. */
  | "all-objects"
  /** Always the primary target, however long its queue is. */
  | "own-place"
  /** A random target. */
  | "random";

/** Load pattern and events of a run. */
export interface Scenario {
  readonly name: string;
  /** Description of the load pattern, printed above the results. */
  readonly pattern: string;
  readonly regions: readonly {
    readonly name: string;
    readonly targets: number;
    readonly instances: number;
  }[];
  readonly requestsPerS: number;
  readonly affinityKeysPerRegion: number;
  readonly durationMs: number;
  /** Factor by which `requestsPerS` is multiplied at a time. */
  readonly getRateFactor?: (atMs: number) => number;
  /** Number of targets of a region that become unreachable at a time. */
  readonly loss?: {
    readonly region: string;
    readonly atMs: number;
    readonly targets: number;
  };
  /** Share of arriving requests (0 to 1) that targets shed at random, also with free slots, between two times. */
  readonly shed?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly share: number;
  };
  /** Share of the requests (0 to 1) that may use only the targets of one region, and their affinity keys. */
  readonly homed?: {
    readonly region: string;
    readonly share: number;
    readonly affinityKeys: number;
  };
  /** Time at which all instances restart and lose their state. */
  readonly restartAtMs?: number;
  /** Parameters that differ from `SMALL_SITE`. */
  readonly site?: Partial<SiteParameters>;
}

/** Service times of the targets, time limits of the route, and the number of affinity keys that a target caches. */
export interface SiteParameters {
  readonly hitServiceMs: number;
  readonly missServiceMs: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly cacheCapacity: number;
}

const SMALL_SITE: SiteParameters = {
  hitServiceMs: 144,
  missServiceMs: 480,
  targetLatencyMs: 400,
  deadlineMs: 2_500,
  cacheCapacity: 67,
};

/** Requests that arrived in one second, by result. */
export interface RequestCounts {
  requested: number;
  /** Responses within the latency target. */
  withinTarget: number;
  /** Responses after the latency target and before the deadline. */
  late: number;
  rejected: number;
}

/** Result of a run. */
export interface Outcome {
  readonly seconds: readonly RequestCounts[];
  readonly cacheMisses: number;
  readonly total: RequestCounts;
}

/** Requests that a target serves at the same time. */
const SLOTS = 9;
/** Requests that wait at a target before it sheds. */
const QUEUE_CAPACITY = 27;
const REMOTE_ROUND_TRIP_MS = 110;
const LOCAL_ROUND_TRIP_MS = 2;
/** Targets tried for a request before it counts as rejected. */
const MAX_TARGETS = 2;
const ROUTE = "r";

interface ModelTarget {
  readonly knownTarget: State.KnownTarget;
  running: number;
  readonly queue: (() => void)[];
  /** Cached affinity keys, the most recently served last. */
  readonly cachedKeys: Map<string, true>;
  isLost: boolean;
}

interface ModelRequest {
  readonly affinityKey: string;
  /** The only region whose targets the request may use; any region if undefined. */
  readonly homeRegion: string | undefined;
  readonly startedAtMs: number;
  readonly counts: RequestCounts;
  readonly triedIds: Set<string>;
}

/** Plays a scenario under a policy. The same seed gives the same result. */
export function playScenario(
  scenario: Scenario,
  policy: Policy,
  seed: number,
): Outcome {
  const {
    hitServiceMs,
    missServiceMs,
    targetLatencyMs,
    deadlineMs,
    cacheCapacity,
  } = {
    ...SMALL_SITE,
    ...scenario.site,
  };
  const random = Random.createRandom(seed);
  const events = EventQueue.createEventQueue();
  const clock = { nowMs: events.nowMs, wallMs: events.nowMs };
  const demand = new Map(scenario.regions.map(({ name }) => [name, 1]));
  const targets = scenario.regions.flatMap(createTargets);
  const targetsById = new Map(
    targets.map((target) => [target.knownTarget.entry.id, target]),
  );
  const seconds: RequestCounts[] = Array.from(
    { length: Math.ceil(scenario.durationMs / 1_000) },
    () => ({ requested: 0, withinTarget: 0, late: 0, rejected: 0 }),
  );
  let cacheMisses = 0;
  let epoch = 0;

  const startInstances = () =>
    scenario.regions.flatMap(({ name, instances: count }) =>
      Array.from({ length: count }, () => createInstance(name))
    );
  let instances = startInstances();

  function createInstance(region: string) {
    const loads = TargetLoad.createTargetLoads(clock);
    const timings = Timings.createTimings();
    const cacheState = CacheState.createCacheState(clock);
    const workingSets = WorkingSet.createWorkingSets(clock);
    const warmups = Warmup.createWarmups(clock);
    const placement = Placement.createPlacement({ origin: region, demand });
    const getRoundTripMs = (target: State.KnownTarget) =>
      target.region === region ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;

    function getCandidates(req: ModelRequest): readonly Choice.Candidate[] {
      const { homeRegion } = req;
      const usable = targets.filter((target) => !target.isLost)
        .map((target) => target.knownTarget)
        .filter((target) =>
          homeRegion === undefined || target.region === homeRegion
        );
      const scope = homeRegion === undefined ? ROUTE : `${ROUTE} ${homeRegion}`;
      const ranked = placement.rank(scope, req.affinityKey, epoch, usable);
      return ranked.map((target, rank): Choice.Candidate => {
        const { id } = target.entry;
        return {
          target,
          rank,
          isPaused: loads.isPaused(id),
          isCold: false,
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
      }).filter((candidate) => !req.triedIds.has(candidate.target.entry.id));
    }

    function chooseByPolicy(
      req: ModelRequest,
      candidates: readonly Choice.Candidate[],
      profile: Choice.RequestProfile,
    ): Choice.Choice {
      const rejection: Choice.Choice = {
        kind: "reject",
        reason: "no-target",
        retryAfterMs: 0,
      };
      switch (policy) {
        case "product":
        case "all-objects":
          return Choice.chooseCandidate(candidates, profile);
        case "own-place":
          return candidates[0] === undefined
            ? rejection
            : { kind: "send", candidate: candidates[0] };
        case "random": {
          const usable = targets.filter((target) =>
            !target.isLost &&
            !req.triedIds.has(target.knownTarget.entry.id)
          );
          const target = usable[Math.floor(random() * usable.length)]
            ?.knownTarget;
          if (target === undefined) return rejection;
          const firstCandidate = candidates[0]!;
          return {
            kind: "send",
            candidate: { ...firstCandidate, target, rank: 0 },
          };
        }
      }
    }

    function handleRequest(req: ModelRequest): void {
      const nowMs = events.nowMs();
      const elapsedMs = nowMs - req.startedAtMs;
      const profile: Choice.RequestProfile = {
        deadlineMs: deadlineMs - elapsedMs,
        targetLatencyMs: targetLatencyMs,
        priority: 1,
        cacheHitMs: timings.getServiceMs(ROUTE, true, targetLatencyMs / 3),
        cacheMissMs: timings.getServiceMs(ROUTE, false, targetLatencyMs / 3),
        missCostMs: timings.getMissCostMs(ROUTE, targetLatencyMs / 3),
      };
      const candidates = getCandidates(req);
      const choice = chooseByPolicy(req, candidates, profile);
      const primary = candidates[0];
      if (primary?.rank === 0 && choice.kind !== "wait") {
        const { id } = primary.target.entry;
        const wasAdmitted = choice.kind === "send";
        const isForPrimary = wasAdmitted
          ? choice.candidate === primary
          : !primary.isExcluded;
        if (isForPrimary && policy === "product") {
          workingSets.recordAdmission(id, wasAdmitted);
        }
      }
      switch (choice.kind) {
        case "reject":
          req.counts.rejected++;
          return;
        case "wait":
          events.schedule(choice.maxMs, () => handleRequest(req));
          return;
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
      const roundTripMs = getRoundTripMs(candidate.target);
      const expectedMs = Choice.getExpectedResponseMs(candidate, profile);
      const endWarmup = Choice.isLikelyCached(candidate)
        ? () => {}
        : warmups.start(req.affinityKey, id, expectedMs);
      req.triedIds.add(id);
      loads.start(id);
      events.schedule(
        roundTripMs / 2,
        () =>
          handleArrival(targetsById.get(id)!, req, (isServed, target) => {
            events.schedule(roundTripMs / 2, () => {
              endWarmup();
              handleResponse(
                req,
                candidate,
                sentAtMs,
                roundTripMs,
                isServed,
                target,
              );
            });
          }),
      );
    }

    function handleResponse(
      req: ModelRequest,
      candidate: Choice.Candidate,
      sentAtMs: number,
      roundTripMs: number,
      isServed: boolean,
      target: ModelTarget,
    ): void {
      const { id } = candidate.target.entry;
      const nowMs = events.nowMs();
      loads.end(id, isServed ? "answered" : "shed");
      loads.recordReport(id, {
        running: target.running,
        waiting: target.queue.length,
        slots: SLOTS,
      });
      if (!isServed) {
        if (req.triedIds.size < MAX_TARGETS) return handleRequest(req);
        req.counts.rejected++;
        return;
      }
      if (candidate.outstanding < SLOTS) {
        const wasHitExpected = candidate.cacheHitChance === 1;
        const serviceMs = nowMs - sentAtMs - roundTripMs;
        const wasFast = timings.recordResponse(
          ROUTE,
          wasHitExpected,
          serviceMs,
        );
        if (!wasHitExpected && wasFast !== undefined) {
          cacheState.recordOutcome(candidate.rank, wasFast);
        }
      }
      cacheState.recordCached(req.affinityKey, id);
      const latencyMs = nowMs - req.startedAtMs;
      if (latencyMs <= targetLatencyMs) req.counts.withinTarget++;
      else if (latencyMs <= deadlineMs) req.counts.late++;
    }

    scenario.regions.forEach(({ name }) =>
      timings.recordConnect(
        name,
        name === region ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS,
      )
    );
    return { region, handleRequest };
  }

  function createTargets(region: Scenario["regions"][number]): ModelTarget[] {
    return Array.from({ length: region.targets }, (_, index) => ({
      knownTarget: {
        entry: {
          id: `${region.name}-${index}`,
          service: ROUTE,
          address: "",
          domain: region.name,
          slots: SLOTS,
          isLeaving: false,
          coldLeftMs: 0,
          startedAtMs: 1,
        },
        region: region.name,
        coldUntilMs: 0,
      },
      running: 0,
      queue: [],
      cachedKeys: new Map(),
      isLost: false,
    }));
  }

  function handleArrival(
    target: ModelTarget,
    req: ModelRequest,
    respond: (isServed: boolean, target: ModelTarget) => void,
  ): void {
    const { shed } = scenario;
    const nowMs = events.nowMs();
    const isShed = shed !== undefined && nowMs >= shed.fromMs &&
      nowMs < shed.toMs && random() < shed.share;
    const isFull = target.running >= SLOTS &&
      target.queue.length >= QUEUE_CAPACITY;
    if (target.isLost || isShed || isFull) return respond(false, target);
    const serve = () => {
      target.running++;
      const isCached = target.cachedKeys.has(req.affinityKey);
      if (!isCached) cacheMisses++;
      events.schedule(isCached ? hitServiceMs : missServiceMs, () => {
        target.running--;
        addToCache(target, req.affinityKey);
        respond(true, target);
        target.queue.shift()?.();
      });
    };
    if (target.running < SLOTS) serve();
    else target.queue.push(serve);
  }

  function addToCache(target: ModelTarget, affinityKey: string): void {
    target.cachedKeys.delete(affinityKey);
    target.cachedKeys.set(affinityKey, true);
    if (target.cachedKeys.size <= cacheCapacity) return;
    for (const oldest of target.cachedKeys.keys()) {
      target.cachedKeys.delete(oldest);
      return;
    }
  }

  function scheduleNextRequest(): void {
    const rateFactor = scenario.getRateFactor?.(events.nowMs()) ?? 1;
    const gapMs = -Math.log(1 - random()) * 1_000 /
      (scenario.requestsPerS * rateFactor);
    events.schedule(gapMs, () => {
      const nowMs = events.nowMs();
      if (nowMs >= scenario.durationMs) return;
      const instance = instances[Math.floor(random() * instances.length)]!;
      const { homed } = scenario;
      const isHomed = homed !== undefined && random() < homed.share;
      const keyCount = isHomed
        ? homed.affinityKeys
        : scenario.affinityKeysPerRegion;
      const keyIndex = Math.floor(random() * keyCount);
      const counts = seconds[Math.floor(nowMs / 1_000)]!;
      counts.requested++;
      instance.handleRequest({
        affinityKey: `${isHomed ? "homed" : instance.region} ${keyIndex}`,
        homeRegion: isHomed ? homed.region : undefined,
        startedAtMs: nowMs,
        counts,
        triedIds: new Set(),
      });
      scheduleNextRequest();
    });
  }

  const { loss, restartAtMs } = scenario;
  if (restartAtMs !== undefined) {
    events.schedule(restartAtMs, () => instances = startInstances());
  }
  if (loss !== undefined) {
    events.schedule(loss.atMs, () => {
      epoch++;
      targets.filter((target) => target.knownTarget.region === loss.region)
        .slice(0, loss.targets)
        .forEach((target) => target.isLost = true);
    });
  }
  scheduleNextRequest();
  events.runUntil(scenario.durationMs + deadlineMs);
  return { seconds, cacheMisses, total: sumCounts(seconds) };
}

/** Adds up the counts of several seconds. */
export function sumCounts(seconds: readonly RequestCounts[]): RequestCounts {
  const total: RequestCounts = {
    requested: 0,
    withinTarget: 0,
    late: 0,
    rejected: 0,
  };
  for (const counts of seconds) {
    total.requested += counts.requested;
    total.withinTarget += counts.withinTarget;
    total.late += counts.late;
    total.rejected += counts.rejected;
  }
  return total;
}
