/** Request bodies: buffered up to a limit before a target is chosen, streamed beyond it. */
import type * as Http from "node:http";
import { Ok, type Result } from "ts-results-es";
import * as BodyBuffer from "../body_buffer.ts";
import * as ResultCodes from "../result_codes.ts";

/** Body of a caller's request. Only a body of kind `whole` can be sent a second time. */
export type RequestBody =
  | { readonly kind: "none" }
  | { readonly kind: "whole"; readonly data: Buffer }
  | {
    readonly kind: "stream";
    /** Bytes that were read before the target was chosen. */
    readonly head: Buffer;
    /** The complete body, `head` included; rejects when the body exceeds the limit or the caller disconnects. */
    readonly chunks: AsyncIterable<Buffer>;
    /** Declared length in bytes; undefined with chunked encoding. */
    readonly length: number | undefined;
  };

/** Limits of request bodies, in bytes. */
export interface BodyLimits {
  /** Longer bodies are rejected. */
  readonly maxBytes: number;
  /** Longer bodies are streamed. */
  readonly bufferBytes: number;
}

function hasBody(req: Http.IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

async function* streamChunks(
  head: Buffer,
  source: AsyncIterator<Buffer>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let receivedBytes = head.length;
  yield head;
  for (;;) {
    const result = await source.next();
    if (result.done === true) return;
    receivedBytes += result.value.length;
    if (receivedBytes > maxBytes) throw new Error("request body too large");
    yield result.value;
  }
}

/**
 * Reads a body until it ends or more than `bufferBytes` have arrived. Fails with
 * `bodyTooLarge`, or with `queueFull` when `signal` aborts first.
 */
export async function readBody(
  req: Http.IncomingMessage,
  limits: BodyLimits,
  signal: AbortSignal,
): Promise<Result<RequestBody, ResultCodes.Failure>> {
  if (!hasBody(req)) return Ok({ kind: "none" });
  const declared = req.headers["content-length"];
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > limits.maxBytes) {
    return ResultCodes.fail("bodyTooLarge", `limit ${limits.maxBytes} bytes`);
  }
  const body = BodyBuffer.createBodyBuffer();
  const source = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const reader = createAbortableReader(source, signal);
  while (body.getBytes() <= limits.bufferBytes) {
    const result = await reader.next();
    if (result === undefined) {
      return ResultCodes.fail("queueFull", "the body did not arrive in time");
    }
    if (result.done === true) {
      reader.dispose();
      return Ok({ kind: "whole", data: body.take() });
    }
    body.append(result.value);
    if (body.getBytes() > limits.maxBytes) {
      return ResultCodes.fail("bodyTooLarge", `limit ${limits.maxBytes} bytes`);
    }
  }
  reader.dispose();
  const head = body.take();
  return Ok({
    kind: "stream",
    head,
    chunks: streamChunks(head, source, limits.maxBytes),
    length,
  });
}

/** Reads chunks until `signal` aborts; then `next` resolves with undefined, also while it waits. */
function createAbortableReader(
  source: AsyncIterator<Buffer>,
  signal: AbortSignal,
): {
  next(): Promise<IteratorResult<Buffer, undefined> | undefined>;
  dispose(): void;
} {
  let abortWait = () => {};
  const listener = () => abortWait();
  signal.addEventListener("abort", listener, { once: true });
  return {
    // A race against one promise for the signal would keep each chunk's result until the end.
    next: () =>
      new Promise((resolve, reject) => {
        abortWait = () => resolve(undefined);
        if (signal.aborted) return resolve(undefined);
        source.next().then(resolve, reject);
      }),
    dispose: () => signal.removeEventListener("abort", listener),
  };
}
