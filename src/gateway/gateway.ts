/** Composition of a gateway instance: what it starts, in which order, and how it stops. */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import * as Metrics from "../metrics/metrics.ts";
import * as PeerNet from "../peer/net.ts";
import * as Poison from "../retry/poison.ts";
import * as RetryBudget from "../retry/retry_budget.ts";
import * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Attempt from "./attempt.ts";
import * as ColdStart from "./cold_start.ts";
import * as Connections from "./connections.ts";
import type * as Contracts from "./contracts.ts";
import * as Directory from "./directory.ts";
import * as Feed from "./feed.ts";
import * as Forwarder from "./forwarder.ts";
import * as ItemsModule from "./items.ts";
import * as Membership from "./membership.ts";
import * as Placement from "./placement.ts";
import * as Pulse from "./pulse.ts";
import * as Quota from "./quota.ts";
import * as RequestLog from "./request_log.ts";
import * as Servers from "./servers.ts";
import type * as Settings from "./settings.ts";
import * as Split from "./split.ts";
import * as StateModule from "./state.ts";
import * as TargetLoad from "./target_load.ts";
import * as Timings from "./timings.ts";
import type * as GatewayTypes from "./types.ts";
import * as Warmup from "./warmup.ts";
import * as Warmth from "./warmth.ts";

/** Callers ask the directory again this often; a leaving instance is out of use after three times that. */
const DIRECTORY_TTL_S = 1;
/** What is left of the fleet's second sends for what instances do not know of each other. */
const RETRY_SAFETY = 0.92;
/** A cold target crashes well above its rate. */
const COLD_FACTOR = 1.2;
/** After SIGTERM callers get this long to find other instances. */
const LEAVE_MS = 4_300;
/** Kept of the grace period for the end itself. */
const STOP_MARGIN_MS = 700;
const STOP_POLL_MS = 20;
const SECRET_BYTES = 32;
const STORE_FAILING_MS = 10_000;
/** Silent members count in divisions for this long; a partitioned one may still spend. */
const COUNT_SILENT_MS = 15_000;

/** What the platform's adapter provides. */
export interface GatewayDeps {
  readonly settings: Settings.GatewaySettings;
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  readonly dialect: GatewayTypes.HeaderDialect;
  /** Prefixes of the store under which the state lies. */
  readonly watchedPrefixes: readonly string[];
  /** Reads the directory's question and writes its answer. */
  readonly directory: DirectoryDialect;
  readonly log: Log.Logger;
  readonly writeText: (text: string) => void;
}

/** The platform's form of the directory. */
export interface DirectoryDialect {
  /** Where the caller is; undefined when the URL asks for something else. */
  tryReadQuestion(url: string): {
    readonly region: Types.Region;
    readonly domain: Types.Domain;
  } | undefined;
  formatAnswer(addresses: readonly Types.Address[], ttlS: number): unknown;
  isReadyQuestion(url: string): boolean;
}

/** A running instance. */
export interface Gateway {
  /** Stops gracefully; resolves when nothing is left. */
  stop(): Promise<void>;
  /** Ends everything at once. */
  close(): Promise<void>;
}

