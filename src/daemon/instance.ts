/**
 * Composition of an entry instance: creates and connects all modules, starts them
 * under the supervisor tree, and stops them in order.
 */
import * as Crypto from "node:crypto";
import * as Admission from "../admission/admission.ts";
import type * as Context from "../admission/context.ts";
import type * as Placement from "../admission/placement.ts";
import * as Budgets from "../budget/budgets.ts";
import * as AllocationPlan from "../budget/allocation_plan.ts";
import * as Clock from "../clock.ts";
import * as ConfigStore from "../config/config_store.ts";
import * as Freshness from "../config/freshness.ts";
import type * as Contracts from "../contracts.ts";
import * as Drain from "../drain/drain.ts";
import * as Link from "../forward/link.ts";
import * as Exchange from "../forward/exchange.ts";
import * as Keys from "../keys/keys.ts";
import type * as Log from "../log.ts";
import * as Lookup from "../lookup/lookup.ts";
import * as MemoryBudget from "../memory_budget.ts";
import * as LatencyEncoding from "../metrics/latency_encoding.ts";
import * as Metrics from "../metrics/metrics.ts";
import * as Handover from "../once/handover.ts";
import * as Relay from "../once/relay.ts";
import * as Tickets from "../once/tickets.ts";
import * as Drops from "../peer/drops.ts";
import * as PeerNet from "../peer/net.ts";
import * as PlatformClient from "../platform/client.ts";
import * as FairQueue from "../queue/fair_queue.ts";
import * as Poison from "../retry/poison.ts";
import * as RetryBudget from "../retry/retry_budget.ts";
import type * as Settings from "../settings/settings.ts";
import * as Steering from "../steering/steering.ts";
import * as Supervisor from "../supervisor.ts";
import * as Table from "../table/table.ts";
import * as Targets from "../targets/targets.ts";
import type * as Types from "../types.ts";
import * as CallerLimits from "./caller_limits.ts";
import * as Directory from "./directory.ts";
import * as HeartbeatState from "./heartbeat.ts";
import * as QueueWake from "./queue_wake.ts";
import * as Rpc from "./rpc.ts";
import * as Servers from "./servers.ts";

/** Callers retry within minutes; the ledger keeps records for that long. */
const TICKET_TTL_MS = 10 * 60_000;
const MAX_QUEUED_PER_ACCOUNT = 200;
/** Interval at which the figures of the peer network are put into the metrics, ms. */
const PEER_USAGE_INTERVAL_MS = 10_000;
const READY_POLL_MS = 20;
/** After this time the instance serves without store and peers; its rejections then state the reason. */
const READY_TIMEOUT_MS = 15_000;
const PEER_RAMP_TIMEOUT_MS = 500;

/** A running entry instance. */
export interface Instance {
  readonly addresses: {
    readonly caller: Types.Address;
    readonly probe: Types.Address;
    readonly peer: Types.Address;
  };
  /** Resolves when the instance is live and serves callers. */
  readonly ready: Promise<void>;
  /** Drains the instance, then stops all its modules. */
  stop(): Promise<void>;
}

