/**
 * A small deterministic model of the served systems: targets with slots, a queue,
 * a bounded memory of objects and slow first runs, and instances that see the
 * targets' load late. Time is simulated; the decisions are the product's own
 * (`choice.ts`, `placement.ts`, `warmup.ts`, `target_load.ts`).
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
import * as Events from "./events.ts";

/** How an instance chooses a target. */
export type Policy =
  /** As the product does. */
  | "product"
  /** The same, but overloaded targets serve all of their objects. */
  | "all-objects"
  /** Always the object's own place, however long its queue. */
  | "own-place"
  /** Any target. */
  | "random";

/** What happens in a run. */
export interface Scenario {
  readonly name: string;
  /** The load that it replays, for people. */
  readonly pattern: string;
  readonly regions: readonly {
    readonly name: string;
    readonly targets: number;
    readonly instances: number;
  }[];
  readonly requestsPerS: number;
  readonly objectsPerRegion: number;
  readonly durationMs: number;
  /** Factor of the request rate at a time. */
  readonly getRateFactor?: (atMs: number) => number;
  /** Targets of a region that are gone from a time on. */
  readonly loss?: {
    readonly region: string;
    readonly atMs: number;
    readonly targets: number;
  };
  /** Share of arrivals that targets turn away without need, between two times. */
  readonly shed?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly share: number;
  };
  /** A share of the requests is for objects whose requests may not leave a region. */
  readonly homed?: {
    readonly region: string;
    readonly share: number;
    readonly objects: number;
  };
  /** All instances start anew at this time and know nothing. */
  readonly restartAtMs?: number;
  /** What differs from `SMALL_SITE`. */
  readonly times?: Partial<Times>;
}

/** Times of the targets and of the route, ms, and what a target remembers. */
export interface Times {
  readonly warmMs: number;
  readonly firstRunMs: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly memoryObjects: number;
}

const SMALL_SITE: Times = {
  warmMs: 144,
  firstRunMs: 480,
  targetLatencyMs: 400,
  deadlineMs: 2_500,
  memoryObjects: 67,
};

/** Counts of one second. */
export interface Second {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
}

/** What came of a run. */
export interface Outcome {
  readonly seconds: readonly Second[];
  readonly firstRuns: number;
  readonly total: Second;
}

const SLOTS = 9;
const QUEUE = 27;
const FAR_MS = 110;
const NEAR_MS = 2;
const MAX_TARGETS = 2;
const ROUTE = "r";

interface ModelTarget {
  readonly known: State.KnownTarget;
  running: number;
  readonly waiting: (() => void)[];
  /** Objects served, last served last. */
  readonly memory: Map<string, true>;
  isGone: boolean;
}

interface ModelRequest {
  readonly objectKey: string;
  /** The only region whose targets it may use. */
  readonly homeRegion: string | undefined;
  readonly startedAtMs: number;
  readonly second: Second;
  readonly tried: Set<string>;
}

