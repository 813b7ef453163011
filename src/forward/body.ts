/** Request bodies: buffered up to a limit before a target is chosen, streamed beyond it. */
import type * as Http from "node:http";
import { type Err, Ok, type Result } from "ts-results-es";
import * as CountedBody from "../counted_body.ts";
import type * as MemoryBudget from "../memory_budget.ts";
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

/** A body, or its start, with the memory that it takes. */
export interface ReceivedBody {
  readonly body: RequestBody;
  /** Keeps the memory until `use` has settled, also beyond `release`. */
  keepUntil(use: Promise<unknown>): void;
  /** Returns the memory once nothing uses it; called when the request has ended. */
  release(): void;
}

/** Limits of request bodies. */
export interface BodyLimits {
  /** Longer bodies are rejected, bytes. */
  readonly maxBytes: number;
  /** Longer bodies are streamed, bytes. */
  readonly bufferBytes: number;
  /** Memory for what is buffered of all bodies. */
  readonly memory: MemoryBudget.MemoryBudget;
}

const NO_BODY: ReceivedBody = {
  body: { kind: "none" },
  keepUntil: () => {},
  release: () => {},
};

function createReceivedBody(
  body: RequestBody,
  releaseMemory: () => void,
): ReceivedBody {
  let uses = 1;
  function release(): void {
    uses--;
    if (uses === 0) releaseMemory();
  }
  return {
    body,
    keepUntil(use) {
      uses++;
      use.then(release, release);
    },
    release,
  };
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
 * `bodyTooLarge`, with `memoryFull` when the memory is needed for others, or with
 * `queueFull` when `signal` aborts first.
 */
export async function readBody(
  req: Http.IncomingMessage,
  limits: BodyLimits,
  signal: AbortSignal,
): Promise<Result<ReceivedBody, ResultCodes.Failure>> {
  if (!hasBody(req)) return Ok(NO_BODY);
  const declared = req.headers["content-length"];
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > limits.maxBytes) {
    return ResultCodes.fail("bodyTooLarge", `limit ${limits.maxBytes} bytes`);
  }
  const source = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const reader = createAbortableReader(source, signal);
  const isWhole = length !== undefined && length <= limits.bufferBytes;
  const body = CountedBody.createCountedBody({
    memory: limits.memory,
    maxBytes: limits.maxBytes,
    expectedBytes: isWhole ? length : 0,
    // Without growth it leaves no garbage but itself, and a mapping would take longer.
    maxHeapBytes: isWhole ? limits.bufferBytes : undefined,
    onGivenUp: reader.abort,
  });
  function stop(): void {
    reader.dispose();
    body.release();
  }
  function fail(
    name: ResultCodes.CodeName,
    detail = "",
  ): Err<ResultCodes.Failure> {
    stop();
    return ResultCodes.fail(name, detail);
  }

  body.reserve();
  while (body.getBytes() <= limits.bufferBytes) {
    const result = await reader.next().catch((err) => {
      stop();
      throw err;
    });
    if (result === undefined) {
      return signal.aborted
        ? fail("queueFull", "the body did not arrive in time")
        : fail("memoryFull");
    }
    if (result.done === true) {
      // It may have been given up after its end was read.
      const data = body.tryComplete();
      if (data === undefined) return fail("memoryFull");
      reader.dispose();
      return Ok(createReceivedBody({ kind: "whole", data }, body.release));
    }
    if (body.getBytes() + result.value.length > limits.maxBytes) {
      return fail("bodyTooLarge", `limit ${limits.maxBytes} bytes`);
    }
    if (!body.tryAppend(result.value)) return fail("memoryFull");
  }
  const head = body.tryTakeStart();
  if (head === undefined) return fail("memoryFull");
  reader.dispose();
  const chunks = streamChunks(head, source, limits.maxBytes);
  const stream: RequestBody = { kind: "stream", head, chunks, length };
  return Ok(createReceivedBody(stream, body.release));
}

/** Reads chunks until `signal` or `abort` aborts; then `next` resolves with undefined, also while it waits. */
function createAbortableReader(
  source: AsyncIterator<Buffer>,
  signal: AbortSignal,
): {
  next(): Promise<IteratorResult<Buffer, undefined> | undefined>;
  abort(): void;
  dispose(): void;
} {
  let isAborted = signal.aborted;
  let abortWait = () => {};
  function abort(): void {
    isAborted = true;
    abortWait();
  }
  signal.addEventListener("abort", abort, { once: true });
  return {
    // A race against one promise for the signal would keep each chunk's result until the end.
    next: () =>
      new Promise((resolve, reject) => {
        abortWait = () => resolve(undefined);
        if (isAborted) return resolve(undefined);
        source.next().then(resolve, reject);
      }),
    abort,
    dispose: () => signal.removeEventListener("abort", abort),
  };
}
