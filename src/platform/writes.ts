/**
 * Writes whose answer may be lost. The record's write id tells whether a write
 * took effect; a write is sent again only while the record still has the
 * version that it expects, because then no earlier attempt has taken effect and
 * at most one attempt ever can.
 */
import { Ok, type Result } from "ts-results-es";
import * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Exchange from "./exchange.ts";
import * as Replies from "./replies.ts";

const MAX_ATTEMPTS = 4;
const READ_BACK_INTERVAL_MS = 50;

/** A compare-and-swap. */
export interface Write {
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: string;
  readonly writeId: string;
  readonly leaseId?: string;
}

/** What reading back found; `unread` when time ran out. */
type Found =
  | { readonly kind: "unread" }
  | { readonly kind: "absent" }
  | {
    readonly kind: "present";
    readonly version: number;
    readonly writeId: string | undefined;
  };

function unknown(detail: string) {
  return ResultCodes.fail("storeWriteUnknown", detail);
}

/** Reads the record until an answer comes or `signal` aborts. */
async function readBack(
  exchange: Exchange.Exchange,
  key: string,
  signal: AbortSignal,
): Promise<Found> {
  while (!signal.aborted) {
    const call = { method: "GET", path: "/v1/entry", query: { key } } as const;
    const reply = await exchange.send(call, signal);
    if (reply.kind === "answered") {
      if (Replies.isAbsent(reply)) return { kind: "absent" };
      const found = Replies.tryEntry(reply.body["entry"]);
      if (found === undefined) return { kind: "unread" };
      const { entry: { version }, writeId } = found;
      return { kind: "present", version, writeId };
    }
    await Clock.sleep(READ_BACK_INTERVAL_MS, signal);
  }
  return { kind: "unread" };
}

/** Sends the write; while its answer is late, looks whether it took effect. */
async function sendWatched(
  exchange: Exchange.Exchange,
  write: Write,
  lateMs: number,
  signal: AbortSignal,
): Promise<Exchange.Reply | Found> {
  const { key, ...body } = write;
  const call = { method: "PUT", path: "/v1/entry", query: { key }, body };
  const sent = exchange.send(call as Exchange.Call, signal);
  const answered = new AbortController();
  sent.then(() => answered.abort());
  await Clock.sleep(lateMs, AbortSignal.any([signal, answered.signal]));
  if (answered.signal.aborted) return sent;
  const stop = AbortSignal.any([signal, answered.signal]);
  const found = await readBack(exchange, key, stop);
  const isOwn = found.kind === "present" && found.writeId === write.writeId;
  return isOwn ? found : sent;
}

/** Writes, and settles a lost answer; returns the new version. Ends when `signal` aborts. */
export async function performCas(
  exchange: Exchange.Exchange,
  write: Write,
  lateMs: number,
  signal: AbortSignal,
): Promise<Result<number, ResultCodes.Failure>> {
  let detail = "";
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const reply = await sendWatched(exchange, write, lateMs, signal);
    if (reply.kind === "present") return Ok(reply.version);
    if (reply.kind === "answered") {
      return readAnswer(reply, write, attempt > 1);
    }
    if (reply.kind === "not-sent" && attempt === 1) {
      return ResultCodes.fail("storeUnreachable", reply.detail);
    }
    if ("detail" in reply) detail = reply.detail;
    const found = await readBack(exchange, write.key, signal);
    if (found.kind !== "present") return unknown(detail);
    if (found.writeId === write.writeId) return Ok(found.version);
    // Another write came after: whether before it was ours can't be told.
    if (found.version !== write.expectedVersion) return unknown(detail);
  }
  return unknown(detail);
}

function readAnswer(
  answer: Extract<Exchange.Reply, { kind: "answered" }>,
  write: Write,
  isResent: boolean,
): Result<number, ResultCodes.Failure> {
  if (answer.status === 409) {
    const current = Replies.tryConflictingWrite(answer);
    if (current?.writeId === write.writeId) return Ok(current.version);
    if (isResent) return unknown("the record changed after a lost answer");
  }
  if (answer.status !== 200) return Replies.toFailure(answer);
  const { version } = answer.body;
  return Replies.isVersion(version) ? Ok(version) : unknown("malformed answer");
}

/** Removes, and settles a lost answer: the version is gone, or it is sent again. */
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
    const reply = await exchange.send(call, signal);
    if (reply.kind === "answered") {
      if (reply.status === 200) return Ok(undefined);
      if (Replies.isAbsent(reply)) {
        return attempt > 1 ? Ok(undefined) : ResultCodes.fail("storeConflict");
      }
      if (reply.status === 409 && attempt > 1) return unknown(detail);
      return Replies.toFailure(reply);
    }
    if (reply.kind === "not-sent" && attempt === 1) {
      return ResultCodes.fail("storeUnreachable", reply.detail);
    }
    detail = reply.detail;
    const found = await readBack(exchange, key, signal);
    if (found.kind === "absent") return Ok(undefined);
    if (found.kind === "unread") return unknown(detail);
    if (found.version !== expectedVersion) return unknown(detail);
  }
  return unknown(detail);
}
