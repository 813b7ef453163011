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
    const reach: TargetReach.TargetReach = TargetReach.createTargetReach({
      getTargets: () =>
        ["north", "south"].flatMap((region) =>
          GatewayData.createTargets(region, 3, region)
        ),
      async probe() {
        probes++;
        await clock.sleep(isConnecting ? 2 : CONNECT_TIMEOUT_MS);
        return isConnecting;
      },
      onChange: () =>
        void changes.push(reach.isStranded() || reach.isLimited()),
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

  describe("while new connections are refused", () => {
    /** Lets connections to three targets fail while one that is open serves. */
    async function refuse() {
      const rig = create();
      await rig.serve(1_000, 5, 100);
      rig.setConnecting(false);
      for (const id of ["i-1", "i-1", "i-2", "i-3"]) {
        rig.reach.recordOpen(id, false);
      }
      return rig;
    }

    // Guards against callers that keep coming to an instance which rejects most of them.
    it("is limited until a target accepts one, also without requests", async () => {
      const { changes, clock, reach, setConnecting } = await refuse();
      await clock.advance(CONNECT_TIMEOUT_MS + 50);
      expect(reach.isLimited()).toBe(true);
      expect(reach.isStranded()).toBe(false);
      setConnecting(true);
      await clock.advance(1_000);
      expect(reach.isLimited()).toBe(false);
      expect(changes).toEqual([true, false]);
    });

    // Guards against requests that are given up although their target responds in time.
    it("is not lost while responses come seldom", async () => {
      const { clock, reach, serve } = await refuse();
      await clock.advance(CONNECT_TIMEOUT_MS + 50);
      await serve(5_000, 700, 100);
      expect(reach.isStranded()).toBe(false);
    });

    it("is not limited if some target accepts a connection", async () => {
      const { clock, reach, serve } = create();
      await serve(1_000, 5, 100);
      for (const id of ["i-1", "i-2", "i-3"]) reach.recordOpen(id, false);
      await clock.advance(1_000);
      expect(reach.isLimited()).toBe(false);
    });
  });
});
