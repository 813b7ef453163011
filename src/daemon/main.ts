#!/usr/bin/env node
/** `anvilrouted`: reads settings, starts the instance, and stops it on SIGTERM. */
import * as Fs from "node:fs";
import { Command } from "commander";
import * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Settings from "../settings/settings.ts";
import * as Heap from "./heap.ts";
import * as InstanceModule from "./instance.ts";

const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

function fail(message: string, exitCode: number): never {
  process.stderr.write(`anvilrouted: ${message}\n`);
  process.exit(exitCode);
}

function readSettings(path: string): Settings.Settings {
  let toml: string;
  try {
    toml = Fs.readFileSync(path, "utf8");
  } catch (err) {
    fail(`cannot read settings: ${String(err)}`, EXIT_INVALID_SETTINGS);
  }
  const parsed = Settings.parseSettings(toml);
  if (parsed.isErr()) {
    fail(ResultCodes.formatFailure(parsed.error), EXIT_INVALID_SETTINGS);
  }
  return parsed.value;
}

async function run(path: string): Promise<void> {
  Heap.limitGarbage();
  const cfg = readSettings(path);
  const log = Log.createLogger(cfg.log.level, { instance: cfg.instance.id });
  process.on("unhandledRejection", (err) => {
    log.error("unhandled-rejection", { err: String(err) });
  });
  const instance = await InstanceModule.startInstance(cfg, log);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    instance.stop().then(() => process.exit(0), (err) => {
      log.error("stop-failed", { err: String(err) });
      process.exit(EXIT_FAILED);
    });
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  await instance.ready;
  const readyMessage = { ready: true, ...instance.addresses };
  process.stdout.write(`${JSON.stringify(readyMessage)}\n`);
}

new Command("anvilrouted")
  .description("Entry instance of anvilroute")
  // An invalid command line exits with the code of invalid settings; help exits with 0.
  .exitOverride((err) =>
    process.exit(err.exitCode === 0 ? 0 : EXIT_INVALID_SETTINGS)
  )
  .requiredOption("--config <file>", "settings in TOML, see docs/settings.md")
  .action((opts: { readonly config: string }) =>
    run(opts.config).catch((err) => fail(String(err), EXIT_FAILED))
  )
  .parse();
