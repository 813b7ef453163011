/** Command line of the fault proxy, with a control listener. */
import { Command } from "commander";
import type * as Json from "../../src/json.ts";
import * as HttpJson from "../http_json.ts";
import * as Faults from "./faults.ts";
import * as Proxy from "./proxy.ts";

const program = new Command("fault_proxy")
  .description("TCP proxy that injects faults")
  .option("--listen <address>", "listener of the proxy", "127.0.0.1:0")
  .option("--target <address>", "where connections go; may be set later")
  .option("--control <address>", "listener of the controls", "127.0.0.1:0")
  .parse();

const opts = program.opts<
  { listen: string; target?: string; control: string }
>();
const proxy = await Proxy.createFaultProxy(opts);

async function setFaults(
  body: Json.JsonObject,
): Promise<HttpJson.JsonAnswer> {
  const patch = Faults.checkPatch(body);
  if (typeof patch === "string") return HttpJson.malformed(patch);
  await proxy.setFaults(patch);
  return { status: 200, body: proxy.getFaults() };
}

function setTarget(body: Json.JsonObject): HttpJson.JsonAnswer {
  const { target } = body;
  if (typeof target !== "string") return HttpJson.malformed("target");
  HttpJson.parseAddress(target);
  proxy.setTarget(target);
  return { status: 200, body: { target } };
}

const server = HttpJson.createControlServer(async (method, path, body) => {
  switch (`${method} ${path}`) {
    case "GET /faults":
      return { status: 200, body: proxy.getFaults() };
    case "PUT /faults":
      return await setFaults(body);
    case "DELETE /faults":
      await proxy.heal();
      return { status: 200, body: proxy.getFaults() };
    case "DELETE /connections":
      proxy.resetConnections();
      return { status: 200, body: proxy.getStats() };
    case "PUT /target":
      return setTarget(body);
    case "GET /stats":
      return { status: 200, body: proxy.getStats() };
    default:
      return HttpJson.refuse(404, "malformed", "path");
  }
});
const control = await HttpJson.listen(server, opts.control);
process.on("SIGTERM", () => process.exit(0));
HttpJson.printReady({ address: proxy.address, control });
