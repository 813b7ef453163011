/**
 * The instance list of the stand-in. Readers see it as it was `lagMs` ago, and
 * never older than what was read before.
 */
import type * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";

/** History older than this is dropped; it bounds the lag that can be set later. */
const HISTORY_MS = 120_000;

/** Targets and entry instances that registered themselves. */
export interface InstanceList {
  /** Registers or replaces; `ttlMs` is the time without a heartbeat until it is dropped. */
  register(instance: Types.PlatformInstance, ttlMs: number): void;
  /** Renews; a given state replaces the old one. False when it is not registered. */
  heartbeat(id: string, state?: Types.PlatformInstance["state"]): boolean;
  unregister(id: string): void;
  expire(): void;
  /** Gives every instance a full period again, after an outage of the platform. */
  renewAll(): void;
  setLagMs(lagMs: number): void;
  getLagMs(): number;
  /** The list as readers see it. */
  read(): readonly Types.PlatformInstance[];
}

interface Registered {
  readonly instance: Types.PlatformInstance;
  readonly ttlMs: number;
  readonly expiresAtMs: number;
}

interface Snapshot {
  readonly atMs: number;
  readonly instances: readonly Types.PlatformInstance[];
}

/** Creates an empty list. */
export function createInstanceList(
  clock: Clock.Clock,
  initialLagMs: number,
): InstanceList {
  const registered = new Map<string, Registered>();
  let history: Snapshot[] = [{ atMs: -Infinity, instances: [] }];
  let lagMs = initialLagMs;
  let served: Snapshot | undefined;

  function snapshot(): void {
    const instances = [...registered.values()].map((one) => one.instance);
    const now = clock.nowMs();
    history.push({ atMs: now, instances });
    const firstKept = history.findLastIndex((s) => s.atMs < now - HISTORY_MS);
    if (firstKept > 0) history = history.slice(firstKept);
  }

  function register(instance: Types.PlatformInstance, ttlMs: number): void {
    const old = registered.get(instance.id)?.instance;
    const expiresAtMs = clock.nowMs() + ttlMs;
    registered.set(instance.id, { instance, ttlMs, expiresAtMs });
    if (JSON.stringify(old) !== JSON.stringify(instance)) snapshot();
  }

  function unregister(id: string): void {
    if (registered.delete(id)) snapshot();
  }

  function expire(): void {
    const now = clock.nowMs();
    for (const [id, one] of [...registered]) {
      if (one.expiresAtMs <= now) unregister(id);
    }
  }

  return {
    register,
    heartbeat(id, state) {
      expire();
      const one = registered.get(id);
      if (one === undefined) return false;
      const next = state ?? one.instance.state;
      register({ ...one.instance, state: next }, one.ttlMs);
      return true;
    },
    unregister,
    expire,
    renewAll() {
      const now = clock.nowMs();
      for (const [id, one] of registered) {
        registered.set(id, { ...one, expiresAtMs: now + one.ttlMs });
      }
    },
    setLagMs(next) {
      lagMs = next;
    },
    getLagMs: () => lagMs,
    read() {
      expire();
      const limit = clock.nowMs() - lagMs;
      const seen = history.findLast((s) => s.atMs <= limit) ?? history[0];
      const isNewer = served === undefined ||
        (seen !== undefined && seen.atMs > served.atMs);
      if (isNewer) served = seen;
      return served?.instances ?? [];
    },
  };
}
