/** Defines the commands and options of `anvilroutectl`. */
import * as Commander from "commander";
import type * as Context from "./context.ts";
import * as Explain from "./explain.ts";
import * as KeyCommands from "./key_commands.ts";
import * as KeyWithdraw from "./key_withdraw.ts";
import * as ReportCommands from "./report_commands.ts";
import * as Status from "./status.ts";
import * as TableApply from "./table_apply.ts";
import * as TableCommands from "./table_commands.ts";
import type * as ToolSettings from "./tool_settings.ts";

/** Implementation of a command. */
export type Action = (
  ctx: Context.Context,
) => Context.CommandResult | Awaited<Context.CommandResult>;

/** Receives the global options and the implementation of the command that the user called. */
export type OnCommand = (
  opts: ToolSettings.GlobalOptions,
  action: Action,
) => Promise<void>;

/** Default wait in seconds until a change is in force at all instances; twice the 6 s that a change may take. */
const DEFAULT_WAIT_S = 12;

const EXIT_HELP = `
Exit codes: 0 good, 1 failed, 2 usage or settings, 3 errors in the table,
4 conflict, 5 store or instances unreachable, 6 partial.`;

function parseNumber(
  min: number,
  max: number,
  isInteger: boolean,
): (argument: string) => number {
  return (argument) => {
    const value = argument.trim() === "" ? NaN : Number(argument);
    const isValid = value >= min && value <= max &&
      (!isInteger || Number.isInteger(value));
    if (isValid) return value;
    const kind = isInteger ? "an integer" : "a number";
    throw new Commander.InvalidArgumentError(
      `allowed: ${kind} from ${min} to ${max}`,
    );
  };
}

function appendValue(
  value: string,
  previousValues: readonly string[] | undefined,
): readonly string[] {
  return [...(previousValues ?? []), value];
}

function addGlobalOptions(program: Commander.Command): void {
  program
    .option("--config <FILE>", "settings of the tool (TOML)")
    .option("--platform <ADDR>", "address of the platform, IP:port")
    .option(
      "--peer <ADDR>",
      "peer address of an instance; repeatable",
      appendValue,
    )
    .option("--secret-file <FILE>", "file with the peers' secret")
    .option(
      "--timeout-ms <MS>",
      "longest wait for one answer",
      parseNumber(50, 30_000, true),
    )
    .option("--by <NAME>", "name to write into the table's record")
    .option("--json", "print one JSON document");
}

/** Adds an `Examples:` section to the help of a command. */
function addExamples(
  command: Commander.Command,
  lines: readonly string[],
): Commander.Command {
  const text = lines.map((line) => `  anvilroutectl ${line}`).join("\n");
  return command.addHelpText("after", `\nExamples:\n${text}`);
}

/** Creates the program; parsing a command line calls `onCommand`. */
export function createProgram(onCommand: OnCommand): Commander.Command {
  const program = new Commander.Command("anvilroutectl");
  program.description("Operators' tool of anvilroute").version("0.1.0");
  addGlobalOptions(program);
  program.addHelpText("after", EXIT_HELP);
  const runCommand = (command: Commander.Command, action: Action) =>
    onCommand(command.optsWithGlobals(), action);
  addTableCommands(program, runCommand);
  addKeyCommands(program, runCommand);
  addReportCommands(program, runCommand);
  return program;
}

type RunCommand = (command: Commander.Command, action: Action) => Promise<void>;

function addWaitOption(command: Commander.Command): Commander.Command {
  return command.option(
    "--wait-s <SECONDS>",
    "how long to wait until it is in force everywhere",
    parseNumber(0, 3600, false),
    DEFAULT_WAIT_S,
  );
}

function addTableCommands(
  program: Commander.Command,
  runCommand: RunCommand,
): void {
  const table = program.command("table").description("the operators' table");
  addExamples(table, [
    "table pull table.csv",
    "table plan table.csv",
    "table apply table.csv",
  ]);
  addExamples(
    table.command("pull").argument("<FILE>")
      .description("write the store's table to FILE")
      .option("--force", "lose edits in FILE"),
    ["--config tool.toml table pull table.csv"],
  ).action((file, opts, command) =>
    runCommand(command, (ctx) => TableCommands.pull(ctx, file, opts))
  );
  addExamples(
    table.command("check").argument("<FILE>")
      .description("check FILE without any connection"),
    ["table check table.csv", "--json table check table.csv"],
  ).action((file, _opts, command) =>
    runCommand(command, (ctx) => TableCommands.check(ctx, file))
  );
  addExamples(
    table.command("plan").argument("<FILE>")
      .description("show what applying FILE would change"),
    ["--platform 10.0.0.2:7000 table plan table.csv"],
  ).action((file, _opts, command) =>
    runCommand(command, (ctx) => TableCommands.plan(ctx, file))
  );
  const apply = table.command("apply").argument("<FILE>")
    .description("store FILE and follow it to every instance")
    .option(
      "--revision <N>",
      "revision that FILE is based on; 0 for the first table",
      parseNumber(0, Number.MAX_SAFE_INTEGER, true),
    );
  addExamples(addWaitOption(apply), [
    "--config tool.toml table apply table.csv",
    "--config tool.toml table apply --revision 0 first.csv",
  ]).action((file, opts, command) =>
    runCommand(command, (ctx) => TableApply.apply(ctx, file, opts))
  );
}

