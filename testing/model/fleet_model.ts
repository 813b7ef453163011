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
import * as LoadExchange from "../../src/gateway/load_exchange.ts";
import * as Mesh from "../../src/peer/mesh.ts";
import * as Random from "../load/random.ts";
import * as EventQueue from "./event_queue.ts";

/** How an instance chooses a target. */
export type Policy =
  /** The decisions of the production modules. */
  | "product"
  /** As `product`, but instances don't pass on load reports. */
  | "own-reports"
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
  /** Zipf exponent of the affinity keys' popularity; 0 (the default) when all are equally popular. */
  readonly keySkew?: number;
  readonly durationMs: number;
  /** Factor by which `requestsPerS` is multiplied at a time. */
  readonly getRateFactor?: (atMs: number) => number;
  /** Factor by which a region's share of the callers is multiplied at a time. */
  readonly getRegionFactor?: (region: string, atMs: number) => number;
  /** Targets that share their machine and are slower for a while. */
  readonly slowTargets?: {
    /** Share of the targets that are slow at any time, 0 to 1. */
    readonly share: number;
    readonly slowdown: number;
    /** Interval after which other targets are slow, ms. */
    readonly changeMs: number;
  };
  /** Requests that take several times as long, as a share of all, 0 to 1. */
  readonly longWork?: { readonly share: number; readonly factor: number };
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
  /** Affinity keys that a target caches; targets differ when it is a range. */
  readonly cacheCapacity: number | readonly [min: number, max: number];
  /** Requests that a target serves at the same time; it queues three for each. */
  readonly slots: number;
  /** Network round trip between two regions, ms. */
  readonly remoteRoundTripMs: number;
  /** Priority of the route. */
  readonly priority: number;
}

