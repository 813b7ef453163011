/**
 * Responses in the form that the ledger stores. Headers and body are one string
 * with a byte in each character: an array per header and a buffer per body take
 * more memory than the response itself, and a buffer may retain the larger
 * buffer that it is a view of.
 */
import type * as Contracts from "../contracts.ts";

/** One response, with headers and body in one string. */
export interface PackedResponse {
  readonly status: number;
  /** Length of the headers at the start of `content`, as JSON in UTF-8; the body follows. */
  readonly headerBytes: number;
  /** Latin-1 string: one byte per character. */
  readonly content: string;
}

/** Packs a response; the result shares no memory with it. */
export function pack(response: Contracts.StoredResponse): PackedResponse {
  const headers = Buffer.from(JSON.stringify(response.headers));
  const bytes = Buffer.concat([headers, response.body]);
  return {
    status: response.status,
    headerBytes: headers.length,
    content: bytes.toString("latin1"),
  };
}

/** Returns the response that was packed. */
export function unpack(packed: PackedResponse): Contracts.StoredResponse {
  const bytes = Buffer.from(packed.content, "latin1");
  const headers = bytes.toString("utf8", 0, packed.headerBytes);
  return {
    status: packed.status,
    headers: JSON.parse(headers) as Contracts.StoredResponse["headers"],
    body: bytes.subarray(packed.headerBytes),
  };
}