function addKeyCommands(
  program: Commander.Command,
  runCommand: RunCommand,
): void {
  const key = program.command("key").description("keys of client accounts");
  addExamples(key, ["key list", "key issue --account lakeland"]);
  const issue = key.command("issue")
    .description("issue a key and show it once")
    .requiredOption("--account <NAME>", "client account");
  addExamples(addWaitOption(issue), [
    "--config tool.toml key issue --account lakeland",
  ]).action((opts, command) =>
    runCommand(command, (ctx) => KeyCommands.issue(ctx, opts))
  );
  addExamples(
    key.command("list").description("list ids and digests of keys")
      .option("--account <NAME>", "only this client account"),
    ["--config tool.toml key list --account lakeland"],
  ).action((opts, command) =>
    runCommand(command, (ctx) => KeyCommands.list(ctx, opts))
  );
  addExamples(
    key.command("withdraw").argument("[ID]", "id of the key, see key list")
      .description("withdraw a key at every instance and in the store")
      .option("--digest <HEX>", "SHA-256 of the key instead of its id")
      .option("--key-file <FILE>", "file with the key instead of its id"),
    [
      "--config tool.toml key withdraw 1f2e3d4c",
      "--config tool.toml key withdraw --key-file leaked.txt",
    ],
  ).action((id, opts, command) =>
    runCommand(
      command,
      (ctx) =>
        KeyWithdraw.withdraw(ctx, id === undefined ? opts : { ...opts, id }),
    )
  );
}

function addReportCommands(
  program: Commander.Command,
  runCommand: RunCommand,
): void {
  addExamples(
    program.command("status").description("show every instance"),
    ["--config tool.toml status", "--config tool.toml --json status"],
  ).action((_opts, command) => runCommand(command, Status.status));
  addExamples(
    program.command("explain")
      .description("show how an instance would treat a request")
      .option("--service <NAME>", "service")
      .option("--account <NAME>", "client account; never a key")
      .option(
        "--from <NAME>",
        "region of the caller; with --host, instance to ask",
      )
      .option("--instance <ID>", "instance to ask")
      .option("--host <HOST>", "host of a request to the gateway")
      .option("--path <PATH>", "its path")
      .option("--method <METHOD>", "its method (default: GET)")
      .option("--key-object <K>", "its affinity key")
      .option("--all", "ask all instances and show where they differ"),
    [
      "--config tool.toml explain --service booking --account lakeland " +
      "--from uusimaa",
      "--config tool.toml explain --host shop.example --path /read/17 " +
      "--account hut --key-object 17 --all",
    ],
  ).action((opts, command) =>
    runCommand(command, (ctx) => Explain.explain(ctx, opts))
  );
  const report = program.command("report").description("reports");
  addExamples(
    report.command("burn")
      .description("show how fast error budgets are used up")
      .option("--html <FILE>", "also write a page with plots")
      .option("--table <FILE>", "table to use while the store is down")
      .option(
        "--answered <PCT>",
        "objective: share of requests answered",
        parseNumber(0, 99.9999, false),
        99.9,
      )
      .option(
        "--p99-ms <MS>",
        "objective: 99% of answers within (default: deadline/4)",
        parseNumber(1, 600_000, false),
      ),
    ["--config tool.toml report burn --html burn.html"],
  ).action((opts, command) =>
    runCommand(command, (ctx) => ReportCommands.burn(ctx, opts))
  );
  const settings = program.command("settings")
    .description("settings of instances");
  addExamples(
    settings.command("check").argument("<FILE>")
      .description("check an instance's settings file"),
    ["settings check anvilrouted.toml"],
  ).action((file, _opts, command) =>
    runCommand(command, (ctx) => ReportCommands.checkSettings(ctx, file))
  );
}
