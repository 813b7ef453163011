/** Checks callers' keys against the digests of the keys record. */
import * as Crypto from "node:crypto";
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

const DIGEST = /^[0-9a-f]{64}$/;

interface Entry {
  readonly account: Types.Account;
  readonly digest: Buffer;
}

/** SHA-256 of a clear key, lower-case hex. */
export function computeDigest(key: string): string {
  return Crypto.createHash("sha256").update(key).digest("hex");
}

function isKeyEntry(value: unknown): boolean {
  return Json.isObject(value) && typeof value.id === "string" &&
    isDigest(value.digest);
}

/** True for a lower-case hex SHA-256. */
export function isDigest(value: unknown): value is string {
  return typeof value === "string" && DIGEST.test(value);
}

/** Checks the shape of a keys record; storeError when malformed. */
export function parseRecord(
  raw: unknown,
): Result<Types.KeysRecord, ResultCodes.Failure> {
  const fail = (what: string) =>
    ResultCodes.fail("storeError", `keys record: ${what}`);
  if (!Json.isObject(raw)) return fail("not an object");
  const { writeId, accounts, withdrawn } = raw;
  if (typeof writeId !== "string") return fail("writeId");
  if (!Array.isArray(withdrawn) || !withdrawn.every(isDigest)) {
    return fail("withdrawn");
  }
  if (!Json.isObject(accounts)) return fail("accounts");
  for (const [account, entries] of Object.entries(accounts)) {
    const isGood = Array.isArray(entries) && entries.every(isKeyEntry);
    if (!isGood) return fail(`account ${account}`);
  }
  // Every field was checked above.
  return Ok(raw as unknown as Types.KeysRecord);
}

function indexEntries(record: Types.KeysRecord): ReadonlyMap<string, Entry> {
  const index = new Map<string, Entry>();
  for (const [account, entries] of Object.entries(record.accounts)) {
    for (const { digest } of entries) {
      if (index.has(digest)) continue;
      index.set(digest, { account, digest: Buffer.from(digest, "hex") });
    }
  }
  return index;
}

/** Creates the check; before the first record no key is known. */
export function createKeys(): Contracts.Keys {
  let revision = 0;
  let index: ReadonlyMap<string, Entry> = new Map();
  const withdrawn = new Set<string>();

  function addWithdrawn(digests: readonly string[]): void {
    for (const digest of digests) withdrawn.add(digest);
  }

  function check(
    digest: string,
  ): Result<Types.Account, ResultCodes.Failure> {
    if (withdrawn.has(digest)) return ResultCodes.fail("keyWithdrawn");
    const entry = index.get(digest);
    if (entry === undefined || !isDigest(digest)) {
      return ResultCodes.fail("keyUnknown");
    }
    // The index finds a candidate; equality is decided in constant time.
    const given = Buffer.from(digest, "hex");
    if (!Crypto.timingSafeEqual(given, entry.digest)) {
      return ResultCodes.fail("keyUnknown");
    }
    return Ok(entry.account);
  }

  return {
    setRecord(newRevision, record) {
      // A withdrawal holds whatever record it came with.
      addWithdrawn(record.withdrawn);
      if (newRevision <= revision) return false;
      revision = newRevision;
      index = indexEntries(record);
      return true;
    },
    addWithdrawn,
    authenticate(key) {
      if (key === undefined || key === "") {
        return ResultCodes.fail("keyMissing");
      }
      const digest = computeDigest(key);
      return check(digest).map((account) => ({ account, digest }));
    },
    checkDigest: check,
    isKnownKey(text) {
      const digest = computeDigest(text);
      return index.has(digest) || withdrawn.has(digest);
    },
  };
}
