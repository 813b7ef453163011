/** Gets records from peers that have a higher revision. */
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
 * Links between domains are narrow and a table has up to 1 MB: the domain's
 * watchers fetch first, and others give a domain peer this time to have it.
 */
const OTHER_DOMAIN_DELAY_MS = 200;

/** Learns of revisions and fetches what is newer. */
export interface Fetcher {
  /** The peer has this revision. */
  note(
    key: Records.RecordKey,
    id: Types.InstanceId,
    revision: number,
  ): void;
  /** Highest revision that a peer named. */
  getHighest(key: Records.RecordKey): number;
}

interface Source {
  readonly id: Types.InstanceId;
  readonly revision: number;
  readonly isOwnDomain: boolean;
  /** Spreads the load over equal sources. */
  readonly tieBreak: number;
}

/** Creates a fetcher; `take` applies what arrived. */
export function createFetcher(args: {
  readonly peers: Contracts.PeerNet;
  readonly domain: Types.Domain;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
  readonly clock: ClockModule.Clock;
  readonly isWatcher: () => boolean;
  readonly isNeeded: (key: Records.RecordKey, revision: number) => boolean;
  readonly take: (
    key: Records.RecordKey,
    versioned: Records.Versioned,
    from: Types.InstanceId,
  ) => void;
}): Fetcher {
  const { peers } = args;
  const heard = {
    table: new Map<Types.InstanceId, number>(),
    keys: new Map<Types.InstanceId, number>(),
  };
  const highest = { table: 0, keys: 0 };
  const repeatLimit = Log.createRepeatLimit(LOG_INTERVAL_MS, args.clock.nowMs);
  const newRevisions = Tasks.createNotifier();

  function tryGetSource(
    key: Records.RecordKey,
    id: Types.InstanceId,
    revision: number,
  ): Source | undefined {
    const member = peers.tryGetMember(id);
    if (member === undefined) heard[key].delete(id);
    if (member === undefined || !member.isReachable) return undefined;
    if (!args.isNeeded(key, revision)) return undefined;
    const isOwnDomain = member.heartbeat.domain === args.domain;
    return { id, revision, isOwnDomain, tieBreak: Math.random() };
  }

  /** A peer with something newer: own domain first, then the highest revision. */
  function tryChooseSource(key: Records.RecordKey): Source | undefined {
    const sources = [...heard[key]]
      .map(([id, revision]) => tryGetSource(key, id, revision))
      .filter((source) => source !== undefined);
    sources.sort((a, b) =>
      Number(b.isOwnDomain) - Number(a.isOwnDomain) ||
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
    const allowed = repeatLimit(`${event} ${key}`);
    if (allowed === undefined) return;
    const err = ResultCodes.formatFailure(failure);
    const { suppressed } = allowed;
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
    args.take(key, { revision, record }, id);
  }

  /** Fetches once; returns how it went. */
  async function fetchNext(
    key: Records.RecordKey,
    signal: AbortSignal,
  ): Promise<"nothing-newer" | "fetched" | "failed"> {
    const first = tryChooseSource(key);
    if (first === undefined) return "nothing-newer";
    if (!first.isOwnDomain && !args.isWatcher()) {
      await ClockModule.sleep(OTHER_DOMAIN_DELAY_MS, signal);
    }
    const source = tryChooseSource(key);
    if (source === undefined) return "fetched";
    await fetchFrom(key, source.id);
    return args.isNeeded(key, source.revision) ? "failed" : "fetched";
  }

  async function run(
    key: Records.RecordKey,
    signal: AbortSignal,
  ): Promise<void> {
    let backoffMs = BACKOFF_MIN_MS;
    while (!signal.aborted) {
      const outcome = await fetchNext(key, signal);
      if (outcome === "nothing-newer") {
        await newRevisions.wait(RECHECK_MS, signal);
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
    args.supervisor.run(`config-fetch-${key}`, (signal) => run(key, signal));
  }

  return {
    note(key, id, revision) {
      heard[key].set(id, revision);
      highest[key] = Math.max(highest[key], revision);
      if (args.isNeeded(key, revision)) newRevisions.notify();
    },
    getHighest: (key) => highest[key],
  };
}
