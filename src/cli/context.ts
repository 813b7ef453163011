/** Types that all commands of the tool share, and its exit codes. */
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
export interface PeerConnection {
  call<T>(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>>;
  close(): void;
}

/** File access of the tool. Failures have the code `toolFile`. */
export interface Files {
  read(path: string): Result<string, ResultCodes.Failure>;
  write(path: string, text: string): Result<void, ResultCodes.Failure>;
  exists(path: string): boolean;
}

/** Access to everything outside the tool; tests replace it. */
export interface Deps {
  readonly clock: Clock.Clock;
  sleep(ms: number): Promise<void>;
  connectPlatform(
    address: Types.Address,
    timeoutMs: number,
  ): Contracts.PlatformClient;
  connectPeer(address: Types.Address, secret: string): PeerConnection;
  readonly files: Files;
  readonly stdout: Output.Stream;
  readonly stderr: Output.Stream;
  /** User name that is written into records unless `--by` overrides it. */
  readonly operator: string;
  randomBytes(count: number): Uint8Array;
  /** Path of the settings file from ANVILROUTECTL_CONFIG; undefined when it is not set. */
  readonly defaultConfig: string | undefined;
}

/** Addresses and credentials of the tool; command line options override the settings file. */
export interface ToolSettings {
  readonly platform: Types.Address | undefined;
  readonly timeoutMs: number;
  readonly peers: readonly Types.Address[];
  readonly secret: string | undefined;
  readonly by: string;
}

/** Context of one command run. */
export interface Context {
  readonly deps: Deps;
  readonly settings: ToolSettings;
  readonly out: Output.Output;
  /** Returns the connection to `address`, which all calls share; it is closed after the run. */
  getPeer(address: Types.Address): PeerConnection;
}

/** Exit code of a command, or the failure that ended it. */
export type CommandResult = Promise<Result<ExitCode, ResultCodes.Failure>>;

/** Returns the exit code for a failure. */
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

/** Returns the client of the platform; fails with `toolUsage` when no address is configured. */
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
