/** Authenticates callers by the digests of their keys in the keys record. */
import * as Crypto from "node:crypto";
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

interface IndexedKey {
  readonly account: Types.Account;
  readonly digest: Buffer;
}

/** SHA-256 of a key in plain text, as lower-case hex. */
export function computeDigest(key: string): string {
  return Crypto.createHash("sha256").update(key).digest("hex");
}

function isIssuedKey(value: unknown): boolean {
  return Json.isObject(value) && typeof value.id === "string" &&
    isDigest(value.digest);
}

/** True for a SHA-256 digest in lower-case hex. */
export function isDigest(value: unknown): value is string {
  return typeof value === "string" && DIGEST_PATTERN.test(value);
}

/** Validates a keys record; storeError when malformed. */
export function parseRecord(
  raw: unknown,
): Result<Types.KeysRecord, ResultCodes.Failure> {
  const failRecord = (fault: string) =>
    ResultCodes.fail("storeError", `keys record: ${fault}`);
  if (!Json.isObject(raw)) return failRecord("not an object");
  const { writeId, accounts, withdrawn } = raw;
  if (typeof writeId !== "string") return failRecord("writeId");
  if (!Array.isArray(withdrawn) || !withdrawn.every(isDigest)) {
    return failRecord("withdrawn");
  }
  if (!Json.isObject(accounts)) return failRecord("accounts");
  for (const [account, entries] of Object.entries(accounts)) {
    const isValid = Array.isArray(entries) && entries.every(isIssuedKey);
    if (!isValid) return failRecord(`account ${account}`);
  }
  // Every field was checked above.
  return Ok(raw as unknown as Types.KeysRecord);
}

function indexEntries(
  record: Types.KeysRecord,
): ReadonlyMap<string, IndexedKey> {
  const index = new Map<string, IndexedKey>();
  for (const [account, entries] of Object.entries(record.accounts)) {
    for (const { digest } of entries) {
      if (index.has(digest)) continue;
      index.set(digest, { account, digest: Buffer.from(digest, "hex") });
    }
  }
  return index;
}

/** Creates the key check; it knows no key before the first record. */
export function createKeys(): Contracts.Keys {
  let revision = 0;
  let index: ReadonlyMap<string, IndexedKey> = new Map();
  const withdrawn = new Set<string>();

  function addWithdrawn(digests: readonly string[]): void {
    for (const digest of digests) withdrawn.add(digest);
  }

  function checkDigest(
    digest: string,
  ): Result<Types.Account, ResultCodes.Failure> {
    if (withdrawn.has(digest)) return ResultCodes.fail("keyWithdrawn");
    const entry = index.get(digest);
    if (entry === undefined || !isDigest(digest)) {
      return ResultCodes.fail("keyUnknown");
    }
    // The index finds the entry; the comparison runs in constant time.
    const givenDigest = Buffer.from(digest, "hex");
    if (!Crypto.timingSafeEqual(givenDigest, entry.digest)) {
      return ResultCodes.fail("keyUnknown");
    }
    return Ok(entry.account);
  }

  return {
    setRecord(newRevision, record) {
      // Withdrawals apply even if the record's revision is not newer.
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
      return checkDigest(digest).map((account) => ({ account, digest }));
    },
    checkDigest,
    isKnownKey(text) {
      const digest = computeDigest(text);
      return index.has(digest) || withdrawn.has(digest);
    },
  };
}
