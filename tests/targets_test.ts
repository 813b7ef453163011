import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import * as Rendezvous from "../src/targets/rendezvous.ts";
import * as TargetPool from "../testing/fakes/target_pool.ts";

describe("target pool after a pause of the process", () => {
  function createPausedRig() {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([TargetPool.createTarget("t1")]);
    rig.pool.recordAlive();
    rig.probe("t1");
    rig.advance(900);
    rig.acquire().release(TargetPool.ANSWERED);
    const probedIds: string[] = [];
    rig.pool.onProbeRequested((entry) => void probedIds.push(entry.info.id));
    rig.advance(200);
    return { ...rig, probedIds };
  }

  it("gives a target no work before a probe, because it may have been leaving during the pause", () => {
    const rig = createPausedRig();
    expect(rig.pool.tryAcquire("s", "l")).toBeUndefined();
    expect(rig.probedIds).toEqual(["t1"]);
    rig.probe("t1", { startedAtMs: 1_500 });
    expect(rig.pool.tryAcquire("s", "l")).toBeUndefined();
    rig.probe("t1");
    rig.acquire();
  });

  it("gives a target work again after the recheck limit if its health endpoint hangs", () => {
    const rig = createPausedRig();
    expect(rig.pool.tryAcquire("s", "l")).toBeUndefined();
    for (let i = 0; i < 2; i++) {
      rig.advance(750);
      rig.pool.recordAlive();
    }
    rig.acquire();
  });
});

