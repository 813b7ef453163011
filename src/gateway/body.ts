/** Reads the whole body of a caller's request, within the configured bound. */
import type * as Http from "node:http";

/** What came of reading a body. */
export type BodyResult =
  | { readonly kind: "whole"; readonly data: Buffer | undefined }
  | { readonly kind: "too-large" }
  /** The caller left. */
  | { readonly kind: "broken" };

/** Reads the body; more than `maxBytes` is refused without reading on. */
export function readBody(
  req: Http.IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const { headers } = req;
  const length = Number(headers["content-length"] ?? "0");
  const isChunked = headers["transfer-encoding"] !== undefined;
  if (length > maxBytes) return Promise.resolve({ kind: "too-large" });
  if (length === 0 && !isChunked) {
    return Promise.resolve({ kind: "whole", data: undefined });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) return resolve({ kind: "too-large" });
      chunks.push(chunk);
    });
    req.once("end", () => {
      resolve({ kind: "whole", data: Buffer.concat(chunks, size) });
    });
    req.once("close", () => resolve({ kind: "broken" }));
  });
}
