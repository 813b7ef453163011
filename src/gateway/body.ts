/** Reads the body of a caller's request up to the configured size limit. */
import type * as Http from "node:http";
import * as BodyBuffer from "../body_buffer.ts";

/** Outcome of reading a body; `data` is undefined if the request has none. */
export type BodyResult =
  | { readonly kind: "complete"; readonly data: Buffer | undefined }
  | { readonly kind: "too-large" }
  /** The caller disconnected before the body was complete. */
  | { readonly kind: "disconnected" };

/** Reads the body; stops with `too-large` after `maxBytes`. Never rejects. */
export function readBody(
  req: Http.IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const { headers } = req;
  const length = Number(headers["content-length"] ?? "0");
  const isChunked = headers["transfer-encoding"] !== undefined;
  if (length > maxBytes) return Promise.resolve({ kind: "too-large" });
  if (length === 0 && !isChunked) {
    return Promise.resolve({ kind: "complete", data: undefined });
  }
  return new Promise((resolve) => {
    const body = BodyBuffer.createBodyBuffer();
    req.on("data", (chunk: Buffer) => {
      const isTooLarge = body.getBytes() + chunk.length > maxBytes;
      if (isTooLarge) return resolve({ kind: "too-large" });
      body.append(chunk);
    });
    req.once("end", () => resolve({ kind: "complete", data: body.take() }));
    req.once("close", () => resolve({ kind: "disconnected" }));
  });
}
