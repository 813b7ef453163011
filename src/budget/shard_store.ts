/**
 * The store's records of shards and members, as far as this instance knows.
 *
 * Promise: a record older than one seen or written before is never used.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Messages from "./messages.ts";
import type * as Plan from "./shard_plan.ts";
import type * as StoreHealth from "./store_health.ts";

/** What the records need of their surroundings. */
export interface ShardStoreDeps {
  readonly incarnation: string;
  readonly domain: Types.Domain;
  readonly platform: Contracts.PlatformClient;
  readonly health: StoreHealth.StoreHealth;
}

/** Whom a shard record names; id "" means nobody. */
export interface Owner {
  readonly id: Types.InstanceId;
  readonly incarnation: string;
}

/** Version and epoch of a shard record. */
export interface KnownRecord {
  readonly version: number;
  readonly epoch: number;
}

/** Reads and writes of the domain's records. */
export interface ShardStore {
  /** Undefined when the store failed; out-of-date entries are left out. */
  listShards(): Promise<ReadonlyMap<number, Plan.ShardEntry> | undefined>;
  /** False when the store failed. */
  listMembers(): Promise<boolean>;
  /** Members of the domain as last listed. */
  getMembers(): Plan.MemberMap;
  /** Compare-and-swap; gives the new version, undefined on conflict or failure. */
  write(
    shard: number,
    version: number,
    epoch: number,
    owner: Owner,
  ): Promise<number | undefined>;
  /** Newest version and epoch seen or written. */
  tryGetKnown(shard: number): KnownRecord | undefined;
  note(shard: number, version: number, epoch: number): void;
}

/** Creates the records of one domain. */
export function createShardStore(deps: ShardStoreDeps): ShardStore {
  const { domain, health, platform } = deps;
  const known = new Map<number, KnownRecord>();
  let members: Plan.MemberMap = new Map();
  let writes = 0;

  function note(shard: number, version: number, epoch: number): void {
    const old = known.get(shard);
    if (old !== undefined && old.version >= version) return;
    known.set(shard, { version, epoch });
  }

  return {
    async listShards() {
      const prefix = `shards/${domain}/`;
      const listed = await health.track(platform.list(prefix));
      if (listed.isErr()) return undefined;
      const entries = new Map<number, Plan.ShardEntry>();
      for (const { key, value, version } of listed.value) {
        const shard = Number(key.slice(prefix.length));
        const record = Messages.tryReadShard(value);
        // A list read before a write of this instance is out of date.
        const isOld = version < (known.get(shard)?.version ?? 0);
        if (record === undefined || isOld) continue;
        entries.set(shard, { record, version });
        note(shard, version, record.epoch);
      }
      return entries;
    },
    async listMembers() {
      const prefix = Messages.getMemberPrefix(domain);
      const listed = await health.track(platform.list(prefix));
      if (listed.isErr()) return false;
      const found = new Map<Types.InstanceId, string>();
      for (const { key, value } of listed.value) {
        const record = Messages.tryReadMember(value);
        if (record?.domain !== domain) continue;
        found.set(key.slice(prefix.length), record.incarnation);
      }
      members = found;
      return true;
    },
    getMembers: () => members,
    async write(shard, version, epoch, owner) {
      const writeId = `${deps.incarnation}-shard-${++writes}`;
      const record: Messages.ShardRecord = {
        owner: owner.id,
        incarnation: owner.incarnation,
        epoch,
        writeId,
      };
      const key = `shards/${domain}/${shard}`;
      const text = JSON.stringify(record);
      const result = await health.track(
        platform.cas(key, version, text, { writeId }),
      );
      if (result.isErr()) return undefined;
      note(shard, result.value, epoch);
      return result.value;
    },
    tryGetKnown: (shard) => known.get(shard),
    note,
  };
}
