/** Reads the settings of the tool; command line options override the TOML file. */
import * as Toml from "smol-toml";
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import * as Reader from "../settings/reader.ts";
import type * as Context from "./context.ts";

/** Options that every command accepts, as parsed by commander. */
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
const DEFAULT_SETTINGS: FileSettings = {
  platform: undefined,
  timeoutMs: DEFAULT_TIMEOUT_MS,
  peers: [],
  secret: undefined,
};

/** Reads and checks the settings of the tool; a failure lists every invalid setting. */
export function readToolSettings(
  opts: GlobalOptions,
  deps: Context.Deps,
): Result<Context.ToolSettings, ResultCodes.Failure> {
  const path = opts.config ?? deps.defaultConfig;
  const fileSettings = path === undefined
    ? Ok(DEFAULT_SETTINGS)
    : readSettingsFile(path, deps.files);
  if (fileSettings.isErr()) return fileSettings;
  const secret = getSecret(opts, fileSettings.value, deps.files);
  if (secret.isErr()) return secret;
  for (const address of [opts.platform, ...(opts.peer ?? [])]) {
    if (address === undefined || Reader.isAddress(address)) continue;
    const detail = `${JSON.stringify(address)} is not IP:port`;
    return ResultCodes.fail("toolUsage", detail);
  }
  return Ok({
    platform: opts.platform ?? fileSettings.value.platform,
    timeoutMs: opts.timeoutMs ?? fileSettings.value.timeoutMs,
    peers: opts.peer ?? fileSettings.value.peers,
    secret: secret.value,
    by: opts.by ?? deps.operator,
  });
}

function getSecret(
  opts: GlobalOptions,
  fileSettings: FileSettings,
  files: Context.Files,
): Result<string | undefined, ResultCodes.Failure> {
  if (opts.secretFile === undefined) return Ok(fileSettings.secret);
  const secret = files.read(opts.secretFile).map((content) => content.trim());
  if (secret.isOk() && secret.value.length < MIN_SECRET_CHARS) {
    const detail = `${opts.secretFile}: the secret must have at least ` +
      `${MIN_SECRET_CHARS} characters`;
    return ResultCodes.fail("settingsValue", detail);
  }
  return secret;
}

function readSettingsFile(
  path: string,
  files: Context.Files,
): Result<FileSettings, ResultCodes.Failure> {
  const toml = files.read(path);
  if (toml.isErr()) return toml;
  let raw: Toml.TomlTable;
  try {
    raw = Toml.parse(toml.value);
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
