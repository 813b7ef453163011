/**
 * Reads and writes the base of an edited table: `FILE.base.json` holds the
 * revision and the CSV that `table pull` wrote to FILE. After a conflict, the
 * base allows the tool to show both operators' changes. It is a separate file
 * because spreadsheets drop comment lines from a CSV file.
 */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Context from "./context.ts";

/** Table that `table pull` read from the store. */
export interface Base {
  readonly revision: number;
  readonly csv: string;
}

/** Returns the path of a table file's base. */
export function getBasePath(path: string): string {
  return `${path}.base.json`;
}

/** Reads the base of the table file at `path`; undefined when there is none. Fails with `toolFile`. */
export function readBase(
  files: Context.Files,
  path: string,
): Result<Base | undefined, ResultCodes.Failure> {
  const basePath = getBasePath(path);
  if (!files.exists(basePath)) return Ok(undefined);
  return files.read(basePath).andThen((json) => {
    const base = tryParseBase(json);
    if (base !== undefined) return Ok(base);
    return ResultCodes.fail("toolFile", `${basePath} is not readable`);
  });
}

function tryParseBase(json: string): Base | undefined {
  try {
    const value = JSON.parse(json);
    const isValid = Number.isInteger(value?.revision) &&
      typeof value?.csv === "string";
    return isValid ? { revision: value.revision, csv: value.csv } : undefined;
  } catch {
    // `readBase` reports the malformed file.
    return undefined;
  }
}

/** Writes the base of the table file at `path`. Fails with `toolFile`. */
export function writeBase(
  files: Context.Files,
  path: string,
  base: Base,
): Result<void, ResultCodes.Failure> {
  return files.write(getBasePath(path), JSON.stringify(base) + "\n");
}
