/**
 * The store's records of shards and members, as last seen by this instance.
 *
 * Guarantee: a record older than one seen or written before is never used.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Messages from "./messages.ts";
import type * as ShardPlan from "./shard_plan.ts";
import type * as StoreHealth from "./store_health.ts";

/** Dependencies of the shard store. */
export interface ShardStoreDeps {
  readonly incarnation: string;
  readonly domain: Types.Domain;
  readonly platform: Contracts.PlatformClient;
  readonly health: StoreHealth.StoreHealth;
}

/** The owner that a shard record names; id "" means none. */
export interface Owner {
  readonly id: Types.InstanceId;
  readonly incarnation: string;
}

/** Version and epoch of a shard record. */
export interface RecordVersion {
  readonly version: number;
  readonly epoch: number;
}

/** Reads and writes of the domain's records. */
export interface ShardStore {
  /** Lists the shard records without out-of-date ones; undefined when the store failed. */
  listShards(): Promise<ReadonlyMap<number, ShardPlan.ShardEntry> | undefined>;
  /** Refreshes the members; false when the store failed. */
  listMembers(): Promise<boolean>;
  /** Members of the domain as last listed. */
  getMembers(): ShardPlan.MemberMap;
  /**
   * Writes the owner by compare-and-swap; returns the new version, undefined on
   * conflict or failure.
   */
  tryWrite(
    shard: number,
    version: number,
    epoch: number,
    owner: Owner,
  ): Promise<number | undefined>;
  /** Returns the newest version and epoch seen or written. */
  tryGetNewest(shard: number): RecordVersion | undefined;
  /** Records a version and epoch that a transfer message named. */
  recordVersion(shard: number, version: number, epoch: number): void;
}

/** Creates the shard store of one domain. */
export function createShardStore(deps: ShardStoreDeps): ShardStore {
  const { domain, health, platform } = deps;
  const newestVersions = new Map<number, RecordVersion>();
  let members: ShardPlan.MemberMap = new Map();
  let writes = 0;

  function recordVersion(shard: number, version: number, epoch: number): void {
    const newest = newestVersions.get(shard);
    if (newest !== undefined && newest.version >= version) return;
    newestVersions.set(shard, { version, epoch });
  }

  return {
    async listShards() {
      const prefix = `shards/${domain}/`;
      const listed = await health.track(platform.list(prefix));
      if (listed.isErr()) return undefined;
      const entries = new Map<number, ShardPlan.ShardEntry>();
      for (const { key, value, version } of listed.value) {
        const shard = Number(key.slice(prefix.length));
        const record = Messages.tryReadShard(value);
        // A list that was read before a write of this instance is out of date.
        const isStale = version < (newestVersions.get(shard)?.version ?? 0);
        if (record === undefined || isStale) continue;
        entries.set(shard, { record, version });
        recordVersion(shard, version, record.epoch);
      }
      return entries;
    },
    async listMembers() {
      const prefix = Messages.getMemberPrefix(domain);
      const listed = await health.track(platform.list(prefix));
      if (listed.isErr()) return false;
      const registered = new Map<Types.InstanceId, string>();
      for (const { key, value } of listed.value) {
        const record = Messages.tryReadMember(value);
        if (record?.domain !== domain) continue;
        registered.set(key.slice(prefix.length), record.incarnation);
      }
      members = registered;
      return true;
    },
    getMembers: () => members,
    async tryWrite(shard, version, epoch, owner) {
      const writeId = `${deps.incarnation}-shard-${++writes}`;
      const record: Messages.ShardRecord = {
        owner: owner.id,
        incarnation: owner.incarnation,
        epoch,
        writeId,
      };
      const key = `shards/${domain}/${shard}`;
      const json = JSON.stringify(record);
      const result = await health.track(
        platform.cas(key, version, json, { writeId }),
      );
      if (result.isErr()) return undefined;
      recordVersion(shard, result.value, epoch);
      return result.value;
    },
    tryGetNewest: (shard) => newestVersions.get(shard),
    recordVersion,
  };
}
