/** Reads the records from the platform's store. */
import * as ClockModule from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Records from "./records.ts";

/**
 * Longest wait of one watch. Each answer is evidence that the keys are current,
 * and callers are refused after 4 s without. With half a second, the evidence at
 * the start of an outage lasts longer than a hanging call and a heartbeat take
 * to make the outage known (2.5 s).
 */
export const WATCH_WAIT_MS = 500;
/** Members of a domain that watch; more would only cost the store calls. */
export const WATCHERS_PER_DOMAIN = 2;
/** Every instance reads the store itself this often, whatever its peers say. */
export const CHECK_INTERVAL_MS = 30_000;

const ROLE_CHECK_MS = 500;
const BACKOFF_MIN_MS = 200;
/** Keyed requests are refused from the store's recovery until the next watch. */
const BACKOFF_MAX_MS = 500;
/** Keeps a store that answers at once from being asked without pause. */
const MIN_WATCH_INTERVAL_MS = 100;

/** True when this instance is one of its domain's watchers. */
export function isWatcher(
  self: Types.InstanceId,
  domain: Types.Domain,
  members: readonly Types.Member[],
): boolean {
  const others = members
    .filter(({ isReachable }) => isReachable)
    .map(({ heartbeat }) => heartbeat)
    .filter((one) => one.domain === domain && one.state !== "leaving")
    .map((one) => one.id);
  const ranked = Rendezvous.rank(`config/${domain}`, [self, ...others]);
  return ranked.slice(0, WATCHERS_PER_DOMAIN).includes(self);
}

/** Reads of the store; `take` gets what was read, with the time at which the call was sent. */
export function startReaders(args: {
  readonly platform: Contracts.PlatformClient;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: ClockModule.Clock;
  readonly isWatcher: () => boolean;
  readonly checkIntervalMs: number;
  readonly take: (
    key: Records.RecordKey,
    entry: Contracts.StoreEntry | undefined,
    sentAtMs: number,
  ) => void;
}): void {
  const { clock, platform } = args;
  const jitter = (ms: number) => ms * (0.75 + Math.random() / 2);

  async function watchOnce(
    key: Records.RecordKey,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const sentAtMs = clock.nowMs();
    const res = await platform.watch(key, afterRevision, waitMs, signal);
    if (res.isErr()) return undefined;
    const entry = res.value.entries.find((one) => one.key === key);
    args.take(key, entry, sentAtMs);
    const tookMs = clock.nowMs() - sentAtMs;
    const restMs = Math.max(0, MIN_WATCH_INTERVAL_MS - tookMs);
    await ClockModule.sleep(restMs, signal);
    return res.value.revision;
  }

  async function watch(
    key: Records.RecordKey,
    signal: AbortSignal,
  ): Promise<void> {
    let revision = 0;
    let backoffMs = BACKOFF_MIN_MS;
    while (!signal.aborted) {
      if (!args.isWatcher()) {
        await ClockModule.sleep(ROLE_CHECK_MS, signal);
        continue;
      }
      // After a failure an answer at once is evidence sooner than one that waits.
      const waitMs = backoffMs === BACKOFF_MIN_MS ? WATCH_WAIT_MS : 0;
      const next = await watchOnce(key, revision, waitMs, signal);
      if (next !== undefined) {
        revision = next;
        backoffMs = BACKOFF_MIN_MS;
        continue;
      }
      await ClockModule.sleep(jitter(backoffMs), signal);
      backoffMs = Math.min(backoffMs * 2, BACKOFF_MAX_MS);
    }
  }

  async function readOnce(): Promise<boolean> {
    let isGood = true;
    for (const key of Records.RECORD_KEYS) {
      const sentAtMs = clock.nowMs();
      const res = await platform.get(key);
      if (res.isOk()) args.take(key, res.value, sentAtMs);
      else isGood = false;
    }
    return isGood;
  }

  async function check(signal: AbortSignal): Promise<void> {
    let waitMs = BACKOFF_MIN_MS;
    while (!signal.aborted) {
      const isGood = await readOnce();
      const nextMs = isGood ? args.checkIntervalMs : waitMs * 2;
      waitMs = Math.min(nextMs, args.checkIntervalMs);
      await ClockModule.sleep(jitter(waitMs), signal);
      if (isGood) waitMs = BACKOFF_MIN_MS;
    }
  }

  args.supervisor.run("config-check", check);
  for (const key of Records.RECORD_KEYS) {
    args.supervisor.run(`config-watch-${key}`, (signal) => watch(key, signal));
  }
}
