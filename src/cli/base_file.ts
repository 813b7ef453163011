/**
 * The base of an edited table: `FILE.base.json` next to FILE holds the revision
 * and the text that were pulled. It is apart from the CSV because a spreadsheet
 * keeps no comment lines, and it lets a conflict show both changes.
 */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Context from "./context.ts";

/** What was pulled. */
export interface Base {
  readonly revision: number;
  readonly csv: string;
}

/** Path of the base of a table file. */
export function getBasePath(path: string): string {
  return `${path}.base.json`;
}

/** Reads the base; undefined when there is none. */
export function readBase(
  files: Context.Files,
  path: string,
): Result<Base | undefined, ResultCodes.Failure> {
  const basePath = getBasePath(path);
  if (!files.exists(basePath)) return Ok(undefined);
  return files.read(basePath).andThen((text) => {
    const base = tryParse(text);
    if (base !== undefined) return Ok(base);
    return ResultCodes.fail("toolFile", `${basePath} is not readable`);
  });
}

function tryParse(text: string): Base | undefined {
  try {
    const raw = JSON.parse(text);
    const isGood = Number.isInteger(raw?.revision) &&
      typeof raw?.csv === "string";
    return isGood ? { revision: raw.revision, csv: raw.csv } : undefined;
  } catch {
    // A damaged file is reported by the caller.
    return undefined;
  }
}

/** Writes the base. */
export function writeBase(
  files: Context.Files,
  path: string,
  base: Base,
): Result<void, ResultCodes.Failure> {
  return files.write(getBasePath(path), JSON.stringify(base) + "\n");
}
