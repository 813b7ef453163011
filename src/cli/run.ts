/** Runs one command line of `anvilroutectl` and returns its exit code. */
import * as Commander from "commander";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Completion from "./completion.ts";
import * as Context from "./context.ts";
import * as Output from "./output.ts";
import * as Program from "./program.ts";
import * as ToolSettings from "./tool_settings.ts";

/** Runs a command line without the program name; prints expected failures instead of throwing. */
export async function run(
  args: readonly string[],
  deps: Context.Deps,
): Promise<Context.ExitCode> {
  let exitCode: Context.ExitCode = Context.EXIT.ok;
  const program = Program.createProgram(async (opts, action) => {
    exitCode = await runAction(opts, action, deps);
  });
  program.command("completion").argument("<shell>", "bash")
    .description("print a completion script for a shell")
    .action((shell, _opts, command: Commander.Command) => {
      if (shell !== "bash") command.error("error: only bash is supported");
      deps.stdout.write(Completion.formatBashCompletion(program));
    });
  forEachCommand(program, (command) => {
    command.exitOverride().configureOutput({
      writeOut: (text) => deps.stdout.write(text),
      writeErr: (text) => deps.stderr.write(text),
    });
  });
  try {
    await program.parseAsync([...args], { from: "user" });
    return exitCode;
  } catch (err) {
    if (!(err instanceof Commander.CommanderError)) throw err;
    // Commander has already printed its message; it uses exit code 0 for help and version.
    return err.exitCode === 0 ? Context.EXIT.ok : Context.EXIT.usage;
  }
}

function forEachCommand(
  command: Commander.Command,
  callback: (command: Commander.Command) => void,
): void {
  callback(command);
  command.commands.forEach((subcommand) =>
    forEachCommand(subcommand, callback)
  );
}

async function runAction(
  opts: ToolSettings.GlobalOptions,
  action: Program.Action,
  deps: Context.Deps,
): Promise<Context.ExitCode> {
  const isJson = opts.json === true;
  const out = Output.createOutput(deps.stdout, deps.stderr, isJson);
  const settings = ToolSettings.readToolSettings(opts, deps);
  if (settings.isErr()) return printFailure(out, settings.error);
  const peers = new Map<Types.Address, Context.PeerConnection>();
  const { secret = "" } = settings.value;
  const getPeer = (address: Types.Address) => {
    const peer = peers.get(address) ??
      awaitFirstCall(deps.connectPeer(address, secret));
    peers.set(address, peer);
    return peer;
  };
  try {
    const ctx = { deps, settings: settings.value, out, getPeer };
    const outcome = await action(ctx);
    if (outcome.isOk()) return outcome.value;
    return printFailure(out, outcome.error);
  } finally {
    for (const peer of peers.values()) peer.close();
  }
}

/** Makes concurrent calls wait for the first one, which opens the connection that all calls share. */
function awaitFirstCall(peer: Context.PeerConnection): Context.PeerConnection {
  let firstCall: Promise<unknown> | undefined;
  return {
    async call<T>(method: string, params: unknown, timeoutMs: number) {
      if (firstCall !== undefined) await firstCall;
      const result = peer.call<T>(method, params, timeoutMs);
      firstCall ??= result;
      return result;
    },
    close: () => peer.close(),
  };
}

function printFailure(
  out: Output.Output,
  err: ResultCodes.Failure,
): Context.ExitCode {
  out.notice(ResultCodes.formatFailure(err));
  out.notice(err.code.action);
  out.json({ error: Output.encodeFailure(err) });
  return Context.getExitCode(err);
}
