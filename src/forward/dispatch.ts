/** The course of one exchange: sends the request, holds the answer back or passes it on. */
import type * as Undici from "undici";
import * as Debug from "../debug.ts";
import type * as Body from "./body.ts";
import type * as Exchange from "./exchange.ts";
import * as Headers from "./headers.ts";

/** What a server answers on a connection on which no request came in time. */
const STATUS_REQUEST_TIMEOUT = 408;
/** Bound of an answer's part that waits when its sender can't be held back. */
const MAX_WAITING_BYTES = 8 * 1024 * 1024;

/** One exchange on its way. */
export interface ExchangeState {
  readonly req: Exchange.TargetRequest;
  readonly sink: Exchange.ResponseSink;
  readonly bufferBytes: number;
  readonly throttle: ((bytes: number) => Promise<void>) | undefined;
  /** True when the connection was opened before the request came. */
  readonly isPreconnected: () => boolean;
  readonly resolve: (result: Exchange.ExchangeResult) => void;
}

async function* watchBody(
  body: AsyncIterable<Buffer>,
  onError: () => void,
): AsyncGenerator<Buffer> {
  try {
    yield* body;
  } catch (err) {
    onError();
    throw err;
  }
}

function getDispatchBody(
  body: Body.RequestBody,
  onError: () => void,
): Buffer | AsyncIterable<Buffer> | undefined {
  switch (body.kind) {
    case "none":
      return undefined;
    case "whole":
      return body.data;
    case "stream":
      return watchBody(body.all, onError);
    default:
      return Debug.assertNever(body);
  }
}

function getHeaderList(req: Exchange.TargetRequest): string[] {
  const list = req.headers.flatMap(([name, value]) => [name, value]);
  const { body } = req;
  if (body.kind === "stream" && body.length !== undefined) {
    list.push("content-length", String(body.length));
  }
  return list;
}

/** Sends the request on the dispatcher's connection and resolves the exchange. */
export function dispatch(
  dispatcher: Undici.Dispatcher,
  state: ExchangeState,
  signal: AbortSignal,
): void {
  const { req, sink } = state;
  let controller: Undici.Dispatcher.DispatchController | undefined;
  let isSettled = false;
  let isStarted = false;
  let isBodyBroken = false;
  let status = 0;
  let rawHeaders: Headers.HeaderPairs = [];
  let chunks: Buffer[] = [];
  let size = 0;
  let writing = Promise.resolve();
  let isHoldable = false;
  let waitingBytes = 0;

  function settle(result: Exchange.ExchangeResult): void {
    if (isSettled) return;
    isSettled = true;
    signal.removeEventListener("abort", onAbort);
    state.resolve(result);
  }

  function settleError(reason: string): void {
    settle(
      controller === undefined
        ? { kind: "not-sent", reason }
        : { kind: "broke", reason, isStarted, isBodyBroken },
    );
  }

  function onAbort(): void {
    // Settled first: the error that follows the abort must not decide again.
    settleError("aborted");
    controller?.abort(new Error("aborted"));
  }

  async function startSink(): Promise<void> {
    isStarted = true;
    sink.start(status, Headers.filterResponseHeaders(rawHeaders));
    const held = chunks;
    chunks = [];
    for (const chunk of held) await sink.write(chunk);
  }

  async function passOn(chunk: Buffer): Promise<void> {
    await state.throttle?.(chunk.length);
    size += chunk.length;
    if (isStarted) return await sink.write(chunk);
    chunks.push(chunk);
    if (size > state.bufferBytes) await startSink();
  }

  /** Keeps a chunk of a short answer at once; false when it has to wait or be passed on. */
  function tryHold(chunk: Buffer): boolean {
    const isPlain = state.throttle === undefined && !isStarted;
    if (!isPlain || size + chunk.length > state.bufferBytes) return false;
    size += chunk.length;
    chunks.push(Buffer.from(chunk));
    return true;
  }

  function finish(): void {
    if (isStarted) return settle({ kind: "streamed", status });
    const headers = Headers.filterResponseHeaders(rawHeaders);
    const body = Buffer.concat(chunks);
    settle({ kind: "answer", answer: { status, headers, body }, rawHeaders });
  }

  if (signal.aborted) return settleError("aborted");
  signal.addEventListener("abort", onAbort, { once: true });
  dispatcher.dispatch(
    {
      origin: `http://${req.address}`,
      method: req.method as Undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: getHeaderList(req),
      // undici's types leave out async iterables, which it accepts.
      body: (getDispatchBody(req.body, () => isBodyBroken = true) ?? null) as
        | Buffer
        | null,
    },
    {
      onRequestStart(started) {
        if (isSettled) return started.abort(new Error("aborted"));
        controller = started;
      },
      onResponseStart(_controller, statusCode, _headers) {
        if (statusCode < 200) return;
        const isUnasked = statusCode === STATUS_REQUEST_TIMEOUT &&
          state.isPreconnected();
        if (isUnasked) {
          const reason = "the connection waited too long for the request";
          return _controller.abort(new Error(reason));
        }
        status = statusCode;
        rawHeaders = toHeaderPairs(_controller, _headers);
        isHoldable = canHoldBack(rawHeaders);
      },
      onResponseData(flow, chunk) {
        // After a pause undici's parser repeats an empty chunk, and pausing for it would loop.
        if (chunk.length === 0) return;
        if (tryHold(chunk)) return;
        waitingBytes += chunk.length;
        if (isHoldable) flow.pause();
        else if (waitingBytes > MAX_WAITING_BYTES) {
          return flow.abort(new Error("the answer outgrew its buffer"));
        }
        // The buffer belongs to the parser's read and is copied before the wait.
        const copy = Buffer.from(chunk);
        writing = writing.then(() => passOn(copy)).then(
          () => {
            waitingBytes -= copy.length;
            if (isHoldable) flow.resume();
          },
          (err) => flow.abort(err instanceof Error ? err : new Error("sink")),
        );
      },
      onResponseEnd() {
        writing.then(finish, (err) => settleError(String(err)));
      },
      onResponseError(_controller, err) {
        writing.finally(() => settleError(err.message));
      },
    },
  );
}

/**
 * True when the connection outlives the answer. undici's parser (7.30.2) fails an
 * assertion, which ends the process, when a connection that is to close ends
 * while the answer is paused.
 */
function canHoldBack(headers: Headers.HeaderPairs): boolean {
  const get = (wanted: string) =>
    headers.filter(([name]) => name.toLowerCase() === wanted)
      .map(([, value]) => value.toLowerCase()).join(",");
  const isClosing = get("connection").includes("close");
  const hasEnd = get("content-length") !== "" ||
    get("transfer-encoding").includes("chunked");
  return hasEnd && !isClosing;
}

function toHeaderPairs(
  controller: Undici.Dispatcher.DispatchController,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Headers.HeaderPairs {
  const raw = controller.rawHeaders;
  if (Array.isArray(raw)) {
    return Headers.toPairs(raw.map((part) => part.toString()));
  }
  return Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? ""])
      .map((one) => [name, one] as const)
  );
}
