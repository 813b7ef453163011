import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import * as Rendezvous from "../src/targets/rendezvous.ts";
import * as TargetPool from "../testing/fakes/target_pool.ts";

describe("a pause of the process", () => {
  function createPaused() {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([TargetPool.target("t1")]);
    rig.pool.recordAlive();
    rig.probe("t1");
    rig.pass(900);
    rig.acquire().release(TargetPool.ANSWERED);
    const wanted: string[] = [];
    rig.pool.onProbeRequested((entry) => void wanted.push(entry.info.id));
    rig.pass(200);
    return { ...rig, wanted };
  }

  it("keeps new work from targets until a probe: one may have been leaving for long", () => {
    const rig = createPaused();
    expect(rig.pool.tryAcquire("s", "l")).toBeUndefined();
    expect(rig.wanted).toEqual(["t1"]);
    rig.probe("t1", { startedAtMs: 1_500 });
    expect(rig.pool.tryAcquire("s", "l")).toBeUndefined();
    rig.probe("t1");
    rig.acquire();
  });

  it("does not keep a target out whose health endpoint hangs", () => {
    const rig = createPaused();
    expect(rig.pool.tryAcquire("s", "l")).toBeUndefined();
    for (let i = 0; i < 2; i++) {
      rig.pass(750);
      rig.pool.recordAlive();
    }
    rig.acquire();
  });
});

describe("slots", () => {
  it("gives each slot one owner and moves only what a new instance gains", () => {
    const arbitrary = FastCheck.record({
      count: FastCheck.integer({ min: 1, max: 12 }),
      slots: FastCheck.integer({ min: 1, max: 12 }),
      id: FastCheck.string({ minLength: 1 }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ count, slots, id }) => {
        const info = TargetPool.target(id, { slots });
        const own = (self: string, n: number) =>
          Rendezvous.getOwnedSlots(info, self, TargetPool.candidates(n));
        const owned = TargetPool.entryInstances(count).flatMap((each) =>
          own(each.id, count)
        );
        expect(owned.toSorted((a, b) => a - b)).toEqual(
          Array.from({ length: slots }, (_, i) => i),
        );
        for (const each of TargetPool.entryInstances(count)) {
          const before = own(each.id, count);
          expect(before).toEqual(
            expect.arrayContaining([...own(each.id, count + 1)]),
          );
        }
      }),
    );
  });

  it("prefers instances of the target's domain four to two", () => {
    let sameDomain = 0;
    let all = 0;
    for (let i = 0; i < 200; i++) {
      for (const each of TargetPool.entryInstances(4)) {
        const own = Rendezvous.getOwnedSlots(
          TargetPool.target(`t${i}`),
          each.id,
          TargetPool.candidates(4),
        );
        all += own.length;
        if (each.domain === "l-1") sameDomain += own.length;
      }
    }
    expect(sameDomain / all).toBeGreaterThan(0.62);
    expect(sameDomain / all).toBeLessThan(0.71);
  });

  it("never runs more than the own slots plus half of the reported spare", () => {
    const arbitrary = FastCheck.record({
      reports: FastCheck.array(FastCheck.integer({ min: 0, max: 9 }), {
        minLength: 1,
        maxLength: 6,
      }),
      delayMs: FastCheck.integer({ min: 0, max: 6_000 }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ reports, delayMs }) => {
        const rig = TargetPool.createRig(TargetPool.entryInstances(6));
        rig.pool.setInstances([TargetPool.target("t0")]);
        const own = rig.acquireAll().length;
        let inFlight = own;
        for (const inUse of reports) {
          rig.pass(1_000);
          rig.probe("t0", { load: { inUse, slots: 9 } });
          rig.pass(delayMs);
          const spare = 9 - Math.max(inUse, inFlight);
          const more = rig.acquireAll().length;
          const isFresh = delayMs <= 2_500;
          expect(more).toBeLessThanOrEqual(isFresh ? Math.floor(spare / 2) : 0);
          inFlight += more;
          expect(inFlight).toBeLessThanOrEqual(9);
        }
      }),
    );
  });

  it("uses idle slots of others when reports show them, as one instance may get most callers", () => {
    const rig = TargetPool.createRig(TargetPool.entryInstances(6));
    rig.pool.setInstances([TargetPool.target("t0")]);
    let inFlight = rig.acquireAll().length;
    for (let i = 0; i < 8; i++) {
      rig.pass(1_000);
      rig.probe("t0", { load: { inUse: inFlight, slots: 9 } });
      inFlight += rig.acquireAll().length;
    }
    expect(inFlight).toBe(8);
  });

  it("sheds at most once per second when a frozen report hides the load of others", () => {
    const rig = TargetPool.createRig(TargetPool.entryInstances(6));
    rig.pool.setInstances([TargetPool.target("t0")]);
    const usedByOthers = 7;
    let sheds = 0;
    let running: Contracts.SlotLease[] = [];
    for (let ms = 0; ms < 20_000; ms += 50) {
      rig.pass(50);
      if (ms % 1_000 === 0) rig.probe("t0", { load: { inUse: 0, slots: 9 } });
      for (const lease of running) lease.release(TargetPool.ANSWERED);
      running = [];
      for (;;) {
        const lease = rig.pool.tryAcquire("s", "l");
        if (lease === undefined) break;
        if (running.length + usedByOthers < 9) running.push(lease);
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

  it("leaves a target that sheds everything to rare trials, though it looks idle", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([TargetPool.target("t0")]);
    let sheds = 0;
    for (let ms = 0; ms < 40_000; ms += 10) {
      rig.pass(10);
      const lease = rig.pool.tryAcquire("s", "l");
      if (lease === undefined) continue;
      sheds++;
      lease.release(TargetPool.SHED);
      expect(rig.pool.hasUsable("s", "l"), "others are tried").toBe(false);
    }
    expect(sheds).toBeLessThanOrEqual(8);
    expect(sheds, "it is tried again").toBeGreaterThanOrEqual(5);
  });

  it("prefers the own domain and spreads over its targets", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([
      TargetPool.target("near1"),
      TargetPool.target("near2"),
      TargetPool.target("far", { domain: "l-2" }),
    ]);
    const first = Array.from({ length: 10 }, rig.acquire);
    expect(TargetPool.countOf(first, "far")).toBe(0);
    expect(TargetPool.countOf(first, "near1")).toBeGreaterThanOrEqual(4);
    expect(TargetPool.countOf(first, "near2")).toBeGreaterThanOrEqual(4);
    const rest = rig.acquireAll();
    expect(TargetPool.countOf(rest, "far")).toBe(9);
  });
});

describe("slow start", () => {
  it("ramps a new target from one slot to all in 10 s beside warm ones", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([TargetPool.target("t0"), TargetPool.target("t1")]);
    rig.pass(10_000);
    const old = [TargetPool.target("t0"), TargetPool.target("t1")];
    rig.pool.setInstances([...old, TargetPool.target("new")]);
    const counts: number[] = [];
    for (let i = 0; i < 3; i++) {
      const leases = rig.acquireAll();
      counts.push(TargetPool.countOf(leases, "new"));
      for (const lease of leases) lease.release(TargetPool.ANSWERED);
      rig.pass(5_000);
    }
    expect(counts).toEqual([1, 5, 9]);
  });

  it("refuses nothing when all targets are cold, as after a start", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([TargetPool.target("t0"), TargetPool.target("t1")]);
    expect(rig.acquireAll().length).toBe(18);
  });
});
