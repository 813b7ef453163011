/** Implements `key withdraw`: notifies every reachable instance and updates the record in the store. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";
import * as KeyCommands from "./key_commands.ts";
import type * as Rollout from "./rollout.ts";
import * as StoreRecords from "./store_records.ts";

/** Selects the key to withdraw; exactly one option must be set. */
export interface WithdrawOptions {
  readonly id?: string;
  readonly digest?: string;
  /** File with the plain key, for a leaked key whose id is unknown. */
  readonly keyFile?: string;
}

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

interface Confirmation {
  readonly id: string;
  readonly isConfirmed: boolean;
  readonly afterMs: number;
  readonly reason: string | undefined;
}

/** Withdraws a key. The instances are notified and the store is updated concurrently, as either may be unreachable. */
export async function withdraw(
  ctx: Context.Context,
  opts: WithdrawOptions,
): Context.CommandResult {
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  const digest = await findDigest(ctx, platform.value, opts);
  if (digest.isErr()) return digest;
  const [stored, pushed] = await Promise.all([
    writeToStore(platform.value, digest.value),
    pushToInstances(ctx, {
      key: "keys",
      revision: 0,
      withdrawn: [digest.value],
    }),
  ]);
  return Ok(printResult(ctx, digest.value, stored, pushed));
}

function writeToStore(
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

async function pushToInstances(
  ctx: Context.Context,
  params: Rollout.ConfigPush,
): Promise<Result<readonly Confirmation[], ResultCodes.Failure>> {
  // Notifies the configured peers before the discovery, which an unresponsive
  // peer may delay. One peer that responds is enough to start the withdrawal,
  // as instances forward withdrawn digests to each other.
  const { peers, secret, timeoutMs } = ctx.settings;
  for (const address of secret === undefined ? [] : peers) {
    void ctx.getPeer(address).call("config.push", params, timeoutMs);
  }
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const responses = await Fleet.callAll(
    ctx,
    fleet.value,
    "config.push",
    params,
  );
  return Ok(
    responses.filter((res) => !Fleet.hasShutDown(res)).map((res) => ({
      id: res.instance.id,
      isConfirmed: res.result.isOk(),
      afterMs: res.elapsedMs,
      reason: res.result.isErr()
        ? ResultCodes.formatFailure(res.result.error)
        : undefined,
    })),
  );
}

function printResult(
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
  const isComplete = stored.isOk() && pushed.isOk() &&
    confirmations.every((confirmation) => confirmation.isConfirmed);
  if (isComplete) return Context.EXIT.ok;
  const hasNoEffect = stored.isErr() &&
    !confirmations.some((confirmation) => confirmation.isConfirmed);
  return hasNoEffect ? Context.EXIT.unreachable : Context.EXIT.partial;
}

async function findDigest(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  opts: WithdrawOptions,
): Promise<Result<string, ResultCodes.Failure>> {
  const selectors = [opts.id, opts.digest, opts.keyFile]
    .filter((selector) => selector !== undefined);
  if (selectors.length !== 1) {
    const detail = "give one of ID, --digest HEX or --key-file FILE";
    return ResultCodes.fail("toolUsage", detail);
  }
  if (opts.digest !== undefined) {
    if (DIGEST_PATTERN.test(opts.digest)) return Ok(opts.digest);
    const detail = "--digest takes 64 lower-case hexadecimal digits";
    return ResultCodes.fail("toolUsage", detail);
  }
  if (opts.keyFile !== undefined) {
    return ctx.deps.files.read(opts.keyFile)
      .map((key) => KeyCommands.computeDigest(key.trim()));
  }
  const { id } = opts;
  const digest = await tryGetFirst([
    tryFindInStore(platform, id),
    ...ctx.settings.peers.map((address) => tryFindAtPeer(ctx, address, id)),
  ]);
  if (digest !== undefined) return Ok(digest);
  const detail = `no key with the id ${JSON.stringify(id)} was found in the ` +
    `store or at the given peers; a withdrawn key is no longer listed`;
  return ResultCodes.fail("toolUsage", detail);
}

/** Resolves to the first defined value; undefined when all sources resolve to undefined. */
function tryGetFirst<T>(
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

async function tryFindInStore(
  platform: Contracts.PlatformClient,
  id: string | undefined,
): Promise<string | undefined> {
  const stored = await StoreRecords.readKeys(platform);
  return stored.isOk() ? tryGetDigest(stored.value.record, id) : undefined;
}

/** Looks the key up at an instance, which holds a copy of the record; the store may be slow or unreachable. */
async function tryFindAtPeer(
  ctx: Context.Context,
  address: Types.Address,
  id: string | undefined,
): Promise<string | undefined> {
  if (ctx.settings.secret === undefined) return undefined;
  const response = await ctx.getPeer(address)
    .call<{ readonly record?: unknown } | undefined>(
      "config.get",
      { key: "keys" },
      ctx.settings.timeoutMs,
    );
  const record = response.isOk() ? response.value?.record : undefined;
  return StoreRecords.isReadableKeys(record)
    ? tryGetDigest(record, id)
    : undefined;
}
