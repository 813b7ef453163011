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
import * as Dispatch from "./dispatch.ts";
import type * as Headers from "./headers.ts";
import * as Preconnect from "./preconnect.ts";

/**
 * Why a connection is destroyed at the end of its exchange. One for all: undici
 * would make an error of its own each time, whose stack trace took a third of an
 * exchange's processor time.
 */
const EXCHANGE_ENDED = new Error("the exchange has ended");
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
export interface ResponseSink {
  start(status: number, headers: Headers.HeaderPairs): void;
  /** Resolves when more may come. */
  write(chunk: Buffer): Promise<void>;
}

/** How the exchange ended. */
export type ExchangeResult =
  | {
    readonly kind: "answer";
    readonly answer: Contracts.StoredResponse;
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
    sink: ResponseSink,
    signal: AbortSignal,
    /** Called for each chunk of the answer before it is passed on, to hold back its sender. */
    throttle?: (bytes: number) => Promise<void>,
  ): Promise<ExchangeResult>;
  close(): Promise<void>;
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
   * an answer on a connection that ends can't be held back (see `canHoldBack` in
   * dispatch.ts).
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
    sink: ResponseSink,
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
      Dispatch.dispatch(single, state, signal);
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
