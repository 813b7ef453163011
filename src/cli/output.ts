/** Writes results to standard output and progress to standard error. */
import type * as ResultCodes from "../result_codes.ts";

/** A stream that takes text. */
export interface Stream {
  write(text: string): void;
  /** True for a terminal, where a progress line may be rewritten. */
  readonly isTerminal: boolean;
}

/** Output of one run: lines for people, or one JSON document. */
export interface Output {
  readonly isJson: boolean;
  /** A line for people; left out with `--json`. */
  line(text: string): void;
  /** The document of `--json`; left out otherwise. */
  json(value: unknown): void;
  /** A line about what is going on, on standard error. */
  note(text: string): void;
  /** Rewrites one line on a terminal; nothing elsewhere. */
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
    note(text) {
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

/** A failure as `--json` shows it. */
export function encodeFailure(err: ResultCodes.Failure): unknown {
  const { number, name, meaning, action } = err.code;
  return { code: number, name, meaning, action, detail: err.detail };
}
