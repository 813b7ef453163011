/**
 * One exchange with a target over HTTP/1.1. Guarantee: the caller receives the
 * complete response to its own request or learns that it did not.
 *
 * No connection carries two exchanges. The target may close a reused connection
 * just as the next request leaves, and then it is unknown whether that request
 * ran. An unsolicited response on a reused connection would be mistaken for
 * the response to the next request. Reads may use a connection that was opened ahead
 * of the request and has not been used.
 */
import type * as Net from "node:net";
import * as Undici from "undici";
import type * as Contracts from "../contracts.ts";
import type * as Body from "./body.ts";
import * as Dispatch from "./dispatch.ts";
import type * as Headers from "./headers.ts";
import * as OverheadGuard from "../overhead_guard.ts";
import * as ResponseGuard from "../response_guard.ts";
import * as Preconnect from "./preconnect.ts";

/**
 * Reason for destroying a connection after its exchange. All exchanges share this
 * error: otherwise undici creates an error for each, and the stack trace takes a
 * third of an exchange's processor time.
 */
const EXCHANGE_ENDED = new Error("the exchange has ended");
const EXCESS_BYTES = new Error("the target sends bytes that are no response");

/** A request to a target. */
export interface TargetRequest {
  /** `host:port` of the target. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Headers.HeaderPairs;
  readonly body: Body.RequestBody;
  /**
   * Returns how many idle connections to the target may be opened ahead of
   * requests. When set, the request may use such a connection. Only for requests
   * that may be repeated, because the target may close an idle connection just as
   * the request leaves.
   */
  readonly getPreconnectLimit?: (() => number) | undefined;
}

/** Receives a long response while it arrives. */
export interface ResponseSink {
  start(status: number, headers: Headers.HeaderPairs): void;
  /** Resolves when the sink accepts the next chunk; rejects when the caller has disconnected. */
  write(chunk: Buffer): Promise<void>;
}

/** How the exchange ended. */
export type ExchangeResult =
  | {
    readonly kind: "response";
    readonly response: Contracts.StoredResponse;
    readonly rawHeaders: Headers.HeaderPairs;
  }
  /** A long response was written to the sink completely. */
  | { readonly kind: "streamed"; readonly status: number }
  /** No byte of the request was sent. */
  | { readonly kind: "not-sent"; readonly reason: string }
  /** The connection was lost, or the exchange aborted, after the request may have been sent. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    /** True when a part of the response was written to the sink. */
    readonly isResponseStarted: boolean;
    /** True when the caller's body was cut off or exceeded the limit, which is no fault of the target. */
    readonly isBodyAborted: boolean;
    /** True when bytes arrived that are no valid response. */
    readonly isInvalid: boolean;
  };

/** Sends requests to targets. */
export interface Exchanger {
  /** Resolves when the response is complete, the connection is lost, or `signal` aborts. */
  exchange(
    req: TargetRequest,
    sink: ResponseSink,
    signal: AbortSignal,
    /** Delays each chunk of the response, given its size in bytes, until it resolves; this slows the target. */
    throttle?: (bytes: number) => Promise<void>,
  ): Promise<ExchangeResult>;
  /** Destroys all connections. */
  close(): Promise<void>;
}

/** Creates an exchanger. Responses up to `bufferBytes` are buffered until they are complete. */
export function createExchanger(opts: {
  readonly bufferBytes: number;
  /** Source IP address of connections. */
  readonly localAddress?: string | undefined;
  /** Opens connections ahead of requests; closed together with the exchanger. */
  readonly preconnector?: Preconnect.Preconnector;
}): Exchanger {
  const { localAddress } = opts;
  const preconnector = opts.preconnector ??
    Preconnect.createPreconnector({ localAddress });
  const localOptions = localAddress === undefined ? {} : { localAddress };
  const clientOptions = {
    ...localOptions,
    headersTimeout: 0,
    bodyTimeout: 0,
  };
  const clients = new Set<Undici.Client>();

  /**
   * Creates a client whose connection carries one exchange. The request has no
   * `connection: close`, because reading a response can't be paused on a connection
   * that closes after it (see `isKeptOpen` in dispatch.ts).
   */
  function createClient(
    { address, getPreconnectLimit }: TargetRequest,
    onPreconnected: () => void,
    onSocket: (socket: Net.Socket) => void,
  ): Undici.Client {
    const connect = getPreconnectLimit === undefined
      ? preconnector.connect
      : preconnector.createConnector(address, onPreconnected);
    const client = new Undici.Client(`http://${address}`, {
      ...clientOptions,
      connect: (connectOpts, callback) =>
        connect(connectOpts, (...result) => {
          const [err, socket] = result;
          if (err === null) onSocket(socket);
          callback(...result);
        }),
    });
    clients.add(client);
    return client;
  }

  function destroyClient(client: Undici.Client): void {
    clients.delete(client);
    void client.destroy(EXCHANGE_ENDED);
  }

  /** Opens a connection for the next request: a target that has just responded is likely to receive more. */
  function preconnectAfterResponse(
    req: TargetRequest,
    result: ExchangeResult,
  ): void {
    const { address, getPreconnectLimit } = req;
    const hasResponse = result.kind === "response" ||
      result.kind === "streamed";
    if (!hasResponse || getPreconnectLimit === undefined) return;
    // Lets the response be sent to the caller first.
    setImmediate(() => preconnector.open(address, getPreconnectLimit));
  }

  function exchange(
    req: TargetRequest,
    sink: ResponseSink,
    signal: AbortSignal,
    throttle?: (bytes: number) => Promise<void>,
  ): Promise<ExchangeResult> {
    let isPreconnected = false;
    let overhead: OverheadGuard.OverheadGuard | undefined;
    const client = createClient(
      req,
      () => isPreconnected = true,
      (socket) => {
        ResponseGuard.watchResponses(socket);
        overhead = OverheadGuard.watchOverhead(
          socket,
          () => socket.destroy(EXCESS_BYTES),
        );
      },
    );
    return new Promise((resolve) => {
      const dispatchOpts = {
        req,
        sink,
        bufferBytes: opts.bufferBytes,
        throttle,
        isPreconnected: () => isPreconnected,
        onBodyBytes: (bytes: number) => overhead?.addBody(bytes),
        resolve(result: ExchangeResult) {
          destroyClient(client);
          preconnectAfterResponse(req, result);
          resolve(result);
        },
      };
      Dispatch.dispatch(client, dispatchOpts, signal);
    });
  }

  return {
    exchange,
    async close() {
      preconnector.close();
      await Promise.all([...clients].map((client) => client.destroy()));
    },
  };
}
