/** Request bodies: read up to a limit before a target is chosen, stream the rest. */
import type * as Http from "node:http";
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";

/** A caller's body. Only a whole one can be sent a second time. */
export type RequestBody =
  | { readonly kind: "none" }
  | { readonly kind: "whole"; readonly data: Buffer }
  | {
    readonly kind: "stream";
    readonly head: Buffer;
    /** Head and the rest; rejects when the body grows over the limit or the caller breaks off. */
    readonly all: AsyncIterable<Buffer>;
    readonly length: number | undefined;
  };

/** Limits in bytes. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly bufferBytes: number;
}

function hasBody(req: Http.IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

async function* streamAll(
  head: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let size = 0;
  for (const chunk of head) {
    size += chunk.length;
    yield chunk;
  }
  for (;;) {
    const next = await rest.next();
    if (next.done === true) return;
    size += next.value.length;
    if (size > maxBytes) throw new Error("body over the limit");
    yield next.value;
  }
}

/** Reads a body until it ends or `bufferBytes` are there. Slow bodies end with `signal`. */
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
  const chunks: Buffer[] = [];
  let size = 0;
  const source = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const aborted = onAbort(signal);
  while (size <= limits.bufferBytes) {
    const next = await Promise.race([source.next(), aborted.promise]);
    if (next === undefined) {
      return ResultCodes.fail("queueFull", "the body did not arrive in time");
    }
    if (next.done === true) {
      aborted.dispose();
      return Ok({ kind: "whole", data: Buffer.concat(chunks) });
    }
    chunks.push(next.value);
    size += next.value.length;
    if (size > limits.maxBytes) {
      return ResultCodes.fail("bodyTooLarge", `limit ${limits.maxBytes} bytes`);
    }
  }
  aborted.dispose();
  return Ok({
    kind: "stream",
    head: Buffer.concat(chunks),
    all: streamAll(chunks, source, limits.maxBytes),
    length,
  });
}

function onAbort(signal: AbortSignal): {
  readonly promise: Promise<undefined>;
  dispose(): void;
} {
  let listener = () => {};
  const promise = new Promise<undefined>((resolve) => {
    listener = () => resolve(undefined);
    if (signal.aborted) resolve(undefined);
    else signal.addEventListener("abort", listener, { once: true });
  });
  return {
    promise,
    dispose: () => signal.removeEventListener("abort", listener),
  };
}
