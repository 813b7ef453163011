/** Watches and polls the configuration records in the platform's store. */
import * as ClockModule from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Records from "./records.ts";

/**
 * Longest wait of one watch, ms. Each response is evidence that the keys are
 * current, and requests are rejected after 4 s without evidence. With waits of
 * half a second, the evidence at the start of an outage outlasts the 2.5 s in
 * which a hanging call and a heartbeat make the outage known.
 */
export const WATCH_WAIT_MS = 500;
/** Number of instances per domain that watch; more would only add calls to the store. */
export const WATCHERS_PER_DOMAIN = 2;
/** Interval at which every instance reads the store itself, whether or not it is a watcher. */
export const CHECK_INTERVAL_MS = 30_000;

const ROLE_CHECK_MS = 500;
const BACKOFF_MIN_MS = 200;
/** Kept short, because requests with keys are rejected from the store's recovery until the next watch. */
const BACKOFF_MAX_MS = 500;
/** Limits the request rate to a store that responds to watches at once. */
const MIN_WATCH_INTERVAL_MS = 100;

/** True when this instance is one of its domain's watchers. */
export function isWatcher(
  self: Types.InstanceId,
  domain: Types.Domain,
  members: readonly Types.Member[],
): boolean {
  const peerIds = members
    .filter(({ isReachable }) => isReachable)
    .map(({ heartbeat }) => heartbeat)
    .filter((peer) => peer.domain === domain && peer.state !== "leaving")
    .map((peer) => peer.id);
  const ranked = Rendezvous.rank(`config/${domain}`, [self, ...peerIds]);
  return ranked.slice(0, WATCHERS_PER_DOMAIN).includes(self);
}

/**
 * Starts the tasks that read the store. `onRead` receives each entry that was
 * read, or undefined for an absent record, and the time at which the call was sent.
 */
export function startReaders(args: {
  readonly platform: Contracts.PlatformClient;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: ClockModule.Clock;
  readonly isWatcher: () => boolean;
  readonly checkIntervalMs: number;
  readonly onRead: (
    key: Records.RecordKey,
    entry: Contracts.StoreEntry | undefined,
    sentAtMs: number,
  ) => void;
}): void {
  const { clock, platform } = args;
  const addJitter = (ms: number) => ms * (0.75 + Math.random() / 2);

  async function watchOnce(
    key: Records.RecordKey,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const sentAtMs = clock.nowMs();
    const res = await platform.watch(key, afterRevision, waitMs, signal);
    if (res.isErr()) return undefined;
    const entry = res.value.entries.find((record) => record.key === key);
    args.onRead(key, entry, sentAtMs);
    const elapsedMs = clock.nowMs() - sentAtMs;
    const remainingMs = Math.max(0, MIN_WATCH_INTERVAL_MS - elapsedMs);
    await ClockModule.sleep(remainingMs, signal);
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
      // After a failure the watch doesn't wait, because an immediate response is evidence sooner.
      const waitMs = backoffMs === BACKOFF_MIN_MS ? WATCH_WAIT_MS : 0;
      const newRevision = await watchOnce(key, revision, waitMs, signal);
      if (newRevision !== undefined) {
        revision = newRevision;
        backoffMs = BACKOFF_MIN_MS;
        continue;
      }
      await ClockModule.sleep(addJitter(backoffMs), signal);
      backoffMs = Math.min(backoffMs * 2, BACKOFF_MAX_MS);
    }
  }

  async function readRecords(): Promise<boolean> {
    let isComplete = true;
    for (const key of Records.RECORD_KEYS) {
      const sentAtMs = clock.nowMs();
      const res = await platform.get(key);
      if (res.isOk()) args.onRead(key, res.value, sentAtMs);
      else isComplete = false;
    }
    return isComplete;
  }

  async function runChecks(signal: AbortSignal): Promise<void> {
    let waitMs = BACKOFF_MIN_MS;
    while (!signal.aborted) {
      const isComplete = await readRecords();
      const nextMs = isComplete ? args.checkIntervalMs : waitMs * 2;
      waitMs = Math.min(nextMs, args.checkIntervalMs);
      await ClockModule.sleep(addJitter(waitMs), signal);
      if (isComplete) waitMs = BACKOFF_MIN_MS;
    }
  }

  args.supervisor.run("config-check", runChecks);
  for (const key of Records.RECORD_KEYS) {
    args.supervisor.run(`config-watch-${key}`, (signal) => watch(key, signal));
  }
}
