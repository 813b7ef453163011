/**
 * Starts the programs of this repository as processes. Convention: a program
 * prints one JSON line `{"ready":true,...}` on standard output once it listens,
 * and logs on standard error.
 */
import * as ChildProcess from "node:child_process";
import * as Path from "node:path";
import * as Readline from "node:readline";
import * as Url from "node:url";
import * as Json from "../../src/json.ts";

const READY_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 30_000;
const KEPT_LINES = 200;
const SIGNAL_EXIT_CODE = 130;

/** What to start. */
export interface ProcessOptions {
  /** Compiled script relative to `dist/`, for example `src/daemon/main.js`. */
  readonly script: string;
  readonly args?: readonly string[];
  /** Name in messages of the harness. */
  readonly name: string;
  readonly readyLimitMs?: number;
  /** Gets each line of standard output after the ready line. */
  readonly onOutput?: (line: string) => void;
}

/** How a process ended: `code` is undefined after a signal. */
export interface ProcessExit {
  readonly code: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
}

/** A started process. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** Fields of the ready line. */
  readonly ready: Json.JsonObject;
  /** A text field of the ready line, such as an address; throws when it is missing. */
  getText(field: string): string;
  /** Last lines of standard error. */
  getLog(): readonly string[];
  /** Last lines of standard output after the ready line. */
  getOutput(): readonly string[];
  isRunning(): boolean;
  /** SIGKILL; resolves when the process has ended. */
  kill(): Promise<void>;
  /** SIGSTOP. */
  freeze(): void;
  /** SIGCONT. */
  resume(): void;
  /** SIGTERM without waiting. */
  terminate(): void;
  /** SIGTERM, and SIGKILL after the limit; resolves with how it ended. */
  stop(limitMs?: number): Promise<ProcessExit>;
  /** Resolves when the process has ended by itself or by a signal. */
  readonly exited: Promise<ProcessExit>;
}

const distDir = findDistDir();
const running = new Set<ChildProcess.ChildProcess>();

// Exit handlers run synchronously; SIGKILL also ends frozen processes.
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
// A signal ends a process without its exit handlers unless it is handled.
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
  process.once(signal, () => process.exit(SIGNAL_EXIT_CODE));
}

/** `dist/` both for compiled harness code and for TypeScript run by vitest. */
function findDistDir(): string {
  const here = Path.dirname(Url.fileURLToPath(import.meta.url));
  const root = Path.resolve(here, "..", "..");
  return Path.basename(root) === "dist" ? root : Path.join(root, "dist");
}

function createTail(): { add(line: string): void; get(): readonly string[] } {
  const lines: string[] = [];
  return {
    add(line) {
      lines.push(line);
      if (lines.length > KEPT_LINES) lines.shift();
    },
    get: () => [...lines],
  };
}

/** The fields when the line is a ready line. */
function tryReady(line: string): Json.JsonObject | undefined {
  const fields = Json.tryParseObject(line);
  return fields?.["ready"] === true ? fields : undefined;
}

/** Resolves with the ready line; rejects when the process ends first or takes too long. */
function waitForReady(
  child: ChildProcess.ChildProcess,
  opts: ProcessOptions,
  exited: Promise<ProcessExit>,
  getLog: () => readonly string[],
  onOutput: (line: string) => void,
): Promise<Json.JsonObject> {
  return new Promise((resolve, reject) => {
    const fail = (what: string) => {
      child.kill("SIGKILL");
      const log = getLog().slice(-20).join("\n");
      reject(new Error(`${opts.name} ${what}\n${log}`));
    };
    const limitMs = opts.readyLimitMs ?? READY_LIMIT_MS;
    const timer = setTimeout(() => fail("did not get ready in time"), limitMs);
    exited.then(({ code, signal }) => {
      clearTimeout(timer);
      fail(`ended before it was ready (code ${code}, signal ${signal})`);
    });
    if (child.stdout === null) return fail("has no standard output");
    Readline.createInterface(child.stdout).on("line", (line) => {
      const fields = tryReady(line);
      if (fields === undefined) return onOutput(line);
      clearTimeout(timer);
      resolve(fields);
    });
  });
}

/** Starts a process and resolves when it is ready. */
export async function startProcess(
  opts: ProcessOptions,
): Promise<ManagedProcess> {
  const script = Path.join(distDir, opts.script);
  const child = ChildProcess.spawn(
    process.execPath,
    ["--enable-source-maps", script, ...opts.args ?? []],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  running.add(child);
  const tail = createTail();
  Readline.createInterface(child.stderr).on("line", tail.add);
  const exited = new Promise<ProcessExit>((resolve) => {
    child.once("error", (err) => tail.add(String(err)));
    child.once("close", (code, signal) => {
      running.delete(child);
      resolve({ code: code ?? undefined, signal: signal ?? undefined });
    });
  });
  const output = createTail();
  const onOutput = (line: string) => {
    output.add(line);
    opts.onOutput?.(line);
  };
  const ready = await waitForReady(child, opts, exited, tail.get, onOutput);
  const isRunning = () => running.has(child);

  return {
    name: opts.name,
    pid: child.pid ?? 0,
    ready,
    getText(field) {
      const value = ready[field];
      if (typeof value === "string") return value;
      throw new Error(`${opts.name} has no ${field} in its ready line`);
    },
    getLog: tail.get,
    getOutput: output.get,
    isRunning,
    async kill() {
      child.kill("SIGKILL");
      await exited;
    },
    freeze: () => void child.kill("SIGSTOP"),
    resume: () => void child.kill("SIGCONT"),
    terminate: () => void child.kill("SIGTERM"),
    async stop(limitMs = STOP_LIMIT_MS) {
      child.kill("SIGCONT");
      child.kill("SIGTERM");
      const timer = setTimeout(() => child.kill("SIGKILL"), limitMs);
      const exit = await exited;
      clearTimeout(timer);
      return exit;
    },
    exited,
  };
}

/** Kills every process that this one started and that still runs. */
export async function killAll(): Promise<void> {
  const ends = [...running].map((child) =>
    new Promise<void>((resolve) => child.once("close", () => resolve()))
  );
  for (const child of running) child.kill("SIGKILL");
  await Promise.all(ends);
}
