/**
 * Handles requests of a target stand-in. Promise: at most `slots` requests run
 * at a time, the rest is shed as not run; each execution holds its slot until
 * its answer is sent or its connection is closed.
 */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import * as Clock from "../../src/clock.ts";
import * as Answer from "./answer.ts";
import * as Faults from "./faults.ts";
import * as Records from "./records.ts";
import type * as StandIn from "./stand_in.ts";

/** A target just started takes up to this many times as long. */
const COLD_FACTOR = 5;

type Request = Http.IncomingMessage;
type Response = Http.ServerResponse;

/** The service listener's handler. */
export interface Exchange {
  handle(req: Request, res: Response): void;
  /** Marks running requests as crashed. */
  abandonAll(): void;
}

function getHeader(req: Request, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

function getHeadBytes(req: Request): number {
  const fields = Records.toPairs(req.rawHeaders);
  const first = `${req.method} ${req.url} HTTP/1.1\r\n\r\n`.length;
  return fields.reduce((sum, [k, v]) => sum + k.length + v.length + 4, first);
}

/** Number of a query parameter; undefined when absent or not a count. */
function tryGetNumber(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  if (text === null || !/^\d+$/.test(text)) return undefined;
  return Number(text);
}

/** Reads the body; undefined when the connection broke before its end. */
async function readBody(
  req: Request,
): Promise<{ sha256: string; bytes: number } | undefined> {
  const hash = Crypto.createHash("sha256");
  let bytes = 0;
  try {
    for await (const chunk of req) {
      hash.update(chunk);
      bytes += chunk.length;
    }
  } catch {
    return undefined;
  }
  return { sha256: hash.digest("hex"), bytes };
}

function sendJson(res: Response, status: number, value: unknown): void {
  res.writeHead(status, { "Content-Type": "application/json" });
  res.end(JSON.stringify(value));
}

/** Answers `/healthz` and `/load`. */
function answerProbe(
  state: StandIn.StandInState,
  path: string,
  res: Response,
): void {
  state.probes++;
  const { faults, opts } = state;
  const truthBy = (place: Faults.Announcement) =>
    Faults.isAnnouncedBy(faults, place) ? "leaving" : "live";
  if (path === "/healthz") {
    if (faults.health === "hanging") return;
    if (faults.health === "failing") return sendJson(res, 500, {});
    const shown = faults.health === "lying" ? "live" : truthBy("health");
    if (shown === "live") res.removeHeader("Target-State");
    return sendJson(res, 200, { state: shown });
  }
  let inUse = state.inUse;
  if (faults.load?.kind === "frozen") inUse = state.frozenInUse;
  if (faults.load?.kind === "factor") {
    inUse = Math.round(inUse * faults.load.factor);
  }
  sendJson(res, 200, { inUse, slots: opts.slots, state: truthBy("load") });
}

/** Service time in ms, longer while the target is cold. */
function getServiceMs(state: StandIn.StandInState, url: URL): number {
  const baseMs = tryGetNumber(url, "ms") ?? state.opts.serviceMs;
  const coldMs = state.faults.coldMs ?? 0;
  const ageMs = performance.now() - state.coldSinceMs;
  if (ageMs >= coldMs) return baseMs;
  return baseMs * (COLD_FACTOR - (COLD_FACTOR - 1) * (ageMs / coldMs));
}

function isFaultyPath(faults: Faults.Faults, path: string): boolean {
  return faults.only === undefined || path.includes(faults.only);
}

/** Starts the record of a request with what is known before its body. */
function startRecord(
  state: StandIn.StandInState,
  req: Request,
  isShed: boolean,
): Records.OpenRecord {
  const isLeaving = state.faults.leaving === true;
  if (!isShed && isLeaving) state.startedWhileLeaving++;
  return state.records.add({
    execution: isShed ? 0 : ++state.executions,
    requestId: getHeader(req, "anvilroute-request-id"),
    idempotencyKey: getHeader(req, "idempotency-key"),
    account: getHeader(req, "anvilroute-account"),
    method: req.method ?? "",
    path: req.url ?? "",
    headers: Records.toPairs(req.rawHeaders),
    trailers: [],
    bodySha256: "",
    outcome: isShed ? "shed" : "running",
    status: isShed ? 503 : 0,
    isAnswerComplete: false,
    startedMonotonicMs: performance.now(),
    startedWallMs: Date.now(),
    endedWallMs: undefined,
    startedWhileLeaving: isLeaving,
    headBytes: getHeadBytes(req),
    requestBodyBytes: 0,
    responseBodyBytes: 0,
  });
}

/** Creates the handler; `crash` is called for a request that crashes the target. */
export function createExchange(
  state: StandIn.StandInState,
  crash: () => void,
): Exchange {
  const running = new Set<Records.OpenRecord>();

  function shed(req: Request, res: Response): void {
    state.shed++;
    const record = startRecord(state, req, true);
    res.on("finish", () => record.isAnswerComplete = true);
    res.setHeader("Target-Outcome", "not-run");
    req.resume();
    sendJson(res, 503, { error: "all slots are in use" });
    record.endedWallMs = Date.now();
    state.records.note(record);
  }

  /** Waits for the service time; false when the caller or the deadline ended it. */
  async function work(req: Request, res: Response, url: URL): Promise<boolean> {
    const serviceMs = getServiceMs(state, url);
    const deadlineMs = Number(getHeader(req, "anvilroute-deadline-ms"));
    const isLate = deadlineMs > 0 && serviceMs > deadlineMs;
    const gone = new AbortController();
    res.on("close", () => gone.abort());
    if (res.destroyed) gone.abort();
    await Clock.sleep(isLate ? deadlineMs : serviceMs, gone.signal);
    if (gone.signal.aborted) return false;
    if (isLate) sendJson(res, 504, { error: "the deadline passed" });
    return !isLate;
  }

  async function answer(
    req: Request,
    res: Response,
    url: URL,
    record: Records.OpenRecord,
  ): Promise<void> {
    const isFaulty = isFaultyPath(state.faults, record.path);
    const faults = isFaulty ? state.faults : {};
    await Clock.sleep(faults.lateMs ?? 0);
    if (faults.resetAfterExecuting === true) {
      req.socket.resetAndDestroy();
      return;
    }
    const bytes = tryGetNumber(url, "bytes");
    const size = bytes && Math.min(bytes, Answer.MAX_ANSWER_BYTES);
    const echo: Answer.Echo = {
      target: state.opts.id,
      execution: record.execution,
      method: record.method,
      path: record.path,
      account: record.account,
      requestId: record.requestId,
      bodySha256: record.bodySha256,
    };
    record.status = 200;
    await Answer.sendAnswer(res, echo, size, faults, (sent) => {
      record.responseBodyBytes += sent;
    });
  }

  async function execute(req: Request, res: Response): Promise<void> {
    const record = startRecord(state, req, false);
    const url = new URL(record.path, "http://target.invalid");
    running.add(record);
    state.inUse++;
    state.maxInUse = Math.max(state.maxInUse, state.inUse);
    res.on("finish", () => record.isAnswerComplete = true);
    res.on("close", () => {
      state.inUse--;
      running.delete(record);
      record.endedWallMs = Date.now();
      if (record.outcome === "running") record.outcome = "cancelled";
      state.records.note(record);
    });
    if (state.faults.crashOn && record.path.includes(state.faults.crashOn)) {
      return crash();
    }
    const body = await readBody(req);
    if (body === undefined) return;
    record.bodySha256 = body.sha256;
    record.requestBodyBytes = body.bytes;
    record.trailers = Records.toPairs(req.rawTrailers);
    state.records.note(record);
    const isDone = await work(req, res, url);
    if (record.outcome !== "running") return;
    record.outcome = isDone ? "executed" : "cancelled";
    if (isDone) await answer(req, res, url, record);
    else record.status = res.writableEnded ? 504 : 0;
  }

  function handle(req: Request, res: Response): void {
    const path = (req.url ?? "").split("?")[0] ?? "";
    const isProbe = path === "/healthz" || path === "/load";
    // Without `announceBy` the header stands on probes' answers too.
    const isMarked = isProbe && state.faults.announceBy !== undefined
      ? false
      : Faults.isAnnouncedBy(state.faults, "header");
    if (isMarked) res.setHeader("Target-State", "leaving");
    res.setHeader("Target-Id", state.opts.id);
    // A broken connection shows in the record; it is no error of the stand-in.
    res.on("error", () => {});
    if (isProbe) {
      return answerProbe(state, path, res);
    }
    const isFull = state.inUse >= state.opts.slots;
    if (isFull || state.faults.shedAll === true) return shed(req, res);
    void execute(req, res);
  }

  return {
    handle,
    abandonAll() {
      for (const record of running) record.outcome = "crashed";
    },
  };
}
