/**
 * Whether this instance can rely on hearing of withdrawals.
 *
 * Evidence is a time at which the store had no newer keys record than the one in
 * force here. It comes from an own read, dated to when the read was sent, or
 * from a peer's heartbeat whose keys revision is not above the own one: the
 * peer's evidence age plus the heartbeat's age. Relaying only adds to an age, so
 * peers can't confirm each other without the store. A store that a majority of
 * domains finds down is evidence, too: nothing can be withdrawn there, and the
 * operators' tool pushes withdrawals to the instances.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

/** Results are reused this long, as each request asks. */
const CACHE_MS = 20;
/**
 * Share of the staleness limit after which an instance counts as not reaching
 * the store although no call of its own has failed yet.
 */
const STORE_LOST_SHARE = 0.75;
/** Share of the staleness limit that evidence from a known outage is old. */
const OUTAGE_AGE_SHARE = 0.5;

/** What freshness needs of the configuration. */
export interface KeysState {
  getKeysRevision(): number;
  /** Monotonic ms at which the last good read of the keys record was sent. */
  tryGetKeysReadAtMs(): number | undefined;
}

/** Creates the check. `domains` lists the failure domains of the table. */
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

  function takeEvidence(
    heartbeat: Types.Heartbeat,
    ageMs: number,
    nowMs: number,
  ): void {
    if (heartbeat.keysRevision > config.getKeysRevision()) return;
    const atMs = nowMs - ageMs - heartbeat.relayedStoreSeenMsAgo;
    evidenceAtMs = Math.max(evidenceAtMs, atMs);
  }

  function takeOwnRead(): void {
    const readAtMs = config.tryGetKeysReadAtMs() ?? -Infinity;
    evidenceAtMs = Math.max(evidenceAtMs, readAtMs);
  }

  /** Reaches the store itself, or knows of a keys record that is missing here. */
  function contradictsOutage(member: Types.Member): boolean {
    const { heartbeat, ageMs } = member;
    if (heartbeat.keysRevision > config.getKeysRevision()) return true;
    if (heartbeat.isStoreFailing) return false;
    return heartbeat.storeSeenMsAgo + ageMs <= storeLostMs;
  }

  /** The own domain counts unless all of its other members are out of reach. */
  function isOwnDomainReached(members: readonly Types.Member[]): boolean {
    const own = members.filter(({ heartbeat }) =>
      heartbeat.domain === cfg.domain && heartbeat.state !== "leaving"
    );
    return own.length === 0 || own.some((m) => m.isReachable);
  }

  function findOutage(
    members: readonly Types.Member[],
    nowMs: number,
  ): boolean {
    const answeredAtMs = platform.getLastResponseAtMs() ?? -Infinity;
    const isLost = platform.isFailing() || nowMs - answeredAtMs > storeLostMs;
    if (!isLost) return false;
    const reachable = members.filter((m) => m.isReachable);
    if (reachable.some(contradictsOutage)) return false;
    const reached = new Set(reachable.map((m) => m.heartbeat.domain));
    if (isOwnDomainReached(members)) reached.add(cfg.domain);
    const domains = args.domains();
    const count = domains.filter((domain) => reached.has(domain)).length;
    return count * 2 > domains.length;
  }

  function scan(nowMs: number): void {
    if (nowMs - scannedAtMs < CACHE_MS) return;
    scannedAtMs = nowMs;
    takeOwnRead();
    const members = peers.getMembers();
    for (const { heartbeat, ageMs } of members) {
      takeEvidence(heartbeat, ageMs, nowMs);
    }
    if (!findOutage(members, nowMs)) return;
    // Dated back, so that after the outage there is time for a read of the keys
    // but no more than that.
    evidenceAtMs = Math.max(evidenceAtMs, nowMs - outageAgeMs);
  }

  function isWithinLimit(nowMs: number): boolean {
    return nowMs - evidenceAtMs <= cfg.stalenessLimitMs;
  }

  return {
    isCurrent() {
      if (cfg.whenIsolated === "serve") return true;
      const nowMs = clock.nowMs();
      // Evidence of an outage is this old from the start. It is renewed while
      // the outage lasts, or its end leaves less time for a read of the keys.
      if (nowMs - evidenceAtMs < outageAgeMs) return true;
      scan(nowMs);
      return isWithinLimit(nowMs);
    },
    getAgeMs() {
      const nowMs = clock.nowMs();
      scan(nowMs);
      return nowMs - evidenceAtMs;
    },
  };
}
