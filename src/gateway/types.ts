/**
 * Data of the gateway: the part of the product that serves routes by host and
 * path prefix, for platforms whose callers speak plain HTTP to a host name.
 */
import type * as Types from "../types.ts";

/** Bounds of what a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time for a request's headers, ms. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept, ms. */
  readonly idleTimeoutMs: number;
}

/** What all targets of a service have in common. */
export interface ServiceSpec {
  readonly name: Types.Service;
  /** Connections that one target accepts from all callers together. */
  readonly maxConns: number;
  /** How long a target is cold after its start, ms. */
  readonly coldMs: number;
  /** Requests a second that a cold target tolerates, from all instances together. */
  readonly coldPerS: number;
}

/** A client account: its keys, its limit over all instances, its homes. */
export interface AccountSpec {
  readonly name: Types.Account;
  readonly keys: readonly string[];
  /** Rank that goes before the route's; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Requests a second; 0 is no limit. */
  readonly ratePerS: number;
  /** Requests beyond the rate. */
  readonly burst: number;
  /** Regions that may serve it; empty: all. */
  readonly homeRegions: readonly Types.Region[];
}

/** One part of a route's traffic. */
export interface RouteBackend {
  readonly service: Types.Service;
  readonly weight: number;
}

/** A route: requests of one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True when a request may run more than once. */
  readonly isRepeatable: boolean;
  /** Longest time that a request is kept waiting, ms. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly backends: readonly RouteBackend[];
  /** Targets to which one request may be sent. */
  readonly maxTargets: number;
  /** True when no key is needed. */
  readonly isKeyOptional: boolean;
  /** Targets serve an object faster that they served lately. */
  readonly isSticky: boolean;
  /** Regions that may serve it; empty: all. */
  readonly homeRegions: readonly Types.Region[];
}

/** One version of the operators' configuration. */
export interface RouteConfig {
  /** Versions only grow. */
  readonly version: number;
  readonly services: ReadonlyMap<Types.Service, ServiceSpec>;
  readonly accounts: ReadonlyMap<Types.Account, AccountSpec>;
  /** Account of each key. */
  readonly keys: ReadonlyMap<string, AccountSpec>;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly limits: CallerLimits;
}

/** What a target says of itself. */
export interface TargetEntry {
  readonly id: Types.TargetId;
  readonly service: Types.Service;
  readonly address: Types.Address;
  readonly domain: Types.Domain;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer it was cold when it wrote the entry, ms. */
  readonly coldLeftMs: number;
  /** Wall-clock ms of its start; two runs under one id differ in it. */
  readonly startedAtMs: number;
}

/** What the store holds for the gateway, as one change after the other. */
export type StateChange =
  | { readonly kind: "config"; readonly config: RouteConfig }
  | {
    readonly kind: "evacuation";
    readonly domain: Types.Domain;
    readonly isActive: boolean;
  }
  | { readonly kind: "target"; readonly entry: TargetEntry }
  | { readonly kind: "target-gone"; readonly id: Types.TargetId }
  /** Something that can't be read; `detail` says what is wrong. */
  | {
    readonly kind: "unreadable";
    readonly key: string;
    readonly detail: string;
  };

/** One item of the store, undecoded. */
export interface StoreItem {
  readonly key: string;
  /** Undefined when the item was deleted. */
  readonly value: string | undefined;
  /** Store revision of the change. */
  readonly revision: number;
}

/** What an answer of the store's watch says. */
export type WatchResponse =
  | {
    readonly kind: "changes";
    readonly items: readonly StoreItem[];
    /** Revision to continue from. */
    readonly revision: number;
  }
  /** The history since that revision is gone: read everything anew. */
  | { readonly kind: "history-gone" };

/** Fields of a caller's request that the gateway acts on, whatever their wire names. */
export interface CallerFields {
  readonly requestId: string | undefined;
  /** How long the caller waits, ms. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Names the object that the request concerns. */
  readonly affinityKey: string | undefined;
}

/** Fields that the gateway adds for a target. */
export interface TargetFields {
  readonly targetId: Types.TargetId;
  readonly account: Types.Account | undefined;
  /** Time that is left, whole ms. */
  readonly deadlineMs: number;
}

/** A target's load as it reports it. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What a target's answer says beside its status and body. */
export interface ResponseFields {
  /** The request did not run. */
  readonly isNotRun: boolean;
  /** Another target has the address; the request did not run. */
  readonly isMisdirected: boolean;
  readonly requestId: string | undefined;
  readonly load: LoadReport | undefined;
  /** The target vouches for the answer. */
  readonly isSigned: boolean;
  /** The target is leaving, or wants a new connection. */
  readonly isClosing: boolean;
}

/** Header names and values, in order. */
export type HeaderPairs = readonly (readonly [string, string])[];

/** Translates headers between the wire and the gateway. */
export interface HeaderDialect {
  readCaller(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ): CallerFields;
  /** Headers for the target: the caller's without key and connection headers, with the gateway's own. */
  formatForTarget(
    rawHeaders: readonly string[],
    fields: TargetFields,
  ): string[];
  readResponse(status: number, headers: HeaderPairs): ResponseFields;
  /** Headers of the answer that the caller gets. */
  formatForCaller(headers: HeaderPairs): string[];
}
