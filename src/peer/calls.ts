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
  /** A connection to the instance was closed. */
  noteLost(id: Types.InstanceId): void;
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
  const lostAtMs = new Map<Types.InstanceId, number>();
  const demandUntilMs = new Map<Types.InstanceId, number>();

  function getReachability(id: Types.InstanceId): Reachability {
    const member = members.tryGet(id);
    if (member === undefined) return "unknown";
    if (registry.tryGet(id) !== undefined) {
      return member.isReachable ? "reachable" : "silent";
    }
    const lost = lostAtMs.get(id) ?? -Infinity;
    const state = dialer.tryGetState(member.heartbeat.peerAddress);
    const attempt = state?.attempt;
    // An attempt from before the connection was lost says nothing of now.
    if (attempt === undefined || attempt.startedAtMs < lost) {
      return lost === -Infinity ? "unknown" : "silent";
    }
    if (attempt.kind !== "connected") return attempt.kind;
    // Another instance answers at the address, so this one has ended.
    return state?.owner === id ? "silent" : "refused";
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

  function hasFreshFailure(member: Types.Member): boolean {
    const state = dialer.tryGetState(member.heartbeat.peerAddress);
    const startedAtMs = state?.attempt?.startedAtMs ?? -Infinity;
    return isFailing(member.heartbeat.id) &&
      clock.nowMs() - startedAtMs < ATTEMPT_FRESH_MS;
  }

  /** Waits for a connection to a member outside the mesh, or one that is just being made. */
  async function waitForConnection(
    member: Types.Member,
    timeoutMs: number,
  ): Promise<Connection.Connection | undefined> {
    const { id, peerAddress } = member.heartbeat;
    const deadline = clock.nowMs() + timeoutMs;
    dialer.add(peerAddress, id);
    dialer.wake();
    for (;;) {
      const conn = registry.tryGet(id);
      const leftMs = deadline - clock.nowMs();
      if (conn !== undefined || leftMs <= 0) return conn;
      if (hasFreshFailure(member)) return undefined;
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
      const member = members.tryGet(id);
      if (member === undefined) {
        return ResultCodes.fail("peerUnreachable", "unknown peer");
      }
      const conn = await waitForConnection(member, timeoutMs);
      if (conn === undefined) return failUnreachable(id);
      const leftMs = timeoutMs - (clock.nowMs() - startedAtMs);
      return conn.call<T>(method, params, Math.max(1, leftMs));
    },
    getReachability,
    isFailing,
    isDemanded: (id) => (demandUntilMs.get(id) ?? -Infinity) > clock.nowMs(),
    noteLost: (id) => void lostAtMs.set(id, clock.nowMs()),
    forget() {
      for (const id of lostAtMs.keys()) {
        if (members.tryGet(id) === undefined) lostAtMs.delete(id);
      }
      for (const [id, untilMs] of demandUntilMs) {
        if (untilMs < clock.nowMs()) demandUntilMs.delete(id);
      }
    },
  };
}
