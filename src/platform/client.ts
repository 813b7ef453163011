/** HTTP client of the platform's services (docs/platform_protocol.md). */
import * as Crypto from "node:crypto";
import { Ok } from "ts-results-es";
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Exchange from "./exchange.ts";
import * as Responses from "./responses.ts";
import * as Writes from "./writes.ts";

/** Longest value that the store accepts, in bytes of UTF-8. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Address of the platform and time limit of a call. */
export interface PlatformConfig {
  readonly address: Types.Address;
  /** Time limit of each call, including reads that verify a write; a watch adds its `waitMs`. */
  readonly timeoutMs: number;
  readonly clock?: Clock.Clock;
}

/** A client that can be closed. */
export interface ClosablePlatformClient extends Contracts.PlatformClient {
  /** Closes all connections; calls in progress fail. */
  close(): Promise<void>;
}

/** Calls `run` with a signal that aborts after `timeoutMs` or together with `signal`. */
async function withDeadline<T>(
  timeoutMs: number,
  signal: AbortSignal | undefined,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const onAbort = () => controller.abort();
  const timer = setTimeout(
    () => controller.abort(Exchange.TIMED_OUT),
    timeoutMs,
  );
  signal?.addEventListener("abort", onAbort);
  if (signal?.aborted) onAbort();
  try {
    return await run(controller.signal);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener("abort", onAbort);
    // Aborts exchanges that are still in progress, because their outcome is no longer needed.
    controller.abort();
  }
}

/** Creates the client. Its promises never reject, and each call ends within its time limit. */
export function createPlatformClient(
  cfg: PlatformConfig,
): ClosablePlatformClient {
  const { timeoutMs } = cfg;
  const clock = cfg.clock ?? Clock.systemClock;
  const exchange = Exchange.createExchange(cfg.address, timeoutMs, clock);
  /** Entries of each watched prefix, from the last watch response that reported a change. */
  const entriesByPrefix = new Map<string, readonly Contracts.StoreEntry[]>();

  /** Sends a call that may run twice; a call without a usable response is sent once more. */
  function sendRepeatable(call: Exchange.Call): Promise<Exchange.CallOutcome> {
    return withDeadline(timeoutMs, undefined, async (signal) => {
      const outcome = await exchange.send(call, signal);
      if (outcome.kind !== "lost" || signal.aborted) return outcome;
      return exchange.send(call, signal);
    });
  }

  return {
    async get(key) {
      const query = { key };
      const outcome = await sendRepeatable({
        method: "GET",
        path: "/v1/entry",
        query,
      });
      if (Responses.isAbsent(outcome)) return Ok(undefined);
      const readEntry = (body: Json.JsonObject) =>
        Responses.tryParseEntry(body["entry"])?.entry;
      return Responses.toResult(outcome, readEntry);
    },
    async list(prefix) {
      const query = { prefix };
      const outcome = await sendRepeatable({
        method: "GET",
        path: "/v1/entries",
        query,
      });
      return Responses.toResult(
        outcome,
        (body) => Responses.tryParseEntries(body["entries"]),
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
      const outcome = await withDeadline(
        waitMs + timeoutMs,
        signal,
        (deadline) => exchange.send(call, deadline),
      );
      const result = Responses.toResult(outcome, (body) => {
        const { revision, isChanged, entries } = body;
        const parsedEntries = Responses.tryParseEntries(entries);
        const isValid = Responses.isVersion(revision) &&
          parsedEntries !== undefined &&
          typeof isChanged === "boolean";
        return isValid
          ? { revision, isChanged, entries: parsedEntries }
          : undefined;
      });
      return result.map((response) => {
        if (response.isChanged) entriesByPrefix.set(prefix, response.entries);
        const entries = entriesByPrefix.get(prefix) ?? response.entries;
        return { ...response, entries };
      });
    },
    async grantLease(ttlMs) {
      const body = { ttlMs, writeId: Crypto.randomUUID() };
      const outcome = await sendRepeatable({
        method: "POST",
        path: "/v1/leases",
        body,
      });
      return Responses.toResult(outcome, ({ leaseId }) => {
        return typeof leaseId === "string" ? leaseId : undefined;
      });
    },
    async renewLease(leaseId) {
      const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
      const outcome = await sendRepeatable({ method: "PUT", path });
      return Responses.toResult(outcome, () => true).map(() => undefined);
    },
    async releaseLease(leaseId) {
      const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
      const outcome = await sendRepeatable({ method: "DELETE", path });
      // Status 410: the lease no longer exists, so its release has succeeded.
      const isExpired = outcome.kind === "answered" && outcome.status === 410;
      if (isExpired) return Ok(undefined);
      return Responses.toResult(outcome, () => true).map(() => undefined);
    },
    async listInstances() {
      const outcome = await sendRepeatable({
        method: "GET",
        path: "/v1/instances",
      });
      return Responses.toResult(
        outcome,
        (body) => Responses.tryParseInstances(body["instances"]),
      );
    },
    getLastResponseAtMs: exchange.getLastResponseAtMs,
    isFailing: exchange.isFailing,
    close: exchange.close,
  };
}
