/** Settings of the tool: options of the command line before the TOML file. */
import * as Toml from "smol-toml";
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import * as Reader from "../settings/reader.ts";
import type * as Context from "./context.ts";

/** Options that every command has, as commander gives them. */
export interface GlobalOptions {
  readonly platform?: string;
  readonly peer?: readonly string[];
  readonly secretFile?: string;
  readonly config?: string;
  readonly timeoutMs?: number;
  readonly by?: string;
  readonly json?: boolean;
}

interface FileSettings {
  readonly platform: string | undefined;
  readonly timeoutMs: number;
  readonly peers: readonly string[];
  readonly secret: string | undefined;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const MIN_SECRET_CHARS = 16;
const EMPTY: FileSettings = {
  platform: undefined,
  timeoutMs: DEFAULT_TIMEOUT_MS,
  peers: [],
  secret: undefined,
};

/** Reads and checks the tool's settings; a failure names every wrong one. */
export function readToolSettings(
  opts: GlobalOptions,
  deps: Context.Deps,
): Result<Context.ToolSettings, ResultCodes.Failure> {
  const path = opts.config ?? deps.defaultConfig;
  const file = path === undefined ? Ok(EMPTY) : readFile(path, deps.files);
  if (file.isErr()) return file;
  const secret = readSecret(opts, file.value, deps.files);
  if (secret.isErr()) return secret;
  for (const address of [opts.platform, ...(opts.peer ?? [])]) {
    if (address === undefined || Reader.isAddress(address)) continue;
    const detail = `${JSON.stringify(address)} is not IP:port`;
    return ResultCodes.fail("toolUsage", detail);
  }
  return Ok({
    platform: opts.platform ?? file.value.platform,
    timeoutMs: opts.timeoutMs ?? file.value.timeoutMs,
    peers: opts.peer ?? file.value.peers,
    secret: secret.value,
    by: opts.by ?? deps.operator,
  });
}

function readSecret(
  opts: GlobalOptions,
  file: FileSettings,
  files: Context.Files,
): Result<string | undefined, ResultCodes.Failure> {
  if (opts.secretFile === undefined) return Ok(file.secret);
  const text = files.read(opts.secretFile).map((secret) => secret.trim());
  if (text.isOk() && text.value.length < MIN_SECRET_CHARS) {
    const detail = `${opts.secretFile}: the secret must have at least ` +
      `${MIN_SECRET_CHARS} characters`;
    return ResultCodes.fail("settingsValue", detail);
  }
  return text;
}

function readFile(
  path: string,
  files: Context.Files,
): Result<FileSettings, ResultCodes.Failure> {
  const text = files.read(path);
  if (text.isErr()) return text;
  let raw: Toml.TomlTable;
  try {
    raw = Toml.parse(text.value);
  } catch (err) {
    return ResultCodes.fail("settingsSyntax", `${path}: ${String(err)}`);
  }
  const reader = Reader.createReader(raw);
  const settings = {
    platform: reader.address("platform.address"),
    timeoutMs: reader.integer(
      "platform.timeout_ms",
      50,
      30_000,
      DEFAULT_TIMEOUT_MS,
    ),
    peers: reader.addresses("peers.addresses"),
    secret: reader.string("peers.secret", MIN_SECRET_CHARS),
  };
  const errors = reader.finish();
  if (errors.length === 0) return Ok(settings);
  return ResultCodes.fail(
    "settingsValue",
    errors.map((err) => `${path}: ${err}`).join("\n"),
  );
}
