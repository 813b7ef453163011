/** Composition of a gateway instance: the order in which its modules start, and its graceful stop. */
import * as Clock from "../clock.ts";
import * as Log from "../log.ts";
import * as MemoryBudget from "../memory_budget.ts";
import * as ConnectionGate from "../connection_gate.ts";
import * as ConnectionLimits from "../connection_limits.ts";
import * as Metrics from "../metrics/metrics.ts";
import * as Poison from "../retry/poison.ts";
import * as RetryBudget from "../retry/retry_budget.ts";
import * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Attempt from "./attempt.ts";
import * as Cancellation from "./cancellation.ts";
import * as Connections from "./connections.ts";
import type * as Contracts from "./contracts.ts";
import * as Control from "./control.ts";
import * as Directory from "./directory.ts";
import * as Endpoints from "./endpoints.ts";
import * as ExplainMethod from "./explain_method.ts";
import * as Forwarder from "./forwarder.ts";
import * as Intake from "./intake.ts";
import * as Overload from "./overload.ts";
import type * as PendingRequest from "./pending_request.ts";
import * as ReadBarrier from "./read_barrier.ts";
import * as ReadDelay from "./read_delay.ts";
import * as Placement from "./placement.ts";
import * as ProcessMemory from "./process_memory.ts";
import * as Relay from "./relay.ts";
import * as RequestLog from "./request_log.ts";
import * as Responder from "./responder.ts";
import * as Servers from "./servers.ts";
import type * as Settings from "./settings.ts";
import * as Split from "./split.ts";
import type * as StateModule from "./state.ts";
import * as TargetStatements from "./target_statements.ts";
import * as TargetReach from "./target_reach.ts";
import * as TargetLoad from "./target_load.ts";
import * as Timings from "./timings.ts";
import type * as GatewayTypes from "./types.ts";
import * as Warmup from "./warmup.ts";
import * as CacheState from "./cache_state.ts";
import * as WorkingSet from "./working_set.ts";

/** Share of the fleet's second sends that instances use; the remainder covers what they do not know about each other. */
const RETRY_SAFETY_FACTOR = 0.92;
/** Factor by which a cold target may exceed its stated rate; targets crash only well above that rate. */
const COLD_RATE_FACTOR = 1.2;
/** Time after SIGTERM for which the instance still serves, so that callers find other instances. */
const LEAVE_DELAY_MS = 4_300;
/** Time after SIGTERM for which every request is accepted. A later one may run only if it ends before the process does. */
const LEAVE_ACCEPT_MS = 3_000;
/** Time in which the last responses are written before connections are closed. */
const RESPONSE_WRITE_MS = 100;
/** Part of the grace period that is reserved for closing connections and listeners. */
const STOP_MARGIN_MS = 700;
const STOP_POLL_MS = 20;
/** Share of the machine's memory that responses may use until their callers have taken them. */
const RESPONSE_MEMORY_SHARE = 0.2;
/** Longest single response, bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
/** Invalid responses of one address are logged at most once in this time. */
const INVALID_RESPONSE_LOG_MS = 1_000;
/** Interval of the usage log line; short enough to show changes within minutes, at negligible cost. */
const USAGE_INTERVAL_MS = 10_000;

/** Dependencies that the platform's adapter provides. */
export interface GatewayDeps {
  readonly settings: Settings.GatewaySettings;
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  readonly dialect: GatewayTypes.HeaderDialect;
  /** Store prefixes of the configuration, evacuations and targets. */
  readonly watchedPrefixes: readonly string[];
  /** Parses directory queries and formats their responses. */
  readonly directory: Endpoints.DirectoryDialect;
  readonly log: Log.Logger;
  /** Writes complete log lines about requests; must not block. */
  readonly writeText: (text: string) => void;
}

/** A running instance. */
export interface Gateway {
  /** Stops gracefully; resolves when requests have ended or the grace period has expired. */
  stop(): Promise<void>;
  /** Stops immediately, also with requests in flight. */
  close(): Promise<void>;
}

