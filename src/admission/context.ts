/** State of one request on the request path, and the modules that the path uses. */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import type * as Clock from "../clock.ts";
import * as Debug from "../debug.ts";
import type * as Contracts from "../contracts.ts";
import type * as Body from "../forward/body.ts";
import type * as Exchange from "../forward/exchange.ts";
import type * as Link from "../forward/link.ts";
import type * as Headers from "../forward/headers.ts";
import type * as Path from "../forward/path.ts";
import type * as Log from "../log.ts";
import type * as Ledger from "../once/handover.ts";
import type * as Relay from "../once/relay.ts";
import * as Fingerprint from "../retry/fingerprint.ts";
import type * as Types from "../types.ts";
import type * as Placement from "./placement.ts";

/** Modules of an instance that the request path uses. */
export interface Deps {
  readonly region: Types.Region;
  readonly config: Contracts.ConfigStore;
  readonly freshness: Contracts.Freshness;
  readonly keys: Contracts.Keys;
  readonly budgets: Contracts.Budgets;
  readonly steering: Contracts.Steering;
  readonly targets: Contracts.Targets;
  readonly queue: Contracts.FairQueue<Placement.Placement>;
  readonly tickets: Contracts.Tickets;
  readonly ledger: Ledger.Ledger;
  readonly poison: Contracts.Poison;
  readonly retryBudget: Contracts.RetryBudget;
  readonly responseSizes: Link.ResponseSizes;
  readonly peers: Contracts.PeerNet;
  readonly exchanger: Exchange.Exchanger;
  readonly relay: Relay.RelaySigner;
  readonly metrics: Contracts.Metrics;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
  readonly limits: Body.BodyLimits;
  /** Determines whether a route is `once` (at-most-once) or open (no key needed). */
  readonly findRoute: (
    rules: Types.ServiceRules,
    method: string,
    path: string,
  ) => { readonly isOnce: boolean; readonly isOpen: boolean };
}

/** Sender of a request, as identified by its key. */
export interface Caller {
  readonly account: Types.Account;
  /** Digest of the key; undefined on open routes. */
  readonly digest: string | undefined;
  /** True when a peer checked the key and relayed the request. */
  readonly isRelayed: boolean;
}

/** The token of the account's budget that a request has acquired. */
export interface AccountToken {
  /** Monotonic ms, read after the token was acquired; undefined without a token. */
  acquiredAtMs: number | undefined;
}

/** State of one request. */
export interface Context {
  readonly id: string;
  readonly req: Http.IncomingMessage;
  readonly res: Http.ServerResponse;
  readonly headers: Headers.HeaderPairs;
  readonly method: string;
  readonly route: Path.RequestPath;
  readonly rules: Types.ServiceRules;
  readonly caller: Caller;
  readonly body: Body.RequestBody;
  /** Keeps the body until `use` has settled, if that is after the request has ended. */
  readonly keepBodyUntil: Body.ReceivedBody["keepUntil"];
  readonly isOnce: boolean;
  readonly fingerprint: string;
  /** Monotonic ms. */
  readonly startedAtMs: number;
  /** Monotonic ms. */
  readonly deadlineAtMs: number;
  /** Updated when the account token is acquired, spent or lost. */
  readonly accountToken: AccountToken;
  /** Aborts at the deadline, or when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** True for GET and HEAD, whose requests may be sent again. */
export function isReadMethod(method: string): boolean {
  return method === "GET" || method === "HEAD";
}

/** Creates a random request id, which the caller, the logs and the target all receive. */
export function createRequestId(): string {
  return Crypto.randomBytes(9).toString("base64url");
}

/** Returns the fingerprint over account, method, service, path, query and the first `bufferBytes` of the body. */
export function getFingerprint(
  account: Types.Account,
  method: string,
  route: Path.RequestPath,
  body: Body.RequestBody,
  { bufferBytes }: Pick<Body.BodyLimits, "bufferBytes">,
): string {
  const fields = [account, method, route.service, route.path, route.query];
  return Fingerprint.createFingerprint(fields, getStart(body, bufferBytes));
}

function getStart(
  body: Body.RequestBody,
  maxBytes: number,
): Buffer | undefined {
  switch (body.kind) {
    case "none":
      return undefined;
    case "whole":
      return body.data;
    case "stream":
      // How much more was read depends on the packets, not on the request.
      return body.head.subarray(0, maxBytes);
    default:
      return Debug.assertNever(body);
  }
}

/** Node's timers count whole ms, so that two of them for the same time may fire this far apart. */
const TIMER_STEP_MS = 1;

/**
 * Time that a target is given, whole ms. Rounded up, so that a target whose clock
 * runs like this instance's doesn't give up first: its own 504 would reach the caller
 * in place of this instance's, which says that the outcome is unknown.
 */
export function getTargetDeadlineMs(ctx: Context, clock: Clock.Clock): number {
  return Math.ceil(getRemainingMs(ctx, clock)) + TIMER_STEP_MS;
}

/** True at the deadline; a timer for it may fire a step early. */
export function isDeadlineExpired(ctx: Context, clock: Clock.Clock): boolean {
  return getRemainingMs(ctx, clock) < TIMER_STEP_MS;
}

/** Remaining time before the deadline in ms, at least 0. */
export function getRemainingMs(ctx: Context, clock: Clock.Clock): number {
  return Math.max(0, ctx.deadlineAtMs - clock.nowMs());
}
