/**
 * Distribution of the operators' configuration. An instance accepts the table
 * and the keys from the store, from peers and from the operators' tool,
 * whichever delivers a revision first, and announces each newer revision to all
 * peers at once.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Fetcher from "./fetcher.ts";
import * as ActiveRecords from "./active_records.ts";
import * as Records from "./records.ts";
import * as Watchers from "./watchers.ts";

/**
 * Interval for resending withdrawals that the stored record does not contain,
 * because a partition may have kept peers from receiving them.
 */
const WITHDRAWN_REPEAT_MS = 2_000;
/** Limit of digests in one message: 16,000 digests of 64 characters are about 1 MB. */
const MAX_WITHDRAWN_PER_MESSAGE = 16_000;

/** The configuration in force, and the revisions that heartbeats and the status report carry. */
export interface Store extends Contracts.ConfigStore {
  /** Highest revisions known from the store or a peer, in force or not. */
  getHighestRevisions(): { readonly table: number; readonly keys: number };
  getKeysRevision(): number;
  /** Monotonic ms at which the last successful read of the keys record was sent. */
  tryGetKeysReadAtMs(): number | undefined;
}

/** Creates the store and starts its tasks under `supervisor`. */
export function createConfigStore(args: {
  readonly platform: Contracts.PlatformClient;
  readonly peers: Contracts.PeerNet;
  readonly parseTable: ActiveRecords.ParseTable;
  readonly keys: Contracts.Keys;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  readonly cfg: {
    readonly domain: Types.Domain;
    /** Interval of this instance's reads of the store, ms; 30 s by default. */
    readonly checkIntervalMs?: number;
  };
}): Store {
  const { peers, supervisor, cfg } = args;
  const records = ActiveRecords.createActiveRecords(args);
  const highest = { table: 0, keys: 0 };
  let keysReadAtMs: number | undefined;

  const isWatcher = () =>
    Watchers.isWatcher(peers.self, cfg.domain, peers.getMembers());

  function announceRevision(key: Records.RecordKey): void {
    const params: Records.PushParams = {
      key,
      revision: records.getRevision(key),
    };
    peers.notifyAll("config.push", params);
  }

  function sendWithdrawn(): void {
    const digests = records.getUnstoredWithdrawn();
    for (let i = 0; i < digests.length; i += MAX_WITHDRAWN_PER_MESSAGE) {
      const params: Records.PushParams = {
        key: "keys",
        revision: records.getRevision("keys"),
        withdrawn: digests.slice(i, i + MAX_WITHDRAWN_PER_MESSAGE),
      };
      peers.notifyAll("config.push", params);
    }
  }

  function apply(
    key: Records.RecordKey,
    versionedRecord: Records.VersionedRecord,
    source: string,
  ) {
    highest[key] = Math.max(highest[key], versionedRecord.revision);
    const countBefore = records.getUnstoredWithdrawn().length;
    const res = records.apply(key, versionedRecord, source);
    if (res.isOk() && res.value) announceRevision(key);
    if (records.getUnstoredWithdrawn().length > countBefore) sendWithdrawn();
    return res;
  }

  function handleStoreRead(
    key: Records.RecordKey,
    entry: Contracts.StoreEntry | undefined,
    sentAtMs: number,
  ): void {
    if (entry !== undefined && !tryApplyEntry(key, entry)) return;
    if (key !== "keys") return;
    keysReadAtMs = Math.max(keysReadAtMs ?? -Infinity, sentAtMs);
  }

  /** False when the entry is unusable; then the read is no evidence that the keys are current. */
  function tryApplyEntry(
    key: Records.RecordKey,
    entry: Contracts.StoreEntry,
  ): boolean {
    const revision = entry.version;
    if (revision <= records.getRevision(key)) return true;
    highest[key] = Math.max(highest[key], revision);
    if (!records.isNeeded(key, revision)) return false;
    const parsed = Records.parseJson(entry.value);
    // A value that is not JSON becomes undefined, which is rejected as a malformed record.
    const record = parsed.isOk() ? parsed.value : undefined;
    return apply(key, { revision, record }, "store").isOk();
  }

  function handlePush(
    raw: unknown,
    from: Types.InstanceId,
  ): Records.PushResponse {
    const parsed = Records.parsePush(raw);
    if (parsed.isErr()) {
      throw new Error(ResultCodes.formatFailure(parsed.error));
    }
    const { key, revision, record, withdrawn } = parsed.value;
    if (records.addWithdrawn(withdrawn ?? [])) sendWithdrawn();
    if (record === undefined) {
      fetcher.recordRevision(key, from, revision);
    } else {
      const res = apply(key, { revision, record }, `push from ${from}`);
      if (res.isErr()) throw new Error(ResultCodes.formatFailure(res.error));
    }
    return { key, revision: records.getRevision(key) };
  }

  function handleGet(raw: unknown): Records.VersionedRecord | undefined {
    const parsed = Records.parseGet(raw);
    if (parsed.isErr()) {
      throw new Error(ResultCodes.formatFailure(parsed.error));
    }
    return records.tryGetVersioned(parsed.value.key);
  }

  const fetcher = Fetcher.createFetcher({
    peers,
    domain: cfg.domain,
    supervisor,
    log: args.log,
    clock: args.clock,
    isWatcher,
    isNeeded: records.isNeeded,
    applyRecord: (key, versionedRecord, from) =>
      void apply(key, versionedRecord, `peer ${from}`),
  });

  function getHighest(key: Records.RecordKey): number {
    return Math.max(highest[key], fetcher.getHighest(key));
  }

  peers.handle("config.push", handlePush);
  peers.handle("config.get", handleGet);
  peers.onHeartbeat((heartbeat) => {
    fetcher.recordRevision("table", heartbeat.id, heartbeat.tableRevision);
    fetcher.recordRevision("keys", heartbeat.id, heartbeat.keysRevision);
  });
  supervisor.every(
    "config-withdrawn",
    WITHDRAWN_REPEAT_MS,
    sendWithdrawn,
  );
  Watchers.startReaders({
    platform: args.platform,
    supervisor,
    clock: args.clock,
    isWatcher,
    checkIntervalMs: cfg.checkIntervalMs ?? Watchers.CHECK_INTERVAL_MS,
    onRead: handleStoreRead,
  });

  return {
    getTable: records.getTable,
    getKeysRecord: records.getKeys,
    onTable: records.onTable,
    onKeys: records.onKeys,
    getHighestRevisions: () => ({
      table: getHighest("table"),
      keys: getHighest("keys"),
    }),
    getKeysRevision: () => records.getRevision("keys"),
    tryGetKeysReadAtMs: () => keysReadAtMs,
  };
}