/** Plays a scenario under a policy; the same seed gives the same run. */
export function playScenario(
  scenario: Scenario,
  policy: Policy,
  seed: number,
): Outcome {
  const { warmMs, firstRunMs, targetLatencyMs, deadlineMs, memoryObjects } = {
    ...SMALL_SITE,
    ...scenario.times,
  };
  const random = Random.createRandom(seed);
  const events = Events.createEvents();
  const clock = { nowMs: events.nowMs, wallMs: events.nowMs };
  const demand = new Map(scenario.regions.map(({ name }) => [name, 1]));
  const targets = scenario.regions.flatMap(createTargets);
  const byId = new Map(targets.map((one) => [one.known.entry.id, one]));
  const seconds: Second[] = Array.from(
    { length: Math.ceil(scenario.durationMs / 1_000) },
    () => ({ asked: 0, inTime: 0, late: 0, refused: 0 }),
  );
  let firstRuns = 0;
  let epoch = 0;

  const startInstances = () =>
    scenario.regions.flatMap(({ name, instances: count }) =>
      Array.from({ length: count }, () => createInstance(name))
    );
  let instances = startInstances();

  function createInstance(region: string) {
    const loads = TargetLoad.createTargetLoads(clock);
    const timings = Timings.createTimings();
    const warmth = CacheState.createCacheState(clock);
    const workingSets = WorkingSet.createWorkingSets(clock);
    const warmups = Warmup.createWarmups(clock);
    const placement = Placement.createPlacement({ origin: region, demand });
    const getWayMs = (target: State.KnownTarget) =>
      target.region === region ? NEAR_MS : FAR_MS;

    function getPlaces(req: ModelRequest): readonly Choice.Candidate[] {
      const { homeRegion } = req;
      const usable = targets.filter((one) => !one.isGone)
        .map((one) => one.known)
        .filter((one) => homeRegion === undefined || one.region === homeRegion);
      const scope = homeRegion === undefined ? ROUTE : `${ROUTE} ${homeRegion}`;
      const ranked = placement.rank(scope, req.objectKey, epoch, usable);
      return ranked.map((target, rank): Choice.Candidate => {
        const { id } = target.entry;
        return {
          target,
          rank,
          isPaused: loads.isPaused(id),
          isCold: false,
          isColdLimitReached: false,
          isExcluded: rank === 0
            ? !workingSets.has(req.objectKey, id)
            : workingSets.isLimited(id),
          outstanding: loads.getOutstanding(id),
          shedShare: loads.getShedShare(id),
          roundTripMs: getWayMs(target),
          cacheHitChance: warmth.isCached(req.objectKey, id)
            ? 1
            : warmth.getHitChance(rank),
          warmupRemainingMs: warmups.tryGetRemainingMs(req.objectKey, id),
        };
      }).filter((place) => !req.tried.has(place.target.entry.id));
    }

    function decide(
      req: ModelRequest,
      places: readonly Choice.Candidate[],
      left: Choice.RequestProfile,
    ): Choice.Choice {
      const none: Choice.Choice = {
        kind: "reject",
        reason: "no-target",
        retryAfterMs: 0,
      };
      switch (policy) {
        case "product":
        case "all-objects":
          return Choice.chooseCandidate(places, left);
        case "own-place":
          return places[0] === undefined
            ? none
            : { kind: "send", candidate: places[0] };
        case "random": {
          const usable = targets.filter((one) =>
            !one.isGone && !req.tried.has(one.known.entry.id)
          );
          const target = usable[Math.floor(random() * usable.length)]?.known;
          if (target === undefined) return none;
          const first = places[0]!;
          return { kind: "send", candidate: { ...first, target, rank: 0 } };
        }
      }
    }

    function handle(req: ModelRequest): void {
      const now = events.nowMs();
      const elapsedMs = now - req.startedAtMs;
      const left: Choice.RequestProfile = {
        remainingTargetLatencyMs: targetLatencyMs - elapsedMs,
        deadlineMs: deadlineMs - elapsedMs,
        targetLatencyMs: targetLatencyMs,
        priority: 1,
        cacheHitMs: timings.getServiceMs(ROUTE, true, targetLatencyMs / 3),
        cacheMissMs: timings.getServiceMs(ROUTE, false, targetLatencyMs / 3),
        missCostMs: timings.getMissCostMs(ROUTE, targetLatencyMs / 3),
      };
      const places = getPlaces(req);
      const choice = decide(req, places, left);
      const own = places[0];
      if (own?.rank === 0 && choice.kind !== "wait") {
        const { id } = own.target.entry;
        const hadRoom = choice.kind === "send";
        const isOwn = hadRoom ? choice.candidate === own : !own.isExcluded;
        if (isOwn && policy === "product") {
          workingSets.recordAdmission(id, hadRoom);
        }
      }
      switch (choice.kind) {
        case "reject":
          req.second.refused++;
          return;
        case "wait":
          events.after(choice.maxMs, () => handle(req));
          return;
        case "send":
          return send(req, choice.candidate, left);
      }
    }

    function send(
      req: ModelRequest,
      place: Choice.Candidate,
      left: Choice.RequestProfile,
    ): void {
      const { id } = place.target.entry;
      const sentAtMs = events.nowMs();
      const wayMs = getWayMs(place.target);
      const expectedMs = Choice.getExpectedResponseMs(place, left);
      const endWarmup = Choice.isLikelyCached(place)
        ? () => {}
        : warmups.start(req.objectKey, id, expectedMs);
      req.tried.add(id);
      loads.start(id);
      events.after(
        wayMs / 2,
        () =>
          arrive(byId.get(id)!, req, (isRun, target) => {
            events.after(wayMs / 2, () => {
              endWarmup();
              finish(req, place, sentAtMs, wayMs, isRun, target);
            });
          }),
      );
    }

    function finish(
      req: ModelRequest,
      place: Choice.Candidate,
      sentAtMs: number,
      wayMs: number,
      isRun: boolean,
      target: ModelTarget,
    ): void {
      const { id } = place.target.entry;
      const now = events.nowMs();
      loads.end(id, isRun ? "answered" : "shed");
      loads.recordReport(id, {
        running: target.running,
        waiting: target.waiting.length,
        slots: SLOTS,
      });
      if (!isRun) {
        if (req.tried.size < MAX_TARGETS) return handle(req);
        req.second.refused++;
        return;
      }
      if (place.outstanding < SLOTS) {
        const isWarm = place.cacheHitChance === 1;
        const ms = now - sentAtMs - wayMs;
        const wasFast = timings.recordResponse(ROUTE, isWarm, ms);
        if (!isWarm && wasFast !== undefined) {
          warmth.recordOutcome(place.rank, wasFast);
        }
      }
      warmth.recordCached(req.objectKey, id);
      const latencyMs = now - req.startedAtMs;
      if (latencyMs <= targetLatencyMs) req.second.inTime++;
      else if (latencyMs <= deadlineMs) req.second.late++;
    }

    scenario.regions.forEach(({ name }) =>
      timings.recordConnect(name, name === region ? NEAR_MS : FAR_MS)
    );
    return { region, handle };
  }

  function createTargets(region: Scenario["regions"][number]): ModelTarget[] {
    return Array.from({ length: region.targets }, (_, index) => ({
      known: {
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
      waiting: [],
      memory: new Map(),
      isGone: false,
    }));
  }

  function arrive(
    target: ModelTarget,
    req: ModelRequest,
    done: (isRun: boolean, target: ModelTarget) => void,
  ): void {
    const { shed } = scenario;
    const now = events.nowMs();
    const isGrey = shed !== undefined && now >= shed.fromMs &&
      now < shed.toMs && random() < shed.share;
    const isFull = target.running >= SLOTS && target.waiting.length >= QUEUE;
    if (target.isGone || isGrey || isFull) return done(false, target);
    const run = () => {
      target.running++;
      const isKnown = target.memory.has(req.objectKey);
      if (!isKnown) firstRuns++;
      events.after(isKnown ? warmMs : firstRunMs, () => {
        target.running--;
        remember(target, req.objectKey);
        done(true, target);
        target.waiting.shift()?.();
      });
    };
    if (target.running < SLOTS) run();
    else target.waiting.push(run);
  }

  function remember(target: ModelTarget, objectKey: string): void {
    target.memory.delete(objectKey);
    target.memory.set(objectKey, true);
    if (target.memory.size <= memoryObjects) return;
    for (const oldest of target.memory.keys()) {
      target.memory.delete(oldest);
      return;
    }
  }

  function scheduleNext(): void {
    const factor = scenario.getRateFactor?.(events.nowMs()) ?? 1;
    const gapMs = -Math.log(1 - random()) * 1_000 /
      (scenario.requestsPerS * factor);
    events.after(gapMs, () => {
      const now = events.nowMs();
      if (now >= scenario.durationMs) return;
      const instance = instances[Math.floor(random() * instances.length)]!;
      const { homed } = scenario;
      const isHomed = homed !== undefined && random() < homed.share;
      const objects = isHomed ? homed.objects : scenario.objectsPerRegion;
      const number = Math.floor(random() * objects);
      const second = seconds[Math.floor(now / 1_000)]!;
      second.asked++;
      instance.handle({
        objectKey: `${isHomed ? "homed" : instance.region} ${number}`,
        homeRegion: isHomed ? homed.region : undefined,
        startedAtMs: now,
        second,
        tried: new Set(),
      });
      scheduleNext();
    });
  }

  const { loss, restartAtMs } = scenario;
  if (restartAtMs !== undefined) {
    events.after(restartAtMs, () => instances = startInstances());
  }
  if (loss !== undefined) {
    events.after(loss.atMs, () => {
      epoch++;
      targets.filter((one) => one.known.region === loss.region)
        .slice(0, loss.targets)
        .forEach((one) => one.isGone = true);
    });
  }
  scheduleNext();
  events.run(scenario.durationMs + deadlineMs);
  return { seconds, firstRuns, total: addUp(seconds) };
}

/** Sum of seconds. */
export function addUp(seconds: readonly Second[]): Second {
  const total: Second = { asked: 0, inTime: 0, late: 0, refused: 0 };
  for (const one of seconds) {
    total.asked += one.asked;
    total.inTime += one.inTime;
    total.late += one.late;
    total.refused += one.refused;
  }
  return total;
}
