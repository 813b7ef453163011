/** What the request path knows of one request, and the parts that it uses. */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Body from "../forward/body.ts";
import type * as Exchange from "../forward/exchange.ts";
import type * as Link from "../forward/link.ts";
import type * as Headers from "../forward/headers.ts";
import type * as Path from "../forward/path.ts";
import type * as Log from "../log.ts";
import type * as Ledger from "../once/handover.ts";
import type * as Relay from "../once/relay.ts";
import type * as Types from "../types.ts";
import type * as Place from "./place.ts";

/** Parts of an instance that the request path uses. */
export interface Deps {
  readonly region: Types.Region;
  readonly config: Contracts.ConfigStore;
  readonly freshness: Contracts.Freshness;
  readonly keys: Contracts.Keys;
  readonly budgets: Contracts.Budgets;
  readonly steering: Contracts.Steering;
  readonly targets: Contracts.Targets;
  readonly queue: Contracts.FairQueue<Place.Placement>;
  readonly tickets: Contracts.Tickets;
  readonly ledger: Ledger.Ledger;
  readonly poison: Contracts.Poison;
  readonly retries: Contracts.RetryBudget;
  readonly answerSizes: Link.ResponseSizes;
  readonly peers: Contracts.PeerNet;
  readonly exchanger: Exchange.Exchanger;
  readonly relay: Relay.RelaySigner;
  readonly metrics: Contracts.Metrics;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
  readonly limits: Body.BodyLimits;
  /** Finds whether a route is `once` or open. */
  readonly findRoute: (
    rules: Types.ServiceRules,
    method: string,
    path: string,
  ) => { readonly isOnce: boolean; readonly isOpen: boolean };
}

/** Who sent a request, as far as its key says. */
export interface Caller {
  readonly account: Types.Account;
  /** Undefined on open routes. */
  readonly digest: string | undefined;
  /** True when a peer checked the key and passed the request on. */
  readonly isRelayed: boolean;
}

/** The token of the account's budget that a request holds. */
export interface Payment {
  /** Monotonic ms, read after the take; undefined without a token. */
  takenAtMs: number | undefined;
}

/** One request on its way. */
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
  readonly isOnce: boolean;
  readonly fingerprint: string;
  /** Monotonic ms. */
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** The account's token, as far as the request holds one. */
  readonly payment: Payment;
  /** Aborts at the deadline, or when the caller goes away. */
  readonly signal: AbortSignal;
}

/** True for methods that may be repeated. */
export function isRead(method: string): boolean {
  return method === "GET" || method === "HEAD";
}

/** A random request id that callers, logs and targets share. */
export function createRequestId(): string {
  return Crypto.randomBytes(9).toString("base64url");
}

/** Identifies a request by account, method, path, query and the buffered part of its body. */
export function getFingerprint(
  account: Types.Account,
  method: string,
  route: Path.RequestPath,
  body: Body.RequestBody,
): string {
  const hash = Crypto.createHash("sha256");
  hash.update(
    JSON.stringify([account, method, route.service, route.path, route.query]),
  );
  if (body.kind === "whole") hash.update(body.data);
  if (body.kind === "stream") hash.update(body.head);
  return hash.digest("base64url");
}

/** Milliseconds left until the deadline, at least 0. */
export function getRemainingMs(ctx: Context, clock: Clock.Clock): number {
  return Math.max(0, ctx.deadlineAtMs - clock.nowMs());
}
