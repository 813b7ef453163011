/**
 * Interfaces between the modules of an entry instance. Each module exports a
 * `createX()` factory that returns one of these; `src/daemon/` wires them.
 */
import type { Result } from "ts-results-es";
import type { Failure } from "./result_codes.ts";
import type * as Types from "./types.ts";

/** A record of the platform's store. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Version of this key; grows with each write, never used twice. */
  readonly version: number;
}

/** Options of a write. `writeId` lets a lost answer be resolved by reading back. */
export interface WriteOptions {
  readonly writeId: string;
  readonly leaseId?: string;
}

/** What a watch returns: the prefix's records once they changed, or the same after `waitMs`. */
export interface WatchResult {
  /** Store-wide revision to continue from. */
  readonly revision: number;
  readonly isChanged: boolean;
  readonly entries: readonly StoreEntry[];
}

/** The platform's services, behind one narrow interface. Every call ends by itself within its timeout. */
export interface PlatformClient {
  get(key: string): Promise<Result<StoreEntry | undefined, Failure>>;
  list(prefix: string): Promise<Result<readonly StoreEntry[], Failure>>;
  /** Writes when the key's version equals `expectedVersion` (0: absent); returns the new version. */
  cas(
    key: string,
    expectedVersion: number,
    value: string,
    opts: WriteOptions,
  ): Promise<Result<number, Failure>>;
  /** Deletes when the version matches. */
  remove(key: string, expectedVersion: number): Promise<Result<void, Failure>>;
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult, Failure>>;
  grantLease(ttlMs: number): Promise<Result<string, Failure>>;
  /** `leaseLapsed` when the lease is gone. */
  renewLease(leaseId: string): Promise<Result<void, Failure>>;
  releaseLease(leaseId: string): Promise<Result<void, Failure>>;
  listInstances(): Promise<Result<readonly Types.PlatformInstance[], Failure>>;
  /** Monotonic time in ms at which the last successful call was sent; undefined before the first. */
  getLastResponseAtMs(): number | undefined;
  /** True when the call that ended last got no answer. */
  isFailing(): boolean;
}

/** Handles one JSON-RPC method; what it returns is the result, a thrown error becomes an RPC error. */
export type RpcHandler = (
  params: unknown,
  from: Types.InstanceId,
) => Promise<unknown> | unknown;

