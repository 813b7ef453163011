/** Sends a request to one target once, and classifies the failure if there is one. */
import type * as Clock from "../clock.ts";
import * as Cancellation from "./cancellation.ts";
import * as Connections from "./connections.ts";
import * as Exchange from "./exchange.ts";
import type * as MemoryBudget from "../memory_budget.ts";
import type * as TargetReach from "./target_reach.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/**
 * Longest idle time after which a connection is reused. The HTTP client already
 * closes a connection before the keep-alive time that its target states; these
 * limits apply in addition. A request that must not run twice can't be sent again if the target
 * closes the connection at that moment, so it uses connections with less idle time.
 */
const MAX_IDLE_NON_REPEATABLE_MS = 6_000;
const MAX_IDLE_MS = 8_000;
/** An attempt to connect times out after two round trips and this margin. */
const CONNECT_MARGIN_MS = 250;
/** Statuses from this one on are failures, after which a request may be sent again. */
const MIN_FAILURE_STATUS = 500;

/** Returns the time after which an attempt to connect fails, ms. */
export function getConnectTimeoutMs(roundTripMs: number): number {
  return 2 * roundTripMs + CONNECT_MARGIN_MS;
}

/** A request, its target and the limits of the send. */
export interface AttemptArgs {
  readonly targetId: Types.TargetId;
  readonly address: Types.Address;
  readonly region: Types.Region;
  readonly request: Exchange.TargetRequest;
  readonly requestId: string | undefined;
  readonly isRepeatable: boolean;
  readonly roundTripMs: number;
  readonly cancellation: Cancellation.Cancellation;
}

/** A connection that the target closed or reset during an exchange. */
export interface ConnectionLoss {
  /** True while another connection to the target that was open at the loss still is; a process that ends closes all. */
  readonly hasOtherOpen: () => boolean;
}

/** Outcome of an attempt. */
export type AttemptResult =
  | {
    readonly kind: "response";
    readonly response: Exchange.TargetResponse;
    readonly fields: GatewayTypes.ResponseFields;
  }
  /** The target reported that it did not run the request. `isMisdirected`: another target has the address. */
  | {
    readonly kind: "not-run";
    readonly isMisdirected: boolean;
    readonly fields: GatewayTypes.ResponseFields;
    readonly status: number;
  }
  /** The connection failed before a byte of the request was sent. */
  | { readonly kind: "unreachable"; readonly reason: string }
  /** The exchange failed and the request may have run. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    /** The loss, if the target closed or reset the connection. */
    readonly connectionLoss: ConnectionLoss | undefined;
  }
  /** The request was cancelled. `isSent`: a target may have received it. */
  | { readonly kind: "aborted"; readonly isSent: boolean };

/** Sends requests to targets. */
export interface Attempts {
  /** Sends the request once; never rejects for a failure of the target. */
  send(args: AttemptArgs): Promise<AttemptResult>;
}

/** Creates the sender of attempts. `onConnect` receives the time in ms that each new connection took. */
export function createAttempts(opts: {
  readonly connections: Connections.Connections;
  readonly dialect: GatewayTypes.HeaderDialect;
  readonly responseMemory: MemoryBudget.MemoryBudget;
  readonly reach: Pick<
    TargetReach.TargetReach,
    "getLoss" | "recordOpen" | "recordResponse" | "recordSend"
  >;
  readonly clock: Clock.Clock;
  readonly onConnect: (region: Types.Region, ms: number) => void;
}): Attempts {
  const { clock, connections, dialect, reach } = opts;

  async function connect(
    args: AttemptArgs,
  ): Promise<Connections.TargetConnection | Connections.ConnectFailure> {
    const maxIdleMs = args.isRepeatable
      ? MAX_IDLE_MS
      : MAX_IDLE_NON_REPEATABLE_MS;
    const idle = connections.tryAcquireIdle(
      args.address,
      maxIdleMs,
      args.requestId,
    );
    if (idle !== undefined) return idle;
    const startedAtMs = clock.nowMs();
    const timeoutMs = getConnectTimeoutMs(args.roundTripMs);
    const conn = await connections.open(
      args.address,
      timeoutMs,
      args.cancellation,
    );
    const isOpen = !Connections.isConnectFailure(conn);
    if (isOpen) opts.onConnect(args.region, clock.nowMs() - startedAtMs);
    if (isOpen || !args.cancellation.isCancelled()) {
      reach.recordOpen(args.targetId, isOpen);
    }
    return conn;
  }

  /** A request that may run again doesn't wait for a target that can't be reached. */
  function getCancellation(args: AttemptArgs): Cancellation.Cancellation {
    if (!args.isRepeatable) return args.cancellation;
    return Cancellation.combine(args.cancellation, reach.getLoss());
  }

  /** True if the response belongs to another request, or reports a run without a target's signature. */
  function isForeignResponse(
    fields: GatewayTypes.ResponseFields,
    requestId: string | undefined,
  ): boolean {
    if (fields.requestId !== requestId) return true;
    if (fields.isNotRun || fields.isMisdirected) return false;
    return !fields.isSigned;
  }

  return {
    async send(args) {
      reach.recordSend();
      const conn = await connect(args);
      if (Connections.isConnectFailure(conn)) {
        if (args.cancellation.isCancelled()) {
          return { kind: "aborted", isSent: false };
        }
        return { kind: "unreachable", reason: conn.reason };
      }
      const result = await Exchange.exchange(
        conn,
        args.request,
        getCancellation(args),
        opts.responseMemory,
      );
      switch (result.kind) {
        case "aborted": {
          connections.destroy(conn);
          if (args.cancellation.isCancelled()) {
            return { kind: "aborted", isSent: true };
          }
          const reason = "all targets are lost";
          return { kind: "broke", reason, connectionLoss: undefined };
        }
        case "broke": {
          connections.destroy(conn);
          const { isConnectionLost, reason } = result;
          const connectionLoss = isConnectionLost
            ? { hasOtherOpen: connections.observe(args.address) }
            : undefined;
          return { kind: "broke", reason, connectionLoss };
        }
        case "response": {
          reach.recordResponse();
          const { response } = result;
          const fields = dialect.readResponse(
            response.status,
            response.headers,
          );
          if (isForeignResponse(fields, args.requestId)) {
            connections.destroy(conn);
            connections.suspendReuse(args.address);
            const reason = "the answer belongs to no request";
            return { kind: "broke", reason, connectionLoss: undefined };
          }
          const hasRun = !fields.isNotRun && !fields.isMisdirected;
          const isDone = hasRun && response.status < MIN_FAILURE_STATUS;
          // Nothing tells copies of responses to requests without ids apart.
          const isReusable = !fields.isClosing && args.requestId !== undefined;
          if (!isReusable) connections.destroy(conn);
          else connections.release(conn, isDone ? undefined : args.requestId);
          if (hasRun) {
            return { kind: "response", response, fields };
          }
          const { isMisdirected } = fields;
          const { status } = response;
          return {
            kind: "not-run",
            isMisdirected,
            fields,
            status,
          };
        }
      }
    },
  };
}
