/** Content of this instance's heartbeats, and the measurement of service times. */
import type * as Budgets from "../budget/budgets.ts";
import type * as Clock from "../clock.ts";
import type * as ConfigStore from "../config/config_store.ts";
import type * as Contracts from "../contracts.ts";
import type * as Settings from "../settings/settings.ts";
import type * as Types from "../types.ts";

/** Age of an event that never occurred; JSON has no Infinity. */
const NEVER_MS = 1e12;
/** Weight of the newest sample in the mean service time. */
const NEWEST_SAMPLE_WEIGHT = 0.05;

/** Modules whose state is sent in heartbeats. */
export interface HeartbeatSources {
  readonly config: ConfigStore.Store;
  readonly budgets: Budgets.Budgets;
  readonly platform: Contracts.PlatformClient;
  readonly freshness: Contracts.Freshness;
  readonly targets: Contracts.Targets;
  readonly getInFlight: () => number;
}

/** Creates heartbeats from the state of this instance. */
export interface HeartbeatState {
  get(): Types.Heartbeat;
  getState(): Types.MemberState;
  setState(state: Types.MemberState): void;
  /** Sets the listeners' addresses, which are advertised when the settings have port 0. */
  setAddresses(caller: Types.Address, peer: Types.Address): void;
  /** Sets the modules to read; without them heartbeats contain default values. */
  setSources(sources: HeartbeatSources): void;
  /** Live instances, which share the targets' slots; this instance is always included. */
  getLiveInstances(peers: Contracts.PeerNet): readonly Types.Heartbeat[];
}

/** Creates the heartbeat state; the member state is `starting` at first. */
export function createHeartbeatState(
  cfg: Settings.Settings,
  incarnation: string,
  clock: Clock.Clock,
): HeartbeatState {
  let state: Types.MemberState = "starting";
  let callerAddress = cfg.advertise.caller;
  let peerAddress = cfg.advertise.peer;
  let sources: HeartbeatSources | undefined;

  function getAgeMs(atMs: number | undefined): number {
    return atMs === undefined ? NEVER_MS : Math.round(clock.nowMs() - atMs);
  }

  function getLoad(loadSources: HeartbeatSources): number {
    const usableTargets = loadSources.targets.list()
      .filter((target) => target.state === "usable" || target.state === "cold");
    const slots = usableTargets.reduce((sum, target) => sum + target.slots, 0);
    return slots === 0 ? 1 : Math.min(1, loadSources.getInFlight() / slots);
  }

  function get(): Types.Heartbeat {
    const { id, domain, region } = cfg.instance;
    const tableRevision = sources?.config.getTable()?.revision ?? 0;
    const evidenceAgeMs = sources?.freshness.getAgeMs() ?? NEVER_MS;
    return {
      id,
      incarnation,
      domain,
      region,
      state,
      tableRevision,
      isTableSettled: sources?.budgets.isTableSettled(tableRevision) ?? false,
      keysRevision: sources?.config.getKeysRevision() ?? 0,
      storeSeenMsAgo: getAgeMs(sources?.platform.getLastResponseAtMs()),
      isStranded: false,
      isStoreFailing: sources?.platform.isFailing() ?? true,
      relayedStoreSeenMsAgo: Math.round(Math.min(evidenceAgeMs, NEVER_MS)),
      load: sources === undefined ? 0 : getLoad(sources),
      capacity: 0,
      shards: sources?.budgets.getShards() ?? [],
      callerAddress,
      peerAddress,
    };
  }

  return {
    get,
    getState: () => state,
    setState(newState) {
      state = newState;
    },
    setAddresses(caller, peer) {
      // With port 0 in the settings, the operating system has chosen the port.
      if (cfg.advertise.caller.endsWith(":0")) callerAddress = caller;
      if (cfg.advertise.peer.endsWith(":0")) peerAddress = peer;
    },
    setSources(newSources) {
      sources = newSources;
    },
    getLiveInstances(peers) {
      const livePeers = peers.getMembers()
        .filter((member) =>
          member.isReachable && member.heartbeat.state === "live"
        )
        .map((member) => member.heartbeat);
      return [get(), ...livePeers];
    },
  };
}

/** Mean time for which a request occupies a slot, per service. */
export interface ServiceTimes {
  getMeanMs(service: Types.Service): number;
  /** Wraps targets so that the service times of their slots are measured. */
  measureTargets(targets: Contracts.Targets): Contracts.Targets;
}

/** Creates the measurement; a service's mean is 0 until its first response. */
export function createServiceTimes(): ServiceTimes {
  const means = new Map<Types.Service, number>();

  function recordTime(service: Types.Service, ms: number): void {
    const mean = means.get(service) ?? ms;
    means.set(service, mean + NEWEST_SAMPLE_WEIGHT * (ms - mean));
  }

  return {
    getMeanMs: (service) => means.get(service) ?? 0,
    measureTargets(targets) {
      return {
        ...targets,
        tryAcquire(service, region, exclude) {
          const slot = targets.tryAcquire(service, region, exclude);
          if (slot === undefined) return undefined;
          return {
            ...slot,
            release(outcome) {
              if (outcome.kind === "answered") {
                recordTime(service, outcome.latencyMs);
              }
              slot.release(outcome);
            },
          };
        },
      };
    },
  };
}
