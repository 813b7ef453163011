/** Runs a program of this repository to its end. */
import * as ChildProcess from "node:child_process";
import * as Path from "node:path";

const RUN_LIMIT_MS = 20_000;

/** How a program ended. */
export interface ProgramResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a compiled script, relative to `dist/`. */
export function runProgram(
  script: string,
  args: readonly string[],
): Promise<ProgramResult> {
  return new Promise((resolve) => {
    ChildProcess.execFile(
      process.execPath,
      [Path.resolve("dist", script), ...args],
      { timeout: RUN_LIMIT_MS },
      (err, stdout, stderr) => {
        const code = err === null ? 0 : Number(err.code ?? -1);
        resolve({ code, stdout, stderr });
      },
    );
  });
}
