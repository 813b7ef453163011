/** Fetches records from peers that have a higher revision. */
import * as ClockModule from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as Log from "../log.ts";
import * as Tasks from "../peer/tasks.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Records from "./records.ts";

const CALL_TIMEOUT_MS = 2_000;
const RECHECK_MS = 1_000;
const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 1_000;
const LOG_INTERVAL_MS = 10_000;
/**
 * Delay before an instance that is not a watcher fetches from a remote domain.
 * Links between domains are narrow and a table has up to 1 MB, so the domain's
 * watchers fetch first and the other instances fetch from them.
 */
const REMOTE_FETCH_DELAY_MS = 200;

/** Records the revisions that peers have and fetches newer ones. */
export interface Fetcher {
  /** Records that the peer has this revision. */
  recordRevision(
    key: Records.RecordKey,
    id: Types.InstanceId,
    revision: number,
  ): void;
  /** Highest revision that any peer reported. */
  getHighest(key: Records.RecordKey): number;
}

interface Source {
  readonly id: Types.InstanceId;
  readonly revision: number;
  readonly isLocal: boolean;
  /** Random number that spreads the load over equally suitable sources. */
  readonly tieBreak: number;
}

/** Creates a fetcher and starts its tasks; `applyRecord` receives each fetched record. */
export function createFetcher(args: {
  readonly peers: Contracts.PeerNet;
  readonly domain: Types.Domain;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
  readonly clock: ClockModule.Clock;
  readonly isWatcher: () => boolean;
  readonly isNeeded: (key: Records.RecordKey, revision: number) => boolean;
  readonly applyRecord: (
    key: Records.RecordKey,
    versionedRecord: Records.VersionedRecord,
    from: Types.InstanceId,
  ) => void;
}): Fetcher {
  const { peers } = args;
  const revisionsByPeer = {
    table: new Map<Types.InstanceId, number>(),
    keys: new Map<Types.InstanceId, number>(),
  };
  const highest = { table: 0, keys: 0 };
  const repeatLimit = Log.createRepeatLimit(LOG_INTERVAL_MS, args.clock.nowMs);
  const newRevisionNotifier = Tasks.createNotifier();

  function tryGetSource(
    key: Records.RecordKey,
    id: Types.InstanceId,
    revision: number,
  ): Source | undefined {
    const member = peers.tryGetMember(id);
    if (member === undefined) revisionsByPeer[key].delete(id);
    if (member === undefined || !member.isReachable) return undefined;
    if (!args.isNeeded(key, revision)) return undefined;
    const isLocal = member.heartbeat.domain === args.domain;
    return { id, revision, isLocal, tieBreak: Math.random() };
  }

  /** Chooses a peer with a newer revision: local peers first, then the highest revision. */
  function tryChooseSource(key: Records.RecordKey): Source | undefined {
    const sources = [...revisionsByPeer[key]]
      .map(([id, revision]) => tryGetSource(key, id, revision))
      .filter((source) => source !== undefined);
    sources.sort((a, b) =>
      Number(b.isLocal) - Number(a.isLocal) ||
      b.revision - a.revision || a.tieBreak - b.tieBreak
    );
    return sources[0];
  }

  function logFailure(
    key: Records.RecordKey,
    from: Types.InstanceId,
    failure: ResultCodes.Failure,
  ): void {
    const event = "config-fetch-failed";
    const logPermit = repeatLimit(`${event} ${key}`);
    if (logPermit === undefined) return;
    const err = ResultCodes.formatFailure(failure);
    const { suppressed } = logPermit;
    args.log.warn(event, { key, from, err, suppressed });
  }

  async function fetchFrom(
    key: Records.RecordKey,
    id: Types.InstanceId,
  ): Promise<void> {
    const params: Records.GetParams = { key };
    const res = await peers.call<unknown>(
      id,
      "config.get",
      params,
      CALL_TIMEOUT_MS,
    );
    if (res.isErr()) return logFailure(key, id, res.error);
    if (!Json.isObject(res.value)) return;
    const { revision, record } = res.value;
    if (!Records.isRevision(revision)) return;
    args.applyRecord(key, { revision, record }, id);
  }

  /** Runs at most one fetch and returns its outcome. */
  async function fetchNext(
    key: Records.RecordKey,
    signal: AbortSignal,
  ): Promise<"nothing-newer" | "fetched" | "failed"> {
    const initialSource = tryChooseSource(key);
    if (initialSource === undefined) return "nothing-newer";
    if (!initialSource.isLocal && !args.isWatcher()) {
      await ClockModule.sleep(REMOTE_FETCH_DELAY_MS, signal);
    }
    const source = tryChooseSource(key);
    if (source === undefined) return "fetched";
    await fetchFrom(key, source.id);
    return args.isNeeded(key, source.revision) ? "failed" : "fetched";
  }

  async function runFetches(
    key: Records.RecordKey,
    signal: AbortSignal,
  ): Promise<void> {
    let backoffMs = BACKOFF_MIN_MS;
    while (!signal.aborted) {
      const outcome = await fetchNext(key, signal);
      if (outcome === "nothing-newer") {
        await newRevisionNotifier.wait(RECHECK_MS, signal);
      }
      if (outcome !== "failed") {
        backoffMs = BACKOFF_MIN_MS;
        continue;
      }
      await ClockModule.sleep(backoffMs * (0.5 + Math.random()), signal);
      backoffMs = Math.min(backoffMs * 2, BACKOFF_MAX_MS);
    }
  }

  for (const key of Records.RECORD_KEYS) {
    args.supervisor.run(
      `config-fetch-${key}`,
      (signal) => runFetches(key, signal),
    );
  }

  return {
    recordRevision(key, id, revision) {
      revisionsByPeer[key].set(id, revision);
      highest[key] = Math.max(highest[key], revision);
      if (args.isNeeded(key, revision)) newRevisionNotifier.notify();
    },
    getHighest: (key) => highest[key],
  };
}
