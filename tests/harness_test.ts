import * as ChildProcess from "node:child_process";
import * as Net from "node:net";
import { afterAll, describe, expect, it } from "vitest";
import * as Settings from "../src/settings/settings.ts";
import * as FaultProxy from "../testing/harness/fault_proxy.ts";
import * as Process from "../testing/harness/process.ts";
import * as HarnessSettings from "../testing/harness/settings.ts";
import * as Wait from "../testing/harness/wait.ts";
import * as HttpJson from "../testing/http_json.ts";

const WAIT_MS = 5_000;

afterAll(() => Process.killAll());

describe("process harness", () => {
  it("guards against a program that ends early being taken as ready", async () => {
    const started = Process.startProcess({
      script: "testing/fault_proxy/main.js",
      args: ["--no-such-option"],
      name: "broken",
    });
    await expect(started).rejects.toThrow(/broken ended.*\n.*no-such-option/);
  });

  it("guards against stop and kill that leave the process running", async () => {
    const one = await FaultProxy.startFaultProxy({});
    expect(await one.process.stop()).toEqual({ code: 0, signal: undefined });
    expect(one.process.isRunning()).toBe(false);
    const two = await FaultProxy.startFaultProxy({});
    two.process.freeze();
    await two.process.kill();
    expect((await two.process.exited).signal).toBe("SIGKILL");
  });

  it("guards against a frozen process that answers, and one that does not go on", async () => {
    const one = await FaultProxy.startFaultProxy({});
    one.process.freeze();
    let isAnswered = false;
    const stats = one.getStats().then(() => isAnswered = true);
    await expect(Wait.waitFor(() => isAnswered, 200, "an answer"))
      .rejects.toThrow("not within 200 ms: an answer");
    one.process.resume();
    await stats;
    await one.process.stop();
  });

  it.each(["process.exit(0)", "process.kill(process.pid, 'SIGTERM')"])(
    "guards against processes that outlive their parent (%s)",
    async (end) => {
      const url = new URL(
        "../dist/testing/harness/process.js",
        import.meta.url,
      );
      const script = `const harness = await import("${url}");
        const script = "testing/fault_proxy/main.js";
        const one = await harness.startProcess({ script, name: "orphan" });
        console.log(one.getText("address"));
        ${end};
        await new Promise(() => setInterval(() => {}, 1000));`;
      const args = ["--input-type=module", "-e", script];
      const parent = ChildProcess.spawn(process.execPath, args);
      let output = "";
      parent.stdout.on("data", (chunk) => output += chunk);
      await new Promise((done) => parent.once("close", done));
      // Its port tells: an ended process may stay in the process table.
      const isGone = async () => {
        const socket = Net.connect(HttpJson.parseAddress(output.trim()));
        const res = await new Promise<string | undefined>((resolve) => {
          socket.once("connect", () => resolve(undefined));
          socket.once("error", (err: NodeJS.ErrnoException) => {
            resolve(err.code);
          });
        });
        socket.destroy();
        return res === "ECONNREFUSED";
      };
      await Wait.waitFor(isGone, WAIT_MS, "the end of the started process");
    },
  );

  it("guards against settings that the daemon would read differently", () => {
    const text = HarnessSettings.formatSettings({
      id: "a1",
      domain: "uusimaa-1",
      region: "uusimaa",
      platform: "127.0.0.1:9",
      seeds: ["127.0.0.1:8"],
      advertise: { peer: "127.0.0.1:7" },
      leaseTtlMs: 5_000,
      leaseRenewMs: 1_000,
      keysWhenIsolated: "serve",
      limits: { ledgerEntries: 200 },
    });
    const cfg = Settings.parseSettings(text).unwrap();
    expect(cfg).toMatchObject({
      listen: { peer: "127.0.0.1:0" },
      advertise: { peer: "127.0.0.1:7", caller: "127.0.0.1:0" },
      peers: { seeds: ["127.0.0.1:8"], secret: HarnessSettings.TEST_SECRET },
      lease: { ttlMs: 5_000, renewMs: 1_000 },
      keys: { whenIsolated: "serve" },
      limits: { ledgerEntries: 200 },
    });
  });
});
