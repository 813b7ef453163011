/** Runs one exchange: sends the request, then buffers a short response or forwards a long one. */
import type * as Undici from "undici";
import * as BodyBuffer from "../body_buffer.ts";
import * as ResponseGuard from "../response_guard.ts";
import * as Debug from "../debug.ts";
import type * as Body from "./body.ts";
import type * as Exchange from "./exchange.ts";
import * as Headers from "./headers.ts";

/** Servers send this status on a connection on which no request arrived within their timeout. */
const STATUS_REQUEST_TIMEOUT = 408;
/** Limits the response bytes that wait for the sink while the target can't be paused. */
const MAX_PENDING_BYTES = 8 * 1024 * 1024;
/** Memory of a chunk that waits for the sink, in addition to its bytes. */
const PENDING_CHUNK_BYTES = 512;

/** Inputs of one exchange, and the callback that receives its result. */
export interface DispatchOptions {
  readonly req: Exchange.TargetRequest;
  readonly sink: Exchange.ResponseSink;
  /** Responses up to this size are buffered until they are complete. */
  readonly bufferBytes: number;
  /** Resolves when the given number of response bytes may be forwarded. */
  readonly throttle: ((bytes: number) => Promise<void>) | undefined;
  /** True when the connection was opened before the request arrived. */
  readonly isPreconnected: () => boolean;
  /** Called for each part of the response's body. */
  readonly onBodyBytes: (bytes: number) => void;
  readonly resolve: (result: Exchange.ExchangeResult) => void;
}

async function* reportBodyError(
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
      return reportBodyError(body.chunks, onError);
    default:
      return Debug.assertNever(body);
  }
}

function getRawHeaders(req: Exchange.TargetRequest): string[] {
  const list = req.headers.flatMap(([name, value]) => [name, value]);
  const { body } = req;
  if (body.kind === "stream" && body.length !== undefined) {
    list.push("content-length", String(body.length));
  }
  return list;
}

