import * as Net from "node:net";
import { describe, expect, it } from "vitest";
import type * as LeavingCallers from "../../testing/caller/leaving.ts";
import * as Callers from "../../testing/harness/leaving_callers.ts";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const addCleanup = Cleanups.createCleanups();
const CALLER_COUNT = 60;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("an instance that reads its callers' connections late", () => {
  function prepareCallers(
    opts: Pick<
      LeavingCallers.Options,
      "address" | "disconnectAfterMs" | "isKept"
    >,
  ) {
    return Callers.prepareLeavingCallers({
      ...opts,
      count: CALLER_COUNT,
      head: [
        "GET /read/x HTTP/1.1",
        "host: shop.example",
        "x-request-id: caller-{caller}",
        "x-deadline-ms: 1000",
        "authorization: Bearer k1",
        "cookie: X-Affinity-Key={caller}",
      ],
    });
  }

  /** Starts a fleet with idle connections to its targets, on which a request is sent without delay. */
  async function startWarmFleet(onRead: () => void = () => {}) {
    const fleet = await Rig.startFleet(addCleanup, { targets: 8, onRead });
    await Promise.all(
      Array.from(
        { length: CALLER_COUNT },
        (_, key) =>
          Rig.send(fleet.front, "/read/x", {
            headers: { cookie: `X-Affinity-Key=${key}` },
          }),
      ),
    );
    const countReceived = () =>
      fleet.targets.reduce((sum, target) => sum + target.seen.length, 0);
    return { ...fleet, countReceived };
  }

  // Guards against requests that reach targets long after their callers disconnected.
  // With little processor time, the end of a connection is read after its request.
  it("does not send requests of callers that have disconnected", async () => {
    let isSlow = false;
    const { countReceived, front, targets } = await startWarmFleet(() =>
      Callers.blockProcessor(isSlow ? 40 : 0)
    );
    const receivedBefore = countReceived();
    for (const target of targets) target.setBehaviour("hang");
    const callers = await prepareCallers({
      address: front,
      disconnectAfterMs: 150,
      isKept: false,
    });
    isSlow = true;
    await callers.send();
    await callers.exited;
    await sleep(500);
    const receivedLate = countReceived() - receivedBefore;
    // Requests that were read before their callers disconnected: 150 ms at 40 ms each, plus one event-loop iteration.
    expect(receivedLate).toBeLessThan(20);
  });

  // The event loop accepts one connection in an iteration, so under overload the
  // kernel holds connections whose callers have left again. A kept connection is
  // read as late.
  for (const connection of ["new", "kept"]) {
    it(`does not send requests of callers that left a ${connection} connection 700 ms before it was read`, async () => {
      const { countReceived, front, instances } = await startWarmFleet();
      const callers = await prepareCallers({
        address: front,
        disconnectAfterMs: 50,
        isKept: connection === "kept",
      });
      const receivedBefore = countReceived();
      await callers.send();
      Callers.blockProcessor(800);
      await callers.exited;
      await Rig.until("the instance has read that all callers left", () => {
        const { lines } = instances[0]!;
        const left = lines.filter((line) => line.includes("event=caller-left"));
        return left.length >= CALLER_COUNT;
      });
      expect(countReceived() - receivedBefore).toBe(0);
    });
  }
});

describe("a caller that disconnects with several requests on its connection", () => {
  // Only the first response of a pipeline is attached to the connection and closes with it.
  for (const method of ["destroy", "resetAndDestroy"] as const) {
    it(`cancels each of them at its target (${method})`, async () => {
      const { front, targets } = await Rig.startFleet(addCleanup);
      for (const target of targets) target.setBehaviour("hang");
      const [host, port] = front.split(":");
      const socket = Net.connect({ host: host!, port: Number(port) });
      const head = "GET /read/x HTTP/1.1\r\nhost: shop.example\r\n" +
        "authorization: Bearer k1\r\nx-request-id: ";
      socket.write(`${head}a\r\n\r\n${head}b\r\n\r\n`);
      await Rig.until("both run", () => Rig.countRuns(targets) === 2);
      socket[method]();
      await sleep(500);
      const cancelled = targets.map((target) => target.getCancelled());
      expect(cancelled.reduce((sum, count) => sum + count, 0)).toBe(2);
    });
  }
});
