/**
 * Answers of a target stand-in. Promise: a body of `?bytes=N` has exactly N
 * bytes and names its request throughout, so that a caller can tell a crossed
 * or truncated answer from its own.
 */
import type * as Http from "node:http";
import type * as Faults from "./faults.ts";

const CHUNK_BYTES = 64 * 1024;
/** Keeps a mistyped `?bytes=` from running for hours. */
export const MAX_ANSWER_BYTES = 1024 * 1024 * 1024;

/** What an answer repeats of its request. */
export interface Echo {
  readonly target: string;
  readonly execution: number;
  readonly method: string;
  readonly path: string;
  readonly account: string | undefined;
  readonly requestId: string | undefined;
  readonly bodySha256: string;
}

/** Generates a body of `bytes` bytes: JSON when it fits, a repeated text otherwise. */
function* generateBody(echo: Echo, bytes: number): Generator<Uint8Array> {
  const text = `${echo.requestId ?? "none"}.`.replace(/[^\w.-]/g, "x");
  const start = JSON.stringify(echo).slice(0, -1) + ',"padding":"';
  const end = '"}';
  const isJson = bytes >= start.length + end.length;
  const fillBytes = isJson ? bytes - start.length - end.length : bytes;
  const block = Buffer.from(text.repeat(Math.ceil(CHUNK_BYTES / text.length)));
  if (isJson) yield Buffer.from(start);
  for (let left = fillBytes; left > 0; left -= block.length) {
    yield left >= block.length ? block : block.subarray(0, left);
  }
  if (isJson) yield Buffer.from(end);
}

/** Waits until `res` takes more or is closed. */
function waitForDrain(res: Http.ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      res.off("drain", done);
      res.off("close", done);
      resolve();
    };
    res.on("drain", done);
    res.on("close", done);
  });
}

/**
 * Sends the answer; `bytes` undefined means the plain JSON body. Calls `count`
 * with the size of each part written. Returns early when the caller goes away
 * or a fault cuts the connection.
 */
export async function sendAnswer(
  res: Http.ServerResponse,
  echo: Echo,
  bytes: number | undefined,
  faults: Faults.Faults,
  count: (bytes: number) => void,
): Promise<void> {
  const plain = Buffer.from(JSON.stringify(echo));
  const parts = bytes === undefined ? [plain] : generateBody(echo, bytes);
  res.statusCode = 200;
  res.setHeader("Content-Type", "application/json");
  if (faults.omitContentLength === undefined) {
    res.setHeader("Content-Length", bytes ?? plain.length);
  }
  if (faults.omitContentLength === "eof") {
    res.setHeader("Connection", "close");
    res.removeHeader("Transfer-Encoding");
  }
  let left = faults.truncateAfterBytes ?? Infinity;
  res.flushHeaders();
  for (const part of parts) {
    const piece = part.length > left ? part.subarray(0, left) : part;
    count(piece.length);
    left -= piece.length;
    if (left <= 0) {
      res.write(piece, () => res.socket?.destroy());
      return;
    }
    if (!res.write(piece)) await waitForDrain(res);
    if (res.destroyed) return;
  }
  res.end();
}
