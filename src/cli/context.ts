/** What every command of the tool works with. */
import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Output from "./output.ts";

/** Exit codes of the tool. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  table: 3,
  conflict: 4,
  unreachable: 5,
  partial: 6,
} as const;
/** One of the exit codes. */
export type ExitCode = typeof EXIT[keyof typeof EXIT];

/** Connection to one instance's peer listener. */
export interface PeerCaller {
  call<T>(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>>;
  close(): void;
}

/** Files as the tool uses them. */
export interface Files {
  read(path: string): Result<string, ResultCodes.Failure>;
  write(path: string, text: string): Result<void, ResultCodes.Failure>;
  exists(path: string): boolean;
}

/** Everything outside the tool, so that tests can replace it. */
export interface Deps {
  readonly clock: Clock.Clock;
  sleep(ms: number): Promise<void>;
  connectPlatform(
    address: Types.Address,
    timeoutMs: number,
  ): Contracts.PlatformClient;
  connectPeer(address: Types.Address, secret: string): PeerCaller;
  readonly files: Files;
  readonly stdout: Output.Stream;
  readonly stderr: Output.Stream;
  /** Name of the user, written into records unless `--by` gives another. */
  readonly operator: string;
  randomBytes(count: number): Uint8Array;
  /** Value of ANVILROUTECTL_CONFIG. */
  readonly defaultConfig: string | undefined;
}

/** Where the tool connects to; options come before the settings file. */
export interface ToolSettings {
  readonly platform: Types.Address | undefined;
  readonly timeoutMs: number;
  readonly peers: readonly Types.Address[];
  readonly secret: string | undefined;
  readonly by: string;
}

/** One run of one command. */
export interface Context {
  readonly deps: Deps;
  readonly settings: ToolSettings;
  readonly out: Output.Output;
  /** The same connection for each call with the same address; closed after the run. */
  getPeer(address: Types.Address): PeerCaller;
}

/** What a command returns. */
export type Outcome = Promise<Result<ExitCode, ResultCodes.Failure>>;

/** Maps a failure to the exit code of its kind. */
export function getExitCode(err: ResultCodes.Failure): ExitCode {
  const { codes } = ResultCodes;
  switch (err.code) {
    case codes.toolUsage:
    case codes.settingsSyntax:
    case codes.settingsValue:
    case codes.toolFile:
      return EXIT.usage;
    case codes.valueTooLarge:
      return EXIT.table;
    case codes.toolRace:
    case codes.storeConflict:
      return EXIT.conflict;
    case codes.storeUnreachable:
    case codes.peerUnreachable:
    case codes.peerTimeout:
    case codes.peerAuth:
    case codes.storeWriteUnknown:
      return EXIT.unreachable;
    case codes.toolPartial:
      return EXIT.partial;
    default:
      return err.code.number >= 400 && err.code.number < 500
        ? EXIT.table
        : EXIT.failed;
  }
}

/** The platform's client, or a usage failure when no address was given. */
export function getPlatform(
  ctx: Context,
): Result<Contracts.PlatformClient, ResultCodes.Failure> {
  const { platform, timeoutMs } = ctx.settings;
  if (platform !== undefined) {
    return Ok(ctx.deps.connectPlatform(platform, timeoutMs));
  }
  return ResultCodes.fail(
    "toolUsage",
    "the platform's address is needed: --platform ADDR or platform.address",
  );
}
