/**
 * This instance's member record in the store, kept under a lease, and the records
 * of its peers. The store only serves to find peers; peers that are found exchange
 * heartbeats and learn of further members from these.
 */
import * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import type * as Contracts from "./contracts.ts";
import type * as GatewayTypes from "./types.ts";

/** Prefix of all store keys that instances write. */
const PREFIX = "anvilroute/";
const MEMBER_PREFIX = `${PREFIX}members/`;
const SECRET_KEY = `${PREFIX}peer-secret`;
/** Longest time for which a record remains after its instance ended; peers notice the end themselves. */
const LEASE_MS = 12_000;
const RENEW_MS = 4_000;
/** Interval of reads that find members which joined while this instance received no heartbeats from them. */
const DISCOVERY_MS = 10_000;
const RETRY_MS = 150;

/** A member's record, as stored. */
export interface MemberRecord {
  readonly peerAddress: Types.Address;
  readonly domain: Types.Domain;
}

/** A member listed in the store. */
export interface ListedMember extends MemberRecord {
  readonly id: Types.InstanceId;
}

/** The member record of this instance and the secret of all peers. */
export interface Membership {
  /** Returns the secret that all peers share; retries until the store responds. Stores `newSecret` when there is none. */
  getSecret(newSecret: string): Promise<string>;
  /** Keeps the record and its lease alive, and reports the listed members, including this instance. */
  start(
    record: MemberRecord,
    onMembers: (members: readonly ListedMember[]) => void,
  ): void;
  /** Releases the lease, so that the record is removed at once. */
  leave(): Promise<void>;
}

/** Creates the membership of the instance `self`. */
export function createMembership(opts: {
  readonly self: Types.InstanceId;
  readonly store: Contracts.MetadataStore;
  /** Shortest lease that the store grants, ms. */
  readonly minLeaseMs: number;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
}): Membership {
  const { log, self, store } = opts;
  let leaseId: string | undefined;
  let isLeaving = false;

  async function renew(record: MemberRecord): Promise<void> {
    if (isLeaving) return;
    if (leaseId !== undefined) {
      const renewed = await store.renewLease(leaseId);
      if (renewed.isOk()) return;
      if (renewed.error.code.name !== "lease-lapsed") return;
      log.warn("member-lease-lapsed", {});
      leaseId = undefined;
    }
    const lease = await store.grantLease(
      Math.max(LEASE_MS, opts.minLeaseMs),
    );
    if (lease.isErr()) return;
    const value = JSON.stringify(record);
    const put = await store.put(MEMBER_PREFIX + self, value, lease.value);
    if (put.isOk()) leaseId = lease.value;
  }

  return {
    async getSecret(newSecret) {
      for (;;) {
        const secret = await store.create(SECRET_KEY, newSecret);
        if (secret.isOk()) return secret.value;
        await Clock.sleep(RETRY_MS * (0.5 + Math.random()));
      }
    },
    start(record, onMembers) {
      let isFirst = true;
      opts.supervisor.every("member-lease", RENEW_MS, () => renew(record));
      opts.supervisor.every("member-discovery", DISCOVERY_MS, async () => {
        // A stale first read could miss members that have just joined.
        const items = isFirst
          ? (await store.readAll(MEMBER_PREFIX)).map((result) => result.items)
          : await store.readAllStale(MEMBER_PREFIX);
        if (items.isErr()) return;
        isFirst = false;
        onMembers(
          items.value.map(tryReadMember).filter((member) =>
            member !== undefined
          ),
        );
      });
    },
    async leave() {
      isLeaving = true;
      if (leaseId !== undefined) await store.releaseLease(leaseId);
    },
  };
}

function tryReadMember(
  { key, value }: GatewayTypes.StoreItem,
): ListedMember | undefined {
  const raw = value === undefined ? undefined : Json.tryParseObject(value);
  const peerAddress = raw?.["peerAddress"];
  const domain = raw?.["domain"];
  const isValid = typeof peerAddress === "string" && typeof domain === "string";
  return isValid
    ? { id: key.slice(MEMBER_PREFIX.length), peerAddress, domain }
    : undefined;
}
