/**
 * Messages and store records of the budgets, and their readers. A reader gives
 * undefined for anything malformed, so that a broken message changes nothing.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Allocations from "./allocations.ts";

/** Method names on the peer network. */
export const METHODS = {
  relay: "lease.relay",
  confirm: "shards.confirm",
  handOver: "shards.handover",
  borrow: "budget.borrow",
} as const;

/** Prefix of a domain's member records: an instance lists its own domain only. */
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

/** `lease.relay`: renew this lease for me; "" only asks whether the store is reached. */
export interface RelayRequest {
  readonly leaseId: string;
}

/** What became of a relayed renewal. */
export interface RelayAnswer {
  readonly kind: "renewed" | "lapsed" | "unreachable";
}

/** `shards.confirm`: which of these shards of the domain do you hold? */
export interface ConfirmRequest {
  readonly domain: Types.Domain;
  readonly shards: readonly number[];
}

/** The shards of the request that the answering instance holds. */
export interface ConfirmAnswer {
  readonly held: readonly number[];
  /** False when it may not spend them; it then resumes only after a confirmation. */
  readonly isValid: boolean;
  /** True when it would start to spend a shard that is handed to it now. */
  readonly canReceive: boolean;
}

/** `shards.handover`: the store names you as holder; here is the content. */
export interface HandOverRequest {
  readonly domain: Types.Domain;
  readonly shard: number;
  /** Incarnation of the receiver that the record names. */
  readonly incarnation: string;
  readonly epoch: number;
  readonly version: number;
  readonly levels: Allocations.ShardLevels;
}

/** What was spent of one loan since it was granted. */
export interface SpentReport {
  readonly loanId: string;
  /** Sum since the start of the loan, so that a repeated report changes nothing. */
  readonly tokens: number;
}

/** `budget.borrow`: up to `want` tokens, at least any useful part. */
export interface BorrowRequest {
  readonly key: Contracts.BudgetKey;
  readonly want: number;
  /** Ms for which the borrower may spend them, at most `LOAN_MS`. */
  readonly loanMs: number;
  /** Unique among the borrower's loans; "" when it will not report. */
  readonly loanId: string;
  /** Earlier loans of this key from this lender. */
  readonly spent: readonly SpentReport[];
}

/** Tokens lent, and what could be lent beyond them. */
export interface BorrowAnswer {
  readonly granted: number;
  readonly left: number;
  /** Tokens per second that the lender's own callers do not use. */
  readonly spareRate: number;
}

type Raw = Readonly<Record<string, unknown>>;

function asRaw(value: unknown): Raw | undefined {
  return typeof value === "object" && value !== null
    ? (value as Raw)
    : undefined;
}

function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isShardList(value: unknown): value is readonly number[] {
  return Array.isArray(value) && value.every((n) => Number.isInteger(n));
}

function tryParseJson(text: string): Raw | undefined {
  try {
    return asRaw(JSON.parse(text));
  } catch {
    return undefined;
  }
}

/** Reads a member record. */
export function tryReadMember(text: string): MemberRecord | undefined {
  const raw = tryParseJson(text);
  const isGood = typeof raw?.incarnation === "string" &&
    typeof raw.domain === "string";
  return isGood ? (raw as unknown as MemberRecord) : undefined;
}

/** Reads a shard record. */
export function tryReadShard(text: string): ShardRecord | undefined {
  const raw = tryParseJson(text);
  const isGood = typeof raw?.owner === "string" &&
    typeof raw.incarnation === "string" && isAmount(raw.epoch);
  return isGood ? (raw as unknown as ShardRecord) : undefined;
}

/** Reads the request of `lease.relay`. */
export function tryReadRelay(params: unknown): RelayRequest | undefined {
  const raw = asRaw(params);
  return typeof raw?.leaseId === "string"
    ? (raw as unknown as RelayRequest)
    : undefined;
}

/** Reads the request of `shards.confirm`. */
export function tryReadConfirm(params: unknown): ConfirmRequest | undefined {
  const raw = asRaw(params);
  const isGood = typeof raw?.domain === "string" && isShardList(raw.shards);
  return isGood ? (raw as unknown as ConfirmRequest) : undefined;
}

/** Reads the answer of `shards.confirm`. */
export function tryReadConfirmAnswer(
  result: unknown,
): ConfirmAnswer | undefined {
  const raw = asRaw(result);
  return isShardList(raw?.held) ? (raw as unknown as ConfirmAnswer) : undefined;
}

/** Reads the request of `shards.handover`. */
export function tryReadHandOver(params: unknown): HandOverRequest | undefined {
  const raw = asRaw(params);
  const isGood = typeof raw?.domain === "string" && isAmount(raw.shard) &&
    typeof raw.incarnation === "string" && isAmount(raw.epoch) &&
    isAmount(raw.version) &&
    areLevels(raw.levels);
  return isGood ? (raw as unknown as HandOverRequest) : undefined;
}

function areLevels(value: unknown): boolean {
  const raw = asRaw(value);
  return raw !== undefined && Object.values(raw).every((item) => {
    const part = asRaw(item);
    return isAmount(part?.level) && isAmount(part.lent) &&
      isAmount(part.lentMs);
  });
}

function isSpentList(value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => {
    const raw = asRaw(item);
    return typeof raw?.loanId === "string" && isAmount(raw.tokens);
  });
}

/**
 * Reads the request of `budget.borrow`. Instances of an older version send
 * neither a loan id nor reports; their loans end by time only.
 */
export function tryReadBorrow(params: unknown): BorrowRequest | undefined {
  const raw = asRaw(params);
  const isGood = typeof raw?.key === "string" && isAmount(raw.want) &&
    isAmount(raw.loanMs);
  if (!isGood) return undefined;
  const { loanId = "", spent = [] } = raw;
  if (typeof loanId !== "string" || !isSpentList(spent)) return undefined;
  return { ...raw, loanId, spent } as unknown as BorrowRequest;
}

/** Reads the answer of `budget.borrow`. */
export function tryReadBorrowAnswer(result: unknown): BorrowAnswer | undefined {
  const raw = asRaw(result);
  const isGood = isAmount(raw?.granted) && isAmount(raw.left) &&
    isAmount(raw.spareRate);
  return isGood ? (raw as unknown as BorrowAnswer) : undefined;
}
