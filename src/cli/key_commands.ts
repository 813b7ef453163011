/** `key issue` and `key list`. */
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
const MAX_RACES = 5;
const DIGEST_SHOWN_CHARS = 12;
const EMPTY: Types.KeysRecord = { writeId: "", accounts: {}, withdrawn: [] };

/** SHA-256 of a key in lower-case hex. */
export function getDigest(key: string): string {
  return Crypto.createHash("sha256").update(key).digest("hex");
}

/** A stored keys record. */
export interface StoredKeys {
  readonly revision: number;
  readonly record: Types.KeysRecord;
}

/**
 * Changes the keys record. After another write, or a lost answer, the change is
 * made again on the new record, because adding and withdrawing keys never
 * contradict each other. `change` returns undefined when the record has it.
 */
export async function updateKeys(
  platform: Contracts.PlatformClient,
  change: (record: Types.KeysRecord) => Types.KeysRecord | undefined,
): Promise<Result<StoredKeys, ResultCodes.Failure>> {
  let last: Result<never, ResultCodes.Failure> | undefined;
  for (let race = 0; race < MAX_RACES; race++) {
    const stored = await StoreRecords.readKeys(platform);
    if (stored.isErr()) return last ?? stored;
    const { revision, record = EMPTY } = stored.value;
    const changed = change(record);
    if (changed === undefined) return Ok({ revision, record });
    const next = { ...changed, writeId: Crypto.randomUUID() };
    const written = await StoreRecords.writeRecord(
      platform,
      "keys",
      revision,
      next,
    );
    if (written.isOk()) return Ok({ revision: written.value, record: next });
    const { storeConflict, storeWriteUnknown } = ResultCodes.codes;
    const isRace = written.error.code === storeConflict ||
      written.error.code === storeWriteUnknown;
    if (!isRace) return written;
    last = written;
  }
  return last!;
}

/** Issues a key to an account and shows it once. */
export async function issue(
  ctx: Context.Context,
  opts: { readonly account: string; readonly waitS: number },
): Context.Outcome {
  const { account } = opts;
  const isName = Columns.NAME_PATTERN.test(account) &&
    account !== Columns.PUBLIC_ACCOUNT;
  if (!isName) {
    const shown = JSON.stringify(account);
    const detail = `--account ${shown}: allowed: ${Columns.NAME_RULE}, ` +
      `not ${Columns.PUBLIC_ACCOUNT}`;
    return ResultCodes.fail("toolUsage", detail);
  }
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  await warnIfNoAccount(ctx, platform.value, account);
  const { id, key } = createKey(ctx.deps);
  const entry: Types.KeyEntry = { id, digest: getDigest(key) };
  const stored = await updateKeys(platform.value, (record) => {
    const entries = getEntries(record, account);
    if (entries.some((one) => one.digest === entry.digest)) return undefined;
    const accounts = { ...record.accounts, [account]: [...entries, entry] };
    return { ...record, accounts };
  });
  if (stored.isErr()) {
    ctx.out.note(`key ${id} is not shown, as it may not have been stored`);
    return stored;
  }
  const storedAtMs = ctx.deps.clock.nowMs();
  ctx.out.line(`account ${account}, key ${id}; it is shown only now:`);
  ctx.out.line(key);
  const arrivals = await Rollout.rollOut(ctx, {
    push: { key: "keys", ...stored.value },
    field: "keysRevision",
    revision: stored.value.revision,
    storedAtMs,
    waitMs: opts.waitS * 1000,
  });
  const { revision } = stored.value;
  ctx.out.json({ account, id, key, revision, instances: arrivals });
  return Ok(Rollout.getExit(arrivals));
}

/** The id in the key lets people name a key without showing it. */
function createKey(
  deps: Context.Deps,
): { readonly id: string; readonly key: string } {
  const id = Buffer.from(deps.randomBytes(ID_BYTES)).toString("hex");
  const secret = Buffer.from(deps.randomBytes(KEY_BYTES)).toString("base64url");
  return { id, key: `ar_${id}_${secret}` };
}

function getEntries(
  record: Types.KeysRecord,
  account: string,
): readonly Types.KeyEntry[] {
  // An account named like a member of Object.prototype must not find that member.
  return Object.hasOwn(record.accounts, account)
    ? record.accounts[account] ?? []
    : [];
}

async function warnIfNoAccount(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  account: string,
): Promise<void> {
  const stored = await StoreRecords.readTable(platform);
  if (stored.isErr()) return;
  const table = PlanText.tryParse(stored.value.record?.csv);
  if (table?.accounts.includes(account) === true) return;
  ctx.out.note(
    `the table has no account ${account} yet; its requests are refused until ` +
      `a table with rate:${account} and burst:${account} is applied`,
  );
}

/** Lists the keys' ids and the beginnings of their digests. */
export async function list(
  ctx: Context.Context,
  opts: { readonly account?: string },
): Context.Outcome {
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  const stored = await StoreRecords.readKeys(platform.value);
  if (stored.isErr()) return stored;
  const { revision, record = EMPTY } = stored.value;
  const keys = Object.entries(record.accounts)
    .filter(([name]) => opts.account === undefined || name === opts.account)
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
    const start = digest.slice(0, DIGEST_SHOWN_CHARS);
    ctx.out.line(`${account}  ${id}  digest ${start}…`);
  }
  ctx.out.json({ revision, keys, withdrawn: record.withdrawn });
  return Ok(Context.EXIT.ok);
}
