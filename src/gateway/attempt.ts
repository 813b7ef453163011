/** One send of a request to one target, and what is known when it fails. */
import type * as Clock from "../clock.ts";
import type * as Cancellation from "./cancellation.ts";
import * as Connections from "./connections.ts";
import * as Exchange from "./exchange.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/**
 * Targets close idle connections after times that they name, and the client
 * before that; these bound the rest. A request that may run once only is lost
 * when its connection closes just as it leaves, so it uses fresher ones.
 */
const MAX_IDLE_ONCE_MS = 6_000;
const MAX_IDLE_MS = 8_000;
/** A connection that takes longer than this and two round trips is given up. */
const CONNECT_MARGIN_MS = 250;

/** What is sent where. */
export interface AttemptArgs {
  readonly address: Types.Address;
  readonly region: Types.Region;
  readonly request: Exchange.TargetRequest;
  readonly requestId: string | undefined;
  readonly isRepeatable: boolean;
  readonly roundTripMs: number;
  readonly cancellation: Cancellation.Cancellation;
}

/** How the attempt ended. */
export type AttemptResult =
  | {
    readonly kind: "answer";
    readonly answer: Exchange.TargetResponse;
    readonly fields: GatewayTypes.ResponseFields;
  }
  /** The target said that it did not run the request. */
  | {
    readonly kind: "not-run";
    readonly isOtherTarget: boolean;
    readonly fields: GatewayTypes.ResponseFields;
    readonly status: number;
  }
  /** No byte left. */
  | { readonly kind: "unreachable"; readonly reason: string }
  /** The request may have run. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    readonly wasReset: boolean;
  }
  | { readonly kind: "aborted"; readonly isSent: boolean };

/** Makes attempts. */
export interface Attempts {
  make(args: AttemptArgs): Promise<AttemptResult>;
}

/** Creates the sender. `onConnect` hears how long a connection took. */
export function createAttempts(opts: {
  readonly connections: Connections.Connections;
  readonly dialect: GatewayTypes.HeaderDialect;
  readonly clock: Clock.Clock;
  readonly onConnect: (region: Types.Region, ms: number) => void;
}): Attempts {
  const { clock, connections, dialect } = opts;

  async function connect(
    args: AttemptArgs,
  ): Promise<Connections.TargetConnection | Connections.ConnectFailure> {
    const maxIdleMs = args.isRepeatable ? MAX_IDLE_MS : MAX_IDLE_ONCE_MS;
    const idle = connections.tryTakeIdle(args.address, maxIdleMs);
    if (idle !== undefined) return idle;
    const startedAtMs = clock.nowMs();
    const timeoutMs = 2 * args.roundTripMs + CONNECT_MARGIN_MS;
    const conn = await connections.open(
      args.address,
      timeoutMs,
      args.cancellation,
    );
    if (!Connections.isConnectFailure(conn)) {
      opts.onConnect(args.region, clock.nowMs() - startedAtMs);
    }
    return conn;
  }

  /** An answer that is not this request's own, or not a target's at all. */
  function isForeign(
    fields: GatewayTypes.ResponseFields,
    requestId: string | undefined,
  ): boolean {
    if (fields.requestId !== requestId) return true;
    if (fields.isNotRun || fields.isMisdirected) return false;
    return !fields.isSigned;
  }

  return {
    async make(args) {
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
        args.cancellation,
      );
      switch (result.kind) {
        case "aborted":
          connections.destroy(conn);
          return { kind: "aborted", isSent: true };
        case "broke":
          connections.destroy(conn);
          return result;
        case "answer": {
          const { answer } = result;
          const fields = dialect.readResponse(answer.status, answer.headers);
          if (isForeign(fields, args.requestId)) {
            connections.destroy(conn);
            connections.distrust(args.address);
            const reason = "the answer belongs to no request";
            return { kind: "broke", reason, wasReset: false };
          }
          if (fields.isClosing) connections.destroy(conn);
          else connections.giveBack(conn);
          if (!fields.isNotRun && !fields.isMisdirected) {
            return { kind: "answer", answer, fields };
          }
          const { isMisdirected: isOtherTarget } = fields;
          const { status } = answer;
          return { kind: "not-run", isOtherTarget, fields, status };
        }
      }
    },
  };
}
