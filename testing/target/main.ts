/** Command line of the target stand-in; prints one JSON line when it is ready. */
import { Command, InvalidArgumentError } from "commander";
import type * as Records from "./records.ts";
import * as StandIn from "./stand_in.ts";

const CRASH_EXIT_CODE = 70;
/** Over the 3 s after which a leaving target receives no new work. */
const LEAVE_MS = 4_000;

interface CommandLine extends StandIn.StandInOptions {
  readonly leaveMs: number;
  readonly streamRecords?: boolean;
}

function parseCount(text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError("not a count");
  return Number(text);
}

const program = new Command("target")
  .description("Stand-in for a target, for tests and measurements")
  .requiredOption("--id <id>", "name of the target")
  .requiredOption("--service <service>", "service that it belongs to")
  .requiredOption("--domain <domain>", "failure domain")
  .requiredOption("--region <region>", "region")
  .option("--listen <ip:port>", "service listener", "127.0.0.1:0")
  .option("--advertise <ip:port>", "address for the instance list")
  .option("--control <ip:port>", "control listener", "127.0.0.1:0")
  .requiredOption("--slots <n>", "requests at the same time", parseCount)
  .requiredOption("--service-ms <ms>", "time that a request takes", parseCount)
  .option("--platform <ip:port>", "platform to register with")
  .option("--cold-ms <ms>", "time of slower answers after start", parseCount)
  .option("--crash-on <text>", "exit on a path that contains the text")
  .option("--max-records <n>", "records kept", parseCount)
  .option("--stream-records", "print records, so that they outlast a kill")
  .option(
    "--leave-ms <ms>",
    "time between leaving and the end",
    parseCount,
    LEAVE_MS,
  )
  .parse();

const opts = program.opts<CommandLine>();

/** Writes to a pipe are synchronous, so what is printed before a kill is read. */
function printRecord(record: Records.ExecutionRecord): void {
  process.stdout.write(JSON.stringify({ record }) + "\n");
}

const standIn = await StandIn.createTargetStandIn({
  ...opts,
  ...opts.streamRecords === true ? { onRecord: printRecord } : {},
  onCrash: () => process.exit(CRASH_EXIT_CODE),
});

process.once("SIGTERM", () => {
  void standIn.leave(opts.leaveMs).then(() => process.exit(0));
});

const { listen, control } = standIn;
process.stdout.write(JSON.stringify({ ready: true, listen, control }) + "\n");