/** Connections to the peers, and what they say of themselves. */
export interface PeerNet {
  readonly self: Types.InstanceId;
  readonly incarnation: string;
  /** All peers heard of since start, without this instance. */
  getMembers(): readonly Types.Member[];
  tryGetMember(id: Types.InstanceId): Types.Member | undefined;
  call<T>(
    id: Types.InstanceId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>>;
  /** Sends to every reachable peer without waiting. */
  notifyAll(method: string, params: unknown): void;
  /** Sends to those of the instances that are connected, without waiting. */
  notify(
    ids: readonly Types.InstanceId[],
    method: string,
    params: unknown,
  ): void;
  handle(method: string, fn: RpcHandler): void;
  /** Called after each heartbeat that arrives. */
  onHeartbeat(fn: (heartbeat: Types.Heartbeat) => void): void;
  /** Adds addresses to connect to; known ones are ignored. */
  addPeerAddresses(addresses: readonly Types.Address[]): void;
}

/** The configuration in force at this instance. */
export interface ConfigStore {
  getTable(): Types.Table | undefined;
  getKeysRecord(): {
    readonly revision: number;
    readonly record: Types.KeysRecord;
  };
  onTable(fn: (table: Types.Table) => void): void;
  onKeys(fn: (revision: number, record: Types.KeysRecord) => void): void;
}

/** Whether this instance can rely on hearing of withdrawals. */
export interface Freshness {
  /** False once there was no evidence of a current revision for the staleness limit. */
  isCurrent(): boolean;
  /** Age of the newest evidence in ms. */
  getAgeMs(): number;
}

/** Checks callers' keys. */
export interface Keys {
  /** Takes a record; returns false when its revision is not higher. Withdrawn digests are merged either way. */
  setRecord(revision: number, record: Types.KeysRecord): boolean;
  /** Adds withdrawn digests that arrived by push, before the record that names them. */
  addWithdrawn(digests: readonly string[]): void;
  /** Account and digest of a clear key. */
  authenticate(
    key: string | undefined,
  ): Result<
    { readonly account: Types.Account; readonly digest: string },
    Failure
  >;
  /** For queued requests and relayed ones: is the key behind the digest still good? */
  checkDigest(digest: string): Result<Types.Account, Failure>;
  isKnownKey(text: string): boolean;
}

/** Name of a conserved budget: `acct/<service>/<account>`, `cap/<service>/<region>`, `link/<service>/<region>/in|out`. */
export type BudgetKey = string;

/** What this instance holds of a budget. */
export interface BudgetAllocation {
  readonly tokens: number;
  /** Tokens per second. */
  readonly rate: number;
  readonly burst: number;
}

/** This instance's holdings of all budgets. Tokens are requests, or bytes for links. */
export interface Budgets {
  /** Takes from the own holding at once, or not at all. */
  tryAcquire(key: BudgetKey, tokens: number): boolean;
  /** Takes, borrowing from peers when the own holding is short; `waitMs` bounds the wait. */
  acquire(
    key: BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<Result<void, Failure>>;
  /**
   * Returns tokens of a request that did not run. `takenAtMs` (monotonic, read
   * after the take) makes the refund exact; without it, it may be less.
   */
  refund(key: BudgetKey, tokens: number, takenAtMs?: number): void;
  /**
   * Takes tokens anew that were taken at `takenAtMs` (monotonic, read after the
   * take) and not used yet: what the bucket would have lost as overflow in
   * between is not given again. False when they can't be had; they are lost then.
   */
  reacquire(key: BudgetKey, tokens: number, takenAtMs: number): boolean;
  getAllocation(key: BudgetKey): BudgetAllocation;
  /** True for some seconds after peers had no tokens to lend. */
  isScarce(key: BudgetKey): boolean;
  /** Milliseconds until `tokens` are there at the own rate; Infinity when never. */
  getWaitMs(key: BudgetKey, tokens: number): number;
  setTable(table: Types.Table): void;
  /** False while the right to spend is not confirmed (lease past its validity). */
  isValid(): boolean;
  getShards(): readonly number[];
}

/** Region choice by effective weights. */
export interface Steering {
  setTable(table: Types.Table): void;
  /** Regions to try in order for the next request; the first is the weighted choice. */
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
  /** The client disconnected. */
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

/** A place in the fair queue. */
export interface QueueEntry {
  readonly service: Types.Service;
  readonly account: Types.Account;
  /** Monotonic ms after which waiting is useless. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** Fair queue over client accounts, one per service. */
export interface FairQueue<T> {
  /** Waits until `tryStart` gives a value for this entry. Fails with queueFull when it cannot make its deadline. */
  wait(
    entry: QueueEntry,
    tryStart: () => T | undefined,
  ): Promise<Result<T, Failure>>;
  /** Looks whether waiting entries of the service can start. */
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
  /** The caller must run the request, then call exactly one method of `run`. */
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

/** Requests that broke targets. */
export interface Poison {
  isBlocked(fingerprint: string): boolean;
  /** A target's connection broke while it ran this request, which left at `sentAtMs` (monotonic; now when not given). */
  reportConnectionLoss(
    fingerprint: string,
    target: Types.TargetId,
    sentAtMs?: number,
  ): void;
  /**
   * Resolves when the connected instances know that the request is blocked, or
   * did not say so in time; at once when it is not blocked, and in fleets that
   * are no full mesh.
   */
  confirmBlock(fingerprint: string): Promise<void>;
  /** A target answered this request in full, with a status below 500. */
  reportResponse(fingerprint: string): void;
}

/** Retry budget per service: a share of the requests of the last seconds. */
export interface RetryBudget {
  recordRequest(service: Types.Service): void;
  /** Takes one retry; `part` of the budget, 0 to 1, is all that the request may use. */
  tryAcquireRetry(service: Types.Service, part?: number): boolean;
}

/** How a request ended, for metrics and the burn report. */
export interface RequestRecord {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly status: number;
  /** 0 when a target's answer was passed on. */
  readonly codeNumber: number;
  readonly outcome: Types.Outcome | "answered" | "cancelled";
  readonly latencyMs: number;
}

/** Counters and histograms of this instance. */
export interface Metrics {
  record(rec: RequestRecord): void;
  count(name: string, by?: number): void;
  gauge(name: string, value: number): void;
  /** Text in the Prometheus exposition format. */
  formatText(): string;
  /** Windows and histograms for `report.burn`; JSON-safe. */
  getBurnSnapshot(): unknown;
}