/** Sends the request on the dispatcher's connection and passes the result to `opts.resolve`. */
export function dispatch(
  dispatcher: Undici.Dispatcher,
  opts: DispatchOptions,
  signal: AbortSignal,
): void {
  const { req, sink } = opts;
  let activeController: Undici.Dispatcher.DispatchController | undefined;
  let isSettled = false;
  let isResponseStarted = false;
  let isBodyAborted = false;
  let status = 0;
  let rawHeaders: Headers.HeaderPairs = [];
  const bufferedBody = BodyBuffer.createBodyBuffer();
  let pendingWrites = Promise.resolve();
  let canPauseSender = false;
  let pendingBytes = 0;

  function settle(result: Exchange.ExchangeResult): void {
    if (isSettled) return;
    isSettled = true;
    signal.removeEventListener("abort", onAbort);
    opts.resolve(result);
  }

  function settleError(reason: string, isInvalid = false): void {
    settle(
      activeController === undefined ? { kind: "not-sent", reason } : {
        kind: "broke",
        reason,
        isResponseStarted,
        isBodyAborted,
        isInvalid,
      },
    );
  }

  function onAbort(): void {
    // Settles before the abort, which causes an error that would settle with another reason.
    settleError("aborted");
    activeController?.abort(new Error("aborted"));
  }

  async function startResponse(): Promise<void> {
    isResponseStarted = true;
    sink.start(status, Headers.filterResponseHeaders(rawHeaders));
    await sink.write(bufferedBody.take());
  }

  async function forwardChunk(chunk: Buffer): Promise<void> {
    await opts.throttle?.(chunk.length);
    if (isResponseStarted) return await sink.write(chunk);
    bufferedBody.append(chunk);
    if (bufferedBody.getBytes() > opts.bufferBytes) await startResponse();
  }

  /** Buffers a chunk of a short response; returns false when the chunk must be throttled or forwarded. */
  function tryBufferChunk(chunk: Buffer): boolean {
    const isBuffering = opts.throttle === undefined && !isResponseStarted;
    const bytes = bufferedBody.getBytes() + chunk.length;
    if (!isBuffering || bytes > opts.bufferBytes) return false;
    bufferedBody.append(chunk);
    return true;
  }

  function finish(): void {
    if (isResponseStarted) return settle({ kind: "streamed", status });
    const headers = Headers.filterResponseHeaders(rawHeaders);
    const body = bufferedBody.take();
    settle({
      kind: "response",
      response: { status, headers, body },
      rawHeaders,
    });
  }

  if (signal.aborted) return settleError("aborted");
  signal.addEventListener("abort", onAbort, { once: true });
  dispatcher.dispatch(
    {
      origin: `http://${req.address}`,
      method: req.method as Undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: getRawHeaders(req),
      // undici accepts async iterables, but its types do not include them.
      body: (getDispatchBody(req.body, () => isBodyAborted = true) ?? null) as
        | Buffer
        | null,
    },
    {
      onRequestStart(controller) {
        if (isSettled) return controller.abort(new Error("aborted"));
        activeController = controller;
      },
      onResponseStart(controller, statusCode, headers) {
        if (statusCode < 200) return;
        const isUnsolicited = statusCode === STATUS_REQUEST_TIMEOUT &&
          opts.isPreconnected();
        if (isUnsolicited) {
          const reason = "the target timed out the idle connection";
          return controller.abort(new Error(reason));
        }
        status = statusCode;
        rawHeaders = toHeaderPairs(controller, headers);
        canPauseSender = isKeptOpen(rawHeaders);
      },
      onResponseData(controller, chunk) {
        // undici's parser repeats an empty chunk after a pause; pausing for it would loop.
        if (chunk.length === 0) return;
        opts.onBodyBytes(chunk.length);
        if (tryBufferChunk(chunk)) return;
        const chunkBytes = chunk.length + PENDING_CHUNK_BYTES;
        pendingBytes += chunkBytes;
        if (canPauseSender) controller.pause();
        else if (pendingBytes > MAX_PENDING_BYTES) {
          return controller.abort(new Error("the response exceeds its buffer"));
        }
        // Copies the chunk, because the parser reuses its memory after this callback.
        const copy = Buffer.from(chunk);
        pendingWrites = pendingWrites.then(() => forwardChunk(copy)).then(
          () => {
            pendingBytes -= chunkBytes;
            if (canPauseSender) controller.resume();
          },
          (err) =>
            controller.abort(
              err instanceof Error ? err : new Error("the sink failed"),
            ),
        );
      },
      onResponseEnd() {
        pendingWrites.then(finish, (err) => settleError(String(err)));
      },
      onResponseError(_controller, err) {
        const isInvalid = ResponseGuard.tryGetFirstBytes(err) !== undefined;
        pendingWrites.finally(() => settleError(err.message, isInvalid));
      },
    },
  );
}

/**
 * True when the connection stays open after the response, so that reading may be
 * paused. undici's parser (7.30.2) fails an assertion, which ends the process,
 * when a connection that closes after the response ends during a pause.
 */
function isKeptOpen(headers: Headers.HeaderPairs): boolean {
  const getValue = (wantedName: string) =>
    headers.filter(([name]) => name.toLowerCase() === wantedName)
      .map(([, value]) => value.toLowerCase()).join(",");
  const isClosing = getValue("connection").includes("close");
  const hasEnd = getValue("content-length") !== "" ||
    getValue("transfer-encoding").includes("chunked");
  return hasEnd && !isClosing;
}

function toHeaderPairs(
  controller: Undici.Dispatcher.DispatchController,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Headers.HeaderPairs {
  const rawHeaders = controller.rawHeaders;
  if (Array.isArray(rawHeaders)) {
    return Headers.toPairs(rawHeaders.map((item) => item.toString()));
  }
  return Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? ""])
      .map((item) => [name, item] as const)
  );
}
