/** Reads the body of a caller's request up to the configured size limit. */
import type * as Http from "node:http";
import * as CountedBody from "../counted_body.ts";
import type * as MemoryBudget from "../memory_budget.ts";

/** Outcome of reading a body; `data` is undefined if the request has none. */
export type BodyResult =
  | {
    readonly kind: "complete";
    /** Valid until `release`. */
    readonly data: Buffer | undefined;
    /** Releases the memory of the body; called when its request has ended. */
    readonly release: () => void;
  }
  | { readonly kind: "too-large" }
  /** The memory for bodies is used up; the body is not kept. */
  | { readonly kind: "no-memory" }
  /** The caller disconnected before the body was complete. */
  | { readonly kind: "disconnected" };

/** Reads the body; stops with `too-large` after `maxBytes`, and with `no-memory` if `memory` has no room. Never rejects. */
export function readBody(
  req: Http.IncomingMessage,
  maxBytes: number,
  memory: MemoryBudget.MemoryBudget,
): Promise<BodyResult> {
  const { headers } = req;
  const length = Number(headers["content-length"] ?? "0");
  const isChunked = headers["transfer-encoding"] !== undefined;
  if (length > maxBytes) return Promise.resolve({ kind: "too-large" });
  if (length === 0 && !isChunked) {
    return Promise.resolve({
      kind: "complete",
      data: undefined,
      release: () => {},
    });
  }
  return new Promise((resolve) => {
    const body = CountedBody.createCountedBody({
      memory,
      maxBytes,
      expectedBytes: length,
      onGivenUp: () => stop({ kind: "no-memory" }),
    });

    function onData(chunk: Buffer): void {
      const bytes = body.getBytes() + chunk.length;
      if (bytes > maxBytes) stop({ kind: "too-large" });
      else if (!body.tryAppend(chunk)) stop({ kind: "no-memory" });
    }
    function removeListeners(): void {
      req.off("data", onData).off("end", onEnd).off("close", onClose);
    }
    function onEnd(): void {
      const data = body.tryComplete();
      if (data === undefined) return stop({ kind: "no-memory" });
      removeListeners();
      resolve({ kind: "complete", data, release: body.release });
    }
    function onClose(): void {
      stop({ kind: "disconnected" });
    }
    /** Discards the rest of the body, so that the caller reads the response. */
    function stop(result: BodyResult): void {
      removeListeners();
      body.release();
      req.resume();
      resolve(result);
    }

    req.on("data", onData).once("end", onEnd).once("close", onClose);
    body.reserve();
  });
}
