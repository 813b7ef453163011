import { describe, expect, it } from "vitest";
import * as TargetReach from "../../src/gateway/target_reach.ts";
import * as Log from "../../src/log.ts";
import * as GatewayData from "../../testing/fakes/gateway_data.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("reachability of the targets", () => {
  /** Time that a connection attempt takes to fail. */
  const CONNECT_TIMEOUT_MS = 250;

  function create() {
    const clock = ManualTime.createTime();
    const changes: boolean[] = [];
    let isConnecting = true;
    let probes = 0;
    const reach = TargetReach.createTargetReach({
      getTargets: () =>
        ["north", "south"].flatMap((region) =>
          GatewayData.createTargets(region, 3, region)
        ),
      async probe() {
        probes++;
        await clock.sleep(isConnecting ? 2 : CONNECT_TIMEOUT_MS);
        return isConnecting;
      },
      onChange: (isStranded) => void changes.push(isStranded),
      clock,
      sleep: clock.sleep,
      log: Log.createLogger("error", {}, () => {}),
    });
    return {
      clock,
      reach,
      changes,
      getProbes: () => probes,
      setConnecting: (value: boolean) => void (isConnecting = value),
      /** Sends at an interval and gets a response after `latencyMs`. */
      async serve(durationMs: number, intervalMs: number, latencyMs: number) {
        const endMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < endMs) {
          reach.recordSend();
          void clock.sleep(latencyMs).then(reach.recordResponse);
          await clock.advance(intervalMs);
        }
        await clock.advance(latencyMs);
      },
      /** Sends at an interval and gets no response. */
      async sendInVain(durationMs: number, intervalMs: number) {
        const endMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < endMs) {
          reach.recordSend();
          await clock.advance(intervalMs);
        }
      },
    };
  }

  it("is lost within a second when responses and connections hang", async () => {
    const { changes, reach, sendInVain, serve, setConnecting } = create();
    await serve(2_000, 5, 100);
    expect(reach.isStranded()).toBe(false);
    setConnecting(false);
    await sendInVain(600, 5);
    expect(reach.isStranded()).toBe(true);
    expect(reach.getLoss().isCancelled()).toBe(true);
    expect(changes).toEqual([true]);
  });

  // Guards against an instance that passes its requests on because targets are slow.
  it("isn't lost while targets accept connections, however late they respond", async () => {
    const { getProbes, reach, sendInVain, serve } = create();
    await serve(2_000, 5, 100);
    await sendInVain(5_000, 5);
    expect(reach.isStranded()).toBe(false);
    expect(getProbes()).toBeGreaterThan(0);
  });

  // Guards against probes that small instances of a large fleet send all the time: their
  // responses come seconds apart.
  it("is seldom probed while few requests are sent", async () => {
    const { getProbes, serve } = create();
    await serve(20_000, 215, 1_500);
    expect(getProbes()).toBeLessThanOrEqual(4);
  });

  it("is not lost without requests, or when the instance was paused", async () => {
    const { clock, reach, serve } = create();
    await serve(1_000, 5, 100);
    await clock.advance(10_000);
    expect(reach.isStranded()).toBe(false);
  });

  it("is regained when a target accepts a connection again", async () => {
    const { changes, clock, reach, sendInVain, serve, setConnecting } =
      create();
    await serve(1_000, 5, 100);
    setConnecting(false);
    await sendInVain(1_000, 5);
    setConnecting(true);
    await clock.advance(1_000);
    expect(reach.isStranded()).toBe(false);
    expect(reach.getLoss().isCancelled()).toBe(false);
    expect(changes).toEqual([true, false]);
  });

  // Guards against requests that are rejected for want of a connection while those that
  // are open still work.
  it("tells that no new connection can be opened after failures at several targets", () => {
    const { reach } = create();
    for (const id of ["i-1", "i-1", "i-2"]) reach.recordOpen(id, false);
    expect(reach.canOpen()).toBe(true);
    reach.recordOpen("i-3", false);
    expect(reach.canOpen()).toBe(false);
    reach.recordOpen("i-2", true);
    expect(reach.canOpen()).toBe(true);
  });
});
