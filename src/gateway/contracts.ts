/** Interfaces between the modules of the gateway. */
import type { Result } from "ts-results-es";
import type * as ResultCodes from "../result_codes.ts";
import type * as GatewayTypes from "./types.ts";

/** The platform's store as the gateway uses it. No call rejects; each ends within its time-out. */
export interface MetadataStore {
  /** All items under a prefix and the revision from which a watch may continue. */
  readAll(prefix: string): Promise<
    Result<
      {
        readonly items: readonly GatewayTypes.StoreItem[];
        readonly revision: number;
      },
      ResultCodes.Failure
    >
  >;
  /** The same for data that may be seconds old; costs the store less. */
  readAllStale(prefix: string): Promise<
    Result<readonly GatewayTypes.StoreItem[], ResultCodes.Failure>
  >;
  /** Waits for changes under a prefix, `waitMs` at most. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<GatewayTypes.WatchResponse, ResultCodes.Failure>>;
  /** Creates a key unless it exists; returns the value in force. */
  create(
    key: string,
    value: string,
  ): Promise<Result<string, ResultCodes.Failure>>;
  /** Writes a key whatever it holds, under a lease; `leaseLapsed` when the lease is gone. */
  put(
    key: string,
    value: string,
    leaseId: string,
  ): Promise<Result<void, ResultCodes.Failure>>;
  grantLease(ttlMs: number): Promise<Result<string, ResultCodes.Failure>>;
  /** `leaseLapsed` when the lease is gone. */
  renewLease(leaseId: string): Promise<Result<void, ResultCodes.Failure>>;
  releaseLease(leaseId: string): Promise<Result<void, ResultCodes.Failure>>;
  /** Since the start. */
  getUsage(): StoreUsage;
  close(): Promise<void>;
}

/** What this instance asks of the store. */
export interface StoreUsage {
  readonly calls: number;
  readonly receivedBytes: number;
}

/** Turns the store's items into changes; the platform knows how. */
export type DecodeItem = (
  item: GatewayTypes.StoreItem,
) => GatewayTypes.StateChange | undefined;
