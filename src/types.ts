/** Types that more than one module uses. Everything here is read-only data. */

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

/** `host:port` with an IP number as host. */
export type Address = string;

/** What the system itself says about a request that it did not relay an answer for. */
export type Outcome = "not-run" | "ran" | "unknown";

/** A method and path prefix, for example `POST /orders`. */
export interface RoutePattern {
  readonly method: string;
  readonly pathPrefix: string;
}

/** The part of a client account's limit that is based in one region. */
export interface AccountCell {
  /** Requests per second. */
  readonly rate: number;
  /** Requests. */
  readonly burst: number;
}

/** One row of the operators' table: a service in a region. */
export interface Row {
  readonly service: Service;
  readonly region: Region;
  readonly domains: readonly Domain[];
  /** Percentage of the region's own callers that stay in the region, 0 to 100. */
  readonly weight: number;
  /** Requests that may start in any one-second window. */
  readonly capRps: number;
  /** Percentage points of traffic that may move per second. */
  readonly shiftPctPerS: number;
  /** Mbit/s between this region and the others, each way, for this service. */
  readonly linkMbps: number;
  readonly accounts: ReadonlyMap<Account, AccountCell>;
}

/** What the rows of one service have in common. */
export interface ServiceRules {
  readonly service: Service;
  readonly once: readonly RoutePattern[];
  readonly open: readonly string[];
  readonly deadlineMs: number;
  readonly rows: readonly Row[];
}

/** A checked table. */
export interface Table {
  /** Version of the store's `table` record; 0 before the first one. */
  readonly revision: number;
  readonly services: ReadonlyMap<Service, ServiceRules>;
  readonly accounts: readonly Account[];
  /** Region of every failure domain that the table names. */
  readonly domains: ReadonlyMap<Domain, Region>;
}

/** One issued key: the clear key is not kept. */
export interface KeyEntry {
  readonly id: string;
  /** SHA-256 of the clear key, lower-case hex. */
  readonly digest: string;
}

/** The store's `keys` record. */
export interface KeysRecord {
  readonly writeId: string;
  readonly accounts: Readonly<Record<Account, readonly KeyEntry[]>>;
  /** Digests of withdrawn keys; only grows. */
  readonly withdrawn: readonly string[];
}

/** The store's `table` record. */
export interface TableRecord {
  readonly writeId: string;
  /** Who wrote it, as the tool was told. */
  readonly by: string;
  readonly csv: string;
}

/** What the platform's instance list says about one target or entry instance. */
export interface PlatformInstance {
  readonly id: string;
  readonly service: Service;
  readonly domain: Domain;
  readonly region: Region;
  readonly address: Address;
  /** Requests that it runs at the same time; 0 for entry instances. */
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** State of an entry instance as its heartbeats say. */
export type MemberState = "starting" | "live" | "leaving";

/** Content of a heartbeat. */
export interface Heartbeat {
  readonly id: InstanceId;
  /** Differs between two runs of the same instance. */
  readonly incarnation: string;
  readonly domain: Domain;
  readonly region: Region;
  readonly state: MemberState;
  readonly tableRevision: number;
  /** True when no instance uses a table from before that revision. */
  readonly isTableSettled: boolean;
  readonly keysRevision: number;
  /** Milliseconds since the sender itself had an answer from the store. */
  readonly storeSeenMsAgo: number;
  /** True when the sender's last call to the store got no answer. */
  readonly isStoreFailing: boolean;
  /** The least such age over the sender and the peers that it hears. */
  readonly relayedStoreSeenMsAgo: number;
  /** Requests in flight divided by slots held; 1 is full. */
  readonly load: number;
  /** Numbers of the budget shards that the sender holds in its domain. */
  readonly shards: readonly number[];
  readonly callerAddress: Address;
  readonly peerAddress: Address;
}

/** A peer as this instance last heard it. */
export interface Member {
  readonly heartbeat: Heartbeat;
  /** Milliseconds since its last heartbeat arrived. */
  readonly ageMs: number;
  readonly isReachable: boolean;
}
