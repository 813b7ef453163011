/** Client of the platform's services (docs/platform_protocol.md) over HTTP. */
import * as Crypto from "node:crypto";
import { Ok } from "ts-results-es";
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Exchange from "./exchange.ts";
import * as Replies from "./replies.ts";
import * as Writes from "./writes.ts";

/** Longest value in bytes of UTF-8. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Where the platform is and how long a call may take. */
export interface PlatformConfig {
  readonly address: Types.Address;
  /** Bound of each call, reading back included; a watch adds its `waitMs`. */
  readonly timeoutMs: number;
  readonly clock?: Clock.Clock;
}

/** A client that can be closed. */
export interface ClosablePlatformClient extends Contracts.PlatformClient {
  /** Ends all connections; calls in progress fail. */
  close(): Promise<void>;
}

/** Runs `fn` with a signal that aborts after `ms` or together with `signal`. */
async function withDeadline<T>(
  ms: number,
  signal: AbortSignal | undefined,
  fn: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const abort = new AbortController();
  const cancel = () => abort.abort();
  const timer = setTimeout(() => abort.abort(Exchange.TIMED_OUT), ms);
  signal?.addEventListener("abort", cancel);
  if (signal?.aborted) cancel();
  try {
    return await fn(abort.signal);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener("abort", cancel);
    // Ends exchanges whose outcome is no longer of interest.
    abort.abort();
  }
}

/** Creates the client. No call rejects, and each ends within its timeout. */
export function createPlatformClient(
  cfg: PlatformConfig,
): ClosablePlatformClient {
  const { timeoutMs } = cfg;
  const clock = cfg.clock ?? Clock.systemClock;
  const exchange = Exchange.createExchange(cfg.address, timeoutMs, clock);
  /** Records of the last changed answer of each watched prefix. */
  const watched = new Map<string, readonly Contracts.StoreEntry[]>();

  /** Sends a call that may run twice; a reset connection is tried once more. */
  function sendRepeatable(call: Exchange.Call): Promise<Exchange.Reply> {
    return withDeadline(timeoutMs, undefined, async (signal) => {
      const reply = await exchange.send(call, signal);
      if (reply.kind !== "lost" || signal.aborted) return reply;
      return exchange.send(call, signal);
    });
  }

  return {
    async get(key) {
      const query = { key };
      const reply = await sendRepeatable({
        method: "GET",
        path: "/v1/entry",
        query,
      });
      if (Replies.isAbsent(reply)) return Ok(undefined);
      const read = (body: Json.JsonObject) =>
        Replies.tryEntry(body["entry"])?.entry;
      return Replies.toResult(reply, read);
    },
    async list(prefix) {
      const query = { prefix };
      const reply = await sendRepeatable({
        method: "GET",
        path: "/v1/entries",
        query,
      });
      return Replies.toResult(
        reply,
        (body) => Replies.tryEntries(body["entries"]),
      );
    },
    async cas(key, expectedVersion, value, opts) {
      const bytes = Buffer.byteLength(value);
      if (bytes > MAX_VALUE_BYTES) {
        return ResultCodes.fail("valueTooLarge", `${bytes} bytes`);
      }
      const write = { key, expectedVersion, value, ...opts };
      return await withDeadline(
        timeoutMs,
        undefined,
        (signal) => Writes.performCas(exchange, write, timeoutMs / 2, signal),
      );
    },
    remove(key, expectedVersion) {
      return withDeadline(
        timeoutMs,
        undefined,
        (signal) =>
          Writes.performRemove(exchange, key, expectedVersion, signal),
      );
    },
    async watch(prefix, afterRevision, waitMs, signal) {
      const query = { prefix, after: afterRevision, waitMs };
      const call = { method: "GET", path: "/v1/watch", query } as const;
      const reply = await withDeadline(
        waitMs + timeoutMs,
        signal,
        (deadline) => exchange.send(call, deadline),
      );
      const result = Replies.toResult(reply, (body) => {
        const { revision, isChanged, entries } = body;
        const found = Replies.tryEntries(entries);
        const isGood = Replies.isVersion(revision) && found !== undefined &&
          typeof isChanged === "boolean";
        return isGood ? { revision, isChanged, entries: found } : undefined;
      });
      return result.map((answer) => {
        if (answer.isChanged) watched.set(prefix, answer.entries);
        const entries = watched.get(prefix) ?? answer.entries;
        return { ...answer, entries };
      });
    },
    async grantLease(ttlMs) {
      const body = { ttlMs, writeId: Crypto.randomUUID() };
      const reply = await sendRepeatable({
        method: "POST",
        path: "/v1/leases",
        body,
      });
      return Replies.toResult(reply, ({ leaseId }) => {
        return typeof leaseId === "string" ? leaseId : undefined;
      });
    },
    async renewLease(leaseId) {
      const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
      const reply = await sendRepeatable({ method: "PUT", path });
      return Replies.toResult(reply, () => true).map(() => undefined);
    },
    async releaseLease(leaseId) {
      const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
      const reply = await sendRepeatable({ method: "DELETE", path });
      // A lease that is gone is what the caller wants.
      const isGone = reply.kind === "answered" && reply.status === 410;
      if (isGone) return Ok(undefined);
      return Replies.toResult(reply, () => true).map(() => undefined);
    },
    async listInstances() {
      const reply = await sendRepeatable({
        method: "GET",
        path: "/v1/instances",
      });
      return Replies.toResult(
        reply,
        (body) => Replies.tryInstances(body["instances"]),
      );
    },
    getLastResponseAtMs: exchange.getLastAnsweredAtMs,
    isFailing: exchange.isFailing,
    close: exchange.close,
  };
}