/** Starts an entry instance; rejects when a listener can't be bound. */
export async function startInstance(
  cfg: Settings.Settings,
  log: Log.Logger,
): Promise<Instance> {
  const clock = Clock.systemClock;
  const rootSupervisor = Supervisor.createSupervisor("anvilrouted", log);
  const incarnation = Crypto.randomUUID().replaceAll("-", "");
  const { id: self, domain, region } = cfg.instance;
  const heartbeat = HeartbeatState.createHeartbeatState(
    cfg,
    incarnation,
    clock,
  );

  const platform = PlatformClient.createPlatformClient({
    address: cfg.platform.address,
    timeoutMs: cfg.platform.timeoutMs,
    clock,
  });
  const peers = PeerNet.createPeerNet({
    self,
    incarnation,
    domain,
    listen: cfg.listen.peer,
    seeds: cfg.peers.seeds,
    secret: cfg.peers.secret,
    getHeartbeat: heartbeat.get,
    localAddress: cfg.outbound.address,
    supervisor: rootSupervisor.createChild("peers"),
    log,
    clock,
  });
  const keys = Keys.createKeys();
  const config = ConfigStore.createConfigStore({
    platform,
    peers,
    parseTable: Table.parseTable,
    keys,
    supervisor: rootSupervisor.createChild("config"),
    log,
    clock,
    cfg: { domain },
  });
  const freshness = Freshness.createFreshness({
    peers,
    platform,
    config,
    clock,
    domains: () => [...(config.getTable()?.domains.keys() ?? [])],
    cfg: { domain, ...cfg.keys },
  });
  const budgets = Budgets.createBudgets({
    self,
    incarnation,
    domain,
    region,
    platform,
    peers,
    supervisor: rootSupervisor.createChild("budgets"),
    log,
    clock,
    cfg,
  });
  const steering = Steering.createSteering({
    region,
    clock,
    getPeerRamp: () => tryGetPeerRamp(peers),
  });
  const targets = Targets.createTargets({
    self,
    domain,
    region,
    getLiveInstances: () => heartbeat.getLiveInstances(peers),
    localAddress: cfg.outbound.address,
    supervisor: rootSupervisor.createChild("targets"),
    log,
    clock,
  });
  const metrics = Metrics.createMetrics({
    clock,
    instance: self,
    encodeLatency: LatencyEncoding.encodeHistogram,
  });
  const serviceTimes = HeartbeatState.createServiceTimes();
  const queue = QueueWake.createWakingQueue(
    FairQueue.createFairQueue<Placement.Placement>({
      clock,
      maxPerAccount: MAX_QUEUED_PER_ACCOUNT,
      getServiceTimeMs: serviceTimes.getMeanMs,
    }),
  );
  const ledger = Handover.createLedger({
    maxEntries: cfg.limits.ledgerEntries,
    maxBytes: cfg.limits.ledgerBytes,
    clock,
    peers,
    log,
  });
  const bodyMemory = MemoryBudget.createMemoryBudget(cfg.limits.bodiesBytes);
  const deps: Context.Deps = {
    region,
    config,
    freshness,
    keys,
    budgets,
    steering,
    targets: serviceTimes.measureTargets(targets),
    queue,
    tickets: Tickets.createTickets({
      self,
      incarnation,
      secret: cfg.peers.secret,
      ttlMs: TICKET_TTL_MS,
      clock,
    }),
    ledger,
    poison: Poison.createPoison({ clock, peers, metrics, log }),
    retryBudget: RetryBudget.createRetryBudget({ clock }),
    responseSizes: Link.createResponseSizes(),
    peers,
    exchanger: Exchange.createExchanger({
      bufferBytes: cfg.limits.bufferBytes,
      localAddress: cfg.outbound.address,
    }),
    relay: Relay.createRelaySigner(cfg.peers.secret, clock),
    metrics,
    clock,
    log,
    limits: {
      maxBytes: cfg.limits.maxBodyBytes,
      bufferBytes: cfg.limits.bufferBytes,
      memory: bodyMemory,
    },
    findRoute: Table.findRoute,
  };

  let allocationPlan: AllocationPlan.AllocationPlan | undefined;
  config.onTable((table) => {
    allocationPlan = AllocationPlan.createAllocationPlan(table);
    budgets.setTable(table);
    steering.setTable(table);
    log.info("table-in-force", { revision: table.revision });
  });
  targets.onSlotFree((service) => queue.wake(service));
  const lookup = Lookup.createLookup({
    deps,
    getSelf: heartbeat.get,
    getAllocatedRate: (shards, shardDomain, service, account) =>
      getAllocatedRate(
        allocationPlan,
        shards,
        shardDomain,
        `acct/${service}/${account}`,
      ),
    maxAgeMs: cfg.lookup.maxAgeMs,
  });
  Rpc.registerMethods({ deps, heartbeat, steering, budgets, metrics, peers });

  const peerAddress = await peers.listen();
  const callerLimits = CallerLimits.createCallerLimits(
    cfg.limits,
    metrics,
    log,
  );
  const callerListener = await Servers.startCallerListener(
    cfg.listen.caller,
    { lookup, service: Admission.createAdmission(deps) },
    log,
    callerLimits,
  );
  const probeListener = await Servers.startProbeListener(
    cfg.listen.probe,
    metrics,
    heartbeat.getState,
    callerLimits,
  );
  heartbeat.setAddresses(callerListener.address, peerAddress);
  heartbeat.setSources({
    config,
    budgets,
    platform,
    freshness,
    targets,
    getInFlight: callerListener.getInFlight,
  });
  targets.start();
  rootSupervisor.every("ledger-sweep", ledger.sweepIntervalMs, ledger.sweep);
  rootSupervisor.every(
    "peer-usage",
    PEER_USAGE_INTERVAL_MS,
    () => {
      metrics.gauge("clientConnections", callerLimits.gate.getCount());
      metrics.gauge("bodyBytes", bodyMemory.getBytes());
      metrics.gauge("peerMessagesDiscarded", peers.getDiscardedCount());
      const usage = Drops.formatUsage(peers.getSendUsage());
      for (const [name, value] of Object.entries(usage)) {
        metrics.gauge(name, value);
      }
    },
  );

  const ready = startServing();

  async function startServing(): Promise<void> {
    const readyDeadlineAtMs = clock.nowMs() + READY_TIMEOUT_MS;
    await Directory.startDirectory({
      domain,
      platform,
      peers,
      targets,
      supervisor: rootSupervisor.createChild("directory"),
      clock,
      log,
    });
    await budgets.start();
    const isReady = () => config.getTable() !== undefined && budgets.isValid();
    while (!isReady() && clock.nowMs() < readyDeadlineAtMs) {
      await Clock.sleep(READY_POLL_MS);
    }
    await steering.bootstrap();
    heartbeat.setState("live");
    log.info("ready", { caller: callerListener.address, peer: peerAddress });
  }

  async function stop(): Promise<void> {
    await Drain.drain({
      lookupMaxAgeMs: cfg.lookup.maxAgeMs,
      listener: callerListener,
      ledger,
      peers,
      domain,
      announceLeaving: () => heartbeat.setState("leaving"),
      transferShards: () => budgets.transferAll(),
      clock,
      log,
    });
    await budgets.stop();
    await rootSupervisor.stop();
    await peers.close();
    await deps.exchanger.close();
    await probeListener.close();
    callerLimits.gate.close();
    await platform.close();
  }

  return {
    addresses: {
      caller: callerListener.address,
      probe: probeListener.address,
      peer: peerAddress,
    },
    ready,
    stop,
  };
}

async function tryGetPeerRamp(peers: Contracts.PeerNet): Promise<unknown> {
  for (const member of peers.getMembers()) {
    if (!member.isReachable || member.heartbeat.state !== "live") continue;
    const response = await peers.call<unknown>(
      member.heartbeat.id,
      "steering.ramp",
      {},
      PEER_RAMP_TIMEOUT_MS,
    );
    if (response.isOk()) return response.value;
  }
  return undefined;
}

function getAllocatedRate(
  allocationPlan: AllocationPlan.AllocationPlan | undefined,
  shards: readonly number[],
  domain: Types.Domain,
  key: Contracts.BudgetKey,
): number {
  // Most instances of a large fleet hold no shard.
  if (shards.length === 0) return 0;
  return allocationPlan?.getShardsShare(domain, shards, key).rate ?? 0;
}
