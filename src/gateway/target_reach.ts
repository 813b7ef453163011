/**
 * Tells whether this instance reaches any target at all. Load pattern: an instance
 * is partitioned from all targets for seconds, while callers, the store and other
 * instances still reach it. Its connections hang or are reset, and new ones hang or
 * are refused, so that it would take in requests and reject or lose each of them.
 *
 * An instance that has sent to targets and heard from none of them for longer than
 * usual is suspected. Connection attempts to targets of several domains then decide:
 * a target that accepts one shows that only the responses are late.
 *
 * A partition may also spare the connections that are open and refuse new ones. The
 * instance then serves what it can on those, and counts as limited.
 */
import type * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as Cancellation from "./cancellation.ts";
import type * as State from "./state.ts";

/** Silence that is suspicious, in multiples of the mean time between responses. */
const SUSPICIOUS_INTERVALS = 6;
/** Bounds of the suspicious silence, ms; the lower one exceeds a stall of the event loop. */
const MIN_SUSPICIOUS_MS = 200;
const MAX_SUSPICIOUS_MS = 1_000;
/** Weight of the newest interval between responses in their mean. */
const INTERVAL_WEIGHT = 0.05;
/** Targets that must all be unreachable. */
const PROBED_TARGETS = 3;
/** Interval of the attempts to reach targets again, ms. */
const RECOVERY_PROBE_MS = 300;
/** Connections to this many targets in a row must have failed before new ones are suspected to be impossible. */
const FAILED_OPENS = 3;

/** Opens and closes a connection to a target; false if that fails. */
export type Probe = (target: State.KnownTarget) => Promise<boolean>;

/** Reachability of the targets from this instance. */
export interface TargetReach {
  /** Records that something was sent to a target, or a connection attempted. */
  recordSend(): void;
  /** Records a response of a target. */
  recordResponse(): void;
  /** Records that a connection to a target was opened, or failed to open. */
  recordOpen(target: Types.TargetId, isOpen: boolean): void;
  /** True while no target can be reached. */
  isStranded(): boolean;
  /** True while connections to targets that are open may work, but no new ones can be opened. */
  isLimited(): boolean;
  /** Cancelled when the targets are lost; it ends what waits for a target in vain. */
  getLoss(): Cancellation.Cancellation;
  /** Stops probing. */
  close(): void;
}

