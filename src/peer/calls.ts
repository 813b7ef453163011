/** Calls to peers, and the reachability of each peer. */
import type { Result } from "ts-results-es";
import type * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Connection from "./connection.ts";
import * as Dial from "./dial.ts";
import type * as Dialer from "./dialer.ts";
import type * as Members from "./members.ts";
import type * as Registry from "./registry.ts";
import type * as Tasks from "./tasks.ts";

/** Time in ms for which a connection outside the mesh is kept open after a call. */
export const CALL_CONN_MS = 30_000;
/** Age in ms from which a failed connection attempt no longer fails new calls at once. */
const RECENT_ATTEMPT_MS = 5_000;
/**
 * Longest time in ms between two checks for the connection, should a
 * notification be missed.
 */
const RECHECK_INTERVAL_MS = 500;

/**
 * Whether a peer responds. "refused": its process has ended; "unresponsive": the
 * process may still run; "unknown": no connection was attempted or it was released.
 */
export type Reachability = "reachable" | "refused" | "unresponsive" | "unknown";

interface ConnectionChange {
  readonly kind: "connected" | "lost" | "released";
  /** Monotonic ms. */
  readonly atMs: number;
}

/** Calls peers, and tracks the connections that only calls need. */
export interface Calls {
  /**
   * Connects first if there is no connection. Fails like `Contracts.PeerNet.call`,
   * with peerUnreachable also when the peer is unknown or can't be connected to.
   */
  call<T>(
    id: Types.InstanceId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>>;
  /** State of the connection to the instance, or result of the last connection attempt. */
  getReachability(id: Types.InstanceId): Reachability;
  /** True if the reachability of the instance is "refused" or "unresponsive". */
  isFailing(id: Types.InstanceId): boolean;
  /** True if a call within the last CALL_CONN_MS needs a connection to the instance. */
  hasRecentCall(id: Types.InstanceId): boolean;
  /**
   * Monotonic ms of the last failure to reach the instance; -Infinity if it
   * was reached since or never failed.
   */
  getFailedAtMs(id: Types.InstanceId): number;
  /**
   * Records that the connection to the instance was opened, lost, or released
   * as not needed.
   */
  recordConnectionChange(
    id: Types.InstanceId,
    kind: ConnectionChange["kind"],
  ): void;
  /** Deletes the state of removed members and of calls older than CALL_CONN_MS. */
  removeExpired(): void;
}

/** Creates the calls; connections come from `registry` and are opened by `dialer`. */
export function createCalls(args: {
  readonly members: Members.Members;
  readonly registry: Registry.Registry;
  readonly dialer: Dialer.Dialer;
  readonly isInMesh: (id: Types.InstanceId) => boolean;
  readonly connectionChanges: Tasks.Notifier;
  readonly clock: Clock.Clock;
}): Calls {
  const { clock, dialer, members, registry } = args;
  const lastChanges = new Map<Types.InstanceId, ConnectionChange>();
  const neededUntilMs = new Map<Types.InstanceId, number>();

  /** Returns the last connection attempt, or undefined if the connection changed after it. */
  function tryGetLastAttempt(id: Types.InstanceId): Dialer.Attempt | undefined {
    const heartbeat = members.tryGetHeartbeat(id);
    if (heartbeat === undefined) return undefined;
    const state = dialer.tryGetState(heartbeat.peerAddress);
    const attempt = state?.attempt;
    const changedAtMs = lastChanges.get(id)?.atMs ?? -Infinity;
    if (attempt === undefined || attempt.startedAtMs < changedAtMs) {
      return undefined;
    }
    if (attempt.kind !== "connected") return attempt;
    // If another instance responds at the address, the process of this one has ended.
    const kind = state?.owner === id ? "unresponsive" : "refused";
    return { kind, startedAtMs: attempt.startedAtMs };
  }

  function getReachability(id: Types.InstanceId): Reachability {
    if (registry.tryGet(id) !== undefined) {
      return members.tryGet(id)?.isReachable ? "reachable" : "unresponsive";
    }
    const attempt = tryGetLastAttempt(id);
    if (attempt !== undefined && attempt.kind !== "connected") {
      return attempt.kind;
    }
    return lastChanges.get(id)?.kind === "lost" ? "unresponsive" : "unknown";
  }

  function getFailedAtMs(id: Types.InstanceId): number {
    const attempt = tryGetLastAttempt(id);
    if (attempt !== undefined) return attempt.startedAtMs;
    const lastChange = lastChanges.get(id);
    return lastChange?.kind === "lost" ? lastChange.atMs : -Infinity;
  }

  function isFailing(id: Types.InstanceId): boolean {
    const reachability = getReachability(id);
    return reachability === "refused" || reachability === "unresponsive";
  }

  function failUnreachable(id: Types.InstanceId) {
    const isRefused = getReachability(id) === "refused";
    const detail = isRefused ? Dial.REFUSED_DETAIL : Dial.UNRESPONSIVE_DETAIL;
    return ResultCodes.fail("peerUnreachable", detail);
  }

  function hasRecentFailure(id: Types.InstanceId): boolean {
    const attempt = tryGetLastAttempt(id);
    return attempt !== undefined &&
      clock.nowMs() - attempt.startedAtMs < RECENT_ATTEMPT_MS;
  }

  /**
   * Waits until the member is connected. Returns undefined after `timeoutMs`
   * or a recent failure.
   */
  async function waitForConnection(
    { id, peerAddress }: Types.Heartbeat,
    timeoutMs: number,
  ): Promise<Connection.Connection | undefined> {
    const deadlineAtMs = clock.nowMs() + timeoutMs;
    dialer.add(peerAddress, id);
    dialer.check();
    for (;;) {
      const conn = registry.tryGet(id);
      const remainingMs = deadlineAtMs - clock.nowMs();
      if (conn !== undefined || remainingMs <= 0) return conn;
      if (hasRecentFailure(id)) return undefined;
      await args.connectionChanges.wait(
        Math.min(remainingMs, RECHECK_INTERVAL_MS),
      );
    }
  }

  return {
    async call<T>(
      id: Types.InstanceId,
      method: string,
      params: unknown,
      timeoutMs: number,
    ) {
      const startedAtMs = clock.nowMs();
      if (!args.isInMesh(id)) neededUntilMs.set(id, startedAtMs + CALL_CONN_MS);
      const peer = registry.tryGet(id);
      if (peer !== undefined) return peer.call<T>(method, params, timeoutMs);
      const heartbeat = members.tryGetHeartbeat(id);
      if (heartbeat === undefined) {
        return ResultCodes.fail("peerUnreachable", "unknown peer");
      }
      const conn = await waitForConnection(heartbeat, timeoutMs);
      if (conn === undefined) return failUnreachable(id);
      const remainingMs = timeoutMs - (clock.nowMs() - startedAtMs);
      return conn.call<T>(method, params, Math.max(1, remainingMs));
    },
    getReachability,
    isFailing,
    hasRecentCall: (id) => (neededUntilMs.get(id) ?? -Infinity) > clock.nowMs(),
    getFailedAtMs,
    recordConnectionChange: (id, kind) =>
      void lastChanges.set(id, { kind, atMs: clock.nowMs() }),
    removeExpired() {
      for (const id of lastChanges.keys()) {
        if (members.tryGetHeartbeat(id) === undefined) lastChanges.delete(id);
      }
      for (const [id, untilMs] of neededUntilMs) {
        if (untilMs < clock.nowMs()) neededUntilMs.delete(id);
      }
    },
  };
}
