/** Command line of the stand-in for the platform. */
import { Command, InvalidArgumentError } from "commander";
import * as HttpJson from "../http_json.ts";
import * as Server from "./server.ts";

function parseCount(text: string): number {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError("not a count");
  return Number(text);
}

const program = new Command("platform")
  .description("Stand-in for the platform: store, leases, instance list")
  .option("--listen <address>", "listener of the protocol", "127.0.0.1:0")
  .option("--control <address>", "listener of the controls", "127.0.0.1:0")
  .option("--list-lag-ms <ms>", "lag of the instance list", parseCount, 0)
  .parse();

const opts = program.opts<
  { listen: string; control: string; listLagMs: number }
>();
const platform = await Server.startPlatform(opts);
process.on("SIGTERM", async () => {
  await platform.stop();
  process.exit(0);
});
HttpJson.printReady({ address: platform.address, control: platform.control });
