/**
 * Distribution of the operators' configuration. The table and the keys come
 * from the store, from peers and from the operators' tool, whichever is first;
 * what is newer is announced to all peers at once.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Fetcher from "./fetcher.ts";
import * as Holder from "./holder.ts";
import * as Records from "./records.ts";
import * as Watchers from "./watchers.ts";

/**
 * Withdrawals that the stored record does not have are repeated this often, for
 * peers that a partition kept from hearing them.
 */
const WITHDRAWN_REPEAT_MS = 2_000;
/** Digests in one message: 16,000 of 64 characters are about 1 MB. */
const MAX_WITHDRAWN_PER_MESSAGE = 16_000;

/** The configuration in force, with what heartbeats and status need. */
export interface Store extends Contracts.ConfigStore {
  /** Highest revisions heard of, in force or not. */
  getHighestRevisions(): { readonly table: number; readonly keys: number };
  getKeysRevision(): number;
  /** Monotonic ms at which the last good read of the keys record was sent. */
  tryGetKeysReadAtMs(): number | undefined;
}

/** Creates the store and starts its tasks under `supervisor`. */
export function createConfigStore(args: {
  readonly platform: Contracts.PlatformClient;
  readonly peers: Contracts.PeerNet;
  readonly parseTable: Holder.ParseTable;
  readonly keys: Contracts.Keys;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  readonly cfg: {
    readonly domain: Types.Domain;
    /** Time between own reads of the store; 30 s by default. */
    readonly checkIntervalMs?: number;
  };
}): Store {
  const { peers, supervisor, cfg } = args;
  const holder = Holder.createHolder(args);
  const highest = { table: 0, keys: 0 };
  let keysReadAtMs: number | undefined;

  const isWatcher = () =>
    Watchers.isWatcher(peers.self, cfg.domain, peers.getMembers());

  function announce(key: Records.RecordKey): void {
    const params: Records.PushParams = {
      key,
      revision: holder.getRevision(key),
    };
    peers.notifyAll("config.push", params);
  }

  function sendExtraWithdrawn(): void {
    const extra = holder.getExtraWithdrawn();
    for (let i = 0; i < extra.length; i += MAX_WITHDRAWN_PER_MESSAGE) {
      const params: Records.PushParams = {
        key: "keys",
        revision: holder.getRevision("keys"),
        withdrawn: extra.slice(i, i + MAX_WITHDRAWN_PER_MESSAGE),
      };
      peers.notifyAll("config.push", params);
    }
  }

  function apply(
    key: Records.RecordKey,
    versioned: Records.Versioned,
    source: string,
  ) {
    highest[key] = Math.max(highest[key], versioned.revision);
    const extraBefore = holder.getExtraWithdrawn().length;
    const res = holder.apply(key, versioned, source);
    if (res.isOk() && res.value) announce(key);
    if (holder.getExtraWithdrawn().length > extraBefore) sendExtraWithdrawn();
    return res;
  }

  function takeFromStore(
    key: Records.RecordKey,
    entry: Contracts.StoreEntry | undefined,
    sentAtMs: number,
  ): void {
    if (entry !== undefined && !tryApplyEntry(key, entry)) return;
    if (key !== "keys") return;
    keysReadAtMs = Math.max(keysReadAtMs ?? -Infinity, sentAtMs);
  }

  /** False when the entry can't be used, so that reading it is no evidence. */
  function tryApplyEntry(
    key: Records.RecordKey,
    entry: Contracts.StoreEntry,
  ): boolean {
    const revision = entry.version;
    if (revision <= holder.getRevision(key)) return true;
    highest[key] = Math.max(highest[key], revision);
    if (!holder.isNeeded(key, revision)) return false;
    const parsed = Records.parseJson(entry.value);
    // Text that is not JSON is rejected like any malformed record.
    const record = parsed.isOk() ? parsed.value : undefined;
    return apply(key, { revision, record }, "store").isOk();
  }

  function push(raw: unknown, from: Types.InstanceId): Records.PushAnswer {
    const parsed = Records.parsePush(raw);
    if (parsed.isErr()) {
      throw new Error(ResultCodes.formatFailure(parsed.error));
    }
    const { key, revision, record, withdrawn } = parsed.value;
    if (holder.addWithdrawn(withdrawn ?? [])) sendExtraWithdrawn();
    if (record === undefined) {
      fetcher.note(key, from, revision);
    } else {
      const res = apply(key, { revision, record }, `push from ${from}`);
      if (res.isErr()) throw new Error(ResultCodes.formatFailure(res.error));
    }
    return { key, revision: holder.getRevision(key) };
  }

  function get(raw: unknown): Records.Versioned | undefined {
    const parsed = Records.parseGet(raw);
    if (parsed.isErr()) {
      throw new Error(ResultCodes.formatFailure(parsed.error));
    }
    return holder.tryGetVersioned(parsed.value.key);
  }

  const fetcher = Fetcher.createFetcher({
    peers,
    domain: cfg.domain,
    supervisor,
    log: args.log,
    clock: args.clock,
    isWatcher,
    isNeeded: holder.isNeeded,
    take: (key, versioned, from) => void apply(key, versioned, `peer ${from}`),
  });

  function getHighest(key: Records.RecordKey): number {
    return Math.max(highest[key], fetcher.getHighest(key));
  }

  peers.handle("config.push", push);
  peers.handle("config.get", get);
  peers.onHeartbeat((heartbeat) => {
    fetcher.note("table", heartbeat.id, heartbeat.tableRevision);
    fetcher.note("keys", heartbeat.id, heartbeat.keysRevision);
  });
  supervisor.every("config-withdrawn", WITHDRAWN_REPEAT_MS, sendExtraWithdrawn);
  Watchers.startReaders({
    platform: args.platform,
    supervisor,
    clock: args.clock,
    isWatcher,
    checkIntervalMs: cfg.checkIntervalMs ?? Watchers.CHECK_INTERVAL_MS,
    take: takeFromStore,
  });

  return {
    getTable: holder.getTable,
    getKeysRecord: holder.getKeys,
    onTable: holder.onTable,
    onKeys: holder.onKeys,
    getHighestRevisions: () => ({
      table: getHighest("table"),
      keys: getHighest("keys"),
    }),
    getKeysRevision: () => holder.getRevision("keys"),
    tryGetKeysReadAtMs: () => keysReadAtMs,
  };
}
