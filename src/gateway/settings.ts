/** Settings of a gateway instance, decoded by the platform's adapter. */
import type * as Types from "../types.ts";

/** Everything that an instance learns from outside before it starts. */
export interface GatewaySettings {
  readonly instance: {
    readonly id: Types.InstanceId;
    readonly domain: Types.Domain;
    readonly region: Types.Region;
    /** Processor share, in cores. */
    readonly capacity: number;
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
    /** Callers keep an answer of the directory no longer than this, ms. */
    readonly maxDirectoryTtlMs: number;
    /** Entries that lapsed in an outage of the store are back within this time of its return, ms. */
    readonly entryReturnMs: number;
  };
}

/** Limits that hold over all instances together. */
export interface SharedLimits {
  /** Second sends as a share of a service's requests in a window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Second sends in a window beyond that share. */
  readonly retryExtra: number;
  /** Requests by which an account may exceed its limit now and then. */
  readonly accountSlack: number;
  /** Factor of a cold target's rate that may be reached. */
  readonly coldFactor: number;
  /** Requests in one second beyond that. */
  readonly coldExtraPerS: number;
}
