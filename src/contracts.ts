/**
 * Interfaces between the modules of an entry instance. Each module exports a
 * `createX()` factory that returns one of these; `src/daemon/` connects them.
 */
import type { Result } from "ts-results-es";
import type { Failure } from "./result_codes.ts";
import type * as Types from "./types.ts";

/** A record of the platform's store. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Version of this key; increases with each write and is never reused. */
  readonly version: number;
}

/** Options of a write. When the response is lost, reading the record back for `writeId` shows whether the write took effect. */
export interface WriteOptions {
  readonly writeId: string;
  readonly leaseId?: string;
}

/** Result of a watch: the records under the prefix, after a change or after `waitMs` without one. */
export interface WatchResult {
  /** Store-wide revision from which the next watch continues. */
  readonly revision: number;
  readonly isChanged: boolean;
  readonly entries: readonly StoreEntry[];
}

/** Client of the platform's store, leases and instance list. Each call ends within its timeout. */
export interface PlatformClient {
  get(key: string): Promise<Result<StoreEntry | undefined, Failure>>;
  list(prefix: string): Promise<Result<readonly StoreEntry[], Failure>>;
  /** Compares and sets: writes when the key's version equals `expectedVersion` (0: absent); returns the new version. */
  cas(
    key: string,
    expectedVersion: number,
    value: string,
    opts: WriteOptions,
  ): Promise<Result<number, Failure>>;
  /** Deletes the record when its version equals `expectedVersion`. */
  remove(key: string, expectedVersion: number): Promise<Result<void, Failure>>;
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult, Failure>>;
  grantLease(ttlMs: number): Promise<Result<string, Failure>>;
  /** Fails with `leaseLapsed` when the lease has expired. */
  renewLease(leaseId: string): Promise<Result<void, Failure>>;
  releaseLease(leaseId: string): Promise<Result<void, Failure>>;
  listInstances(): Promise<Result<readonly Types.PlatformInstance[], Failure>>;
  /** Monotonic time in ms at which the last successful call was sent; undefined before the first. */
  getLastResponseAtMs(): number | undefined;
  /** True when the most recently ended call received no response. */
  isFailing(): boolean;
}

/** Handles one JSON-RPC method: the returned value is the result, and a thrown error becomes an RPC error. */
export type RpcHandler = (
  params: unknown,
  sender: Types.InstanceId,
) => Promise<unknown> | unknown;

/**
 * Whether a notification may be dropped under pressure. One that is droppable is
 * superseded by the next of its method, which follows within seconds. Calls and
 * their responses, items, tokens and requests are required.
 */
export type MessageKind = "required" | "droppable";