/** Starts an instance. Rejects when a listener can't be bound. */
export async function startGateway(deps: GatewayDeps): Promise<Gateway> {
  const { log, settings, store } = deps;
  const { instance, limits, regionOfDomain } = settings;
  const clock = Clock.systemClock;
  const root = Supervisor.createSupervisor("gateway", log);
  const incarnation = Crypto.randomUUID().replaceAll("-", "");
  let memberState: Types.MemberState = "starting";

  const state = StateModule.createState({ clock, log, regionOfDomain });
  const items = ItemsModule.createItems(clock);
  const feed = Feed.createFeed({
    prefixes: deps.watchedPrefixes,
    store,
    decode: deps.decode,
    items,
    state,
    entryReturnMs: settings.timing.entryReturnMs,
    supervisor: root.createChild("feed"),
    clock,
    log,
  });
  feed.start();
  const membership = Membership.createMembership({
    self: instance.id,
    store,
    minLeaseMs: settings.store.minLeaseMs,
    supervisor: root.createChild("membership"),
    log,
  });
  const fresh = Crypto.randomBytes(SECRET_BYTES).toString("hex");
  const secret = await membership.getSecret(fresh);
  const peers = PeerNet.createPeerNet({
    self: instance.id,
    incarnation,
    domain: instance.domain,
    listen: settings.listen.peer,
    seeds: [],
    secret,
    getHeartbeat,
    localAddress: settings.listen.localAddress,
    supervisor: root.createChild("peers"),
    log,
    clock,
  });
  feed.usePeers(peers);

  /** Members whose share of a limit may still be spent, this instance included. */
  function getCountedInstances(): readonly Types.InstanceId[] {
    const others = peers.getMembers()
      .filter(({ heartbeat, ageMs }) =>
        heartbeat.state !== "leaving" && ageMs < COUNT_SILENT_MS &&
        peers.getReachability(heartbeat.id) !== "refused"
      )
      .map(({ heartbeat }) => heartbeat.id);
    if (others.length > 0) return [instance.id, ...others].sort();
    // An instance without peers can't tell how many there are: one a domain at least.
    return [instance.id, ...[...regionOfDomain.keys()].slice(1)];
  }

  function getInstanceCount(): number {
    return getCountedInstances().length;
  }

  function getColdRate(service: Types.Service): number {
    const perS = state.getConfig()?.services.get(service)?.coldPerS ?? 0;
    const mostPerS = perS * limits.coldFactor + limits.coldExtraPerS;
    return Math.min(perS * COLD_FACTOR, mostPerS);
  }

  function getHeartbeat(): Types.Heartbeat {
    const storeAgeMs = feed.getStoreAgeMs();
    return {
      id: instance.id,
      incarnation,
      domain: instance.domain,
      region: instance.region,
      state: memberState,
      tableRevision: state.getConfig()?.version ?? 0,
      isTableSettled: true,
      keysRevision: 0,
      storeSeenMsAgo: storeAgeMs,
      isStoreFailing: storeAgeMs > STORE_FAILING_MS,
      relayedStoreSeenMsAgo: storeAgeMs,
      load: 0,
      shards: [],
      callerAddress: settings.listen.caller,
      peerAddress: settings.listen.peer,
    };
  }

  function getCandidates(): readonly Directory.Candidate[] {
    const list: Directory.Candidate[] = [];
    if (memberState === "live") {
      list.push({ ...instance, callerAddress: settings.listen.caller });
    }
    for (const { heartbeat, isReachable } of peers.getMembers()) {
      const isUp = isReachable && heartbeat.state === "live" &&
        peers.getReachability(heartbeat.id) === "reachable";
      if (isUp) list.push(heartbeat);
    }
    return list;
  }

  const requestLog = RequestLog.createRequestLog({
    clock,
    writeText: deps.writeText,
  });
  const metrics = Metrics.createMetrics({ clock, instance: instance.id });
  const connections = Connections.createConnections({
    clock,
    localAddress: settings.listen.localAddress,
  });
  const loads = TargetLoad.createTargetLoads(clock);
  const timings = Timings.createTimings();
  const splits = Split.createSplits();
  const quota = Quota.createQuota({ clock, getInstanceCount });
  const coldStarts = ColdStart.createColdStarts({
    clock,
    self: instance.id,
    getInstances: getCountedInstances,
  });
  const handler = Forwarder.createForwarder({
    state,
    dialect: deps.dialect,
    attempts: Attempt.createAttempts({
      connections,
      dialect: deps.dialect,
      clock,
      onConnect: timings.noteConnect,
    }),
    placement: Placement.createPlacement({
      origin: instance.region,
      demand: countDomains(regionOfDomain),
    }),
    warmth: Warmth.createWarmth(clock),
    warmups: Warmup.createWarmups(clock),
    loads,
    coldStarts,
    timings,
    quota,
    splits,
    retries: RetryBudget.createRetryBudget({
      clock,
      fleetLimit: {
        share: limits.retryRatio * RETRY_SAFETY,
        windowMs: limits.retryWindowMs,
        getExtra: () => limits.retryExtra * RETRY_SAFETY / getInstanceCount(),
      },
    }),
    poison: Poison.createPoison({ clock, peers, log }),
    metrics,
    log: requestLog,
    clock,
    getColdRate,
  });

  function onError(err: unknown): void {
    log.error("request-failed", {
      err: err instanceof Error ? err.stack : String(err),
    });
  }

  function answerDirectory(
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ): void {
    const question = deps.directory.tryReadQuestion(req.url ?? "");
    if (question === undefined) return Servers.sendJson(res, 404, {});
    const { domain, region } = question;
    const addresses = Directory.chooseAddresses(
      getCandidates(),
      region,
      domain,
    );
    if (addresses.length === 0) return Servers.sendJson(res, 503, {});
    const maxTtlS = settings.timing.maxDirectoryTtlMs / 1_000;
    const ttlS = Math.min(DIRECTORY_TTL_S, maxTtlS);
    const answer = deps.directory.formatAnswer(addresses, ttlS);
    Servers.sendJson(res, 200, answer);
  }

  function answerReady(
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ): void {
    if (!deps.directory.isReadyQuestion(req.url ?? "")) {
      return Servers.sendJson(res, 404, {});
    }
    const status = memberState === "live" ? 200 : 503;
    Servers.sendJson(res, status, { state: memberState });
  }

  const caller = await Servers.listen(settings.listen.caller, handler, onError);
  const others = await Promise.all([
    Servers.listen(settings.listen.ready, answerReady, onError),
    Servers.listen(settings.listen.directory, answerDirectory, onError),
    Servers.listen(
      settings.listen.metrics,
      (_req, res) => Servers.sendText(res, 200, metrics.formatText()),
      onError,
    ),
  ]);

  function useConfig(config: GatewayTypes.RouteConfig): void {
    quota.setConfig(config);
    splits.reset();
    caller.setLimits(config.limits);
    if (memberState !== "starting") return;
    memberState = "live";
    log.info("ready", { version: config.version });
  }
  const known = state.getConfig();
  if (known !== undefined) useConfig(known);
  state.onConfig(useConfig);
  state.onTargetGone(({ entry }) => {
    loads.forget(entry.id);
    coldStarts.forget(entry.id);
    connections.forget(entry.address);
  });

  const peerAddress = await peers.listen();
  Pulse.startPulses({
    peers,
    feed,
    quota,
    supervisor: root.createChild("pulses"),
    clock,
  });
  membership.start({ peerAddress }, peers.addPeerAddresses);

  /** Out of the directory at once; serves on until callers have moved, then until all is answered. */
  async function stop(): Promise<void> {
    const startedAtMs = clock.nowMs();
    const endsAtMs = startedAtMs + settings.timing.graceMs - STOP_MARGIN_MS;
    memberState = "leaving";
    log.info("leaving", { inFlight: caller.getInFlight() });
    caller.setLeaving();
    void membership.leave();
    await Clock.sleep(LEAVE_MS);
    caller.closeIdle();
    while (caller.getInFlight() > 0 && clock.nowMs() < endsAtMs) {
      await Clock.sleep(STOP_POLL_MS);
    }
    log.info("stopped", { inFlight: caller.getInFlight() });
    requestLog.flush();
    await Promise.race([close(), Clock.sleep(STOP_MARGIN_MS / 4)]);
  }

  async function close(): Promise<void> {
    const listeners = [caller, ...others].map((one) => one.close());
    connections.close();
    await Promise.all([...listeners, root.stop()]);
    await store.close();
  }

  return { stop, close };
}

/** Callers are taken to come from each failure domain in equal numbers. */
function countDomains(
  regionOfDomain: ReadonlyMap<Types.Domain, Types.Region>,
): ReadonlyMap<Types.Region, number> {
  const counts = new Map<Types.Region, number>();
  for (const region of regionOfDomain.values()) {
    counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  return counts;
}
