/** Reads the body of a caller's request up to the configured size limit. */
import type * as Http from "node:http";
import * as ReleasableBuffer from "../releasable_buffer.ts";
import type * as MemoryBudget from "./memory_budget.ts";

/** Most that a body takes besides while it arrives: what is not parsed yet, and copies in the parser that await collection. */
const MAX_TRANSIENT_BYTES = 256 * 1024;

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
    const body = ReleasableBuffer.createReleasableBuffer(maxBytes, length);
    const holding = memory.open(() => stop({ kind: "no-memory" }));

    function updateHolding(): void {
      const bytes = Math.max(length, body.getHeldBytes());
      holding.set(bytes + Math.min(bytes, MAX_TRANSIENT_BYTES));
    }
    function onData(chunk: Buffer): void {
      const bytes = body.getBytes() + chunk.length;
      if (bytes > maxBytes) return stop({ kind: "too-large" });
      if (!body.tryAppend(chunk)) return stop({ kind: "no-memory" });
      updateHolding();
    }
    function removeListeners(): void {
      req.off("data", onData).off("end", onEnd).off("close", onClose);
    }
    function onEnd(): void {
      removeListeners();
      holding.keep();
      body.seal();
      holding.set(body.getHeldBytes());
      resolve({ kind: "complete", data: body.getData(), release });
    }
    function release(): void {
      holding.close();
      body.release();
    }
    function onClose(): void {
      stop({ kind: "disconnected" });
    }
    /** Discards the rest of the body, so that the caller reads the response. */
    function stop(result: BodyResult): void {
      removeListeners();
      release();
      req.resume();
      resolve(result);
    }

    req.on("data", onData).once("end", onEnd).once("close", onClose);
    // What is declared counts at once: a body that can't be kept is rejected before it arrives.
    updateHolding();
  });
}
