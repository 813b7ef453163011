/**
 * Callers' paths: `/s/<service>/<path>`. Promise: one resource has one
 * spelling, so that no other spelling gets around a `once` or `open` pattern.
 */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";

/** A request's destination. */
export interface RequestPath {
  readonly service: string;
  /** Canonical path that the target gets, without the query. */
  readonly path: string;
  /** With the leading `?`, or empty. */
  readonly query: string;
}

const SERVICE_PATH = /^\/s\/([a-z0-9][a-z0-9-]{0,62})(\/[^?#]*)?(\?[^#]*)?$/;
/** RFC 3986: these are the same resource encoded or not. */
const UNRESERVED_ESCAPE = /%([0-9a-f]{2})/gi;
const UNRESERVED = /[A-Za-z0-9\-._~]/;
/** Encoded slash, backslash, percent or NUL: targets differ in how they read them. */
const AMBIGUOUS_ESCAPE = /%(2f|5c|25|00)|\\|%(?![0-9a-f]{2})/i;

function decodeUnreserved(path: string): string {
  return path.replace(UNRESERVED_ESCAPE, (escape, hex: string) => {
    const char = String.fromCharCode(parseInt(hex, 16));
    return UNRESERVED.test(char) ? char : escape.toUpperCase();
  });
}

/** Splits and canonicalises a request target. */
export function parsePath(
  url: string,
): Result<RequestPath, ResultCodes.Failure> {
  const match = SERVICE_PATH.exec(url);
  if (match === null) {
    return ResultCodes.fail("badRequest", "the path must be /s/<service>/…");
  }
  const [, service = "", rawPath = "/", query = ""] = match;
  if (AMBIGUOUS_ESCAPE.test(rawPath)) {
    return ResultCodes.fail("badRequest", "ambiguous escape in the path");
  }
  const path = decodeUnreserved(rawPath);
  const segments = path.split("/").slice(1);
  const hasOddSegment = segments.some((segment, i) =>
    segment === "." || segment === ".." ||
    (segment === "" && i < segments.length - 1)
  );
  if (hasOddSegment) {
    return ResultCodes.fail("badRequest", "empty or dot segment in the path");
  }
  return Ok({ service, path, query });
}
