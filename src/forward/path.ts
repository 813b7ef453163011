/**
 * Paths of callers' requests: `/s/<service>/<path>`. Guarantee: each resource has
 * one accepted spelling, so that no other spelling evades a `once` or `open`
 * pattern.
 */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";

/** Parsed destination of a request. */
export interface RequestPath {
  readonly service: string;
  /** Canonical path that is sent to the target, without the query. */
  readonly path: string;
  /** Query with its leading `?`; empty when there is none. */
  readonly query: string;
}

const SERVICE_PATH = /^\/s\/([a-z0-9][a-z0-9-]{0,62})(\/[^?#]*)?(\?[^#]*)?$/;
/** RFC 3986: an unreserved character identifies the same resource whether it is encoded or not. */
const UNRESERVED_ESCAPE = /%([0-9a-f]{2})/gi;
const UNRESERVED = /[A-Za-z0-9\-._~]/;
/** Backslash, encoded slash, percent or NUL, or an incomplete escape: targets interpret these differently. */
const AMBIGUOUS_ESCAPE = /%(2f|5c|25|00)|\\|%(?![0-9a-f]{2})/i;

function decodeUnreserved(path: string): string {
  return path.replace(UNRESERVED_ESCAPE, (escape, hex: string) => {
    const char = String.fromCharCode(parseInt(hex, 16));
    return UNRESERVED.test(char) ? char : escape.toUpperCase();
  });
}

/** Splits a request URL into service, canonical path and query; fails with `badRequest`. */
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
  const hasInvalidSegment = segments.some((segment, i) =>
    segment === "." || segment === ".." ||
    (segment === "" && i < segments.length - 1)
  );
  if (hasInvalidSegment) {
    return ResultCodes.fail("badRequest", "empty or dot segment in the path");
  }
  return Ok({ service, path, query });
}
