/** Writes results to standard output, and notices and progress to standard error. */
import type * as ResultCodes from "../result_codes.ts";

/** An output stream for text. */
export interface Stream {
  write(text: string): void;
  /** True for a terminal, where a progress line can be overwritten. */
  readonly isTerminal: boolean;
}

/** Output of one run: lines of text, or one JSON document with `--json`. */
export interface Output {
  readonly isJson: boolean;
  /** Writes a line to standard output; does nothing with `--json`. */
  line(text: string): void;
  /** Writes the JSON document to standard output; does nothing without `--json`. */
  json(value: unknown): void;
  /** Writes a line to standard error, also with `--json`. */
  notice(text: string): void;
  /** Overwrites the progress line on standard error; does nothing unless it is a terminal. */
  progress(text: string): void;
}

const CLEAR_LINE = "\r\x1b[K";

/** Creates the output of one run. */
export function createOutput(
  stdout: Stream,
  stderr: Stream,
  isJson: boolean,
): Output {
  let hasProgress = false;

  function clear(): void {
    if (hasProgress) stderr.write(CLEAR_LINE);
    hasProgress = false;
  }

  return {
    isJson,
    line(text) {
      clear();
      if (!isJson) stdout.write(`${text}\n`);
    },
    json(value) {
      clear();
      if (isJson) stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
    },
    notice(text) {
      clear();
      stderr.write(`${text}\n`);
    },
    progress(text) {
      if (!stderr.isTerminal) return;
      stderr.write(`${CLEAR_LINE}${text}`);
      hasProgress = true;
    },
  };
}

/** Encodes a failure for the JSON document. */
export function encodeFailure(err: ResultCodes.Failure): unknown {
  const { number, name, meaning, action } = err.code;
  return { code: number, name, meaning, action, detail: err.detail };
}
