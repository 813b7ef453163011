import * as Http from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import * as GatewayHost from "../../testing/clients/gateway_host.ts";
import * as Rig from "../support/gateway_rig.ts";

const MB = 1_000_000;
/** The smallest machine. */
const MEMORY_MB = 250;
const CLIENTS = 80;
const PAUSE_MS = 400;
const SERVICE_MS = 900;
const LOAD_MS = 5_000;
/** What the four slots of the target serve at once. */
const MIN_SERVED = 4;

describe("orders with long bodies in chunks", () => {
  let host: GatewayHost.GatewayHost | undefined;
  afterEach(async () => {
    await host?.close();
    host = undefined;
  });

  /** Sends an order of 1 MB in chunks; resolves with its status, or "cut". */
  function sendOrder(address: string, id: string): Promise<number | "cut"> {
    const [hostname, port] = address.split(":");
    return new Promise((resolve) => {
      const req = Http.request({
        hostname,
        port,
        method: "POST",
        path: "/order/x",
        agent: false,
        headers: {
          host: "shop.example",
          "x-request-id": id,
          authorization: "Bearer k1",
          "transfer-encoding": "chunked",
        },
      }, (res) => {
        res.resume();
        res.once("end", () => resolve(res.statusCode ?? 0));
        res.once("error", () => resolve("cut"));
      });
      req.on("error", () => resolve("cut"));
      req.end(Buffer.alloc(MB, "b"));
    });
  }

  // Guards against a process that ends by its memory, as bodies are held twice, or until a collection.
  it(
    "are served or rejected within the memory of the process, and none that ran is cut",
    async () => {
      host = await GatewayHost.startGatewayHost(
        Rig.formatConfig(1),
        MEMORY_MB,
      );
      const { instance, target, usage } = host;
      target.setServiceMs(SERVICE_MS);
      const results = new Map<string, number | "cut">();
      const endMs = performance.now() + LOAD_MS;
      const runClient = async (client: number) => {
        for (let i = 0; performance.now() < endMs; i++) {
          const id = `chunked-${client}-${i}`;
          results.set(id, await sendOrder(instance.caller, id));
          await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
        }
      };
      await Promise.all(
        Array.from({ length: CLIENTS }, (_, client) => runClient(client)),
      );
      expect(usage.getPeakBytes()).toBeLessThan(MEMORY_MB * MB);
      expect(instance.isRunning(), "the process runs").toBe(true);
      const cut = target.ran.filter((id) => results.get(id) === "cut");
      expect(cut).toEqual([]);
      const served = [...results.values()].filter((result) => result === 200);
      expect(served.length).toBeGreaterThanOrEqual(MIN_SERVED);
    },
    30_000,
  );
});
