/**
 * Messages and store records of the budgets, and functions that read them. Each
 * reader returns undefined for malformed input, so that it changes nothing.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Allocations from "./allocations.ts";

/** Method names on the peer network. */
export const METHODS = {
  relay: "lease.relay",
  confirm: "shards.confirm",
  transfer: "shards.handover",
  borrow: "budget.borrow",
} as const;

/** Returns the prefix of a domain's member records; an instance lists its local domain only. */
export function getMemberPrefix(domain: Types.Domain): string {
  return `members/${domain}/`;
}

/** Store record `members/<domain>/<instance>`, attached to the instance's lease. */
export interface MemberRecord {
  readonly incarnation: string;
  readonly domain: Types.Domain;
  readonly writeId: string;
}

/** Store record `shards/<domain>/<n>`; owner "" means released. */
export interface ShardRecord {
  readonly owner: Types.InstanceId;
  readonly incarnation: string;
  /** Grows by one with each change of holder or confirmation. */
  readonly epoch: number;
  readonly writeId: string;
}

/**
 * `lease.relay`: requests a renewal of the sender's lease; the id "" only checks
 * whether the receiver can reach the store.
 */
export interface RelayRequest {
  readonly leaseId: string;
}

/** Result of a relayed renewal. */
export interface RelayResponse {
  readonly kind: "renewed" | "lapsed" | "unreachable";
}

/** `shards.confirm`: queries which of these shards of the domain the receiver holds. */
export interface ConfirmRequest {
  readonly domain: Types.Domain;
  readonly shards: readonly number[];
}

/** The requested shards that the responding instance holds. */
export interface ConfirmResponse {
  readonly held: readonly number[];
  /** False when it may not spend them; it then resumes only after a confirmation. */
  readonly isValid: boolean;
  /** True when it would start to spend a shard that is transferred to it now. */
  readonly canReceive: boolean;
}

/** `shards.handover`: transfers the tokens of a shard whose store record names the receiver as holder. */
export interface TransferRequest {
  readonly domain: Types.Domain;
  readonly shard: number;
  /** Incarnation of the receiver that the record names. */
  readonly incarnation: string;
  readonly epoch: number;
  readonly version: number;
  readonly levels: Allocations.ShardLevels;
}

/** Tokens spent of one loan since it was granted. */
export interface SpentReport {
  readonly loanId: string;
  /** Total since the start of the loan, so that a repeated report changes nothing. */
  readonly tokens: number;
}

/** `budget.borrow`: requests up to `want` tokens; a useful fraction of them suffices. */
export interface BorrowRequest {
  readonly key: Contracts.BudgetKey;
  readonly want: number;
  /** Ms for which the borrower may spend them, at most `LOAN_MS`. */
  readonly loanMs: number;
  /** Unique among the borrower's loans; "" when the borrower will not report. */
  readonly loanId: string;
  /** Reports on earlier loans of this key from this lender. */
  readonly spent: readonly SpentReport[];
}

/** Tokens lent (`granted`), and tokens that could be lent beyond them (`left`). */
export interface BorrowResponse {
  readonly granted: number;
  readonly left: number;
  /** Tokens per second that the lender's callers do not use. */
  readonly spareRate: number;
}

type RawObject = Readonly<Record<string, unknown>>;

function tryAsObject(value: unknown): RawObject | undefined {
  return typeof value === "object" && value !== null
    ? (value as RawObject)
    : undefined;
}

/** True for a finite number of at least 0. */
function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isShardList(value: unknown): value is readonly number[] {
  return Array.isArray(value) && value.every((n) => Number.isInteger(n));
}

function tryParseJson(json: string): RawObject | undefined {
  try {
    return tryAsObject(JSON.parse(json));
  } catch {
    return undefined;
  }
}

/** Reads a member record. */
export function tryReadMember(json: string): MemberRecord | undefined {
  const raw = tryParseJson(json);
  const isValid = typeof raw?.incarnation === "string" &&
    typeof raw.domain === "string";
  return isValid ? (raw as unknown as MemberRecord) : undefined;
}

/** Reads a shard record. */
export function tryReadShard(json: string): ShardRecord | undefined {
  const raw = tryParseJson(json);
  const isValid = typeof raw?.owner === "string" &&
    typeof raw.incarnation === "string" && isAmount(raw.epoch);
  return isValid ? (raw as unknown as ShardRecord) : undefined;
}

/** Reads the request of `lease.relay`. */
export function tryReadRelay(params: unknown): RelayRequest | undefined {
  const raw = tryAsObject(params);
  return typeof raw?.leaseId === "string"
    ? (raw as unknown as RelayRequest)
    : undefined;
}

/** Reads the request of `shards.confirm`. */
export function tryReadConfirm(params: unknown): ConfirmRequest | undefined {
  const raw = tryAsObject(params);
  const isValid = typeof raw?.domain === "string" && isShardList(raw.shards);
  return isValid ? (raw as unknown as ConfirmRequest) : undefined;
}

/** Reads the response of `shards.confirm`. */
export function tryReadConfirmResponse(
  result: unknown,
): ConfirmResponse | undefined {
  const raw = tryAsObject(result);
  return isShardList(raw?.held)
    ? (raw as unknown as ConfirmResponse)
    : undefined;
}

/** Reads the request of `shards.handover`. */
export function tryReadTransfer(params: unknown): TransferRequest | undefined {
  const raw = tryAsObject(params);
  const isValid = typeof raw?.domain === "string" && isAmount(raw.shard) &&
    typeof raw.incarnation === "string" && isAmount(raw.epoch) &&
    isAmount(raw.version) &&
    areShardLevels(raw.levels);
  return isValid ? (raw as unknown as TransferRequest) : undefined;
}

function areShardLevels(value: unknown): boolean {
  const raw = tryAsObject(value);
  return raw !== undefined && Object.values(raw).every((entry) => {
    const keyLevel = tryAsObject(entry);
    return isAmount(keyLevel?.level) && isAmount(keyLevel.lent) &&
      isAmount(keyLevel.lentMs);
  });
}

function areSpentReports(value: unknown): boolean {
  return Array.isArray(value) && value.every((entry) => {
    const raw = tryAsObject(entry);
    return typeof raw?.loanId === "string" && isAmount(raw.tokens);
  });
}

/**
 * Reads the request of `budget.borrow`. Instances of an older version send
 * neither a loan id nor reports; their loans end only when their time expires.
 */
export function tryReadBorrow(params: unknown): BorrowRequest | undefined {
  const raw = tryAsObject(params);
  const isValid = typeof raw?.key === "string" && isAmount(raw.want) &&
    isAmount(raw.loanMs);
  if (!isValid) return undefined;
  const { loanId = "", spent = [] } = raw;
  if (typeof loanId !== "string" || !areSpentReports(spent)) return undefined;
  return { ...raw, loanId, spent } as unknown as BorrowRequest;
}

/** Reads the response of `budget.borrow`. */
export function tryReadBorrowResponse(
  result: unknown,
): BorrowResponse | undefined {
  const raw = tryAsObject(result);
  const isValid = isAmount(raw?.granted) && isAmount(raw.left) &&
    isAmount(raw.spareRate);
  return isValid ? (raw as unknown as BorrowResponse) : undefined;
}