describe("slot assignment", () => {
  it("gives each slot exactly one owner, and an added instance moves only the slots that it gains", () => {
    const arbitrary = FastCheck.record({
      count: FastCheck.integer({ min: 1, max: 12 }),
      slots: FastCheck.integer({ min: 1, max: 12 }),
      id: FastCheck.string({ minLength: 1 }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ count, slots, id }) => {
        const info = TargetPool.createTarget(id, { slots });
        const getOwnedSlots = (self: string, n: number) =>
          Rendezvous.getOwnedSlots(
            info,
            self,
            TargetPool.createWeightedInstances(n),
          );
        const ownedSlots = TargetPool.createEntryInstances(count).flatMap((
          instance,
        ) => getOwnedSlots(instance.id, count));
        expect(ownedSlots.toSorted((a, b) => a - b)).toEqual(
          Array.from({ length: slots }, (_, i) => i),
        );
        for (const instance of TargetPool.createEntryInstances(count)) {
          const previousSlots = getOwnedSlots(instance.id, count);
          expect(previousSlots).toEqual(
            expect.arrayContaining([...getOwnedSlots(instance.id, count + 1)]),
          );
        }
      }),
    );
  });

  it("gives an instance in the target's domain twice the slots of one elsewhere in the region", () => {
    let sameDomainSlots = 0;
    let totalSlots = 0;
    for (let i = 0; i < 200; i++) {
      for (const instance of TargetPool.createEntryInstances(4)) {
        const ownedSlots = Rendezvous.getOwnedSlots(
          TargetPool.createTarget(`t${i}`),
          instance.id,
          TargetPool.createWeightedInstances(4),
        );
        totalSlots += ownedSlots.length;
        if (instance.domain === "l-1") sameDomainSlots += ownedSlots.length;
      }
    }
    expect(sameDomainSlots / totalSlots).toBeGreaterThan(0.62);
    expect(sameDomainSlots / totalSlots).toBeLessThan(0.71);
  });

  it("never exceeds the owned slots plus half of the slots that a fresh report shows as unused", () => {
    const arbitrary = FastCheck.record({
      reports: FastCheck.array(FastCheck.integer({ min: 0, max: 9 }), {
        minLength: 1,
        maxLength: 6,
      }),
      delayMs: FastCheck.integer({ min: 0, max: 6_000 }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ reports, delayMs }) => {
        const rig = TargetPool.createPoolRig(
          TargetPool.createEntryInstances(6),
        );
        rig.pool.setInstances([TargetPool.createTarget("t0")]);
        const ownedCount = rig.acquireAll().length;
        let inFlight = ownedCount;
        for (const inUse of reports) {
          rig.advance(1_000);
          rig.probe("t0", { load: { inUse, slots: 9 } });
          rig.advance(delayMs);
          const unusedSlots = 9 - Math.max(inUse, inFlight);
          const extraLeases = rig.acquireAll().length;
          const isFresh = delayMs <= 2_500;
          expect(extraLeases).toBeLessThanOrEqual(
            isFresh ? Math.floor(unusedSlots / 2) : 0,
          );
          inFlight += extraLeases;
          expect(inFlight).toBeLessThanOrEqual(9);
        }
      }),
    );
  });

  it("uses reported idle slots of other instances, so that an instance with most of the callers can serve them", () => {
    const rig = TargetPool.createPoolRig(TargetPool.createEntryInstances(6));
    rig.pool.setInstances([TargetPool.createTarget("t0")]);
    let inFlight = rig.acquireAll().length;
    for (let i = 0; i < 8; i++) {
      rig.advance(1_000);
      rig.probe("t0", { load: { inUse: inFlight, slots: 9 } });
      inFlight += rig.acquireAll().length;
    }
    expect(inFlight).toBe(8);
  });

  it("causes at most one shed per second if reports wrongly show no load by other instances", () => {
    const rig = TargetPool.createPoolRig(TargetPool.createEntryInstances(6));
    rig.pool.setInstances([TargetPool.createTarget("t0")]);
    const remoteInFlight = 7;
    let sheds = 0;
    let running: Contracts.SlotLease[] = [];
    for (let ms = 0; ms < 20_000; ms += 50) {
      rig.advance(50);
      if (ms % 1_000 === 0) rig.probe("t0", { load: { inUse: 0, slots: 9 } });
      for (const lease of running) lease.release(TargetPool.ANSWERED);
      running = [];
      for (;;) {
        const lease = rig.pool.tryAcquire("s", "l");
        if (lease === undefined) break;
        if (running.length + remoteInFlight < 9) running.push(lease);
        else {
          sheds++;
          lease.release(TargetPool.SHED);
          expect(sheds).toBeLessThanOrEqual(ms / 1_000 + 2);
        }
      }
    }
    expect(sheds).toBeGreaterThan(0);
    expect(sheds).toBeLessThanOrEqual(20);
  });

  it("pauses a target that sheds every request, and retries it rarely although it reports no load", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([TargetPool.createTarget("t0")]);
    let sheds = 0;
    for (let ms = 0; ms < 40_000; ms += 10) {
      rig.advance(10);
      const lease = rig.pool.tryAcquire("s", "l");
      if (lease === undefined) continue;
      sheds++;
      lease.release(TargetPool.SHED);
      expect(
        rig.pool.hasUsable("s", "l"),
        "the pool counts the paused target as not usable",
      ).toBe(false);
    }
    expect(sheds).toBeLessThanOrEqual(8);
    expect(sheds, "the pool retries the target after each pause")
      .toBeGreaterThanOrEqual(5);
  });

  it("prefers targets in the local domain and distributes requests evenly over them", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([
      TargetPool.createTarget("local1"),
      TargetPool.createTarget("local2"),
      TargetPool.createTarget("remote", { domain: "l-2" }),
    ]);
    const firstLeases = Array.from({ length: 10 }, rig.acquire);
    expect(TargetPool.countLeases(firstLeases, "remote")).toBe(0);
    expect(TargetPool.countLeases(firstLeases, "local1"))
      .toBeGreaterThanOrEqual(4);
    expect(TargetPool.countLeases(firstLeases, "local2"))
      .toBeGreaterThanOrEqual(4);
    const remainingLeases = rig.acquireAll();
    expect(TargetPool.countLeases(remainingLeases, "remote")).toBe(9);
  });
});

describe("slow start", () => {
  it("ramps a new target up from one slot to all within 10 s while other targets are warmed up", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
    ]);
    rig.advance(10_000);
    const warmTargets = [
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
    ];
    rig.pool.setInstances([...warmTargets, TargetPool.createTarget("new")]);
    const counts: number[] = [];
    for (let i = 0; i < 3; i++) {
      const leases = rig.acquireAll();
      counts.push(TargetPool.countLeases(leases, "new"));
      for (const lease of leases) lease.release(TargetPool.ANSWERED);
      rig.advance(5_000);
    }
    expect(counts).toEqual([1, 5, 9]);
  });

  it("opens all slots while all targets are cold, so that a start rejects no requests", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
    ]);
    expect(rig.acquireAll().length).toBe(18);
  });
});
