/** Runs one command line of `anvilroutectl` and gives its exit code. */
import * as Commander from "commander";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Completion from "./completion.ts";
import * as Context from "./context.ts";
import * as Output from "./output.ts";
import * as Program from "./program.ts";
import * as ToolSettings from "./tool_settings.ts";

/** Runs the command line (without program names); expected failures are printed, not thrown. */
export async function run(
  args: readonly string[],
  deps: Context.Deps,
): Promise<Context.ExitCode> {
  let exit: Context.ExitCode = Context.EXIT.ok;
  const program = Program.createProgram(async (opts, action) => {
    exit = await runAction(opts, action, deps);
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
    return exit;
  } catch (err) {
    if (!(err instanceof Commander.CommanderError)) throw err;
    // Commander has printed its message; help and version end with 0.
    return err.exitCode === 0 ? Context.EXIT.ok : Context.EXIT.usage;
  }
}

function forEachCommand(
  command: Commander.Command,
  fn: (command: Commander.Command) => void,
): void {
  fn(command);
  command.commands.forEach((one) => forEachCommand(one, fn));
}

async function runAction(
  opts: ToolSettings.GlobalOptions,
  action: Program.Action,
  deps: Context.Deps,
): Promise<Context.ExitCode> {
  const isJson = opts.json === true;
  const out = Output.createOutput(deps.stdout, deps.stderr, isJson);
  const settings = ToolSettings.readToolSettings(opts, deps);
  if (settings.isErr()) return reportFailure(out, settings.error);
  const peers = new Map<Types.Address, Context.PeerCaller>();
  const { secret = "" } = settings.value;
  const getPeer = (address: Types.Address) => {
    const peer = peers.get(address) ??
      connectFirst(deps.connectPeer(address, secret));
    peers.set(address, peer);
    return peer;
  };
  try {
    const ctx = { deps, settings: settings.value, out, getPeer };
    const outcome = await action(ctx);
    if (outcome.isOk()) return outcome.value;
    return reportFailure(out, outcome.error);
  } finally {
    for (const peer of peers.values()) peer.close();
  }
}

/** Lets the first call connect alone, so that calls at the same time share its connection. */
function connectFirst(peer: Context.PeerCaller): Context.PeerCaller {
  let first: Promise<unknown> | undefined;
  return {
    async call<T>(method: string, params: unknown, timeoutMs: number) {
      if (first !== undefined) await first;
      const result = peer.call<T>(method, params, timeoutMs);
      first ??= result;
      return result;
    },
    close: () => peer.close(),
  };
}

function reportFailure(
  out: Output.Output,
  err: ResultCodes.Failure,
): Context.ExitCode {
  out.note(ResultCodes.formatFailure(err));
  out.note(err.code.action);
  out.json({ error: Output.encodeFailure(err) });
  return Context.getExitCode(err);
}
