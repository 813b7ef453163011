/**
 * Starts instances of the program on the users' platform as processes, each on a
 * loopback address of its own, because all of them use the same ports.
 */
import * as ChildProcess from "node:child_process";
import * as Fs from "node:fs";
import * as Os from "node:os";
import * as Path from "node:path";
import * as Readline from "node:readline";
import * as Wait from "./wait.ts";

const MAIN = "target/anvilroute.cjs";
/** As `deploy/system.toml` runs it. */
const NODE_ARGS = [
  "--max-old-space-size=158",
  "--single-threaded",
  "--v8-pool-size=0",
];
const READY_LIMIT_MS = 30_000;
const KEPT_LINES = 2_000;
const PORTS = { front: 8080, ready: 8081, directory: 8082 } as const;
const INTERNAL_PORTS = [7220, 7235] as const;

/** Where an instance stands. */
export interface GatewayOptions {
  readonly id: string;
  readonly domain: string;
  readonly region: string;
  /** Loopback address that no other running instance has. */
  readonly ip: string;
  readonly store: string;
  readonly regionOfDomain: Readonly<Record<string, string>>;
  /** File of the program; the bundle by default. */
  readonly main?: string;
  /** Arguments of the runtime, for example `--cpu-prof`. */
  readonly nodeArgs?: readonly string[];
  /** Limits of the machine as the platform names them, for example `memoryMb`. */
  readonly limits?: Readonly<Record<string, number>>;
}

/** A running instance. */
export interface GatewayProcess {
  readonly id: string;
  readonly ip: string;
  readonly pid: number;
  readonly caller: string;
  readonly ready: string;
  readonly directory: string;
  readonly metrics: string;
  /** The last lines that it wrote. */
  getLines(): readonly string[];
  isRunning(): boolean;
  /** Resolves when the instance serves callers. */
  waitUntilReady(): Promise<void>;
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code; undefined after a signal. */
  readonly exited: Promise<number | undefined>;
}

/** The settings file as the platform lays it out. */
export function formatSettings(opts: GatewayOptions): string {
  const { ip } = opts;
  return JSON.stringify({
    self: {
      nodeName: opts.id,
      bindIp: ip,
      zone: opts.domain,
      region: opts.region,
      ...(opts.limits === undefined ? {} : { limits: opts.limits }),
    },
    network: {
      listen: Object.fromEntries(
        Object.entries(PORTS).map(([name, port]) => [name, `${ip}:${port}`]),
      ),
      internalPorts: INTERNAL_PORTS,
      zones: opts.regionOfDomain,
    },
    platform: { beatIntervalMs: 1_500, platform: { address: opts.store } },
    terms: { bounds: { graceS: 6, budgetRatio: 0.2, budgetExtra: 50 } },
  });
}

/** Starts an instance; it serves when `waitUntilReady` resolves. */
export function startGatewayProcess(opts: GatewayOptions): GatewayProcess {
  const dir = Fs.mkdtempSync(Path.join(Os.tmpdir(), "anvilroute-"));
  const path = Path.join(dir, "node.json");
  Fs.writeFileSync(path, formatSettings(opts));
  const child = ChildProcess.spawn(
    process.execPath,
    [...NODE_ARGS, ...opts.nodeArgs ?? [], opts.main ?? MAIN],
    {
      env: { ...process.env, ANVILROUTE_CONFIG: path },
      stdio: ["ignore", "pipe", "inherit"],
    },
  );
  const lines: string[] = [];
  let isReady = false;
  let isRunning = true;
  Readline.createInterface(child.stdout).on("line", (line) => {
    lines.push(line);
    if (lines.length > KEPT_LINES) lines.shift();
    if (line.includes("event=ready ")) isReady = true;
  });
  const kill = () => void child.kill("SIGKILL");
  process.once("exit", kill);
  const exited = new Promise<number | undefined>((resolve) => {
    child.once("close", (code) => {
      isRunning = false;
      process.off("exit", kill);
      Fs.rmSync(dir, { recursive: true, force: true });
      resolve(code ?? undefined);
    });
  });
  const { ip } = opts;
  return {
    id: opts.id,
    ip,
    pid: child.pid ?? 0,
    caller: `${ip}:${PORTS.front}`,
    ready: `${ip}:${PORTS.ready}`,
    directory: `${ip}:${PORTS.directory}`,
    metrics: `${ip}:${INTERNAL_PORTS[0] + 1}`,
    getLines: () => [...lines],
    isRunning: () => isRunning,
    async waitUntilReady() {
      const what = `${opts.id} serves`;
      await Wait.waitFor(() => isReady, READY_LIMIT_MS, what);
    },
    signal: (name) => void child.kill(name),
    exited,
  };
}