/** Connections to the peers, and their heartbeats. */
export interface PeerNet {
  readonly self: Types.InstanceId;
  readonly incarnation: string;
  /** All peers known since the start of this instance, without itself. */
  getMembers(): readonly Types.Member[];
  tryGetMember(id: Types.InstanceId): Types.Member | undefined;
  call<T>(
    id: Types.InstanceId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>>;
  /** Sends a notification to every reachable peer without waiting. */
  notifyAll(method: string, params: unknown): void;
  /** Sends a notification to those of `ids` that are connected, without waiting. */
  notify(
    ids: readonly Types.InstanceId[],
    method: string,
    params: unknown,
    kind?: MessageKind,
  ): void;
  handle(method: string, fn: RpcHandler): void;
  /** Calls `fn` after each heartbeat that arrives. */
  onHeartbeat(fn: (heartbeat: Types.Heartbeat) => void): void;
  /** Adds addresses to connect to; addresses that were added before are ignored. */
  addPeerAddresses(addresses: readonly Types.Address[]): void;
}

/** The configuration that this instance currently uses. */
export interface ConfigStore {
  getTable(): Types.Table | undefined;
  getKeysRecord(): {
    readonly revision: number;
    readonly record: Types.KeysRecord;
  };
  onTable(fn: (table: Types.Table) => void): void;
  onKeys(fn: (revision: number, record: Types.KeysRecord) => void): void;
}

/** Shows whether this instance's knowledge of withdrawn keys is current. */
export interface Freshness {
  /** False when the newest evidence that the revision is current is older than the staleness limit. */
  isCurrent(): boolean;
  /** Age of the newest evidence in ms. */
  getAgeMs(): number;
}

/** Authenticates callers by their keys. */
export interface Keys {
  /** Replaces the record; returns false when `revision` is not higher. Withdrawn digests are merged in both cases. */
  setRecord(revision: number, record: Types.KeysRecord): boolean;
  /** Adds withdrawn digests that were pushed by a peer before the record that contains them. */
  addWithdrawn(digests: readonly string[]): void;
  /** Returns the account and the digest of a clear key. */
  authenticate(
    key: string | undefined,
  ): Result<
    { readonly account: Types.Account; readonly digest: string },
    Failure
  >;
  /** Checks by its digest that the key of a queued or relayed request is still valid. */
  checkDigest(digest: string): Result<Types.Account, Failure>;
  /** True when the value is a clear key of any account. */
  isKnownKey(value: string): boolean;
}

/** Name of a budget whose tokens are shared by all instances: `acct/<service>/<account>`, `cap/<service>/<region>`, `link/<service>/<region>/in|out`. */
export type BudgetKey = string;

/** This instance's allocation of a budget. */
export interface BudgetAllocation {
  readonly tokens: number;
  /** Tokens per second. */
  readonly rate: number;
  readonly burst: number;
}

/** This instance's allocations of all budgets. A token is a request, or a byte for links. */
export interface Budgets {
  /** Acquires tokens from the local allocation at once; false when it has too few. */
  tryAcquire(key: BudgetKey, tokens: number): boolean;
  /** Acquires tokens; borrows from peers when the local allocation has too few. Waits at most `waitMs`. */
  acquire(
    key: BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<Result<void, Failure>>;
  /**
   * Refunds tokens of a request that did not run. With `acquiredAtMs` (monotonic,
   * read after the tokens were acquired) the refund is exact; without it, fewer
   * tokens may be refunded.
   */
  refund(key: BudgetKey, tokens: number, acquiredAtMs?: number): void;
  /**
   * Acquires again tokens that were acquired at `acquiredAtMs` (monotonic, read
   * after the tokens were acquired) and not used: tokens that the bucket would have
   * lost by overflow in the meantime are not granted again. Returns false when the
   * tokens are not available; they are then lost.
   */
  reacquire(key: BudgetKey, tokens: number, acquiredAtMs: number): boolean;
  getAllocation(key: BudgetKey): BudgetAllocation;
  /** True for some seconds after peers had no unused tokens to lend. */
  isScarce(key: BudgetKey): boolean;
  /** Milliseconds until `tokens` are available at the local rate; Infinity when never. */
  getWaitMs(key: BudgetKey, tokens: number): number;
  setTable(table: Types.Table): void;
  /** False while the right to use tokens is not confirmed, because the lease has expired. */
  isValid(): boolean;
  /** Numbers of the budget shards that this instance holds. */
  getShards(): readonly number[];
}

/** Chooses the region of each request by effective weights. */
export interface Steering {
  setTable(table: Types.Table): void;
  /** Returns the regions to try for the next request, in order; the first is the weighted choice. */
  chooseRegions(service: Types.Service): readonly Types.Region[];
  getEffectiveWeights(
    service: Types.Service,
  ): ReadonlyMap<Types.Region, number>;
}

/** One target as this instance sees it; `reportedInUse` is from the target's last load report. */
export interface TargetView {
  readonly id: Types.TargetId;
  readonly service: Types.Service;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  readonly address: Types.Address;
  readonly slots: number;
  readonly state: "cold" | "usable" | "ejected" | "leaving" | "dead";
  readonly inFlight: number;
  readonly reportedInUse: number | undefined;
}

/** How an exchange with a target ended. */
export type TargetOutcome =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly latencyMs: number;
  }
  /** The target rejected the request for load and did not run it. */
  | { readonly kind: "shed" }
  /** The connection could not be established; no byte was sent. */
  | { readonly kind: "connect-failed" }
  /** The connection was lost before the exchange was complete. */
  | { readonly kind: "broke" }
  | { readonly kind: "timed-out" }
  /** The caller disconnected. */
  | { readonly kind: "cancelled" };

/** One slot of a target, acquired for one request. */
export interface SlotLease {
  readonly target: TargetView;
  /** Frees the slot and records how the exchange ended; call exactly once. */
  release(outcome: TargetOutcome): void;
  /** Records that a response of the target announced that it is leaving. */
  markLeaving(): void;
  /** Returns how many slots of the target this instance owns now; 0 while the target may get no new work. */
  getOwnedSlots(): number;
}

/** The targets of all services, and the choice among them. */
export interface Targets {
  /** Acquires a slot of a usable target in the region; undefined if none is free. */
  tryAcquire(
    service: Types.Service,
    region: Types.Region,
    exclude?: ReadonlySet<Types.TargetId>,
  ): SlotLease | undefined;
  /** True if the region has a target that may get new work, with or without a free slot. */
  hasUsable(service: Types.Service, region: Types.Region): boolean;
  /** Adds a listener that is called when a slot of the service may have become free. */
  onSlotFree(listener: (service: Types.Service) => void): void;
  list(): readonly TargetView[];
  /** Applies an instance list, from the platform or a peer, in place of the previous one. */
  setInstances(instances: readonly Types.PlatformInstance[]): void;
}

/** A request that waits in the fair queue. */
export interface QueueEntry {
  readonly service: Types.Service;
  readonly account: Types.Account;
  /** Monotonic time in ms after which the request can't meet its deadline. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** Fair queues over client accounts, one queue per service. */
export interface FairQueue<T> {
  /** Waits until `tryStart` returns a value for this entry. Fails with `queueFull` when the entry can't meet its deadline. */
  wait(
    entry: QueueEntry,
    tryStart: () => T | undefined,
  ): Promise<Result<T, Failure>>;
  /** Starts those waiting entries of the service that can start now. */
  wake(service: Types.Service): void;
  getLength(service: Types.Service): number;
}

/** A ticket whose MAC is valid. */
export interface Ticket {
  readonly id: string;
  readonly issuer: Types.InstanceId;
  readonly incarnation: string;
  readonly account: Types.Account;
  readonly service: Types.Service;
  /** Wall-clock ms. */
  readonly expiresAtMs: number;
}

/** Issues and verifies tickets; the MAC key is derived from the peers' secret. */
export interface Tickets {
  issue(
    account: Types.Account,
    service: Types.Service,
    count: number,
  ): readonly string[];
  /**
   * Parses a ticket and checks its MAC, but not its account and service. Fails
   * with `ticketInvalid` if malformed or forged.
   */
  read(
    ticketText: string,
  ): Result<Ticket & { readonly isExpired: boolean }, Failure>;
  /**
   * Like `read`, and also fails with `ticketInvalid` if the ticket was issued for
   * another account or service. An expired ticket has `isExpired` set.
   */
  verify(
    ticketText: string,
    account: Types.Account,
    service: Types.Service,
  ): Result<Ticket & { readonly isExpired: boolean }, Failure>;
}

/** A response stored for retries of the same ticket. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}

/** State of a ticket when a request with it arrives. */
export type Claim =
  /** The claimant must run the request, then call exactly one method of `run`. */
  | { readonly kind: "run"; readonly run: ClaimedRun }
  | { readonly kind: "response"; readonly response: StoredResponse }
  /** The request ran, but no response is stored: it was too large, for example. */
  | { readonly kind: "ran-without-response"; readonly status: number }
  | { readonly kind: "unknown" }
  | { readonly kind: "rejected"; readonly failure: Failure };

/** The right to run a ticket's request once. */
export interface ClaimedRun {
  /** Records that the request ran; `response` is undefined if there is none to store. */
  markRan(response: StoredResponse | undefined, status: number): void;
  /** Records that the request did not run; a retry may run it. */
  markNotRun(): void;
  /** Records that the request may have run; it never runs again. */
  markUnknown(): void;
}

/** Ledger of the tickets that this instance issued and of those that it adopted from leaving instances. */
export interface Ledger {
  /**
   * Returns the ticket's state, or the right to run its request. Waits while the
   * request is running, until `signal` aborts.
   */
  claim(
    ticket: Ticket & { readonly isExpired: boolean },
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Claim>;
  /** False if the ticket's request certainly did not run: this instance owns the ticket and has recorded no run. */
  mayHaveRun(ticket: Ticket & { readonly isExpired: boolean }): boolean;
  /** True if this instance owns the issuer's tickets: it issued them or adopted the issuer's ledger. */
  isOwner(issuer: Types.InstanceId, incarnation: string): boolean;
  /** Returns the instance that adopted a leaving issuer's ledger; undefined if not known here. */
  tryGetOwner(
    issuer: Types.InstanceId,
    incarnation: string,
  ): Types.InstanceId | undefined;
  /** Rejects new runs, waits for running requests, then transfers the ledger to `to`. */
  transferTo(to: Types.InstanceId): Promise<Result<void, Failure>>;
  getSize(): { readonly entries: number; readonly bytes: number };
}

/** Blocks poison requests, which cause targets to lose their connections. */
export interface Poison {
  isBlocked(fingerprint: string): boolean;
  /** Reports that a target's connection was lost while this request ran. `sentAtMs` is monotonic; the default is now. */
  reportConnectionLoss(
    fingerprint: string,
    target: Types.TargetId,
    sentAtMs?: number,
  ): void;
  /**
   * Resolves when all connected instances have confirmed that they block the
   * request, or have not responded within the timeout. Resolves at once when the
   * request is not blocked, and in fleets that are not a full mesh.
   */
  confirmBlock(fingerprint: string): Promise<void>;
  /** Reports that a target sent a complete response to this request, with a status below 500. */
  reportResponse(fingerprint: string): void;
}

/** Retry budget per service: retries are limited to a share of the requests of the last seconds. */
export interface RetryBudget {
  recordRequest(service: Types.Service): void;
  /** Acquires one retry. The request may use at most the share `maxShare` of the budget, 0 to 1. */
  tryAcquireRetry(service: Types.Service, maxShare?: number): boolean;
}

/** How a request ended, for metrics and the burn-rate report. */
export interface RequestRecord {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly status: number;
  /** Number of the result code; 0 when a target's response was forwarded. */
  readonly codeNumber: number;
  readonly outcome: Types.Outcome | "answered" | "cancelled";
  readonly latencyMs: number;
}

/** Counters and histograms of this instance. */
export interface Metrics {
  record(request: RequestRecord): void;
  count(name: string, by?: number): void;
  gauge(name: string, value: number): void;
  /** Text in the Prometheus exposition format. */
  formatText(): string;
  /** Time windows and histograms for `report.burn`, as a JSON value. */
  getBurnSnapshot(): unknown;
}
