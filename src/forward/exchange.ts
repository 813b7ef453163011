/**
 * One exchange with a target over HTTP/1.1. Promise: the caller gets the whole
 * answer to its own request or learns that it did not. Each exchange has a
 * connection of its own: on a reused one the target may close just as the next
 * request leaves, and then nobody knows whether it ran, or an answer that nobody
 * asked for is taken for the next request's own. Reads may use a connection that
 * was opened ahead and never used.
 */
import * as Undici from "undici";
import type * as Contracts from "../contracts.ts";
import type * as Body from "./body.ts";
import * as Headers from "./headers.ts";
import * as Preconnect from "./preconnect.ts";

/** What a server answers on a connection on which no request came in time. */
const STATUS_REQUEST_TIMEOUT = 408;
/**
 * Why a connection is destroyed at the end of its exchange. One for all: undici
 * would make an error of its own each time, whose stack trace took a third of an
 * exchange's processor time.
 */
const EXCHANGE_ENDED = new Error("the exchange has ended");
/** Bound of an answer's part that waits when its sender can't be held back. */
const MAX_WAITING_BYTES = 8 * 1024 * 1024;

/** A request for a target. */
export interface TargetRequest {
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Headers.HeaderPairs;
  readonly body: Body.RequestBody;
  /**
   * Connections that may wait at the target for requests like this one, which
   * then may use them. Only for requests that may be repeated: the target may
   * close such a connection just as the request leaves.
   */
  readonly getPreconnectLimit?: (() => number) | undefined;
}

/** Where a long answer goes while it arrives. */
export interface AnswerSink {
  start(status: number, headers: Headers.HeaderPairs): void;
  /** Resolves when more may come. */
  write(chunk: Buffer): Promise<void>;
}

/** How the exchange ended. */
export type ExchangeResult =
  | {
    readonly kind: "answer";
    readonly answer: Contracts.StoredAnswer;
    readonly rawHeaders: Headers.HeaderPairs;
  }
  /** All of a long answer went into the sink. */
  | { readonly kind: "streamed"; readonly status: number }
  /** No byte of the request left. */
  | { readonly kind: "not-sent"; readonly reason: string }
  /** Broke after the request may have left; `isStarted` when the sink got a part of the answer. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    readonly isStarted: boolean;
    /** The caller's body broke off or grew over the limit; the target is not to blame. */
    readonly isBodyBroken: boolean;
  };

/** Sends requests to targets. */
export interface Exchanger {
  /** Ends when the answer is whole, the exchange broke, or `signal` aborts. */
  exchange(
    req: TargetRequest,
    sink: AnswerSink,
    signal: AbortSignal,
    /** Called for each chunk of the answer before it is passed on, to hold back its sender. */
    throttle?: (bytes: number) => Promise<void>,
  ): Promise<ExchangeResult>;
  close(): Promise<void>;
}

interface ExchangeState {
  readonly req: TargetRequest;
  readonly sink: AnswerSink;
  readonly bufferBytes: number;
  readonly throttle: ((bytes: number) => Promise<void>) | undefined;
  readonly isPreconnected: () => boolean;
  readonly resolve: (result: ExchangeResult) => void;
}

/** Creates the connections' owner. Answers up to `bufferBytes` are held back until they are whole. */
export function createExchanger(opts: {
  readonly bufferBytes: number;
  /** Source IP of connections. */
  readonly localAddress?: string | undefined;
  /** The owner of connections opened ahead; ends with the exchanger. */
  readonly preconnector?: Preconnect.Preconnector;
}): Exchanger {
  const { localAddress } = opts;
  const preconnector = opts.preconnector ??
    Preconnect.createPreconnector({ localAddress });
  const local = localAddress === undefined ? {} : { localAddress };
  const common = {
    ...local,
    headersTimeout: 0,
    bodyTimeout: 0,
  };
  const singles = new Set<Undici.Client>();

  /**
   * A connection for one exchange. It does not ask the target to close it, because
   * an answer on a connection that ends can't be held back (see `canHoldBack`).
   */
  function createSingle(
    { address, getPreconnectLimit }: TargetRequest,
    onPreconnected: () => void,
  ): Undici.Client {
    const connect = getPreconnectLimit === undefined
      ? preconnector.connect
      : preconnector.createConnect(address, onPreconnected);
    const client = new Undici.Client(`http://${address}`, {
      ...common,
      connect,
    });
    singles.add(client);
    return client;
  }

  function endSingle(client: Undici.Client): void {
    singles.delete(client);
    void client.destroy(EXCHANGE_ENDED);
  }

  /** A target that has just answered is likely to get more requests. */
  function openAhead(req: TargetRequest, result: ExchangeResult): void {
    const { address, getPreconnectLimit } = req;
    const isAnswered = result.kind === "answer" || result.kind === "streamed";
    if (!isAnswered || getPreconnectLimit === undefined) return;
    // Not before the answer is on its way to the caller.
    setImmediate(() => preconnector.open(address, getPreconnectLimit));
  }

  function exchange(
    req: TargetRequest,
    sink: AnswerSink,
    signal: AbortSignal,
    throttle?: (bytes: number) => Promise<void>,
  ): Promise<ExchangeResult> {
    let isPreconnected = false;
    const single = createSingle(req, () => isPreconnected = true);
    return new Promise((resolve) => {
      const state = {
        req,
        sink,
        bufferBytes: opts.bufferBytes,
        throttle,
        isPreconnected: () => isPreconnected,
        resolve(result: ExchangeResult) {
          endSingle(single);
          openAhead(req, result);
          resolve(result);
        },
      };
      dispatch(single, state, signal);
    });
  }

  return {
    exchange,
    async close() {
      preconnector.close();
      await Promise.all([...singles].map((one) => one.destroy()));
    },
  };
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
  }
}

function getHeaderList(req: TargetRequest): string[] {
  const list = req.headers.flatMap(([name, value]) => [name, value]);
  const { body } = req;
  if (body.kind === "stream" && body.length !== undefined) {
    list.push("content-length", String(body.length));
  }
  return list;
}

function dispatch(
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

  function settle(result: ExchangeResult): void {
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
