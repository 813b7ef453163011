/** The records in force. A lower revision never replaces a higher one. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Keys from "../keys/keys.ts";
import type * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Records from "./records.ts";

/** Parses the table's CSV; the failure names every wrong cell. */
export type ParseTable = (
  csv: string,
  revision: number,
) => Result<Types.Table, ResultCodes.Failure>;

/** What is in force, and how it changes. */
export interface Holder {
  getTable(): Types.Table | undefined;
  getKeys(): { readonly revision: number; readonly record: Types.KeysRecord };
  getRevision(key: Records.RecordKey): number;
  /** True for a revision above the one in force that was not rejected before. */
  isNeeded(key: Records.RecordKey, revision: number): boolean;
  /** The record for `config.get`; undefined before the first one. */
  tryGetVersioned(key: Records.RecordKey): Records.Versioned | undefined;
  /** True when the record was newer and is in force now. */
  apply(
    key: Records.RecordKey,
    versioned: Records.Versioned,
    source: string,
  ): Result<boolean, ResultCodes.Failure>;
  /** Digests that are withdrawn although the record in force does not say so. */
  getExtraWithdrawn(): readonly string[];
  /** Adds digests; true when one was new. */
  addWithdrawn(digests: readonly unknown[]): boolean;
  onTable(fn: (table: Types.Table) => void): void;
  onKeys(fn: (revision: number, record: Types.KeysRecord) => void): void;
}

const EMPTY_KEYS: Types.KeysRecord = {
  writeId: "",
  accounts: {},
  withdrawn: [],
};

/** Revisions that could not be applied; older ones are not offered any more. */
const MAX_REJECTED = 64;

function noteRejected(rejected: Set<number>, revision: number): void {
  rejected.add(revision);
  const [oldest] = rejected;
  if (rejected.size > MAX_REJECTED && oldest !== undefined) {
    rejected.delete(oldest);
  }
}

/** Creates a holder without records. */
export function createHolder(args: {
  readonly parseTable: ParseTable;
  readonly keys: Contracts.Keys;
  readonly log: Log.Logger;
}): Holder {
  const { log } = args;
  const rejected = { table: new Set<number>(), keys: new Set<number>() };
  const tableListeners: ((table: Types.Table) => void)[] = [];
  const keysListeners:
    ((revision: number, record: Types.KeysRecord) => void)[] = [];
  const withdrawn = new Set<string>();
  let tableRecord: Types.TableRecord | undefined;
  let table: Types.Table | undefined;
  let keysRevision = 0;
  let stored = EMPTY_KEYS;
  /** The stored record with all digests known to be withdrawn. */
  let merged = EMPTY_KEYS;
  let extra: readonly string[] = [];

  /** A listener that throws must not keep the others from the change. */
  function notifyListener(what: string, fn: () => void): void {
    try {
      fn();
    } catch (err) {
      log.error("config-listener-failed", { what, err: String(err) });
    }
  }

  function getRevision(key: Records.RecordKey): number {
    return key === "table" ? table?.revision ?? 0 : keysRevision;
  }

  function reject(
    key: Records.RecordKey,
    revision: number,
    source: string,
    failure: ResultCodes.Failure,
  ) {
    // The same record comes again from the store and from each peer.
    if (!rejected[key].has(revision)) {
      const err = ResultCodes.formatFailure(failure);
      log.error("config-rejected", { key, revision, source, err });
      noteRejected(rejected[key], revision);
    }
    return ResultCodes.fail("storeError", `${key}: ${failure.detail}`);
  }

  function applyTable(
    { revision, record }: Records.Versioned,
    source: string,
  ): Result<boolean, ResultCodes.Failure> {
    if (revision <= (table?.revision ?? 0)) return Ok(false);
    const parsed = Records.parseTableRecord(record).andThen((one) => {
      return args.parseTable(one.csv, revision).map((made) => ({ one, made }));
    });
    if (parsed.isErr()) return reject("table", revision, source, parsed.error);
    const { one, made } = parsed.value;
    tableRecord = one;
    table = made;
    log.info("table-applied", { revision, source });
    for (const fn of tableListeners) notifyListener("table", () => fn(made));
    return Ok(true);
  }

  function mergeKeys(): void {
    const known = new Set(stored.withdrawn);
    extra = [...withdrawn].filter((digest) => !known.has(digest));
    merged = { ...stored, withdrawn: [...stored.withdrawn, ...extra] };
    for (const fn of keysListeners) {
      notifyListener("keys", () => fn(keysRevision, merged));
    }
  }

  function applyKeys(
    { revision, record }: Records.Versioned,
    source: string,
  ): Result<boolean, ResultCodes.Failure> {
    const parsed = Keys.parseRecord(record);
    if (parsed.isErr()) return reject("keys", revision, source, parsed.error);
    const next = parsed.value;
    args.keys.setRecord(revision, next);
    const before = withdrawn.size;
    next.withdrawn.forEach((digest) => withdrawn.add(digest));
    const isNewer = revision > keysRevision;
    if (isNewer) {
      keysRevision = revision;
      stored = next;
      log.info("keys-applied", { revision, source });
    }
    if (isNewer || withdrawn.size > before) mergeKeys();
    return Ok(isNewer);
  }

  return {
    getTable: () => table,
    getKeys: () => ({ revision: keysRevision, record: merged }),
    getRevision,
    isNeeded: (key, revision) =>
      revision > getRevision(key) && !rejected[key].has(revision),
    tryGetVersioned(key) {
      if (key === "table") {
        if (table === undefined) return undefined;
        return { revision: table.revision, record: tableRecord };
      }
      if (keysRevision === 0 && extra.length === 0) return undefined;
      return { revision: keysRevision, record: merged };
    },
    apply(key, versioned, source) {
      return key === "table"
        ? applyTable(versioned, source)
        : applyKeys(versioned, source);
    },
    getExtraWithdrawn: () => extra,
    addWithdrawn(digests) {
      const before = withdrawn.size;
      const good = digests.filter(Keys.isDigest);
      good.forEach((digest) => withdrawn.add(digest));
      if (withdrawn.size === before) return false;
      args.keys.addWithdrawn(good);
      mergeKeys();
      return true;
    },
    onTable: (fn) => void tableListeners.push(fn),
    onKeys: (fn) => void keysListeners.push(fn),
  };
}