const SMALL_SITE: SiteParameters = {
  hitServiceMs: 144,
  missServiceMs: 480,
  targetLatencyMs: 400,
  deadlineMs: 2_500,
  cacheCapacity: 67,
  slots: 9,
  remoteRoundTripMs: 110,
  priority: 1,
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

/** What instances told each other of the targets' loads. */
export interface ExchangeUse {
  /** Bytes of messages that the busiest instance sent per second, envelopes included. */
  readonly maxBytesPerS: number;
  /** Messages of the busiest instance per second. */
  readonly maxMessagesPerS: number;
  /** Entries that were not sent for lack of budget, per entry sent. */
  readonly dropped: number;
}

/** Result of a run. */
export interface Outcome {
  readonly seconds: readonly RequestCounts[];
  readonly cacheMisses: number;
  /** Requests that targets shed because their queue was full. */
  readonly sheds: number;
  /** Arrivals at the busiest target divided by the mean of all targets. */
  readonly spread: number;
  /** Longest queue (requests running and waiting) divided by the mean, averaged over time. */
  readonly queueSpread: number;
  /** Share of the arrivals at targets that had to wait while another candidate had a free slot, 0 to 1. */
  readonly avoidableWaits: number;
  readonly exchange: ExchangeUse;
  readonly total: RequestCounts;
}

/** Requests that wait at a target for each slot before it sheds. */
const QUEUED_PER_SLOT = 3;
const LOCAL_ROUND_TRIP_MS = 2;
/** Targets tried for a request before it counts as rejected. */
const MAX_TARGETS = 2;
const QUEUE_SAMPLE_MS = 100;
/** One-way latency between the domains of a region. */
const DOMAIN_LATENCY_MS = 1;
/** Part of a message between instances that is not its parameters. */
const ENVELOPE_BYTES = 55;
const ROUTE = "r";

interface ModelTarget {
  readonly knownTarget: State.KnownTarget;
  running: number;
  readonly queue: (() => void)[];
  /** Cached affinity keys, the most recently served last. */
  readonly cachedKeys: Map<string, true>;
  isLost: boolean;
  isSlow: boolean;
  arrivals: number;
  readonly cacheCapacity: number;
}

interface ModelRequest {
  readonly affinityKey: string;
  /** The only region whose targets the request may use; any region if undefined. */
  readonly homeRegion: string | undefined;
  readonly startedAtMs: number;
  readonly counts: RequestCounts;
  readonly triedIds: Set<string>;
  /** Candidates of the last choice. */
  candidateIds: readonly string[];
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
    slots,
    remoteRoundTripMs,
    priority,
  } = {
    ...SMALL_SITE,
    ...scenario.site,
  };
  const hasWorkingSets = policy === "product" || policy === "own-reports";
  const isExchanging = policy === "product" || policy === "all-objects";
  const queueCapacity = slots * QUEUED_PER_SLOT;
  const random = Random.createRandom(seed);
  const events = EventQueue.createEventQueue();
  const clock = { nowMs: events.nowMs, wallMs: events.nowMs };
  const demand = new Map(scenario.regions.map(({ name }) => [name, 1]));
  const targets = scenario.regions.flatMap(createTargets);
  let usableTargets = targets.map(({ knownTarget }) => knownTarget);
  const targetSlots = targets.map(({ knownTarget }) => knownTarget.entry);
  const targetsById = new Map(
    targets.map((target) => [target.knownTarget.entry.id, target]),
  );
  const seconds: RequestCounts[] = Array.from(
    { length: Math.ceil(scenario.durationMs / 1_000) },
    () => ({ requested: 0, withinTarget: 0, late: 0, rejected: 0 }),
  );
  let cacheMisses = 0;
  let sheds = 0;
  let arrivals = 0;
  let avoidableWaits = 0;
  let queueSpreadSum = 0;
  let queueSamples = 0;
  /** Separate from `random`, so that scenarios without these events keep their sequence. */
  const eventRandom = Random.createRandom(seed + 1_000);
  let epoch = 0;

  const startInstances = () =>
    scenario.regions.flatMap(({ name, instances: count }) =>
      Array.from({ length: count }, (_, index) => createInstance(name, index))
    );
  let instances = startInstances();

  function createInstance(region: string, index: number) {
    const instanceId = `${region} ${index}`;
    const loads = TargetLoad.createTargetLoads(clock);
    const timings = Timings.createTimings();
    const cacheState = CacheState.createCacheState(clock);
    const workingSets = WorkingSet.createWorkingSets(clock);
    const warmups = Warmup.createWarmups(clock);
    const placement = Placement.createPlacement({ origin: region, demand });
    const getRoundTripMs = (target: State.KnownTarget) =>
      target.region === region ? LOCAL_ROUND_TRIP_MS : remoteRoundTripMs;

    function getCandidates(req: ModelRequest): readonly Choice.Candidate[] {
      const { homeRegion } = req;
      const usable = usableTargets.filter((target) =>
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
        case "own-reports":
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
        priority,
        cacheHitMs: timings.getServiceMs(ROUTE, true, targetLatencyMs / 3),
        cacheMissMs: timings.getServiceMs(ROUTE, false, targetLatencyMs / 3),
        missCostMs: timings.getMissCostMs(ROUTE, targetLatencyMs / 3),
      };
      const candidates = getCandidates(req);
      req.candidateIds = candidates.map(({ target }) => target.entry.id);
      const choice = chooseByPolicy(req, candidates, profile);
      const primary = candidates[0];
      if (primary?.rank === 0 && choice.kind !== "wait") {
        const { id } = primary.target.entry;
        const wasAdmitted = choice.kind === "send";
        const isForPrimary = wasAdmitted
          ? choice.candidate === primary
          : !primary.isExcluded;
        if (isForPrimary && hasWorkingSets) {
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
      const report = {
        running: target.running,
        waiting: target.queue.length,
        slots,
      };
      loads.recordReport(id, report);
      if (isExchanging) exchange.recordReport(id, report);
      if (!isServed) {
        if (req.triedIds.size < MAX_TARGETS) return handleRequest(req);
        req.counts.rejected++;
        return;
      }
      if (candidate.outstanding < slots) {
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

    const exchange = LoadExchange.createLoadExchange({
      loads,
      getTargets: () => targetSlots,
      getEpoch: () => 0,
      getRecipients: () => getRecipients(region, index),
      clock,
    });
    const use = { bytes: 0, messages: 0 };
    function sendLoads(): void {
      for (const { params, to } of exchange.createMessages()) {
        use.messages++;
        use.bytes += JSON.stringify(params).length + ENVELOPE_BYTES;
        events.schedule(
          DOMAIN_LATENCY_MS,
          () =>
            instances.find(({ id }) => id === to)?.exchange.receive(
              instanceId,
              params,
            ),
        );
      }
      events.schedule(LoadExchange.INTERVAL_MS, sendLoads);
    }
    if (isExchanging) {
      events.schedule(eventRandom() * LoadExchange.INTERVAL_MS, sendLoads);
    }

    scenario.regions.forEach(({ name }) =>
      timings.recordConnect(
        name,
        name === region ? LOCAL_ROUND_TRIP_MS : remoteRoundTripMs,
      )
    );
    return { id: instanceId, region, exchange, use, handleRequest };
  }

  /** Peers to which an instance passes on load reports: two domains a region, three hubs each. */
  function getRecipients(
    region: string,
    index: number,
  ): LoadExchange.Recipients {
    const count = scenario.regions.find(({ name }) => name === region)!
      .instances;
    const getIds = (indexes: readonly number[]) =>
      indexes.filter((other) => other < count && other !== index)
        .map((other) => `${region} ${other}`);
    if (instances.length < Mesh.FULL_MESH_MEMBERS) {
      const all = getIds(Array.from({ length: count }, (_, other) => other));
      return { hubs: all, remote: [], isHub: false };
    }
    const parity = index % 2;
    const hubIndexes = [parity, parity + 2, parity + 4];
    const isHub = hubIndexes.includes(index);
    return isHub
      ? { hubs: getIds(hubIndexes), remote: getIds([index ^ 1]), isHub }
      : { hubs: getIds([hubIndexes[index % 3]!]), remote: [], isHub };
  }

  function createTargets(region: Scenario["regions"][number]): ModelTarget[] {
    return Array.from({ length: region.targets }, (_, index) => ({
      knownTarget: {
        entry: {
          id: `${region.name}-${index}`,
          service: ROUTE,
          address: "",
          domain: region.name,
          slots,
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
      isSlow: false,
      arrivals: 0,
      cacheCapacity: typeof cacheCapacity === "number"
        ? cacheCapacity
        : cacheCapacity[0] +
          (index * 7) % (cacheCapacity[1] - cacheCapacity[0] + 1),
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
    const isFull = target.running >= slots &&
      target.queue.length >= queueCapacity;
    target.arrivals++;
    arrivals++;
    if (isFull) sheds++;
    if (target.isLost || isShed || isFull) return respond(false, target);
    const serve = () => {
      target.running++;
      const isCached = target.cachedKeys.has(req.affinityKey);
      if (!isCached) cacheMisses++;
      events.schedule(getServiceMs(target, isCached), () => {
        target.running--;
        addToCache(target, req.affinityKey);
        respond(true, target);
        target.queue.shift()?.();
      });
    };
    if (target.running < slots) return serve();
    const hasAlternative = req.candidateIds.some((id) =>
      targetsById.get(id)!.running < slots && !targetsById.get(id)!.isLost
    );
    if (hasAlternative) avoidableWaits++;
    target.queue.push(serve);
  }

  function getServiceMs(target: ModelTarget, isCached: boolean): number {
    const { longWork, slowTargets } = scenario;
    let ms = isCached ? hitServiceMs : missServiceMs;
    if (target.isSlow) ms *= slowTargets?.slowdown ?? 1;
    if (longWork !== undefined && eventRandom() < longWork.share) {
      ms *= longWork.factor;
    }
    return ms;
  }

  function changeSlowTargets(): void {
    const { slowTargets } = scenario;
    if (slowTargets === undefined) return;
    for (const target of targets) {
      target.isSlow = eventRandom() < slowTargets.share;
    }
    events.schedule(slowTargets.changeMs, changeSlowTargets);
  }

  function sampleQueues(): void {
    const lengths = targets.map(({ queue, running }) => queue.length + running);
    const sum = lengths.reduce((a, b) => a + b, 0);
    if (sum > 0) {
      queueSpreadSum += Math.max(...lengths) * lengths.length / sum;
      queueSamples++;
    }
    events.schedule(QUEUE_SAMPLE_MS, sampleQueues);
  }

  function addToCache(target: ModelTarget, affinityKey: string): void {
    target.cachedKeys.delete(affinityKey);
    target.cachedKeys.set(affinityKey, true);
    if (target.cachedKeys.size <= target.cacheCapacity) return;
    for (const oldest of target.cachedKeys.keys()) {
      target.cachedKeys.delete(oldest);
      return;
    }
  }

  /** Cumulative popularity of the affinity keys, up to 1. */
  const popularity: number[] = [];
  for (let i = 0; i < scenario.affinityKeysPerRegion; i++) {
    const weight = (i + 1) ** -(scenario.keySkew ?? 0);
    popularity.push((popularity[i - 1] ?? 0) + weight);
  }

  function chooseSkewedKey(point: number): number {
    const goal = point * popularity[popularity.length - 1]!;
    let low = 0;
    let high = popularity.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (popularity[middle]! < goal) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  function chooseInstance() {
    const { getRegionFactor } = scenario;
    if (getRegionFactor === undefined) {
      return instances[Math.floor(random() * instances.length)]!;
    }
    const weights = instances.map(({ region }) =>
      getRegionFactor(region, events.nowMs())
    );
    let rest = random() * weights.reduce((a, b) => a + b, 0);
    const index = weights.findIndex((weight) => (rest -= weight) <= 0);
    return instances[Math.max(0, index)]!;
  }

  function scheduleNextRequest(): void {
    const rateFactor = scenario.getRateFactor?.(events.nowMs()) ?? 1;
    const gapMs = -Math.log(1 - random()) * 1_000 /
      (scenario.requestsPerS * rateFactor);
    events.schedule(gapMs, () => {
      const nowMs = events.nowMs();
      if (nowMs >= scenario.durationMs) return;
      const instance = chooseInstance();
      const { homed } = scenario;
      const isHomed = homed !== undefined && random() < homed.share;
      const keyCount = isHomed
        ? homed.affinityKeys
        : scenario.affinityKeysPerRegion;
      const keyIndex = isHomed || scenario.keySkew === undefined
        ? Math.floor(random() * keyCount)
        : chooseSkewedKey(random());
      const counts = seconds[Math.floor(nowMs / 1_000)]!;
      counts.requested++;
      instance.handleRequest({
        affinityKey: `${isHomed ? "homed" : instance.region} ${keyIndex}`,
        homeRegion: isHomed ? homed.region : undefined,
        startedAtMs: nowMs,
        counts,
        triedIds: new Set(),
        candidateIds: [],
      });
      scheduleNextRequest();
    });
  }

  function getExchangeUse(): ExchangeUse {
    const durationS = scenario.durationMs / 1_000;
    const counts = instances.map(({ exchange }) => exchange.getCounts());
    const dropped = counts.reduce((sum, count) => sum + count.dropped, 0);
    const sent = counts.reduce((sum, count) => sum + count.sent, 0);
    const maxOf = (values: readonly number[]) =>
      Math.max(...values) / durationS;
    return {
      maxBytesPerS: maxOf(instances.map(({ use }) => use.bytes)),
      maxMessagesPerS: maxOf(instances.map(({ use }) => use.messages)),
      dropped: dropped / Math.max(1, sent),
    };
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
      usableTargets = targets.filter(({ isLost }) => !isLost)
        .map(({ knownTarget }) => knownTarget);
    });
  }
  changeSlowTargets();
  sampleQueues();
  scheduleNextRequest();
  events.runUntil(scenario.durationMs + deadlineMs);
  const busiest = Math.max(...targets.map((target) => target.arrivals));
  return {
    seconds,
    cacheMisses,
    sheds,
    spread: busiest * targets.length / Math.max(1, arrivals),
    queueSpread: queueSpreadSum / Math.max(1, queueSamples),
    avoidableWaits: avoidableWaits / Math.max(1, arrivals),
    exchange: getExchangeUse(),
    total: sumCounts(seconds),
  };
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
