/**
 * Writes whose response may be lost. The write id in the record shows whether a
 * write took effect. A write is resent only while the record still has the
 * expected version: then no earlier attempt has taken effect, and at most one
 * attempt ever can.
 */
import { Ok, type Result } from "ts-results-es";
import * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Exchange from "./exchange.ts";
import * as Responses from "./responses.ts";

const MAX_ATTEMPTS = 4;
const READ_BACK_INTERVAL_MS = 50;

/** Parameters of a compare-and-swap. */
export interface Write {
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: string;
  readonly writeId: string;
  readonly leaseId?: string;
}

/** State of the record after a write; `unread` when no usable response came before the deadline. */
type ReadBackResult =
  | { readonly kind: "unread" }
  | { readonly kind: "absent" }
  | {
    readonly kind: "present";
    readonly version: number;
    readonly writeId: string | undefined;
  };

function failUnknown(detail: string) {
  return ResultCodes.fail("storeWriteUnknown", detail);
}

/** Reads the record until a response arrives or `signal` aborts. */
async function readBack(
  exchange: Exchange.Exchange,
  key: string,
  signal: AbortSignal,
): Promise<ReadBackResult> {
  while (!signal.aborted) {
    const call = { method: "GET", path: "/v1/entry", query: { key } } as const;
    const outcome = await exchange.send(call, signal);
    if (outcome.kind === "answered") {
      if (Responses.isAbsent(outcome)) return { kind: "absent" };
      const stored = Responses.tryParseEntry(outcome.body["entry"]);
      if (stored === undefined) return { kind: "unread" };
      const { entry: { version }, writeId } = stored;
      return { kind: "present", version, writeId };
    }
    await Clock.sleep(READ_BACK_INTERVAL_MS, signal);
  }
  return { kind: "unread" };
}

/** Sends the write; after `verifyAfterMs` without a response, reads back whether it took effect. */
async function sendAndVerify(
  exchange: Exchange.Exchange,
  write: Write,
  verifyAfterMs: number,
  signal: AbortSignal,
): Promise<Exchange.CallOutcome | ReadBackResult> {
  const { key, ...body } = write;
  const call = { method: "PUT", path: "/v1/entry", query: { key }, body };
  const sending = exchange.send(call as Exchange.Call, signal);
  const responseArrived = new AbortController();
  sending.then(() => responseArrived.abort());
  await Clock.sleep(
    verifyAfterMs,
    AbortSignal.any([signal, responseArrived.signal]),
  );
  if (responseArrived.signal.aborted) return sending;
  const readSignal = AbortSignal.any([signal, responseArrived.signal]);
  const stored = await readBack(exchange, key, readSignal);
  const isThisWrite = stored.kind === "present" &&
    stored.writeId === write.writeId;
  return isThisWrite ? stored : sending;
}

/**
 * Writes and returns the new version. If the response is lost, reads back the
 * record and resends when needed; `storeWriteUnknown` when the outcome stays
 * unknown. Ends when `signal` aborts.
 */
export async function performCas(
  exchange: Exchange.Exchange,
  write: Write,
  verifyAfterMs: number,
  signal: AbortSignal,
): Promise<Result<number, ResultCodes.Failure>> {
  let detail = "";
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const outcome = await sendAndVerify(exchange, write, verifyAfterMs, signal);
    if (outcome.kind === "present") return Ok(outcome.version);
    if (outcome.kind === "answered") {
      return toCasResult(outcome, write, attempt > 1);
    }
    if (outcome.kind === "not-sent" && attempt === 1) {
      return ResultCodes.fail("storeUnreachable", outcome.detail);
    }
    if ("detail" in outcome) detail = outcome.detail;
    const stored = await readBack(exchange, write.key, signal);
    if (stored.kind !== "present") return failUnknown(detail);
    if (stored.writeId === write.writeId) return Ok(stored.version);
    // Another write changed the record; whether this write took effect before it is unknown.
    if (stored.version !== write.expectedVersion) return failUnknown(detail);
  }
  return failUnknown(detail);
}

function toCasResult(
  response: Extract<Exchange.CallOutcome, { kind: "answered" }>,
  write: Write,
  isResent: boolean,
): Result<number, ResultCodes.Failure> {
  if (response.status === 409) {
    const current = Responses.tryGetConflictingWrite(response);
    if (current?.writeId === write.writeId) return Ok(current.version);
    if (isResent) return failUnknown("the record changed after a lost answer");
  }
  if (response.status !== 200) return Responses.toFailure(response);
  const { version } = response.body;
  return Responses.isVersion(version)
    ? Ok(version)
    : failUnknown("malformed answer");
}

/**
 * Removes the given version. If the response is lost, reads back the record: an
 * absent record counts as success, and the removal is resent while the record
 * still has the expected version.
 * `storeWriteUnknown` when the outcome stays unknown.
 */
export async function performRemove(
  exchange: Exchange.Exchange,
  key: string,
  expectedVersion: number,
  signal: AbortSignal,
): Promise<Result<void, ResultCodes.Failure>> {
  const query = { key, expectedVersion };
  const call = { method: "DELETE", path: "/v1/entry", query } as const;
  let detail = "";
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const outcome = await exchange.send(call, signal);
    if (outcome.kind === "answered") {
      if (outcome.status === 200) return Ok(undefined);
      if (Responses.isAbsent(outcome)) {
        return attempt > 1 ? Ok(undefined) : ResultCodes.fail("storeConflict");
      }
      if (outcome.status === 409 && attempt > 1) return failUnknown(detail);
      return Responses.toFailure(outcome);
    }
    if (outcome.kind === "not-sent" && attempt === 1) {
      return ResultCodes.fail("storeUnreachable", outcome.detail);
    }
    detail = outcome.detail;
    const stored = await readBack(exchange, key, signal);
    if (stored.kind === "absent") return Ok(undefined);
    if (stored.kind === "unread") return failUnknown(detail);
    if (stored.version !== expectedVersion) return failUnknown(detail);
  }
  return failUnknown(detail);
}
