/** Callers that leave, as a process, beside an instance whose event loop a test blocks. */
import * as ChildProcess from "node:child_process";
import type * as Leaving from "../caller/leaving.ts";

const SCRIPT = "dist/testing/caller/leaving.js";

/** Callers that are ready to send. */
export interface LeavingCallers {
  /** Lets all callers send and disconnect; resolves when the command has been passed to them. */
  send(): Promise<void>;
  /** Resolves when all callers have disconnected. */
  readonly exited: Promise<void>;
}

/** Starts callers that wait for `send`. */
export async function prepareLeavingCallers(
  opts: Leaving.Options,
): Promise<LeavingCallers> {
  const args = [SCRIPT, JSON.stringify(opts)];
  const child = ChildProcess.spawn(process.execPath, args);
  const exited = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  await new Promise((resolve) => child.stdout.once("data", resolve));
  return {
    send: () =>
      new Promise((resolve) => child.stdin.write("send", () => resolve())),
    exited,
  };
}

/** Keeps the event loop of this process from running. */
export function blockProcessor(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}
