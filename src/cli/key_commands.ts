/** Implements `key issue` and `key list`. */
import * as Crypto from "node:crypto";
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Columns from "../table/columns.ts";
import type * as Types from "../types.ts";
import * as Context from "./context.ts";
import * as PlanText from "./plan_text.ts";
import * as Rollout from "./rollout.ts";
import * as StoreRecords from "./store_records.ts";

const KEY_BYTES = 32;
const ID_BYTES = 4;
const MAX_ATTEMPTS = 5;
const DIGEST_SHOWN_CHARS = 12;
const EMPTY_RECORD: Types.KeysRecord = {
  writeId: "",
  accounts: {},
  withdrawn: [],
};

/** Returns the SHA-256 digest of a key in lower-case hexadecimal. */
export function computeDigest(key: string): string {
  return Crypto.createHash("sha256").update(key).digest("hex");
}

/** The keys record in the store and its revision. */
export interface StoredKeys {
  readonly revision: number;
  readonly record: Types.KeysRecord;
}

/**
 * Changes the keys record in the store. After a conflicting write or a lost
 * response, the change is applied again to the newest record; this is safe
 * because adding and withdrawing keys never contradict each other. `change`
 * returns undefined when the record already has the change.
 */
export async function updateKeys(
  platform: Contracts.PlatformClient,
  change: (record: Types.KeysRecord) => Types.KeysRecord | undefined,
): Promise<Result<StoredKeys, ResultCodes.Failure>> {
  let lastFailure: Result<never, ResultCodes.Failure> | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const stored = await StoreRecords.readKeys(platform);
    if (stored.isErr()) return lastFailure ?? stored;
    const { revision, record = EMPTY_RECORD } = stored.value;
    const changedRecord = change(record);
    if (changedRecord === undefined) return Ok({ revision, record });
    const update = { ...changedRecord, writeId: Crypto.randomUUID() };
    const written = await StoreRecords.writeRecord(
      platform,
      "keys",
      revision,
      update,
    );
    if (written.isOk()) return Ok({ revision: written.value, record: update });
    const { storeConflict, storeWriteUnknown } = ResultCodes.codes;
    const isRetryable = written.error.code === storeConflict ||
      written.error.code === storeWriteUnknown;
    if (!isRetryable) return written;
    lastFailure = written;
  }
  return lastFailure!;
}

/** Issues a key to a client account and prints it, which is the only time that it is shown. */
export async function issue(
  ctx: Context.Context,
  opts: { readonly account: string; readonly waitS: number },
): Context.CommandResult {
  const { account } = opts;
  const isValidName = Columns.NAME_PATTERN.test(account) &&
    account !== Columns.PUBLIC_ACCOUNT;
  if (!isValidName) {
    const shownName = JSON.stringify(account);
    const detail = `--account ${shownName}: allowed: ${Columns.NAME_RULE}, ` +
      `not ${Columns.PUBLIC_ACCOUNT}`;
    return ResultCodes.fail("toolUsage", detail);
  }
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  await warnIfUnknownAccount(ctx, platform.value, account);
  const { id, key } = createKey(ctx.deps);
  const entry: Types.KeyEntry = { id, digest: computeDigest(key) };
  const stored = await updateKeys(platform.value, (record) => {
    const entries = getKeyEntries(record, account);
    if (entries.some((old) => old.digest === entry.digest)) return undefined;
    const accounts = { ...record.accounts, [account]: [...entries, entry] };
    return { ...record, accounts };
  });
  if (stored.isErr()) {
    ctx.out.notice(`key ${id} is not shown, as it may not have been stored`);
    return stored;
  }
  const storedAtMs = ctx.deps.clock.nowMs();
  ctx.out.line(`account ${account}, key ${id}; it is shown only now:`);
  ctx.out.line(key);
  const activations = await Rollout.rollOut(ctx, {
    push: { key: "keys", ...stored.value },
    revisionField: "keysRevision",
    revision: stored.value.revision,
    storedAtMs,
    waitMs: opts.waitS * 1000,
  });
  const { revision } = stored.value;
  ctx.out.json({ account, id, key, revision, instances: activations });
  return Ok(Rollout.getExitCode(activations));
}

/** Creates a key that contains its id, so that operators can name the key without showing it. */
function createKey(
  deps: Context.Deps,
): { readonly id: string; readonly key: string } {
  const id = Buffer.from(deps.randomBytes(ID_BYTES)).toString("hex");
  const secret = Buffer.from(deps.randomBytes(KEY_BYTES)).toString("base64url");
  return { id, key: `ar_${id}_${secret}` };
}

function getKeyEntries(
  record: Types.KeysRecord,
  account: string,
): readonly Types.KeyEntry[] {
  // An account may be named like a member of Object.prototype, such as `constructor`.
  return Object.hasOwn(record.accounts, account)
    ? record.accounts[account] ?? []
    : [];
}

async function warnIfUnknownAccount(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  account: string,
): Promise<void> {
  const stored = await StoreRecords.readTable(platform);
  if (stored.isErr()) return;
  const table = PlanText.tryParseTable(stored.value.record?.csv);
  if (table?.accounts.includes(account) === true) return;
  ctx.out.notice(
    `the table has no account ${account} yet; its requests are refused until ` +
      `a table with rate:${account} and burst:${account} is applied`,
  );
}

/** Lists the ids of issued keys and the start of each digest. */
export async function list(
  ctx: Context.Context,
  opts: { readonly account?: string },
): Context.CommandResult {
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  const stored = await StoreRecords.readKeys(platform.value);
  if (stored.isErr()) return stored;
  const { revision, record = EMPTY_RECORD } = stored.value;
  const keys = Object.entries(record.accounts)
    .filter(([account]) =>
      opts.account === undefined || account === opts.account
    )
    .flatMap(([account, entries]) =>
      entries
        .filter(({ digest }) => !record.withdrawn.includes(digest))
        .map(({ id, digest }) => ({ account, id, digest }))
    );
  ctx.out.line(
    `revision ${revision}: ${keys.length} ${
      keys.length === 1 ? "key" : "keys"
    } shown, ` +
      `${record.withdrawn.length} withdrawn in all`,
  );
  for (const { account, id, digest } of keys) {
    const digestStart = digest.slice(0, DIGEST_SHOWN_CHARS);
    ctx.out.line(`${account}  ${id}  digest ${digestStart}…`);
  }
  ctx.out.json({ revision, keys, withdrawn: record.withdrawn });
  return Ok(Context.EXIT.ok);
}
