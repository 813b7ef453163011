/**
 * This instance's member record in the store, kept under a lease, and the records
 * of its peers. The store only serves to find peers; peers that are found exchange
 * heartbeats and learn of further members from these. An instance that may not act
 * for its domain (see `topology.ts`) is found through those that do, and writes no
 * record.
 */
import { Ok, type Result } from "ts-results-es";
import * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import * as Tasks from "../peer/tasks.ts";
import * as Wire from "../peer/wire.ts";
import type * as ResultCodes from "../result_codes.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import type * as Contracts from "./contracts.ts";
import type * as GatewayTypes from "./types.ts";

/** Prefix of all store keys that instances write. */
const PREFIX = "anvilroute/";
const MEMBER_PREFIX = `${PREFIX}members/`;
const SECRET_KEY = `${PREFIX}peer-secret`;
/** Longest time for which a record remains after its instance ended; peers notice the end themselves. */
const LEASE_MS = 24_000;
const RENEW_MS = 8_000;
/** A lease that was renewed less than this ago needs no renewal until the next one is due, ms. */
const RECENT_RENEWAL_MS = 4_000;
/** Interval between attempts to write the record. */
const WRITE_RETRY_MS = 2_000;
/** Interval of reads that find members which joined while no instance of the domain received heartbeats from them. */
const DISCOVERY_MS = 10_000;
/** Interval while this instance is connected to no other; instances that start together have published their records by then. */
const ALONE_DISCOVERY_MS = 1_500;
const RETRY_MS = 150;
/** Instances notice a restore together; their writes are spread over this time. */
const RESTORE_SPREAD_MS = 500;

/** Cores of the largest machine; instances with the highest capacity are preferred as hubs, so that more is no member's. */
const MAX_CAPACITY = 10_000;

/** A member's record, as stored. */
export interface MemberRecord {
  readonly peerAddress: Types.Address;
  readonly domain: Types.Domain;
  /** Processor cores. */
  readonly capacity: number;
}

/** A member listed in the store. */
export interface ListedMember extends MemberRecord {
  readonly id: Types.InstanceId;
}

/** What the store holds when an instance starts. */
export interface Joined {
  readonly members: readonly ListedMember[];
  readonly secret: string;
  /** The store's revision. */
  readonly revision: number;
}

/** Receives what the store holds of the other instances. */
export interface Listeners {
  /** Receives the listed members, including this instance. */
  readonly onMembers: (members: readonly ListedMember[]) => void;
  /** Receives a secret that another instance wrote after a restore had lost this instance's. */
  readonly onSecret: (secret: string) => void;
}

/** The member record of this instance and the secret of all peers. */
export interface Membership {
  /**
   * Reads the listed members and the secret that all peers share; retries until
   * the store responds. Stores `newSecret` when there is none.
   */
  join(newSecret: string): Promise<Joined>;
  /** Keeps the record and its lease alive. */
  start(record: MemberRecord, listeners: Listeners): void;
  /** Renews the lease, the cheapest call to the store; false without a response, or without a lease. */
  renewNow(): Promise<boolean>;
  /** Writes the record and the secret again, as the store was restored from a copy that may lack them. */
  restore(): void;
  /** Releases the lease, so that the record is removed at once. */
  leave(): Promise<void>;
}

