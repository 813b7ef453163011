/** Whether peers can be reached, and calls to them. */
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

/** A connection outside the mesh is kept this long after a call. */
export const DEMAND_MS = 30_000;
/** A failed attempt this old does not keep a call from trying again. */
const ATTEMPT_FRESH_MS = 5_000;
const RECHECK_MS = 500;

/** Whether a peer answers; "refused" shows that its process has ended. */
export type Reachability = "reachable" | "refused" | "silent" | "unknown";

interface LinkChange {
  readonly kind: "connected" | "lost" | "released";
  /** Monotonic ms. */
  readonly atMs: number;
}

/** Calls to peers, and the connections that calls alone need. */
export interface Calls {
  call<T>(
    id: Types.InstanceId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>>;
  getReachability(id: Types.InstanceId): Reachability;
  /** True while the last attempt to connect failed. */
  isFailing(id: Types.InstanceId): boolean;
  /** True when a recent call needs a connection to the instance. */
  isDemanded(id: Types.InstanceId): boolean;
  /** Monotonic ms of the last failure to reach the instance that nothing has disproved; -Infinity when none. */
  getFailedAtMs(id: Types.InstanceId): number;
  /** The instance was connected, lost, or released because it was not needed. */
  noteLink(id: Types.InstanceId, kind: LinkChange["kind"]): void;
  /** Drops what is kept of members that were forgotten. */
  forget(): void;
}

/** Creates the calls over the given connections. */
export function createCalls(args: {
  readonly members: Members.Members;
  readonly registry: Registry.Registry;
  readonly dialer: Dialer.Dialer;
  readonly isMeshed: (id: Types.InstanceId) => boolean;
  readonly changes: Tasks.Notifier;
  readonly clock: Clock.Clock;
}): Calls {
  const { clock, dialer, members, registry } = args;
  const links = new Map<Types.InstanceId, LinkChange>();
  const demandUntilMs = new Map<Types.InstanceId, number>();

  /** The last attempt, unless the link to the instance changed after it. */
  function tryGetAttempt(id: Types.InstanceId): Dialer.Attempt | undefined {
    const heartbeat = members.tryGetHeartbeat(id);
    if (heartbeat === undefined) return undefined;
    const state = dialer.tryGetState(heartbeat.peerAddress);
    const attempt = state?.attempt;
    const changedAtMs = links.get(id)?.atMs ?? -Infinity;
    if (attempt === undefined || attempt.startedAtMs < changedAtMs) {
      return undefined;
    }
    if (attempt.kind !== "connected") return attempt;
    // Another instance answers at the address, so this one has ended.
    const kind = state?.owner === id ? "silent" : "refused";
    return { kind, startedAtMs: attempt.startedAtMs };
  }

  function getReachability(id: Types.InstanceId): Reachability {
    if (registry.tryGet(id) !== undefined) {
      return members.tryGet(id)?.isReachable ? "reachable" : "silent";
    }
    const attempt = tryGetAttempt(id);
    if (attempt !== undefined && attempt.kind !== "connected") {
      return attempt.kind;
    }
    return links.get(id)?.kind === "lost" ? "silent" : "unknown";
  }

  function getFailedAtMs(id: Types.InstanceId): number {
    const attempt = tryGetAttempt(id);
    if (attempt !== undefined) return attempt.startedAtMs;
    const link = links.get(id);
    return link?.kind === "lost" ? link.atMs : -Infinity;
  }

  function isFailing(id: Types.InstanceId): boolean {
    const reachability = getReachability(id);
    return reachability === "refused" || reachability === "silent";
  }

  function failUnreachable(id: Types.InstanceId) {
    const isRefused = getReachability(id) === "refused";
    const detail = isRefused ? Dial.REFUSED : Dial.SILENT;
    return ResultCodes.fail("peerUnreachable", detail);
  }

  function hasFreshFailure(id: Types.InstanceId): boolean {
    const attempt = tryGetAttempt(id);
    return attempt !== undefined &&
      clock.nowMs() - attempt.startedAtMs < ATTEMPT_FRESH_MS;
  }

  /** Waits for a connection to a member outside the mesh, or one that is just being made. */
  async function waitForConnection(
    { id, peerAddress }: Types.Heartbeat,
    timeoutMs: number,
  ): Promise<Connection.Connection | undefined> {
    const deadline = clock.nowMs() + timeoutMs;
    dialer.add(peerAddress, id);
    dialer.wake();
    for (;;) {
      const conn = registry.tryGet(id);
      const leftMs = deadline - clock.nowMs();
      if (conn !== undefined || leftMs <= 0) return conn;
      if (hasFreshFailure(id)) return undefined;
      await args.changes.wait(Math.min(leftMs, RECHECK_MS));
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
      if (!args.isMeshed(id)) demandUntilMs.set(id, startedAtMs + DEMAND_MS);
      const open = registry.tryGet(id);
      if (open !== undefined) return open.call<T>(method, params, timeoutMs);
      const heartbeat = members.tryGetHeartbeat(id);
      if (heartbeat === undefined) {
        return ResultCodes.fail("peerUnreachable", "unknown peer");
      }
      const conn = await waitForConnection(heartbeat, timeoutMs);
      if (conn === undefined) return failUnreachable(id);
      const leftMs = timeoutMs - (clock.nowMs() - startedAtMs);
      return conn.call<T>(method, params, Math.max(1, leftMs));
    },
    getReachability,
    isFailing,
    isDemanded: (id) => (demandUntilMs.get(id) ?? -Infinity) > clock.nowMs(),
    getFailedAtMs,
    noteLink: (id, kind) => void links.set(id, { kind, atMs: clock.nowMs() }),
    forget() {
      for (const id of links.keys()) {
        if (members.tryGetHeartbeat(id) === undefined) links.delete(id);
      }
      for (const [id, untilMs] of demandUntilMs) {
        if (untilMs < clock.nowMs()) demandUntilMs.delete(id);
      }
    },
  };
}
