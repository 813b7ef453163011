/** The configuration records in force. A lower revision never replaces a higher revision. */
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

/** Holds the table and the keys in force, applies new records and notifies listeners. */
export interface ActiveRecords {
  getTable(): Types.Table | undefined;
  getKeys(): { readonly revision: number; readonly record: Types.KeysRecord };
  getRevision(key: Records.RecordKey): number;
  /** True when the revision is higher than the one in force and was not rejected before. */
  isNeeded(key: Records.RecordKey, revision: number): boolean;
  /** The record that `config.get` returns; undefined before the first record. */
  tryGetVersioned(key: Records.RecordKey): Records.VersionedRecord | undefined;
  /** Applies a record if it is newer; true when it is in force now. storeError when malformed. */
  apply(
    key: Records.RecordKey,
    versionedRecord: Records.VersionedRecord,
    source: string,
  ): Result<boolean, ResultCodes.Failure>;
  /** Digests of withdrawn keys that the stored keys record does not list. */
  getUnstoredWithdrawn(): readonly string[];
  /** Adds digests of withdrawn keys and ignores malformed ones; true when any was new. */
  addWithdrawn(digests: readonly unknown[]): boolean;
  onTable(fn: (table: Types.Table) => void): void;
  onKeys(fn: (revision: number, record: Types.KeysRecord) => void): void;
}

const EMPTY_KEYS_RECORD: Types.KeysRecord = {
  writeId: "",
  accounts: {},
  withdrawn: [],
};

/** Limit of remembered rejected revisions per record; peers no longer offer older revisions. */
const MAX_REJECTED = 64;

function recordRejected(rejected: Set<number>, revision: number): void {
  rejected.add(revision);
  const [oldest] = rejected;
  if (rejected.size > MAX_REJECTED && oldest !== undefined) {
    rejected.delete(oldest);
  }
}

/** Creates the holder of the records in force, at first without records. */
export function createActiveRecords(args: {
  readonly parseTable: ParseTable;
  readonly keys: Contracts.Keys;
  readonly log: Log.Logger;
}): ActiveRecords {
  const { log } = args;
  const rejected = { table: new Set<number>(), keys: new Set<number>() };
  const tableListeners: ((table: Types.Table) => void)[] = [];
  const keysListeners:
    ((revision: number, record: Types.KeysRecord) => void)[] = [];
  const withdrawn = new Set<string>();
  let tableRecord: Types.TableRecord | undefined;
  let table: Types.Table | undefined;
  let keysRevision = 0;
  let storedKeys = EMPTY_KEYS_RECORD;
  /** The stored record with the digests of all keys that are known to be withdrawn. */
  let mergedKeys = EMPTY_KEYS_RECORD;
  let unstoredDigests: readonly string[] = [];

  /** Calls a listener; an exception is logged, so that the other listeners are still notified. */
  function notify(recordName: string, fn: () => void): void {
    try {
      fn();
    } catch (err) {
      log.error("config-listener-failed", {
        what: recordName,
        err: String(err),
      });
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
    // The same record also arrives from the store and from each peer; it is logged once.
    if (!rejected[key].has(revision)) {
      const err = ResultCodes.formatFailure(failure);
      log.error("config-rejected", { key, revision, source, err });
      recordRejected(rejected[key], revision);
    }
    return ResultCodes.fail("storeError", `${key}: ${failure.detail}`);
  }

  function applyTable(
    { revision, record }: Records.VersionedRecord,
    source: string,
  ): Result<boolean, ResultCodes.Failure> {
    if (revision <= (table?.revision ?? 0)) return Ok(false);
    const parsed = Records.parseTableRecord(record).andThen((newRecord) => {
      return args.parseTable(newRecord.csv, revision).map((newTable) => ({
        newRecord,
        newTable,
      }));
    });
    if (parsed.isErr()) return reject("table", revision, source, parsed.error);
    const { newRecord, newTable } = parsed.value;
    tableRecord = newRecord;
    table = newTable;
    log.info("table-applied", { revision, source });
    for (const fn of tableListeners) notify("table", () => fn(newTable));
    return Ok(true);
  }

  function mergeKeys(): void {
    const storedDigests = new Set(storedKeys.withdrawn);
    unstoredDigests = [...withdrawn].filter((digest) =>
      !storedDigests.has(digest)
    );
    mergedKeys = {
      ...storedKeys,
      withdrawn: [...storedKeys.withdrawn, ...unstoredDigests],
    };
    for (const fn of keysListeners) {
      notify("keys", () => fn(keysRevision, mergedKeys));
    }
  }

  function applyKeys(
    { revision, record }: Records.VersionedRecord,
    source: string,
  ): Result<boolean, ResultCodes.Failure> {
    const parsed = Keys.parseRecord(record);
    if (parsed.isErr()) return reject("keys", revision, source, parsed.error);
    const newKeys = parsed.value;
    args.keys.setRecord(revision, newKeys);
    const sizeBefore = withdrawn.size;
    newKeys.withdrawn.forEach((digest) => withdrawn.add(digest));
    const isNewer = revision > keysRevision;
    if (isNewer) {
      keysRevision = revision;
      storedKeys = newKeys;
      log.info("keys-applied", { revision, source });
    }
    if (isNewer || withdrawn.size > sizeBefore) mergeKeys();
    return Ok(isNewer);
  }

  return {
    getTable: () => table,
    getKeys: () => ({ revision: keysRevision, record: mergedKeys }),
    getRevision,
    isNeeded: (key, revision) =>
      revision > getRevision(key) && !rejected[key].has(revision),
    tryGetVersioned(key) {
      if (key === "table") {
        if (table === undefined) return undefined;
        return { revision: table.revision, record: tableRecord };
      }
      if (keysRevision === 0 && unstoredDigests.length === 0) return undefined;
      return { revision: keysRevision, record: mergedKeys };
    },
    apply(key, versionedRecord, source) {
      return key === "table"
        ? applyTable(versionedRecord, source)
        : applyKeys(versionedRecord, source);
    },
    getUnstoredWithdrawn: () => unstoredDigests,
    addWithdrawn(digests) {
      const sizeBefore = withdrawn.size;
      const validDigests = digests.filter(Keys.isDigest);
      validDigests.forEach((digest) => withdrawn.add(digest));
      if (withdrawn.size === sizeBefore) return false;
      args.keys.addWithdrawn(validDigests);
      mergeKeys();
      return true;
    },
    onTable: (fn) => void tableListeners.push(fn),
    onKeys: (fn) => void keysListeners.push(fn),
  };
}