/** Creates the detector; it assumes that targets can be reached. */
export function createTargetReach(opts: {
  /** All targets that may receive requests. */
  readonly getTargets: () => readonly State.KnownTarget[];
  readonly probe: Probe;
  /** Called when this instance becomes or ceases to be stranded or limited. */
  readonly onChange: () => void;
  readonly clock: Clock.Clock;
  readonly sleep: (ms: number) => Promise<void>;
  readonly log: Log.Logger;
}): TargetReach {
  const { clock, log } = opts;
  const failedOpens = new Set<Types.TargetId>();
  let lastContactAtMs = -Infinity;
  let meanIntervalMs = MAX_SUSPICIOUS_MS / SUSPICIOUS_INTERVALS;
  let hasSentSinceContact = false;
  let isWatching = false;
  let isStranded = false;
  let isLimited = false;
  let isVerifyingLimit = false;
  let isClosed = false;
  let loss = Cancellation.createCancellation();
  let nextProbeIndex = 0;

  function getSuspiciousMs(): number {
    // Without new connections, late responses can't be told from lost ones by a probe.
    if (isLimited) return MAX_SUSPICIOUS_MS;
    const silenceMs = SUSPICIOUS_INTERVALS * meanIntervalMs;
    return Math.min(Math.max(silenceMs, MIN_SUSPICIOUS_MS), MAX_SUSPICIOUS_MS);
  }

  /** Returns targets of different domains, others with each call. */
  function chooseProbeTargets(): readonly State.KnownTarget[] {
    const targets = opts.getTargets();
    const byDomain = new Map<Types.Domain, State.KnownTarget>();
    for (let i = 0; i < targets.length; i++) {
      const target = targets[(nextProbeIndex + i) % targets.length]!;
      const { domain } = target.entry;
      if (!byDomain.has(domain)) byDomain.set(domain, target);
    }
    nextProbeIndex++;
    return [...byDomain.values()].slice(0, PROBED_TARGETS);
  }

  /** True if a target accepts a connection, or if there is no target. */
  async function isAnyOpen(): Promise<boolean> {
    const targets = chooseProbeTargets();
    if (targets.length === 0) return true;
    const results = await Promise.all(targets.map(opts.probe));
    return results.includes(true);
  }

  /** True if a target accepts a connection or responds meanwhile. */
  async function isAnyReachable(): Promise<boolean> {
    const startedAtMs = clock.nowMs();
    return await isAnyOpen() || lastContactAtMs >= startedAtMs;
  }

  function setStranded(value: boolean): void {
    if (isStranded === value || isClosed) return;
    isStranded = value;
    if (value) {
      const silentMs = Math.round(clock.nowMs() - lastContactAtMs);
      log.warn("targets-lost", { silentMs });
      loss.cancel("targets-lost");
    } else {
      log.info("targets-regained", {});
      loss = Cancellation.createCancellation();
    }
    opts.onChange();
  }

  function setLimited(value: boolean): void {
    if (isLimited === value || isClosed) return;
    isLimited = value;
    if (value) log.warn("target-connections-refused", {});
    else log.info("target-connections-accepted", {});
    opts.onChange();
  }

  function recordOpened(): void {
    failedOpens.clear();
    setLimited(false);
    recordContact();
  }

  function recordContact(): void {
    lastContactAtMs = clock.nowMs();
    hasSentSinceContact = false;
    setStranded(false);
  }

  /** Probes until a target can be reached again. */
  async function awaitRecovery(): Promise<void> {
    while (isStranded && !isClosed) {
      await opts.sleep(RECOVERY_PROBE_MS);
      if (await isAnyOpen()) recordOpened();
    }
  }

  /** Probes while no new connections can be opened. */
  async function verifyLimit(): Promise<void> {
    isVerifyingLimit = true;
    while (failedOpens.size >= FAILED_OPENS && !isClosed) {
      if (await isAnyOpen()) recordOpened();
      else setLimited(true);
      await opts.sleep(RECOVERY_PROBE_MS);
    }
    isVerifyingLimit = false;
  }

  /** Checks the silence of the targets for as long as something was sent to them. */
  async function watch(): Promise<void> {
    isWatching = true;
    while (hasSentSinceContact && !isClosed) {
      const suspiciousAtMs = lastContactAtMs + getSuspiciousMs();
      const remainingMs = suspiciousAtMs - clock.nowMs();
      if (remainingMs > 0) {
        await opts.sleep(remainingMs);
        continue;
      }
      if (await isAnyReachable()) recordContact();
      else setStranded(true);
      if (isStranded) await awaitRecovery();
    }
    isWatching = false;
  }

  return {
    recordSend() {
      if (!hasSentSinceContact) {
        // Silence before the first send since a response says nothing.
        lastContactAtMs = clock.nowMs();
        hasSentSinceContact = true;
      }
      if (!isWatching) void watch();
    },
    recordResponse() {
      const intervalMs = Math.min(
        clock.nowMs() - lastContactAtMs,
        MAX_SUSPICIOUS_MS,
      );
      meanIntervalMs += INTERVAL_WEIGHT * (intervalMs - meanIntervalMs);
      recordContact();
    },
    recordOpen(target, isOpen) {
      if (isOpen) return recordOpened();
      failedOpens.add(target);
      const isSuspected = failedOpens.size >= FAILED_OPENS;
      if (isSuspected && !isVerifyingLimit) void verifyLimit();
    },
    isStranded: () => isStranded,
    getLoss: () => loss,
    isLimited: () => isLimited,
    close: () => void (isClosed = true),
  };
}
