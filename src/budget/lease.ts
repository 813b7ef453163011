/**
 * This instance's lease, which gives it the right to spend its allocations.
 *
 * Guarantee: `isValid()` is true only while no other instance can have taken
 * over a shard of this one. Connected: the lease, counted from when its renewal
 * was sent, can't have expired in the store. Disconnected: every domain peer
 * reported, after the queries were sent, that it can't reach the store. A peer
 * must then reach the store for a full lease period before it takes over a
 * shard, so such a set of responses counts like a renewal. The guarantee fails
 * when the clocks of two machines differ in speed by more than the margin per
 * lease period, or with `on_silent_peer = "keep"`.
 */
import type { Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Confirm from "./confirm.ts";
import type * as InstanceDeps from "./instance_deps.ts";
import * as Messages from "./messages.ts";
import * as Relay from "./relay.ts";
import * as StoreHealth from "./store_health.ts";

/** Subtracted from the lease period for clock differences and late checks. */
export const SAFETY_MARGIN_MS = 1_000;
/** How often `tick` must run; a gap longer than the safety margin is a process pause. */
export const TICK_INTERVAL_MS = 200;
/** Number of peers that get a relay request first; the others get one only when these can't relay. */
const FIRST_BATCH = 2;

/** Dependencies of the lease. */
export interface LeaseDeps extends InstanceDeps.InstanceDeps {
  readonly cfg: LeaseSettings;
  /** Instances of the domain that the store listed last. */
  readonly getStorePeers: () => readonly Types.InstanceId[];
  readonly getShards: () => readonly number[];
  /** Confirms every held shard in the store and drops lost ones; false when the store failed. */
  readonly tryReconfirmShards: () => Promise<boolean>;
  readonly dropShards: (shards: readonly number[]) => void;
  /** Empties all buckets before resuming without proof that this instance is the only holder. */
  readonly emptyAll: () => void;
}

/** The `lease` settings. */
export interface LeaseSettings {
  readonly ttlMs: number;
  readonly renewMs: number;
  readonly onSilentPeer: "suspend" | "keep";
  /** Timeout of one platform call, so also the longest wait of a relaying peer. */
  readonly callTimeoutMs: number;
}

/** The lease of this instance. */
export interface Lease {
  /** True while this instance may spend its allocations. */
  isValid(): boolean;
  getMode(): "connected" | "disconnected";
  /** Monotonic ms at which the confirmed right to spend ends. */
  getValidUntilMs(): number;
  /** Renews the lease once, through peers when the store does not respond. */
  renew(): Promise<void>;
  /**
   * Detects process pauses; must run every `TICK_INTERVAL_MS`. True when a
   * pause has just suspended spending.
   */
  tick(): boolean;
  /** Ends the validity at once, then releases the lease in the store. */
  release(): Promise<void>;
}

/** Creates the lease, not yet granted, and handles `lease.relay`. */
export function createLease(deps: LeaseDeps): Lease {
  const { clock, cfg, health, log, peers, platform } = deps;
  /** Domain peers whose address refused the connection at the last attempt. */
  const endedPeers = new Set<Types.InstanceId>();
  let leaseId: string | undefined;
  let validUntilMs = -Infinity;
  let mode: "connected" | "disconnected" = "connected";
  let needsReconfirm = false;
  let lastTickMs = clock.nowMs();
  let pausedAtMs = -Infinity;
  let isSuspended = false;
  let isReleased = false;
  let writes = 0;

  function isPaused(nowMs: number): boolean {
    return nowMs - lastTickMs > SAFETY_MARGIN_MS;
  }

  function isValid(): boolean {
    const now = clock.nowMs();
    if (now >= validUntilMs) return false;
    // The gap is checked here too, because requests may be served before the late tick.
    return mode === "connected" || !(isSuspended || isPaused(now));
  }

  function tick(): boolean {
    const now = clock.nowMs();
    const wasPaused = mode === "disconnected" && isPaused(now);
    if (wasPaused) {
      isSuspended = true;
      pausedAtMs = now;
      log.warn("holding-suspended", { reason: "process-pause" });
    }
    lastTickMs = now;
    return wasPaused;
  }

  function extendValidity(sentAtMs: number, newMode: typeof mode): void {
    if (isReleased) return;
    const untilMs = sentAtMs + cfg.ttlMs - SAFETY_MARGIN_MS;
    if (newMode !== mode) log.info("lease-mode", { mode: newMode });
    mode = newMode;
    validUntilMs = Math.max(validUntilMs, untilMs);
    if (newMode === "connected" || sentAtMs > pausedAtMs) isSuspended = false;
  }

  function handleLapse(): void {
    log.warn("lease-lapsed", { mode });
    leaseId = undefined;
    needsReconfirm = true;
    // In disconnected mode the last responses of the peers still protect the allocations.
    if (mode === "connected") validUntilMs = -Infinity;
  }

  async function renew(): Promise<void> {
    if (isReleased) return;
    const sentAtMs = clock.nowMs();
    const result = leaseId === undefined
      ? await register()
      : await health.track(platform.renewLease(leaseId));
    if (isReleased) return;
    if (result.isOk()) {
      if (needsReconfirm && !(await deps.tryReconfirmShards())) return;
      needsReconfirm = false;
      extendValidity(sentAtMs, "connected");
      return;
    }
    if (result.error.code.number === ResultCodes.codes.leaseLapsed.number) {
      // A lease that lapses during registration is retried by the next renewal.
      const hadLease = leaseId !== undefined;
      handleLapse();
      return hadLease ? renew() : undefined;
    }
    if (!StoreHealth.isStoreResponse(result.error)) await renewThroughPeers();
  }

  /**
   * Grants a lease and writes the member record; never replaces the record of
   * another live incarnation.
   */
  async function register(): Promise<Result<void, ResultCodes.Failure>> {
    const key = Messages.getMemberPrefix(deps.domain) + deps.self;
    const existing = await health.track(platform.get(key));
    if (existing.isErr()) return existing;
    const existingEntry = existing.value;
    const record = existingEntry && Messages.tryReadMember(existingEntry.value);
    if (record !== undefined && record.incarnation !== deps.incarnation) {
      // The earlier process may only be paused: its lease has to expire first.
      const detail = `${key} belongs to another incarnation`;
      return ResultCodes.fail("storeConflict", detail);
    }
    const granted = await health.track(platform.grantLease(cfg.ttlMs));
    if (granted.isErr()) return granted;
    const writeId = `${deps.incarnation}-member-${++writes}`;
    const value: Messages.MemberRecord = {
      incarnation: deps.incarnation,
      domain: deps.domain,
      writeId,
    };
    const opts = { writeId, leaseId: granted.value };
    const json = JSON.stringify(value);
    const written = await health.track(
      platform.cas(key, existingEntry?.version ?? 0, json, opts),
    );
    if (written.isErr()) return written;
    leaseId = granted.value;
    return written.map(() => undefined);
  }

  function renewThroughPeer(id: Types.InstanceId): Promise<Relay.RelayVerdict> {
    // Twice the timeout of a platform call, because the peer waits for its own
    // call first.
    const timeoutMs = cfg.callTimeoutMs * 2;
    const leaseIdOrEmpty = leaseId ?? "";
    return Relay.renewVia(peers, id, leaseIdOrEmpty, timeoutMs, endedPeers);
  }

  async function renewThroughPeers(): Promise<void> {
    const sentAtMs = clock.nowMs();
    const relayPeers = listRelayPeers();
    const verdicts = new Map<Types.InstanceId, Relay.RelayVerdict>();
    for (
      const batch of [
        relayPeers.slice(0, FIRST_BATCH),
        relayPeers.slice(FIRST_BATCH),
      ]
    ) {
      const batchSentAtMs = clock.nowMs();
      await Promise.all(batch.map(async (id) => {
        verdicts.set(id, await renewThroughPeer(id));
      }));
      const kinds = new Set(batch.map((id) => verdicts.get(id)));
      if (kinds.has("renewed")) {
        if (!needsReconfirm) extendValidity(batchSentAtMs, "connected");
        return;
      }
      if (kinds.has("lapsed") && leaseId !== undefined) {
        handleLapse();
        return;
      }
    }
    await confirmDisconnected(sentAtMs, verdicts);
  }

  /** Returns every domain peer, then the other reachable peers. */
  function listRelayPeers(): readonly Types.InstanceId[] {
    const reachablePeers = peers.getMembers()
      .filter((member) => member.isReachable)
      .map((member) => member.heartbeat.id);
    return [...new Set([...getDomainPeers(), ...reachablePeers])];
  }

  function getDomainPeers(): readonly Types.InstanceId[] {
    const memberIds = peers.getMembers()
      .filter((member) => member.heartbeat.domain === deps.domain)
      .map((member) => member.heartbeat.id);
    const peerIds = new Set([...memberIds, ...deps.getStorePeers()]);
    peerIds.delete(deps.self);
    return [...peerIds];
  }

  async function confirmDisconnected(
    sentAtMs: number,
    verdicts: ReadonlyMap<Types.InstanceId, Relay.RelayVerdict>,
  ): Promise<void> {
    const unconfirmedPeers: Types.InstanceId[] = [];
    for (const id of getDomainPeers()) {
      const verdict = verdicts.get(id) ?? "unresponsive";
      if (verdict === "ended" || hasLeftAsAnnounced(id, verdict)) continue;
      const isConfirmed = verdict === "unreachable" &&
        (await tryDropShardsHeldBy(id));
      if (!isConfirmed) unconfirmedPeers.push(id);
    }
    if (unconfirmedPeers.length > 0 && cfg.onSilentPeer === "suspend") {
      log.warn("lease-not-confirmed", {
        silentPeers: unconfirmedPeers.join(" "),
      });
      return;
    }
    // A peer may have taken over shards, spent them and ended since the lapse.
    if (clock.nowMs() >= validUntilMs) deps.emptyAll();
    extendValidity(sentAtMs, "disconnected");
  }

  function hasLeftAsAnnounced(
    id: Types.InstanceId,
    verdict: Relay.RelayVerdict,
  ) {
    const member = peers.tryGetMember(id);
    return verdict === "unresponsive" &&
      member?.heartbeat.state === "leaving" &&
      !member.isReachable;
  }

  async function tryDropShardsHeldBy(id: Types.InstanceId): Promise<boolean> {
    const shards = deps.getShards();
    if (shards.length === 0) return true;
    const timeoutMs = cfg.callTimeoutMs;
    const { domain } = deps;
    const response = await Confirm.queryHeldShards(
      peers,
      id,
      domain,
      shards,
      timeoutMs,
    );
    if (response === undefined) return false;
    if (response.held.length > 0) deps.dropShards(response.held);
    return true;
  }

  Relay.handleRelay(peers, platform, health);

  return {
    isValid,
    getMode: () => mode,
    getValidUntilMs: () => validUntilMs,
    renew,
    tick,
    async release() {
      isReleased = true;
      validUntilMs = -Infinity;
      if (leaseId !== undefined) await platform.releaseLease(leaseId);
    },
  };
}
