/** Settings of a gateway instance, decoded by the platform's adapter. */
import type * as Types from "../types.ts";

/** Settings that an instance receives before it starts. */
export interface GatewaySettings {
  readonly instance: {
    readonly id: Types.InstanceId;
    readonly domain: Types.Domain;
    readonly region: Types.Region;
    /** Processor share, in cores. */
    readonly capacity: number;
    /** Memory that the process may use, bytes. */
    readonly memoryBytes: number;
    /** Capacity of the instance's own link, Mbit/s; undefined when the settings don't name it. */
    readonly linkMbps?: number | undefined;
    /** Descriptors that the process may open. */
    readonly maxDescriptors: number;
  };
  readonly listen: {
    readonly caller: Types.Address;
    readonly ready: Types.Address;
    readonly directory: Types.Address;
    readonly peer: Types.Address;
    readonly metrics: Types.Address;
    /** Source IP of outgoing connections. */
    readonly localAddress: string;
  };
  readonly regionOfDomain: ReadonlyMap<Types.Domain, Types.Region>;
  readonly store: {
    readonly address: Types.Address;
    /** Shortest lease that the store grants, ms. */
    readonly minLeaseMs: number;
  };
  readonly limits: SharedLimits;
  readonly timing: {
    /** Time between SIGTERM and SIGKILL, ms. */
    readonly graceMs: number;
    /** Longest time for which callers cache a response of the directory, ms. */
    readonly maxDirectoryTtlMs: number;
    /** Time within which a change in the store has to be in force at all instances, ms. */
    readonly changeInForceMs: number;
    /** Time after the end of a store outage within which targets restore their expired entries, ms. */
    readonly entryRecoveryMs: number;
    /** Time after which the store removes the entry of a silent target, ms. */
    readonly entryExpiryMs: number;
  };
}

/** Limits that apply to all instances together. */
export interface SharedLimits {
  /** Second sends as a share of a service's requests in a window, 0 to 1. */
  readonly retryRatio: number;
  /** Length of the window, ms. */
  readonly retryWindowMs: number;
  /** Number of second sends in a window that are allowed beyond `retryRatio`. */
  readonly retryExtra: number;
  /** Number of requests by which an account may temporarily exceed its limit. */
  readonly accountSlack: number;
  /** Factor by which a cold target may exceed its stated request rate. */
  readonly coldRateFactor: number;
  /** Requests per second that are allowed at a cold target beyond `coldRateFactor`. */
  readonly coldRateExtraPerS: number;
}
