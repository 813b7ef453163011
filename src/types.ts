/** Read-only data types that several modules share. */

/** Name of one entry instance, unique in the fleet. */
export type InstanceId = string;
/** Name of a failure domain, for example `uusimaa-1`. */
export type Domain = string;
/** Name of a region, for example `uusimaa`. */
export type Region = string;
/** Name of a client account. */
export type Account = string;
/** Name of a service, as in the table's `service` column. */
export type Service = string;
/** Name of one target. */
export type TargetId = string;

/** `host:port`, where the host is an IP address. */
export type Address = string;

/** Whether a request ran, as reported for a request without a response from a target. */
export type Outcome = "not-run" | "ran" | "unknown";

/** A method and path prefix, for example `POST /orders`. */
export interface RoutePattern {
  readonly method: string;
  readonly pathPrefix: string;
}

/** One region's share of a client account's limit. */
export interface AccountCell {
  /** Requests per second. */
  readonly rate: number;
  /** Maximum number of requests that may start at once. */
  readonly burst: number;
}

/** One row of the operators' table: a service in a region. */
export interface Row {
  readonly service: Service;
  readonly region: Region;
  readonly domains: readonly Domain[];
  /** Percentage of the requests from the region's callers that are served in the region, 0 to 100. */
  readonly weight: number;
  /** Maximum number of requests that start in any one-second window. */
  readonly capRps: number;
  /** Maximum traffic shift, in percentage points per second. */
  readonly shiftPctPerS: number;
  /** Bandwidth between this region and all others for this service, per direction, in Mbit/s. */
  readonly linkMbps: number;
  readonly accounts: ReadonlyMap<Account, AccountCell>;
}

/** Rules of one service, and its rows. */
export interface ServiceRules {
  readonly service: Service;
  readonly once: readonly RoutePattern[];
  readonly open: readonly string[];
  readonly deadlineMs: number;
  readonly rows: readonly Row[];
}

/** A validated table. */
export interface Table {
  /** Version of the store's `table` record; 0 before the first record. */
  readonly revision: number;
  readonly services: ReadonlyMap<Service, ServiceRules>;
  readonly accounts: readonly Account[];
  /** Region of each failure domain in the table. */
  readonly domains: ReadonlyMap<Domain, Region>;
}

/** One issued key; the clear key is not stored. */
export interface KeyEntry {
  readonly id: string;
  /** SHA-256 of the clear key, lower-case hex. */
  readonly digest: string;
}

/** The store's `keys` record. */
export interface KeysRecord {
  readonly writeId: string;
  readonly accounts: Readonly<Record<Account, readonly KeyEntry[]>>;
  /** Digests of withdrawn keys; digests are never removed. */
  readonly withdrawn: readonly string[];
}

/** The store's `table` record. */
export interface TableRecord {
  readonly writeId: string;
  /** Author of the record, as given to the tool. */
  readonly by: string;
  readonly csv: string;
}

/** Entry of the platform's instance list: a target or an entry instance. */
export interface PlatformInstance {
  readonly id: string;
  readonly service: Service;
  readonly domain: Domain;
  readonly region: Region;
  readonly address: Address;
  /** Number of requests that the target runs concurrently; 0 for entry instances. */
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** State of an entry instance, as sent in its heartbeats. */
export type MemberState = "starting" | "live" | "leaving";

/** Content of a heartbeat. */
export interface Heartbeat {
  readonly id: InstanceId;
  /** Differs for each run of the same instance. */
  readonly incarnation: string;
  readonly domain: Domain;
  readonly region: Region;
  readonly state: MemberState;
  readonly tableRevision: number;
  /** True when no instance uses a table older than `tableRevision`. */
  readonly isTableSettled: boolean;
  readonly keysRevision: number;
  /** Milliseconds since the store last responded to the sender. */
  readonly storeSeenMsAgo: number;
  /** True when the store did not respond to the sender's last call. */
  readonly isStoreFailing: boolean;
  /** Minimum of `storeSeenMsAgo` over the sender and the peers that it receives heartbeats from. */
  readonly relayedStoreSeenMsAgo: number;
  /** Requests in flight divided by slots of usable targets, at most 1. */
  readonly load: number;
  /** Processor cores of the instance; 0 when they are unknown. */
  readonly capacity: number;
  /** Numbers of the budget shards that the sender holds in its domain. */
  readonly shards: readonly number[];
  readonly callerAddress: Address;
  readonly peerAddress: Address;
  /** True while the sender reaches no target, or can open no connection to one. */
  readonly isStranded: boolean;
  /** Capacity of the sender's link, Mbit/s; undefined when it is unknown. */
  readonly linkMbps?: number;
}

/** A peer, as described by its last heartbeat that this instance received. */
export interface Member {
  readonly heartbeat: Heartbeat;
  /** Milliseconds since the last heartbeat arrived. */
  readonly ageMs: number;
  readonly isReachable: boolean;
}
