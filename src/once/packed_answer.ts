/**
 * Answers as the ledger keeps them. Headers and body are one string with a byte
 * in each character: an array for every header and a buffer for every body took
 * more memory than the answer itself, and a buffer may keep alive the larger
 * one that it was cut from.
 */
import type * as Contracts from "../contracts.ts";

/** One answer without structure. */
export interface PackedAnswer {
  readonly status: number;
  /** Bytes of `text` that are the headers as JSON in UTF-8; the body follows. */
  readonly headerBytes: number;
  readonly text: string;
}

/** Packs an answer; the result shares no memory with it. */
export function pack(answer: Contracts.StoredResponse): PackedAnswer {
  const headers = Buffer.from(JSON.stringify(answer.headers));
  const bytes = Buffer.concat([headers, answer.body]);
  return {
    status: answer.status,
    headerBytes: headers.length,
    text: bytes.toString("latin1"),
  };
}

/** The answer that was packed. */
export function unpack(packed: PackedAnswer): Contracts.StoredResponse {
  const bytes = Buffer.from(packed.text, "latin1");
  const headers = bytes.toString("utf8", 0, packed.headerBytes);
  return {
    status: packed.status,
    headers: JSON.parse(headers) as Contracts.StoredResponse["headers"],
    body: bytes.subarray(packed.headerBytes),
  };
}