/** Creates the membership of the instance `self`. */
export function createMembership(opts: {
  readonly self: Types.InstanceId;
  readonly store: Contracts.MetadataStore;
  /** Shortest lease that the store grants, ms. */
  readonly minLeaseMs: number;
  /** True if other instances have to find this one in the store. */
  readonly isRecordNeeded: () => boolean;
  /** True if this instance looks for members that its domain does not know yet. */
  readonly isDiscoveryNeeded: () => boolean;
  /** True while this instance is connected to no other. */
  readonly isAlone: () => boolean;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
}): Membership {
  const { log, self, store } = opts;
  let leaseId: string | undefined;
  let isWritten = false;
  let secret: string | undefined;
  let isSecretStored = true;
  let isLeaving = false;
  /** Monotonic ms of the last renewal. */
  let renewedAtMs = -Infinity;
  const restores = Tasks.createNotifier();
  /** Keys of the records in the last listing that name no member. */
  let unreadableKeys: ReadonlySet<string> = new Set();

  /** Reads the records of a listing; logs each one that names no member once. */
  function readMembers(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly ListedMember[] {
    const records = items.filter(({ key }) => key.startsWith(MEMBER_PREFIX));
    const unreadable = new Set<string>();
    const members = records.flatMap((record) => {
      const member = tryReadMember(record);
      if (member === undefined) unreadable.add(record.key);
      return member ?? [];
    });
    for (const key of unreadable) {
      if (!unreadableKeys.has(key)) log.warn("member-unreadable", { key });
    }
    unreadableKeys = unreadable;
    return members;
  }

  async function grantLease(): Promise<void> {
    const lease = await store.grantLease(Math.max(LEASE_MS, opts.minLeaseMs));
    if (lease.isOk()) leaseId = lease.value;
  }

  /** Renews the lease; the result is that of the store. */
  async function renewLease(
    id: string,
  ): Promise<Result<void, ResultCodes.Failure>> {
    const renewed = await store.renewLease(id);
    if (renewed.isOk()) renewedAtMs = Clock.systemClock.nowMs();
    return renewed;
  }

  async function renew(record: MemberRecord): Promise<void> {
    if (isLeaving) return;
    if (leaseId !== undefined && isWritten) {
      const ageMs = Clock.systemClock.nowMs() - renewedAtMs;
      if (ageMs < RECENT_RENEWAL_MS) return;
      const renewed = await renewLease(leaseId);
      if (renewed.isOk()) return;
      if (renewed.error.code.name !== "lease-lapsed") return;
      log.warn("member-lease-lapsed", {});
      leaseId = undefined;
      isWritten = false;
    }
    if (!opts.isRecordNeeded()) return;
    if (leaseId === undefined) await grantLease();
    if (leaseId === undefined) return;
    const value = JSON.stringify(record);
    const put = await store.put(MEMBER_PREFIX + self, value, leaseId);
    if (put.isOk()) isWritten = true;
    else if (put.error.code.name === "lease-lapsed") leaseId = undefined;
  }

  /** Writes the secret again, unless another instance that started meanwhile has written its own. */
  async function storeSecret({ onSecret }: Listeners): Promise<void> {
    if (isLeaving || isSecretStored || secret === undefined) return;
    const stored = await store.create(SECRET_KEY, secret);
    if (stored.isErr()) return;
    isSecretStored = true;
    if (stored.value === secret) return;
    log.warn("peer-secret-replaced", {});
    secret = stored.value;
    onSecret(secret);
  }

  /** Keeps the record and the secret until this instance stops. */
  async function keepStored(
    record: MemberRecord,
    listeners: Listeners,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await storeSecret(listeners);
      await renew(record);
      const isComplete = isWritten && isSecretStored;
      await restores.wait(isComplete ? RENEW_MS : WRITE_RETRY_MS, signal);
    }
  }

  /** Looks for members until this instance stops. */
  async function discover(
    { onMembers }: Listeners,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      const waitMs = opts.isAlone() ? ALONE_DISCOVERY_MS : DISCOVERY_MS;
      await Clock.sleep(waitMs, signal);
      if (signal.aborted) return;
      if (!opts.isAlone() && !opts.isDiscoveryNeeded()) continue;
      const items = await store.readAllStale(MEMBER_PREFIX);
      if (items.isOk()) onMembers(readMembers(items.value));
    }
  }

  return {
    async join(newSecret) {
      for (;;) {
        const listed = await store.readAll(PREFIX);
        if (listed.isOk()) {
          const { items, revision } = listed.value;
          const stored = items.find(({ key }) => key === SECRET_KEY)?.value;
          const created = stored === undefined
            ? await store.create(SECRET_KEY, newSecret)
            : Ok(stored);
          if (created.isOk()) {
            secret = created.value;
            return { members: readMembers(items), secret, revision };
          }
        }
        await Clock.sleep(RETRY_MS * (0.5 + Math.random()));
      }
    },
    start(record, listeners) {
      opts.supervisor.run(
        "member-lease",
        (signal) => keepStored(record, listeners, signal),
      );
      opts.supervisor.run(
        "member-discovery",
        (signal) => discover(listeners, signal),
      );
    },
    async renewNow() {
      if (leaseId === undefined || !isWritten) return false;
      const renewed = await renewLease(leaseId);
      if (renewed.isOk()) return true;
      // The record is written again without waiting for the next renewal.
      if (renewed.error.code.name === "lease-lapsed") restores.notify();
      return false;
    },
    restore() {
      leaseId = undefined;
      isWritten = false;
      isSecretStored = false;
      const delayMs = RESTORE_SPREAD_MS * Math.random();
      void Clock.sleep(delayMs).then(restores.notify);
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
  const id = key.slice(MEMBER_PREFIX.length);
  const { capacity = 0, domain, peerAddress } =
    Json.tryParseObject(value ?? "") ?? {};
  if (typeof domain !== "string" || typeof peerAddress !== "string") {
    return undefined;
  }
  const isCapacity = typeof capacity === "number" && capacity >= 0 &&
    capacity <= MAX_CAPACITY;
  const port = Wire.tryParseAddress(peerAddress)?.port ?? 0;
  if (!isCapacity || port === 0) return undefined;
  return { id, peerAddress, domain, capacity };
}
