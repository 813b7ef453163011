/** Command line of the load generator: runs a plan and prints its report as a JSON line. */
import * as Fs from "node:fs";
import { Command } from "commander";
import * as HttpJson from "../http_json.ts";
import * as Load from "./load.ts";
import * as Plan from "./plan.ts";

const program = new Command("load")
  .description("Load generator over HTTP")
  .requiredOption("--plan <file>", "plan as JSON, see testing/load/plan.ts")
  .parse();

const opts = program.opts<{ plan: string }>();
const plan = Plan.checkPlan(Fs.readFileSync(opts.plan, "utf8"));
const abort = new AbortController();
process.on("SIGTERM", () => abort.abort());
HttpJson.printReady({});
const report = await Load.runLoad(plan, { signal: abort.signal });
process.stdout.write(`${JSON.stringify({ report })}\n`);
