/** `key withdraw`: pushes to every reachable instance and writes the store's record. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";
import * as KeyCommands from "./key_commands.ts";
import type * as Rollout from "./rollout.ts";
import * as StoreRecords from "./store_records.ts";

/** Which key; exactly one is given. */
export interface WithdrawOptions {
  readonly id?: string;
  readonly digest?: string;
  /** File with the key in clear, for a key that leaked and whose id is not known. */
  readonly keyFile?: string;
}

const DIGEST = /^[0-9a-f]{64}$/;

interface Confirmation {
  readonly id: string;
  readonly isConfirmed: boolean;
  readonly afterMs: number;
  readonly reason: string | undefined;
}

/** Withdraws a key. The push does not wait for the store, nor the store for the push. */
export async function withdraw(
  ctx: Context.Context,
  opts: WithdrawOptions,
): Context.Outcome {
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  const digest = await findDigest(ctx, platform.value, opts);
  if (digest.isErr()) return digest;
  const [stored, pushed] = await Promise.all([
    writeStore(platform.value, digest.value),
    push(ctx, { key: "keys", revision: 0, withdrawn: [digest.value] }),
  ]);
  return Ok(report(ctx, digest.value, stored, pushed));
}

function writeStore(
  platform: Contracts.PlatformClient,
  digest: string,
): Promise<Result<KeyCommands.StoredKeys, ResultCodes.Failure>> {
  return KeyCommands.updateKeys(platform, (record) => {
    if (record.withdrawn.includes(digest)) return undefined;
    const accounts = Object.entries(record.accounts).map(([account, keys]) => [
      account,
      keys.filter((key) => key.digest !== digest),
    ]);
    return {
      ...record,
      accounts: Object.fromEntries(accounts),
      withdrawn: [...record.withdrawn, digest],
    };
  });
}

async function push(
  ctx: Context.Context,
  params: Rollout.ConfigPush,
): Promise<Result<readonly Confirmation[], ResultCodes.Failure>> {
  // Instances pass withdrawn digests on, so one given peer that answers is
  // enough to start, while another may keep the discovery waiting.
  const { peers, secret, timeoutMs } = ctx.settings;
  for (const address of secret === undefined ? [] : peers) {
    void ctx.getPeer(address).call("config.push", params, timeoutMs);
  }
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const answers = await Fleet.callAll(ctx, fleet.value, "config.push", params);
  return Ok(
    answers.filter((one) => !Fleet.hasLeft(one)).map((one) => ({
      id: one.instance.id,
      isConfirmed: one.result.isOk(),
      afterMs: one.tookMs,
      reason: one.result.isErr()
        ? ResultCodes.formatFailure(one.result.error)
        : undefined,
    })),
  );
}

function report(
  ctx: Context.Context,
  digest: string,
  stored: Result<KeyCommands.StoredKeys, ResultCodes.Failure>,
  pushed: Result<readonly Confirmation[], ResultCodes.Failure>,
): Context.ExitCode {
  const confirmations = pushed.isOk() ? pushed.value : [];
  const { out } = ctx;
  for (const { id, isConfirmed, afterMs, reason } of confirmations) {
    const line = isConfirmed
      ? `${id}: refuses the key; confirmed after ${
        (afterMs / 1000).toFixed(1)
      } s`
      : `${id}: NOT CONFIRMED: ${reason}`;
    out.line(line);
  }
  if (pushed.isErr()) {
    const reason = ResultCodes.formatFailure(pushed.error);
    out.line(`no instance was told directly: ${reason}`);
  }
  if (stored.isOk()) {
    out.line(`stored as revision ${stored.value.revision} of the keys`);
  } else {
    out.line(
      `NOT STORED: ${ResultCodes.formatFailure(stored.error)}\n` +
        `an instance that starts before this is stored accepts the key; ` +
        `when the store is back, run:\n` +
        `  anvilroutectl key withdraw --digest ${digest}`,
    );
  }
  out.json({
    digest,
    isStored: stored.isOk(),
    revision: stored.isOk() ? stored.value.revision : undefined,
    instances: confirmations,
  });
  const isWhole = stored.isOk() && pushed.isOk() &&
    confirmations.every((one) => one.isConfirmed);
  if (isWhole) return Context.EXIT.ok;
  const isNothing = stored.isErr() &&
    !confirmations.some((one) => one.isConfirmed);
  return isNothing ? Context.EXIT.unreachable : Context.EXIT.partial;
}

async function findDigest(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  opts: WithdrawOptions,
): Promise<Result<string, ResultCodes.Failure>> {
  const given = [opts.id, opts.digest, opts.keyFile]
    .filter((one) => one !== undefined);
  if (given.length !== 1) {
    const detail = "give one of ID, --digest HEX or --key-file FILE";
    return ResultCodes.fail("toolUsage", detail);
  }
  if (opts.digest !== undefined) {
    if (DIGEST.test(opts.digest)) return Ok(opts.digest);
    const detail = "--digest takes 64 lower-case hexadecimal digits";
    return ResultCodes.fail("toolUsage", detail);
  }
  if (opts.keyFile !== undefined) {
    return ctx.deps.files.read(opts.keyFile)
      .map((text) => KeyCommands.getDigest(text.trim()));
  }
  const { id } = opts;
  const found = await tryFirst([
    findInStore(platform, id),
    ...ctx.settings.peers.map((address) => findAtPeer(ctx, address, id)),
  ]);
  if (found !== undefined) return Ok(found);
  const detail = `no key with the id ${JSON.stringify(id)} was found in the ` +
    `store or at the given peers; a withdrawn key is no longer listed`;
  return ResultCodes.fail("toolUsage", detail);
}

/** The first value that is there; undefined when all are done without one. */
function tryFirst<T>(
  sources: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const settled = sources.map((source) =>
      source.then((value) => {
        if (value !== undefined) resolve(value);
      })
    );
    void Promise.all(settled).then(() => resolve(undefined));
  });
}

function tryGetDigest(
  record: Types.KeysRecord | undefined,
  id: string | undefined,
): string | undefined {
  return Object.values(record?.accounts ?? {}).flat()
    .find((key) => key.id === id)?.digest;
}

async function findInStore(
  platform: Contracts.PlatformClient,
  id: string | undefined,
): Promise<string | undefined> {
  const stored = await StoreRecords.readKeys(platform);
  return stored.isOk() ? tryGetDigest(stored.value.record, id) : undefined;
}

/** Instances have the record too; the store may be down or slow to say so. */
async function findAtPeer(
  ctx: Context.Context,
  address: Types.Address,
  id: string | undefined,
): Promise<string | undefined> {
  if (ctx.settings.secret === undefined) return undefined;
  const answer = await ctx.getPeer(address)
    .call<{ readonly record?: unknown } | undefined>(
      "config.get",
      { key: "keys" },
      ctx.settings.timeoutMs,
    );
  const record = answer.isOk() ? answer.value?.record : undefined;
  return StoreRecords.isReadableKeys(record)
    ? tryGetDigest(record, id)
    : undefined;
}
