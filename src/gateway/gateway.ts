/** Composition of a gateway instance: what it starts, in which order, and how it stops. */
import type * as Http from "node:http";
import * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import * as Metrics from "../metrics/metrics.ts";
import * as Poison from "../retry/poison.ts";
import * as RetryBudget from "../retry/retry_budget.ts";
import * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Attempt from "./attempt.ts";
import * as Connections from "./connections.ts";
import type * as Contracts from "./contracts.ts";
import * as Control from "./control.ts";
import * as Directory from "./directory.ts";
import * as Forwarder from "./forwarder.ts";
import * as ReadDelay from "./read_delay.ts";
import * as Placement from "./placement.ts";
import * as RequestLog from "./request_log.ts";
import * as Servers from "./servers.ts";
import type * as Settings from "./settings.ts";
import * as Split from "./split.ts";
import * as TargetLoad from "./target_load.ts";
import * as Timings from "./timings.ts";
import type * as GatewayTypes from "./types.ts";
import * as Warmup from "./warmup.ts";
import * as CacheState from "./cache_state.ts";
import * as WorkingSet from "./working_set.ts";

/** Callers ask the directory again this often; a leaving instance is out of use after three times that. */
const DIRECTORY_TTL_S = 1;
/**
 * The same in a large fleet. There look-ups were a third of all that the instances
 * answered (27,159 beside 48,837 requests on a day of 87); an answer names so many
 * instances that one that has ended costs few callers a second try.
 */
const LARGE_FLEET_TTL_S = 2;
const LARGE_FLEET_INSTANCES = 24;
/** What is left of the fleet's second sends for what instances do not know of each other. */
const RETRY_SAFETY = 0.92;
/** A cold target crashes well above its rate. */
const COLD_FACTOR = 1.2;
/** After SIGTERM callers get this long to find other instances. */
const LEAVE_MS = 4_300;
/** Kept of the grace period for the end itself. */
const STOP_MARGIN_MS = 700;
const STOP_POLL_MS = 20;
/** Often enough to see a change of minutes; the line costs next to nothing. */
const USAGE_INTERVAL_MS = 10_000;

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
  let memberState: Types.MemberState = "starting";

  const control = await Control.startControl({
    settings,
    store,
    decode: deps.decode,
    watchedPrefixes: deps.watchedPrefixes,
    getMemberState: () => memberState,
    supervisor: root,
    clock,
    log,
  });
  const { accounts, coldStarts, peers, roster, state } = control;

  function getColdRate(service: Types.Service): number {
    const perS = state.getConfig()?.services.get(service)?.coldPerS ?? 0;
    const mostPerS = perS * limits.coldFactor + limits.coldExtraPerS;
    return Math.min(perS * COLD_FACTOR, mostPerS);
  }

  function getCandidates(): readonly Directory.Candidate[] {
    const list: Directory.Candidate[] = [];
    if (memberState === "live") {
      list.push({ ...instance, callerAddress: settings.listen.caller });
    }
    for (const heartbeat of control.getReachable()) {
      if (heartbeat.state === "live") list.push(heartbeat);
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
  const workingSets = WorkingSet.createWorkingSets(
    clock,
    (target, isLimited) => log.info("target-limited", { target, isLimited }),
  );
  const loads = TargetLoad.createTargetLoads(clock);
  const timings = Timings.createTimings();
  const splits = Split.createSplits();
  const lateness = ReadDelay.createReadDelay(
    clock,
    (ms) => log.warn("connections-read-late", { ms: Math.round(ms) }),
  );
  const handler = Forwarder.createForwarder({
    state,
    dialect: deps.dialect,
    attempts: Attempt.createAttempts({
      connections,
      dialect: deps.dialect,
      clock,
      onConnect: timings.recordConnect,
    }),
    placement: Placement.createPlacement({
      origin: instance.region,
      demand: countDomains(regionOfDomain),
    }),
    cacheState: CacheState.createCacheState(clock),
    workingSets,
    warmups: Warmup.createWarmups(clock),
    loads,
    coldStarts,
    timings,
    accounts,
    splits,
    retries: RetryBudget.createRetryBudget({
      clock,
      fleetLimit: {
        share: limits.retryRatio * RETRY_SAFETY,
        windowMs: limits.retryWindowMs,
        getExtra: () => limits.retryExtra * RETRY_SAFETY / roster.getCount(),
      },
    }),
    poison: Poison.createPoison({
      clock,
      peers,
      route: control.reportRoute,
      log,
    }),
    metrics,
    log: requestLog,
    clock,
    readDelay: lateness,
    getColdRate,
  });

  /** What the instance itself costs the platform and its peers, besides requests. */
  function logUsage(): void {
    const { opened } = connections.getCounts();
    const usage = { ...control.getUsage(), targetConnections: opened };
    for (const [name, value] of Object.entries(usage)) {
      metrics.gauge(name, value);
    }
    log.info("usage", usage);
  }

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
    const isLarge = roster.getCount() > LARGE_FLEET_INSTANCES;
    const ttlS = Math.min(
      isLarge ? LARGE_FLEET_TTL_S : DIRECTORY_TTL_S,
      maxTtlS,
    );
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

  const caller = await Servers.listen(
    settings.listen.caller,
    handler,
    onError,
    { clock, note: lateness.record },
  );
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
    accounts.setConfig(config);
    splits.reset();
    caller.setLimits(config.limits);
    if (memberState !== "starting") return;
    memberState = "live";
    log.info("ready", { version: config.version });
  }
  const known = state.getConfig();
  if (known !== undefined) useConfig(known);
  state.onConfig(useConfig);
  state.onTargetRemoved(({ entry }) => {
    loads.removeTarget(entry.id);
    coldStarts.removeTarget(entry.id);
    workingSets.removeTarget(entry.id);
    connections.removeTarget(entry.address);
  });

  await control.listen();
  root.every("usage", USAGE_INTERVAL_MS, logUsage);

  /** Out of the directory at once; serves on until callers have moved, then until all is answered. */
  async function stop(): Promise<void> {
    const startedAtMs = clock.nowMs();
    const endsAtMs = startedAtMs + settings.timing.graceMs - STOP_MARGIN_MS;
    memberState = "leaving";
    log.info("leaving", { inFlight: caller.getInFlight() });
    caller.setLeaving();
    void control.leave();
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