/** Starts an instance; rejects if a listener can't be bound. */
export async function startGateway(deps: GatewayDeps): Promise<Gateway> {
  const { log, settings, store } = deps;
  const { instance, limits, regionOfDomain } = settings;
  const clock = Clock.systemClock;
  const supervisor = Supervisor.createSupervisor("gateway", log);
  let memberState: Types.MemberState = "starting";
  /** Exists once the state is known. */
  const deferred: { reach?: TargetReach.TargetReach } = {};
  /** True while other instances serve callers better than this one. */
  function isStranded(): boolean {
    const { reach } = deferred;
    return reach !== undefined && (reach.isStranded() || reach.isLimited());
  }

  const loads = TargetLoad.createTargetLoads(clock);
  const control = await Control.startControl({
    settings,
    store,
    decode: deps.decode,
    watchedPrefixes: deps.watchedPrefixes,
    getMemberState: () => memberState,
    isStranded,
    loads,
    supervisor,
    clock,
    log,
  });
  const { accounts, coldStarts, peers, state, targetLimits } = control;

  /** Requests per second that all instances together may send to a cold target of the service. */
  function getColdRatePerS(service: Types.Service): number {
    const perS = state.getConfig()?.services.get(service)?.coldPerS ?? 0;
    const maxPerS = perS * limits.coldRateFactor + limits.coldRateExtraPerS;
    return Math.min(perS * COLD_RATE_FACTOR, maxPerS);
  }

  const self = { ...instance, callerAddress: settings.listen.caller };

  /** Live instances, this one included. */
  function getDirectoryInstances(): readonly Directory.DirectoryInstance[] {
    const instances: Directory.DirectoryInstance[] = [];
    if (memberState === "live") {
      instances.push({ ...self, isStranded: isStranded() });
    }
    instances.push(...control.getLiveInstances());
    return instances;
  }

  const requestLog = RequestLog.createRequestLog({
    clock,
    writeText: deps.writeText,
  });
  const metrics = Metrics.createMetrics({ clock, instance: instance.id });
  const limitInvalidLines = Log.createRepeatLimit(
    INVALID_RESPONSE_LOG_MS,
    clock.nowMs,
  );
  const connections = Connections.createConnections({
    clock,
    localAddress: settings.listen.localAddress,
    onInvalidResponse(address, firstBytes) {
      metrics.count("invalid-responses");
      const repeat = limitInvalidLines(address);
      if (repeat === undefined) return;
      const { suppressed } = repeat;
      log.warn("invalid-response", { address, firstBytes, suppressed });
    },
  });
  const workingSets = WorkingSet.createWorkingSets(
    clock,
    (target, isLimited) => log.info("target-limited", { target, isLimited }),
  );
  const overload = Overload.createOverload({
    clock,
    onChange: (service, isOverloaded) =>
      log.info("service-overloaded", { service, isOverloaded }),
  });
  const statements = TargetStatements.createTargetStatements(clock, log);
  const timings = Timings.createTimings();
  const splits = Split.createSplits(instance.id);
  const responseMemory = MemoryBudget.createMemoryBudget(
    instance.memoryBytes * RESPONSE_MEMORY_SHARE,
    MAX_RESPONSE_BYTES,
  );
  const bodyMemory = MemoryBudget.createMemoryBudget(
    ProcessMemory.getBodyBytes(instance.memoryBytes),
  );

  /** Opens a connection to the target and keeps it for later requests. */
  async function probe(
    { entry, region }: StateModule.KnownTarget,
  ): Promise<boolean> {
    const conn = await connections.open(
      entry.address,
      Attempt.getConnectTimeoutMs(timings.getRoundTripMs(region)),
      Cancellation.createCancellation(),
    );
    if (Connections.isConnectFailure(conn)) return false;
    connections.release(conn);
    return true;
  }

  const reach = TargetReach.createTargetReach({
    getTargets: () =>
      [...state.getConfig()?.services.keys() ?? []].flatMap(
        state.getUsableTargets,
      ),
    probe,
    onChange() {
      if (!isStranded()) loads.resumeAll();
      peers.sendHeartbeatNow();
    },
    clock,
    sleep: Clock.sleep,
    log,
  });
  deferred.reach = reach;
  const readDelay = ReadDelay.createReadDelay(
    clock,
    ({ acceptMs, readMs }) =>
      log.warn("connections-read-late", {
        ms: Math.round(readMs),
        acceptMs: Math.round(acceptMs),
      }),
  );
  const forwarderDeps: PendingRequest.ForwarderDeps = {
    state,
    dialect: deps.dialect,
    attempts: Attempt.createAttempts({
      connections,
      dialect: deps.dialect,
      responseMemory,
      reach,
      clock,
      onConnect: timings.recordConnect,
    }),
    reach,
    relay: Relay.createRelay({
      self,
      getInstances: control.getLiveInstances,
      connections,
      responseMemory,
      dialect: deps.dialect,
      getRoundTripMs: timings.getRoundTripMs,
      clock,
    }),
    placement: Placement.createPlacement({
      origin: instance.region,
      demand: countDomains(regionOfDomain),
    }),
    cacheState: CacheState.createCacheState(clock),
    workingSets,
    overload,
    warmups: Warmup.createWarmups(clock),
    loads,
    loadExchange: control.loadExchange,
    targetLimits,
    statements,
    coldStarts,
    timings,
    accounts,
    splits,
    retryBudget: RetryBudget.createRetryBudget({
      clock,
      fleetLimit: {
        share: limits.retryRatio * RETRY_SAFETY_FACTOR,
        windowMs: limits.retryWindowMs,
        getExtraRetries: () =>
          limits.retryExtra * RETRY_SAFETY_FACTOR / control.getFleetCount(),
      },
    }),
    poison: Poison.createPoison({
      clock,
      peers,
      route: control.reportRoute,
      metrics,
      log,
    }),
    responseMemory,
    bodyMemory,
    metrics,
    log: requestLog,
    clock,
    readBarrier: ReadBarrier.createReadBarrier(clock),
    getColdRatePerS,
  };
  const responder = Responder.createResponder(forwarderDeps);
  const forwarder = Forwarder.createForwarder(forwarderDeps, responder);
  const intake = Intake.createIntake(forwarderDeps, forwarder, responder);

  ExplainMethod.register({
    deps: forwarderDeps,
    self: instance.id,
    getMemberState: () => memberState,
    peers,
    metrics,
    clock,
    log,
  });

  const hasDownloads = () => state.getConfig()?.hasDownloads ?? false;

  /** Logs the load that this instance puts on the store, its peers and targets, in addition to requests. */
  function logUsage(): void {
    const { opened } = connections.getCounts();
    const responseBytes = responseMemory.getBytes();
    const bodyBytes = bodyMemory.getBytes();
    const residentBytes = process.memoryUsage.rss();
    const uncountedBytes = residentBytes - responseBytes - bodyBytes;
    const usage = {
      ...control.getUsage(),
      targetConnections: opened,
      directoryNamed: Directory.chooseAddresses(
        getDirectoryInstances(),
        instance.region,
        instance.domain,
        hasDownloads(),
      ).length,
      responseBytes,
      bodyBytes,
      residentBytes,
      uncountedBytes,
      clientConnections: gate.getCount(),
    };
    for (const [name, value] of Object.entries(usage)) {
      metrics.gauge(name, value);
    }
    log.info("usage", usage);
    if (uncountedBytes > ProcessMemory.UNCOUNTED_BYTES) {
      log.warn("memory-not-counted", { residentBytes, uncountedBytes });
    }
  }

  function onError(err: unknown): void {
    log.error("request-failed", {
      err: err instanceof Error ? err.stack : String(err),
    });
  }

  const endpoints = Endpoints.createEndpoints({
    dialect: deps.directory,
    getInstances: getDirectoryInstances,
    hasDownloads,
    getFleetCount: control.getFleetCount,
    getMemberState: () => memberState,
    maxTtlMs: settings.timing.maxDirectoryTtlMs,
  });
  const gate = ConnectionGate.createConnectionGate({
    maxConnections: ConnectionLimits.getMaxConnections(
      instance.maxDescriptors,
      instance.memoryBytes,
    ),
    crowdedRequests: ConnectionLimits.getCrowdedRequests(instance.memoryBytes),
    count: (limit) => metrics.count(`connections.closed.${limit}`),
    report: (event) => log.warn("client-connection-closed", event),
  });
  const callerListener = await Servers.listen(
    settings.listen.caller,
    gate,
    "callers",
    intake.handle,
    onError,
    readDelay.record,
  );
  const otherListeners = await Promise.all([
    Servers.listen(
      settings.listen.ready,
      gate,
      "internal",
      endpoints.handleReadiness,
      onError,
    ),
    Servers.listen(
      settings.listen.directory,
      gate,
      "internal",
      endpoints.handleDirectory,
      onError,
    ),
    Servers.listen(
      settings.listen.metrics,
      gate,
      "internal",
      (_req, res) => Servers.sendText(res, 200, metrics.formatText()),
      onError,
    ),
  ]);

  function applyConfig(config: GatewayTypes.RouteConfig): void {
    accounts.setConfig(config);
    splits.reset();
    for (const listener of [callerListener, ...otherListeners]) {
      listener.setLimits(config.limits);
    }
    if (memberState !== "starting") return;
    memberState = "live";
    log.info("ready", { version: config.version });
  }
  const currentConfig = state.getConfig();
  if (currentConfig !== undefined) applyConfig(currentConfig);
  state.onConfig(applyConfig);
  state.onTargetRemoved(({ entry }) => {
    loads.removeTarget(entry.id);
    targetLimits.removeTarget(entry.id);
    coldStarts.removeTarget(entry.id);
    workingSets.removeTarget(entry.id);
    overload.removeTarget(entry.id);
    connections.removeTarget(entry.address);
  });

  await control.listen();
  supervisor.every("usage", USAGE_INTERVAL_MS, logUsage);

  /**
   * Leaves the directory immediately, serves until callers have moved to other
   * instances, and then until all requests have responses or the grace period ends.
   */
  async function stop(): Promise<void> {
    const startedAtMs = clock.nowMs();
    const deadlineAtMs = startedAtMs + settings.timing.graceMs - STOP_MARGIN_MS;
    memberState = "leaving";
    log.info("leaving", { inFlight: callerListener.getInFlight() });
    callerListener.setLeaving();
    intake.prepareStop({
      acceptUntilMs: startedAtMs + LEAVE_ACCEPT_MS,
      endMs: deadlineAtMs - RESPONSE_WRITE_MS,
    });
    void control.leave();
    await Clock.sleep(LEAVE_DELAY_MS);
    await callerListener.closeIdle();
    while (
      callerListener.getBusyConnections() > 0 && clock.nowMs() < deadlineAtMs
    ) {
      await Clock.sleep(STOP_POLL_MS);
    }
    log.info("stopped", { inFlight: callerListener.getInFlight() });
    requestLog.flush();
    await Promise.race([close(), Clock.sleep(STOP_MARGIN_MS / 4)]);
  }

  async function close(): Promise<void> {
    const closing = [callerListener, ...otherListeners].map((listener) =>
      listener.close()
    );
    gate.close();
    reach.close();
    connections.close();
    await Promise.all([...closing, supervisor.stop()]);
    await store.close();
  }

  return { stop, close };
}

/** Returns the expected demand of each region: callers are assumed to be equally many in each failure domain. */
function countDomains(
  regionOfDomain: ReadonlyMap<Types.Domain, Types.Region>,
): ReadonlyMap<Types.Region, number> {
  const counts = new Map<Types.Region, number>();
  for (const region of regionOfDomain.values()) {
    counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  return counts;
}
