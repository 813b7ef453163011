/**
 * This instance's record in the store, under a lease, and the peers' records.
 * Peers are found there once; after that they hear of each other by heartbeats.
 */
import * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import type * as Contracts from "./contracts.ts";
import type * as GatewayTypes from "./types.ts";

/** Prefix of everything that the product writes. */
const PREFIX = "anvilroute/";
const MEMBER_PREFIX = `${PREFIX}members/`;
const SECRET_KEY = `${PREFIX}peer-secret`;
/** A record outlives its instance by this at most; peers notice its end by themselves. */
const LEASE_MS = 12_000;
const RENEW_MS = 4_000;
/** Finds members that came while this instance could not hear them. */
const DISCOVERY_MS = 10_000;
const RETRY_MS = 150;

/** What a member tells the others. */
export interface MemberRecord {
  readonly peerAddress: Types.Address;
  readonly domain: Types.Domain;
}

/** A member that is known from the store. */
export interface ListedMember extends MemberRecord {
  readonly id: Types.InstanceId;
}

/** The record and the secret. */
export interface Membership {
  /** The secret that all peers share; waits for the store. `secret` is used when there is none yet. */
  getSecret(fresh: string): Promise<string>;
  /** Keeps the record alive and reports the members that the store names, this one included. */
  start(
    record: MemberRecord,
    onMembers: (members: readonly ListedMember[]) => void,
  ): void;
  /** Ends the lease, so that the record vanishes at once. */
  leave(): Promise<void>;
}

/** Creates the membership of the instance named `self`. */
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
    async getSecret(fresh) {
      for (;;) {
        const secret = await store.create(SECRET_KEY, fresh);
        if (secret.isOk()) return secret.value;
        await Clock.sleep(RETRY_MS * (0.5 + Math.random()));
      }
    },
    start(record, onMembers) {
      let isFirst = true;
      opts.supervisor.every("member-lease", RENEW_MS, () => renew(record));
      opts.supervisor.every("member-discovery", DISCOVERY_MS, async () => {
        // The first read must not miss who has just come.
        const items = isFirst
          ? (await store.readAll(MEMBER_PREFIX)).map((all) => all.items)
          : await store.readAllStale(MEMBER_PREFIX);
        if (items.isErr()) return;
        isFirst = false;
        onMembers(
          items.value.map(tryReadMember).filter((one) => one !== undefined),
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
  const isGood = typeof peerAddress === "string" && typeof domain === "string";
  return isGood
    ? { id: key.slice(MEMBER_PREFIX.length), peerAddress, domain }
    : undefined;
}
