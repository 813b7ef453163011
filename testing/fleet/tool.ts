/** Runs `anvilroutectl` as an operator would, against a fleet of processes. */
import * as ChildProcess from "node:child_process";
import * as Path from "node:path";
import * as Settings from "../harness/settings.ts";
import * as Temp from "../harness/temp.ts";
import type * as Fleet from "./fleet.ts";

const RUN_LIMIT_MS = 40_000;
const PEERS = 3;

/** How one command ended. */
export interface ToolRun {
  readonly exit: number;
  readonly out: string;
  readonly err: string;
}

/** One operator with files of their own. */
export interface Operator {
  run(...args: readonly string[]): Promise<ToolRun>;
}

/** Creates an operator whose tool knows some of the running instances. */
export function createOperator(fleet: Fleet.Fleet, name: string): Operator {
  const peers = fleet.instances.filter((one) => one.process.isRunning())
    .slice(0, PEERS).map((one) => JSON.stringify(one.peer));
  const config = Temp.writeTempFile(
    "tool.toml",
    `[platform]\naddress = "${fleet.platform.address}"\n[peers]\n` +
      `addresses = [${peers.join(", ")}]\nsecret = "${Settings.TEST_SECRET}"\n`,
  );
  const script = Path.resolve("dist/src/cli/main.js");
  return {
    run: (...args) =>
      new Promise((resolve) => {
        ChildProcess.execFile(
          process.execPath,
          [script, "--config", config, "--by", name, ...args],
          { timeout: RUN_LIMIT_MS, cwd: Temp.getTempDir() },
          (err, out, errText) => {
            const code = err === null ? 0 : Number(err.code ?? -1);
            resolve({ exit: code, out, err: errText });
          },
        );
      }),
  };
}
