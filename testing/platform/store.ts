/**
 * Records and leases of the stand-in, in memory. Versions and revisions come
 * from one counter, so that none is ever used twice.
 */
import * as Crypto from "node:crypto";
import type * as Clock from "../../src/clock.ts";

/** Longest value in bytes of UTF-8. */
export const MAX_VALUE_BYTES = 1_000_000;

/** A stored record, with the id of the write that made it. */
export interface StoredRecord {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly writeId: string;
  readonly leaseId?: string;
}

/** Outcome of a write. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: StoredRecord | undefined }
  | { readonly kind: "lease-lapsed" };

/** Outcome of a removal. */
export type RemoveOutcome = "removed" | "absent" | "conflict";

/** A write to perform. */
export interface Write {
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: string;
  readonly writeId: string;
  readonly leaseId?: string;
}

interface Lease {
  readonly id: string;
  readonly writeId: string;
  readonly ttlMs: number;
  readonly expiresAtMs: number;
}

/** Records, leases and notice of changes. */
export interface Store {
  getRevision(): number;
  tryGet(key: string): StoredRecord | undefined;
  list(prefix: string): readonly StoredRecord[];
  cas(write: Write): WriteOutcome;
  remove(key: string, expectedVersion: number): RemoveOutcome;
  /** A repeated `writeId` returns the same lease while it lives. */
  grantLease(ttlMs: number, writeId: string): string;
  renewLease(id: string): boolean;
  /** Deletes the attached keys; false when the lease was gone already. */
  releaseLease(id: string): boolean;
  /** Deletes leases whose time has passed, and their keys. */
  expireLeases(): void;
  /** Whether a record below the prefix was written or deleted after the revision. */
  isChangedAfter(prefix: string, revision: number): boolean;
  /** Calls `fn` with the key of each change; returns how to stop. */
  onChange(fn: (key: string) => void): () => void;
}

/** Creates an empty store. Its revision starts at 1: 0 means "before everything". */
export function createStore(clock: Clock.Clock): Store {
  const records = new Map<string, StoredRecord>();
  const leases = new Map<string, Lease>();
  /** Revision of the last change of each key, deleted ones included. */
  const changedAt = new Map<string, number>();
  const listeners = new Set<(key: string) => void>();
  let revision = 1;

  function noteChange(key: string): number {
    revision++;
    changedAt.set(key, revision);
    return revision;
  }

  function notify(key: string): void {
    for (const fn of [...listeners]) fn(key);
  }

  function endLease(id: string): void {
    leases.delete(id);
    const keys = [...records.values()]
      .filter((rec) => rec.leaseId === id)
      .map((rec) => rec.key);
    for (const key of keys) {
      records.delete(key);
      noteChange(key);
    }
    for (const key of keys) notify(key);
  }

  function expireLeases(): void {
    const now = clock.nowMs();
    for (const lease of [...leases.values()]) {
      if (lease.expiresAtMs <= now) endLease(lease.id);
    }
  }

  function cas(write: Write): WriteOutcome {
    expireLeases();
    const { expectedVersion, ...rest } = write;
    const current = records.get(write.key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return { kind: "conflict", current };
    }
    if (write.leaseId !== undefined && !leases.has(write.leaseId)) {
      return { kind: "lease-lapsed" };
    }
    const version = noteChange(write.key);
    records.set(write.key, { ...rest, version });
    notify(write.key);
    return { kind: "written", version };
  }

  function remove(key: string, expectedVersion: number): RemoveOutcome {
    expireLeases();
    const current = records.get(key);
    if (current === undefined) return "absent";
    if (current.version !== expectedVersion) return "conflict";
    records.delete(key);
    noteChange(key);
    notify(key);
    return "removed";
  }

  function grantLease(ttlMs: number, writeId: string): string {
    expireLeases();
    for (const lease of leases.values()) {
      if (lease.writeId === writeId) return lease.id;
    }
    const id = Crypto.randomUUID();
    const expiresAtMs = clock.nowMs() + ttlMs;
    leases.set(id, { id, writeId, ttlMs, expiresAtMs });
    return id;
  }

  function renewLease(id: string): boolean {
    expireLeases();
    const lease = leases.get(id);
    if (lease === undefined) return false;
    const expiresAtMs = clock.nowMs() + lease.ttlMs;
    leases.set(id, { ...lease, expiresAtMs });
    return true;
  }

  return {
    getRevision: () => revision,
    tryGet(key) {
      expireLeases();
      return records.get(key);
    },
    list(prefix) {
      expireLeases();
      return [...records.values()]
        .filter((rec) => rec.key.startsWith(prefix))
        .sort((a, b) => a.key < b.key ? -1 : 1);
    },
    cas,
    remove,
    grantLease,
    renewLease,
    releaseLease(id) {
      expireLeases();
      if (!leases.has(id)) return false;
      endLease(id);
      return true;
    },
    expireLeases,
    isChangedAfter(prefix, after) {
      for (const [key, at] of changedAt) {
        if (at > after && key.startsWith(prefix)) return true;
      }
      return false;
    },
    onChange(fn) {
      listeners.add(fn);
      return () => void listeners.delete(fn);
    },
  };
}
