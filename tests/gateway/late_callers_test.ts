import * as ChildProcess from "node:child_process";
import { describe, expect, it } from "vitest";
import type * as LeavingCallers from "../../testing/caller/leaving.ts";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const addCleanup = Cleanups.createCleanups();
const CALLER_COUNT = 60;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("an instance that reads its callers' connections late", () => {
  /** Starts callers that wait for `send`. */
  async function prepareCallers(opts: LeavingCallers.Options) {
    const script = "dist/testing/caller/leaving.js";
    const args = [script, JSON.stringify(opts)];
    const child = ChildProcess.spawn(process.execPath, args);
    const exited = new Promise((resolve) => child.once("exit", resolve));
    await new Promise((resolve) => child.stdout.once("data", resolve));
    return {
      /** Lets all callers send and disconnect; resolves when the command has been passed to them. */
      send: () =>
        new Promise<void>((resolve) =>
          child.stdin.write("send", () => resolve())
        ),
      exited,
    };
  }

  function blockProcessor(ms: number): void {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs);
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
      blockProcessor(isSlow ? 40 : 0)
    );
    const receivedBefore = countReceived();
    for (const target of targets) target.setBehaviour("hang");
    const callers = await prepareCallers({
      address: front,
      count: CALLER_COUNT,
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
        count: CALLER_COUNT,
        disconnectAfterMs: 50,
        isKept: connection === "kept",
      });
      const receivedBefore = countReceived();
      await callers.send();
      blockProcessor(800);
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
