import * as ChildProcess from "node:child_process";
import { describe, expect, it } from "vitest";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const addCleanup = Cleanups.createCleanups();

describe("an instance that reads its callers' connections late", () => {
  /** Starts callers in a separate process, which keeps running while this process is busy. */
  function startImpatientCallers(
    address: string,
    callerCount: number,
    disconnectAfterMs: number,
  ): Promise<unknown> {
    const [host, port] = address.split(":");
    const head = "GET /read/x HTTP/1.1\r\nhost: shop.example\r\n" +
      "x-deadline-ms: 1000\r\nauthorization: Bearer k1\r\n" +
      "cookie: X-Affinity-Key=";
    const script = `
      const net = require("node:net");
      const args = { host: "${host}", port: ${port} };
      for (let i = 0; i < ${callerCount}; i++) {
        const socket = net.connect(args, () => {
          socket.write(${JSON.stringify(head)} + i + "\\r\\n\\r\\n");
          setTimeout(() => socket.destroy(), ${disconnectAfterMs});
        });
        socket.on("error", () => {});
      }`;
    const child = ChildProcess.spawn(process.execPath, ["-e", script]);
    return new Promise((resolve) => child.once("exit", resolve));
  }

  function blockProcessor(ms: number): void {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs);
  }

  // Guards against requests that reach targets long after their callers disconnected.
  // With little processor time, the end of a connection is read after its request.
  it("does not send requests of callers that have disconnected", async () => {
    let isSlow = false;
    const { front, targets } = await Rig.startFleet(addCleanup, {
      targets: 8,
      onRead: () => blockProcessor(isSlow ? 40 : 0),
    });
    // Leaves idle connections to the targets, on which a request is sent without delay.
    const affinityKeys = Array.from({ length: 60 }, (_, key) => key);
    await Promise.all(
      affinityKeys.map((key) =>
        Rig.send(front, "/read/x", {
          headers: { cookie: `X-Affinity-Key=${key}` },
        })
      ),
    );
    const countReceived = () =>
      targets.reduce((sum, target) => sum + target.seen.length, 0);
    const receivedBefore = countReceived();
    for (const target of targets) target.setBehaviour("hang");
    isSlow = true;
    await startImpatientCallers(front, affinityKeys.length, 150);
    await new Promise((resolve) => setTimeout(resolve, 500));
    const receivedLate = countReceived() - receivedBefore;
    // Requests that were read before their callers disconnected: 150 ms at 40 ms each, plus one event-loop iteration.
    expect(receivedLate).toBeLessThan(20);
  });
});
