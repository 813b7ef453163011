/** The load generator as a process, so that it does not share a core with its caller. */
import type * as Load from "../load/load.ts";
import type * as Plan from "../load/plan.ts";
import * as Process from "./process.ts";
import * as Temp from "./temp.ts";

/** A load run in progress. */
export interface LoadProcess {
  readonly process: Process.ManagedProcess;
  /** Ends the run early; the report covers what was sent. */
  end(): void;
  /** Rejects when the process fails. */
  readonly report: Promise<Load.LoadReport>;
}

async function waitForReport(
  process: Process.ManagedProcess,
): Promise<Load.LoadReport> {
  const { code } = await process.exited;
  const line = process.getOutput().at(-1);
  if (code !== 0 || line === undefined) {
    const log = process.getLog().slice(-20).join("\n");
    throw new Error(`${process.name} ended with code ${code}\n${log}`);
  }
  return (JSON.parse(line) as { report: Load.LoadReport }).report;
}

/** Starts a load run. */
export async function startLoad(
  plan: Plan.LoadPlan,
  name = "load",
): Promise<LoadProcess> {
  const path = Temp.writeTempFile(`${name}.json`, JSON.stringify(plan));
  const process = await Process.startProcess({
    script: "testing/load/main.js",
    args: ["--plan", path],
    name,
  });
  return { process, end: process.terminate, report: waitForReport(process) };
}
