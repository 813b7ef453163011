/**
 * Client blocks (address prefixes) and the site that serves each: a sorted
 * `Uint32Array` of first addresses with a site number per block. 1.6 million
 * blocks take 9.6 MB. A lookup is a binary search and allocates nothing.
 */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";

/** Client blocks in ascending order; each block ends where the next one starts. */
export interface BlockMap {
  /** Number of blocks. */
  readonly size: number;
  /** Memory of the map, bytes. */
  readonly bytes: number;
  /** Site number of an IPv4 address; undefined before the first block and in gaps (`NO_SITE`). */
  tryGetSite(address: number): number | undefined;
}

/** Site number of a gap between blocks. */
export const NO_SITE = 0xffff;

const MAX_VARINT_BYTES = 5;

/** Creates a map over the arrays, which must not change afterwards; `starts` is strictly ascending. */
export function createBlockMap(
  starts: Uint32Array,
  sites: Uint16Array,
): BlockMap {
  function findIndex(address: number): number {
    let low = 0;
    let high = starts.length;
    while (low < high) {
      const mid = (low + high) >>> 1;
      if ((starts[mid] ?? 0) <= address) low = mid + 1;
      else high = mid;
    }
    return low - 1;
  }
  return {
    size: starts.length,
    bytes: starts.byteLength + sites.byteLength,
    tryGetSite(address) {
      const site = sites[findIndex(address)];
      return site === NO_SITE ? undefined : site;
    },
  };
}

/** Parses an IPv4 address `a.b.c.d` to a number; undefined when malformed. */
export function tryParseIpv4(address: string): number | undefined {
  const parts = address.split(".");
  if (parts.length !== 4) return undefined;
  let value = 0;
  for (const part of parts) {
    if (!/^\d{1,3}$/.test(part) || Number(part) > 255) return undefined;
    value = value * 256 + Number(part);
  }
  return value;
}

function writeVarint(output: number[], value: number): void {
  let remaining = value;
  while (remaining >= 0x80) {
    output.push((remaining % 0x80) | 0x80);
    remaining = Math.floor(remaining / 0x80);
  }
  output.push(remaining);
}

/**
 * Encodes each block as its distance from the previous block and its site. In
 * this form a chunk of the store holds some 300,000 blocks.
 */
export function encodeBlocks(
  starts: Uint32Array,
  sites: Uint16Array,
): Uint8Array {
  const output: number[] = [];
  let previous = 0;
  for (let i = 0; i < starts.length; i++) {
    const start = starts[i] ?? 0;
    writeVarint(output, start - previous);
    writeVarint(output, sites[i] ?? NO_SITE);
    previous = start;
  }
  return Uint8Array.from(output);
}

interface Cursor {
  readonly data: Uint8Array;
  offset: number;
}

function tryReadVarint(cursor: Cursor): number | undefined {
  let value = 0;
  let factor = 1;
  for (let i = 0; i < MAX_VARINT_BYTES; i++) {
    const byte = cursor.data[cursor.offset++];
    if (byte === undefined) return undefined;
    value += (byte & 0x7f) * factor;
    if (byte < 0x80) return value;
    factor *= 0x80;
  }
  return undefined;
}

/** Counts blocks: each is two varints, and only the last byte of a varint is below 0x80. */
function countBlocks(data: Uint8Array): number {
  let varints = 0;
  for (const byte of data) if (byte < 0x80) varints++;
  return Math.ceil(varints / 2);
}

/**
 * Decodes the output of `encodeBlocks`; tableSyntax for damaged or unsorted
 * data. The blocks are counted first, because growing arrays of numbers would
 * take several times the memory of the map.
 */
export function decodeBlocks(
  data: Uint8Array,
): Result<BlockMap, ResultCodes.Failure> {
  const size = countBlocks(data);
  const starts = new Uint32Array(size);
  const sites = new Uint16Array(size);
  const cursor = { data, offset: 0 };
  let start = 0;
  for (let i = 0; cursor.offset < data.length; i++) {
    const distance = tryReadVarint(cursor);
    const site = tryReadVarint(cursor);
    if (distance === undefined || site === undefined || site > NO_SITE) {
      return ResultCodes.fail(
        "tableSyntax",
        `client blocks, byte ${cursor.offset}`,
      );
    }
    if (distance === 0 && i > 0) {
      return ResultCodes.fail("tableSyntax", "client blocks are not ascending");
    }
    start += distance;
    if (start > 0xffffffff) {
      return ResultCodes.fail(
        "tableSyntax",
        "client block beyond the last address",
      );
    }
    starts[i] = start;
    sites[i] = site;
  }
  return Ok(createBlockMap(starts, sites));
}
