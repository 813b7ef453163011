/** Interfaces between the modules of the gateway. */
import type { Result } from "ts-results-es";
import type * as ResultCodes from "../result_codes.ts";
import type * as GatewayTypes from "./types.ts";

/** The platform's metadata store. Its promises never reject; each call ends within its timeout. */
export interface MetadataStore {
  /** Reads all items under a prefix and the revision from which a watch may continue. */
  readAll(
    prefix: string,
  ): Promise<Result<GatewayTypes.PrefixListing, ResultCodes.Failure>>;
  /** Reads all items under a prefix; they may be seconds old. Costs the store less than `readAll`. */
  readAllStale(prefix: string): Promise<
    Result<readonly GatewayTypes.StoreItem[], ResultCodes.Failure>
  >;
  /** Waits for changes under a prefix after `afterRevision`, for at most `waitMs`. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<GatewayTypes.WatchResponse, ResultCodes.Failure>>;
  /** Creates a key unless it exists; returns the stored value. */
  create(
    key: string,
    value: string,
  ): Promise<Result<string, ResultCodes.Failure>>;
  /** Writes a key under a lease, replacing any value; fails with `leaseLapsed` like `renewLease`. */
  put(
    key: string,
    value: string,
    leaseId: string,
  ): Promise<Result<void, ResultCodes.Failure>>;
  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): Promise<Result<string, ResultCodes.Failure>>;
  /** Renews a lease; fails with `leaseLapsed` when it has expired, or was lost in a restore of the store. */
  renewLease(leaseId: string): Promise<Result<void, ResultCodes.Failure>>;
  releaseLease(leaseId: string): Promise<Result<void, ResultCodes.Failure>>;
  /** Usage since the start. */
  getUsage(): StoreUsage;
  close(): Promise<void>;
}

/** This instance's calls to the store and the bytes received from it. */
export interface StoreUsage {
  readonly calls: number;
  readonly receivedBytes: number;
}

/** Decodes a store item into a state change, in the platform's format; undefined for items that don't concern the gateway. */
export type DecodeItem = (
  item: GatewayTypes.StoreItem,
) => GatewayTypes.StateChange | undefined;
