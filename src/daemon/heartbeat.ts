/** What this instance says of itself, and small measurements that it needs for that. */
import type * as Budgets from "../budget/budgets.ts";
import type * as Clock from "../clock.ts";
import type * as ConfigStore from "../config/config_store.ts";
import type * as Contracts from "../contracts.ts";
import type * as Settings from "../settings/settings.ts";
import type * as Types from "../types.ts";

/** Stands for "never" where JSON has no Infinity. */
const NEVER_MS = 1e12;
/** Share of the newest time in the mean of service times. */
const MEAN_WEIGHT = 0.05;

/** Parts whose state goes into heartbeats. */
export interface HeartbeatSources {
  readonly config: ConfigStore.Store;
  readonly budgets: Budgets.Budgets;
  readonly platform: Contracts.PlatformClient;
  readonly freshness: Contracts.Freshness;
  readonly targets: Contracts.Targets;
  readonly getInFlight: () => number;
}

/** Source of heartbeats. */
export interface HeartbeatState {
  get(): Types.Heartbeat;
  getState(): Types.MemberState;
  setState(state: Types.MemberState): void;
  setAddresses(caller: Types.Address, peer: Types.Address): void;
  /** Until this is called heartbeats carry no measurements. */
  watch(sources: HeartbeatSources): void;
  /** Instances that share the targets' slots, this one included. */
  getLiveInstances(peers: Contracts.PeerNet): readonly Types.Heartbeat[];
}

/** Creates the state, `starting` at first. */
export function createHeartbeatState(
  cfg: Settings.Settings,
  incarnation: string,
  clock: Clock.Clock,
): HeartbeatState {
  let state: Types.MemberState = "starting";
  let callerAddress = cfg.advertise.caller;
  let peerAddress = cfg.advertise.peer;
  let sources: HeartbeatSources | undefined;

  function getAge(atMs: number | undefined): number {
    return atMs === undefined ? NEVER_MS : Math.round(clock.nowMs() - atMs);
  }

  function getLoad(from: HeartbeatSources): number {
    const usable = from.targets.list()
      .filter((one) => one.state === "usable" || one.state === "cold");
    const slots = usable.reduce((sum, one) => sum + one.slots, 0);
    return slots === 0 ? 1 : Math.min(1, from.getInFlight() / slots);
  }

  function get(): Types.Heartbeat {
    const { id, domain, region } = cfg.instance;
    const tableRevision = sources?.config.getTable()?.revision ?? 0;
    const evidenceMs = sources?.freshness.getAgeMs() ?? NEVER_MS;
    return {
      id,
      incarnation,
      domain,
      region,
      state,
      tableRevision,
      isTableSettled: sources?.budgets.isTableSettled(tableRevision) ?? false,
      keysRevision: sources?.config.getKeysRevision() ?? 0,
      storeSeenMsAgo: getAge(sources?.platform.getLastResponseAtMs()),
      isStoreFailing: sources?.platform.isFailing() ?? true,
      relayedStoreSeenMsAgo: Math.round(Math.min(evidenceMs, NEVER_MS)),
      load: sources === undefined ? 0 : getLoad(sources),
      shards: sources?.budgets.getShards() ?? [],
      callerAddress,
      peerAddress,
    };
  }

  return {
    get,
    getState: () => state,
    setState(next) {
      state = next;
    },
    setAddresses(caller, peer) {
      // Port 0 in the settings means that the operating system has chosen one.
      if (cfg.advertise.caller.endsWith(":0")) callerAddress = caller;
      if (cfg.advertise.peer.endsWith(":0")) peerAddress = peer;
    },
    watch(all) {
      sources = all;
    },
    getLiveInstances(peers) {
      const others = peers.getMembers()
        .filter((one) => one.isReachable && one.heartbeat.state === "live")
        .map((one) => one.heartbeat);
      return [get(), ...others];
    },
  };
}

/** Mean time that a slot is held, per service. */
export interface ServiceTimes {
  getMeanMs(service: Types.Service): number;
  /** The same targets, with their slots' times measured. */
  watch(targets: Contracts.Targets): Contracts.Targets;
}

/** Creates the measurement; the mean is 0 until the first answer. */
export function createServiceTimes(): ServiceTimes {
  const means = new Map<Types.Service, number>();

  function note(service: Types.Service, ms: number): void {
    const mean = means.get(service) ?? ms;
    means.set(service, mean + MEAN_WEIGHT * (ms - mean));
  }

  return {
    getMeanMs: (service) => means.get(service) ?? 0,
    watch(targets) {
      return {
        ...targets,
        tryAcquire(service, region, exclude) {
          const slot = targets.tryAcquire(service, region, exclude);
          if (slot === undefined) return undefined;
          return {
            ...slot,
            release(verdict) {
              if (verdict.kind === "answered") note(service, verdict.latencyMs);
              slot.release(verdict);
            },
          };
        },
      };
    },
  };
}
