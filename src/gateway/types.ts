/**
 * Data types of the gateway. The gateway serves routes by host and path prefix, for
 * platforms whose callers send plain HTTP requests to a host name.
 */
import type * as Types from "../types.ts";

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for a request's headers to arrive, ms. */
  readonly headerTimeoutMs: number;
  /** Longest time for which an idle connection is kept open, ms. */
  readonly idleTimeoutMs: number;
}

/** Properties that all targets of a service share. */
export interface ServiceSpec {
  readonly name: Types.Service;
  /** Connections that one target accepts from all its HTTP clients together. */
  readonly maxConns: number;
  /** Duration of a target's cold start, ms. */
  readonly coldMs: number;
  /** Requests per second that a cold target tolerates from all instances together. */
  readonly coldPerS: number;
}

/** A client account: its keys, its rate limit over all instances, and its home regions. */
export interface AccountSpec {
  readonly name: Types.Account;
  readonly keys: readonly string[];
  /** Priority that overrides the route's; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Requests per second over all instances; 0 means no limit. */
  readonly ratePerS: number;
  /** Requests that may exceed the rate at once. */
  readonly burst: number;
  /** Regions that may serve the account; empty means all. */
  readonly homeRegions: readonly Types.Region[];
}

/** A service that receives a share of a route's requests, in proportion to its weight. */
export interface RouteBackend {
  readonly service: Types.Service;
  readonly weight: number;
}

/** A route: the requests for one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True when a request may run more than once. */
  readonly isRepeatable: boolean;
  /** Longest time that a request may take, ms. */
  readonly timeoutMs: number;
  /** Latency within which a response is worth most, ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Services among which the route's requests are split by weight. */
  readonly backends: readonly RouteBackend[];
  /** Targets to which one request may be sent, at most. */
  readonly maxTargets: number;
  /** True when requests need no key. */
  readonly isKeyOptional: boolean;
  /** True when a target responds faster to affinity keys that it served recently. */
  readonly isSticky: boolean;
  /** Regions that may serve the route; empty means all. */
  readonly homeRegions: readonly Types.Region[];
}

/** One version of the operators' configuration. */
export interface RouteConfig {
  /** Increases with each change. */
  readonly version: number;
  readonly services: ReadonlyMap<Types.Service, ServiceSpec>;
  readonly accounts: ReadonlyMap<Types.Account, AccountSpec>;
  /** Account of each key. */
  readonly keys: ReadonlyMap<string, AccountSpec>;
  /** Routes of each host, longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  /** True when a route's responses may be long. */
  readonly hasDownloads: boolean;
  readonly limits: CallerLimits;
}

/** The entry that a target writes to the store. */
export interface TargetEntry {
  readonly id: Types.TargetId;
  readonly service: Types.Service;
  readonly address: Types.Address;
  readonly domain: Types.Domain;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Remaining time of its cold start when it wrote the entry, ms. */
  readonly coldLeftMs: number;
  /** Wall-clock time of its start, ms; differs between two processes with the same id. */
  readonly startedAtMs: number;
}

/** One change of the state that the store holds for the gateway. */
export type StateChange =
  | { readonly kind: "config"; readonly config: RouteConfig }
  | {
    readonly kind: "evacuation";
    readonly domain: Types.Domain;
    readonly isActive: boolean;
  }
  | { readonly kind: "target"; readonly entry: TargetEntry }
  | { readonly kind: "target-gone"; readonly id: Types.TargetId }
  /** An item that cannot be decoded; `detail` gives the reason. */
  | {
    readonly kind: "unreadable";
    readonly key: string;
    readonly detail: string;
  };

/** One undecoded item of the store. */
export interface StoreItem {
  readonly key: string;
  /** Undefined when the item was deleted. */
  readonly value: string | undefined;
  /** Revision of its last change (`revision.ts`). */
  readonly revision: number;
}

/** All items of the store under a prefix. */
export interface PrefixListing {
  readonly items: readonly StoreItem[];
  /** Revision from which a watch may continue. */
  readonly revision: number;
}

/** Result of one watch of the store. */
export type WatchResponse =
  | {
    readonly kind: "changes";
    readonly items: readonly StoreItem[];
    /** Revision from which the next watch continues. */
    readonly revision: number;
  }
  /** The store no longer has the history since the requested revision, or was restored from a copy: the prefix must be read again. */
  | { readonly kind: "history-gone" };

/** Fields of a caller's request that the gateway uses, independent of the header names. */
export interface CallerFields {
  readonly requestId: string | undefined;
  /** Time for which the caller waits, ms. */
  readonly deadlineMs: number | undefined;
  /** Key that identifies the account. */
  readonly key: string | undefined;
  /** Key by which requests prefer the same target. */
  readonly affinityKey: string | undefined;
  /** True if another instance passed the request on. */
  readonly isRelayed: boolean;
}

/** Fields that the gateway adds to a request that it passes on to another instance. */
export interface RelayFields {
  readonly relayedBy: Types.InstanceId;
  /** Remaining time before the deadline, whole ms. */
  readonly deadlineMs: number;
}

/** Fields that the gateway adds to a request to a target. */
export interface TargetFields {
  readonly targetId: Types.TargetId;
  readonly account: Types.Account | undefined;
  /** Remaining time before the deadline, whole ms. */
  readonly deadlineMs: number;
}

/** A target's load as reported by the target. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes on the target's machine now, as a multiple of the usual time; undefined when the target does not name it. */
  readonly slowdown?: number;
}

/** Information in the status and headers of a target's response. */
export interface ResponseFields {
  /** True when the request did not run. */
  readonly isNotRun: boolean;
  /** True when another target now has the address, so the request did not run. */
  readonly isMisdirected: boolean;
  readonly requestId: string | undefined;
  readonly load: LoadReport | undefined;
  /** Requests per second that the target takes from all instances together; undefined when it names no limit. */
  readonly rateLimitPerS: number | undefined;
  /** True when the target says that it leaves. */
  readonly isLeaving: boolean;
  /** Time for which a target that sheds the request wants no further one, ms; undefined if it names none. */
  readonly refusalMs: number | undefined;
  /** True when the response carries the mark that only targets add. */
  readonly isSigned: boolean;
  /** True when the target is leaving or requests a new connection. */
  readonly isClosing: boolean;
}

/** Header names and values, in order. */
export type HeaderPairs = readonly (readonly [string, string])[];

/** Translates header fields between the wire format and the gateway's types. */
export interface HeaderDialect {
  readCaller(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ): CallerFields;
  /** Formats the headers for the target: the caller's without key and connection headers, plus the gateway's fields. */
  formatForTarget(
    rawHeaders: readonly string[],
    fields: TargetFields,
  ): string[];
  /** Formats the headers for another instance: the caller's, its key included, without connection headers, plus the gateway's fields. */
  formatForInstance(
    rawHeaders: readonly string[],
    fields: RelayFields,
  ): string[];
  readResponse(status: number, headers: HeaderPairs): ResponseFields;
  /** Formats the response headers for the caller. */
  formatForCaller(headers: HeaderPairs): string[];
}
