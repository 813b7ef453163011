/**
 * Freshness check: whether this instance's keys record is recent enough to
 * contain all withdrawals.
 *
 * Evidence is a time at which the store had no newer keys record than the one in
 * force in this instance. It has three sources:
 * - A read of the store by this instance, dated to when the read was sent.
 * - A peer's heartbeat whose keys revision is not above this instance's. The age
 *   of the evidence is the age that the peer reports plus the heartbeat's age.
 *   Relaying only adds to an age, so peers can't confirm each other without the
 *   store.
 * - A store outage that a majority of failure domains observes. Nothing can be
 *   withdrawn in the store then, and the operators' tool pushes withdrawals to
 *   the instances.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

/** Evidence is updated at most this often, because every request checks freshness. */
const SCAN_INTERVAL_MS = 20;
/**
 * Fraction of the staleness limit. An instance that has had no store response
 * for longer counts as cut off from the store, even if none of its calls has failed yet.
 */
const STORE_LOST_SHARE = 0.75;
/** Age of evidence from a known outage, as a fraction of the staleness limit. */
const OUTAGE_AGE_SHARE = 0.5;

/** The part of the configuration that the freshness check reads. */
export interface KeysState {
  getKeysRevision(): number;
  /** Monotonic ms at which the last successful read of the keys record was sent. */
  tryGetKeysReadAtMs(): number | undefined;
}

/** Creates the freshness check. `domains` returns the failure domains of the table. */
export function createFreshness(args: {
  readonly peers: Contracts.PeerNet;
  readonly platform: Contracts.PlatformClient;
  readonly config: KeysState;
  readonly clock: Clock.Clock;
  readonly domains: () => readonly Types.Domain[];
  readonly cfg: {
    readonly domain: Types.Domain;
    readonly stalenessLimitMs: number;
    readonly whenIsolated: "refuse" | "serve";
  };
}): Contracts.Freshness {
  const { peers, platform, config, clock, cfg } = args;
  const storeLostMs = cfg.stalenessLimitMs * STORE_LOST_SHARE;
  const outageAgeMs = cfg.stalenessLimitMs * OUTAGE_AGE_SHARE;
  let evidenceAtMs = -Infinity;
  let scannedAtMs = -Infinity;

  function recordHeartbeatEvidence(
    heartbeat: Types.Heartbeat,
    ageMs: number,
    nowMs: number,
  ): void {
    if (heartbeat.keysRevision > config.getKeysRevision()) return;
    const atMs = nowMs - ageMs - heartbeat.relayedStoreSeenMsAgo;
    evidenceAtMs = Math.max(evidenceAtMs, atMs);
  }

  function recordStoreRead(): void {
    const readAtMs = config.tryGetKeysReadAtMs() ?? -Infinity;
    evidenceAtMs = Math.max(evidenceAtMs, readAtMs);
  }

  /** True when the member reaches the store, or has a newer keys record than this instance. */
  function contradictsOutage(member: Types.Member): boolean {
    const { heartbeat, ageMs } = member;
    if (heartbeat.keysRevision > config.getKeysRevision()) return true;
    if (heartbeat.isStoreFailing) return false;
    return heartbeat.storeSeenMsAgo + ageMs <= storeLostMs;
  }

  /** The local domain counts as reachable unless all of its other members are unreachable. */
  function isLocalDomainReachable(members: readonly Types.Member[]): boolean {
    const localMembers = members.filter(({ heartbeat }) =>
      heartbeat.domain === cfg.domain && heartbeat.state !== "leaving"
    );
    return localMembers.length === 0 ||
      localMembers.some((member) => member.isReachable);
  }

  /**
   * True when this instance is cut off from the store and so are all members that
   * it reaches, provided that they cover a majority of the failure domains.
   */
  function isStoreOutage(
    members: readonly Types.Member[],
    nowMs: number,
  ): boolean {
    const lastResponseAtMs = platform.getLastResponseAtMs() ?? -Infinity;
    const isStoreLost = platform.isFailing() ||
      nowMs - lastResponseAtMs > storeLostMs;
    if (!isStoreLost) return false;
    const reachable = members.filter((member) => member.isReachable);
    if (reachable.some(contradictsOutage)) return false;
    const reachableDomains = new Set(
      reachable.map((member) => member.heartbeat.domain),
    );
    if (isLocalDomainReachable(members)) reachableDomains.add(cfg.domain);
    const domains = args.domains();
    const reachableCount =
      domains.filter((domain) => reachableDomains.has(domain)).length;
    return reachableCount * 2 > domains.length;
  }

  function updateEvidence(nowMs: number): void {
    if (nowMs - scannedAtMs < SCAN_INTERVAL_MS) return;
    scannedAtMs = nowMs;
    recordStoreRead();
    const members = peers.getMembers();
    for (const { heartbeat, ageMs } of members) {
      recordHeartbeatEvidence(heartbeat, ageMs, nowMs);
    }
    if (!isStoreOutage(members, nowMs)) return;
    // Evidence from an outage is backdated, so that after the outage only the time
    // for one read of the keys remains.
    evidenceAtMs = Math.max(evidenceAtMs, nowMs - outageAgeMs);
  }

  function isWithinLimit(nowMs: number): boolean {
    return nowMs - evidenceAtMs <= cfg.stalenessLimitMs;
  }

  return {
    isCurrent() {
      if (cfg.whenIsolated === "serve") return true;
      const nowMs = clock.nowMs();
      // Evidence from an outage has this age from the start, so it must be renewed
      // during the outage. Otherwise less time for a read of the keys remains
      // after the outage ends.
      if (nowMs - evidenceAtMs < outageAgeMs) return true;
      updateEvidence(nowMs);
      return isWithinLimit(nowMs);
    },
    getAgeMs() {
      const nowMs = clock.nowMs();
      updateEvidence(nowMs);
      return nowMs - evidenceAtMs;
    },
  };
}
