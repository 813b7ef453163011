/**
 * This instance's lease, and with it the right to spend what it holds.
 *
 * Promise: `isValid()` is true only while no other instance may have taken a
 * shard of this one. Connected: the store can't have let the lease expire,
 * counted from when the renewal was sent. Disconnected: every domain peer said,
 * after the round was sent, that it can't reach the store, and it waits a full
 * lease period of reachability before a take-over; so a round counts like a
 * renewal. It breaks when clocks of two machines differ in speed by more than
 * the margin per lease period, or with `on_silent_peer = "keep"`.
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
/** How often `tick` must run; a gap of a margin or more is a process pause. */
export const TICK_INTERVAL_MS = 200;
/** Peers asked first to relay; the others only when these can't. */
const FIRST_WAVE = 2;

/** What the lease needs of its surroundings. */
export interface LeaseDeps extends InstanceDeps.InstanceDeps {
  readonly cfg: LeaseSettings;
  /** Instances of the domain that the store named last. */
  readonly getStorePeers: () => readonly Types.InstanceId[];
  readonly getShards: () => readonly number[];
  /** Confirms every held shard in the store, dropping lost ones; false when the store failed. */
  readonly reconfirm: () => Promise<boolean>;
  readonly dropShards: (shards: readonly number[]) => void;
  /** Empties all buckets before resuming without proof of sole holding. */
  readonly emptyAll: () => void;
}

/** The `lease` settings. */
export interface LeaseSettings {
  readonly ttlMs: number;
  readonly renewMs: number;
  readonly onSilentPeer: "suspend" | "keep";
  /** Bound of one platform call, so also of what a relaying peer waits. */
  readonly callTimeoutMs: number;
}

/** The lease of this instance. */
export interface Lease {
  isValid(): boolean;
  getMode(): "connected" | "disconnected";
  /** Monotonic ms at which the confirmed right to spend ends. */
  getValidUntilMs(): number;
  /** One renewal, through peers when the store does not answer. */
  renew(): Promise<void>;
  /** Detects process pauses; run every `TICK_INTERVAL_MS`. True when one has just suspended the holding. */
  tick(): boolean;
  /** Ends the validity at once, then releases the lease in the store. */
  release(): Promise<void>;
}

/** Creates the lease, not yet granted, and handles `lease.relay`. */
export function createLease(deps: LeaseDeps): Lease {
  const { clock, cfg, health, log, peers, platform } = deps;
  /** Domain peers whose address refused connections when they were asked last. */
  const ended = new Set<Types.InstanceId>();
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
    // The gap itself counts: requests may be served before the late tick.
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

  function confirm(sentAtMs: number, newMode: typeof mode): void {
    if (isReleased) return;
    const untilMs = sentAtMs + cfg.ttlMs - SAFETY_MARGIN_MS;
    if (newMode !== mode) log.info("lease-mode", { mode: newMode });
    mode = newMode;
    validUntilMs = Math.max(validUntilMs, untilMs);
    if (newMode === "connected" || sentAtMs > pausedAtMs) isSuspended = false;
  }

  function noteLapse(): void {
    log.warn("lease-lapsed", { mode });
    leaseId = undefined;
    needsReconfirm = true;
    // In disconnected mode the last round still protects the holding.
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
      if (needsReconfirm && !(await deps.reconfirm())) return;
      needsReconfirm = false;
      confirm(sentAtMs, "connected");
      return;
    }
    if (result.error.code.number === ResultCodes.codes.leaseLapsed.number) {
      // A lease that lapses while it is registered is retried by the next pass.
      const isOld = leaseId !== undefined;
      noteLapse();
      return isOld ? renew() : undefined;
    }
    if (!StoreHealth.isAnswer(result.error)) await renewThroughPeers();
  }

  /** Grants a lease and writes the member record; never over another incarnation's living one. */
  async function register(): Promise<Result<void, ResultCodes.Failure>> {
    const key = Messages.getMemberPrefix(deps.domain) + deps.self;
    const existing = await health.track(platform.get(key));
    if (existing.isErr()) return existing;
    const old = existing.value;
    const record = old && Messages.tryReadMember(old.value);
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
    const text = JSON.stringify(value);
    const written = await health.track(
      platform.cas(key, old?.version ?? 0, text, opts),
    );
    if (written.isErr()) return written;
    leaseId = granted.value;
    return written.map(() => undefined);
  }

  function relayVia(id: Types.InstanceId): Promise<Relay.RelayVerdict> {
    // Twice the platform's bound: the peer waits for its own call first.
    const timeoutMs = cfg.callTimeoutMs * 2;
    const leaseText = leaseId ?? "";
    return Relay.relayVia(peers, id, leaseText, timeoutMs, ended);
  }

  async function renewThroughPeers(): Promise<void> {
    const sentAtMs = clock.nowMs();
    const order = orderForRelay();
    const verdicts = new Map<Types.InstanceId, Relay.RelayVerdict>();
    for (const wave of [order.slice(0, FIRST_WAVE), order.slice(FIRST_WAVE)]) {
      const waveSentAtMs = clock.nowMs();
      await Promise.all(wave.map(async (id) => {
        verdicts.set(id, await relayVia(id));
      }));
      const kinds = new Set(wave.map((id) => verdicts.get(id)));
      if (kinds.has("renewed")) {
        if (!needsReconfirm) confirm(waveSentAtMs, "connected");
        return;
      }
      if (kinds.has("lapsed") && leaseId !== undefined) {
        noteLapse();
        return;
      }
    }
    await confirmDisconnected(sentAtMs, verdicts);
  }

  /** Reachable peers and every domain peer, domain peers first. */
  function orderForRelay(): readonly Types.InstanceId[] {
    const others = peers.getMembers()
      .filter((member) => member.isReachable)
      .map((member) => member.heartbeat.id);
    return [...new Set([...getDomainPeers(), ...others])];
  }

  function getDomainPeers(): readonly Types.InstanceId[] {
    const heard = peers.getMembers()
      .filter((member) => member.heartbeat.domain === deps.domain)
      .map((member) => member.heartbeat.id);
    const all = new Set([...heard, ...deps.getStorePeers()]);
    all.delete(deps.self);
    return [...all];
  }

  async function confirmDisconnected(
    sentAtMs: number,
    verdicts: ReadonlyMap<Types.InstanceId, Relay.RelayVerdict>,
  ): Promise<void> {
    const silent: Types.InstanceId[] = [];
    for (const id of getDomainPeers()) {
      const verdict = verdicts.get(id) ?? "silent";
      if (verdict === "gone" || isGoneAsAnnounced(id, verdict)) continue;
      const isClear = verdict === "unreachable" && (await hasTakenNone(id));
      if (!isClear) silent.push(id);
    }
    if (silent.length > 0 && cfg.onSilentPeer === "suspend") {
      log.warn("lease-not-confirmed", { silentPeers: silent.join(" ") });
      return;
    }
    // A peer may have taken shards, spent them and ended since the lapse.
    if (clock.nowMs() >= validUntilMs) deps.emptyAll();
    confirm(sentAtMs, "disconnected");
  }

  function isGoneAsAnnounced(
    id: Types.InstanceId,
    verdict: Relay.RelayVerdict,
  ) {
    const member = peers.tryGetMember(id);
    return verdict === "silent" && member?.heartbeat.state === "leaving" &&
      !member.isReachable;
  }

  async function hasTakenNone(id: Types.InstanceId): Promise<boolean> {
    const shards = deps.getShards();
    if (shards.length === 0) return true;
    const timeoutMs = cfg.callTimeoutMs;
    const { domain } = deps;
    const answer = await Confirm.askHeld(peers, id, domain, shards, timeoutMs);
    if (answer === undefined) return false;
    if (answer.held.length > 0) deps.dropShards(answer.held);
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
