import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import type * as Health from "../src/targets/health.ts";
import * as TargetPool from "../testing/fakes/target_pool.ts";

describe("target ejection", () => {
  const ids = ["t0", "t1", "t2", "t3", "t4"];

  it("never removes more than half of a region's targets, and never the last one", () => {
    const outcome = FastCheck.constantFrom<Contracts.TargetOutcome>(
      TargetPool.ANSWERED,
      { kind: "answered", status: 500, latencyMs: 5 },
      { kind: "answered", status: 200, latencyMs: 5_000 },
      { kind: "broke" },
      { kind: "connect-failed" },
      { kind: "timed-out" },
    );
    const arbitraryStep = FastCheck.oneof(
      FastCheck.record({ id: FastCheck.constantFrom(...ids), outcome }),
      FastCheck.record({
        id: FastCheck.constantFrom(...ids),
        reach: FastCheck.constantFrom<Health.ProbeReach>(
          "ok",
          "failed",
          "failed",
          "refused",
          "unreachable",
        ),
      }),
      FastCheck.record({ ms: FastCheck.integer({ min: 1, max: 3_000 }) }),
    );
    const arbitrary = FastCheck.record({
      count: FastCheck.integer({ min: 1, max: 5 }),
      steps: FastCheck.array(arbitraryStep, { maxLength: 60 }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ count, steps }) => {
        const rig = TargetPool.createPoolRig();
        rig.pool.setInstances(
          ids.slice(0, count).map((id) => TargetPool.createTarget(id)),
        );
        for (const step of steps) {
          if ("ms" in step) rig.advance(step.ms);
          else if ("reach" in step) {
            if (rig.getState(step.id)) {
              rig.probe(step.id, { reach: step.reach });
            }
          } else {
            const others = new Set(ids.filter((id) => id !== step.id));
            const lease = rig.pool.tryAcquire("s", "l", others);
            lease?.release(step.outcome);
          }
          const states = rig.pool.list().map((view) => view.state);
          const alive = states.filter((state) => state !== "dead");
          const ejected = alive.filter((state) => state === "ejected");
          expect(ejected.length).toBeLessThanOrEqual(
            Math.floor(alive.length / 2),
          );
          expect(rig.pool.hasUsable("s", "l")).toBe(alive.length > 0);
        }
      }),
      { numRuns: 300 },
    );
  });

  it("excludes a target after a lost connection until a probe succeeds", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
    ]);
    rig.advance(10_000);
    const lease = rig.acquire();
    const { id } = lease.target;
    rig.advance(10);
    lease.release({ kind: "broke" });
    expect(rig.getState(id)).toBe("ejected");
    expect(TargetPool.countLeases(rig.acquireAll(), id)).toBe(0);
    rig.probe(id, { startedAtMs: 0 });
    expect(
      rig.getState(id),
      "a probe sent before the connection was lost is ignored",
    ).toBe("ejected");
    rig.probe(id);
    expect(rig.getState(id), "the target resumes without a slow start").toBe(
      "usable",
    );
    rig.probe(id, { reach: "refused" });
    expect(rig.getState(id)).toBe("dead");
  });

  it("ejects a target that reports healthy while its responses fail, and readmits it with a slow start", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances(
      ["t0", "t1", "t2"].map((id) => TargetPool.createTarget(id)),
    );
    rig.advance(10_000);
    const others = new Set(["t0", "t1"]);
    for (let i = 0; i < 4; i++) {
      rig.probe("t2");
      rig.pool.tryAcquire("s", "l", others)?.release({
        kind: "answered",
        status: 500,
        latencyMs: 1,
      });
    }
    expect(rig.getState("t2")).toBe("ejected");
    rig.probe("t2");
    expect(
      rig.getState("t2"),
      "a probe before the end of the backoff readmits no target",
    ).toBe("ejected");
    rig.advance(2_000);
    rig.probe("t2");
    expect(rig.getState("t2")).toBe("cold");
  });

  it("ejects a target that is far slower than the other targets", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances(
      ["t0", "t1", "t2"].map((id) => TargetPool.createTarget(id)),
    );
    rig.advance(10_000);
    for (let i = 0; i < 3; i++) {
      for (const lease of rig.acquireAll()) {
        const latencyMs = lease.target.id === "t1" ? 400 : 10;
        lease.release({ kind: "answered", status: 200, latencyMs });
      }
      rig.advance(1_000);
    }
    expect(rig.pool.list().map((view) => view.state)).toEqual([
      "usable",
      "ejected",
      "usable",
    ]);
  });
});

describe("leaving targets", () => {
  it("get no new work after any of the four signals: response, probe, list state, drop from the list", () => {
    const list = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"];
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances(list.map((id) => TargetPool.createTarget(id)));
    const leases = rig.acquireAll();
    leases.find((lease) => lease.target.id === "t0")?.markLeaving();
    rig.probe("t1", { isLeaving: true });
    const remainingTargets = list.slice(2).filter((id) => id !== "t3").map((
      id,
    ) => TargetPool.createTarget(id, id === "t2" ? { state: "leaving" } : {}));
    rig.pool.setInstances([
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
      ...remainingTargets,
    ]);
    for (const lease of leases) lease.release(TargetPool.ANSWERED);
    // Idle connections to a target must be closed when it leaves, so the leases must then report no owned slots.
    const getOwnedSlots = (id: string) =>
      leases.find((lease) => lease.target.id === id)?.getOwnedSlots();
    expect(getOwnedSlots("t4")).toBeGreaterThan(0);
    const newLeases = rig.acquireAll();
    for (const id of ["t0", "t1", "t2", "t3"]) {
      expect(getOwnedSlots(id), id).toBe(0);
      expect(rig.getState(id), id).toBe("leaving");
      expect(TargetPool.countLeases(newLeases, id), id).toBe(0);
    }
    expect(rig.getState("t4")).toBe("cold");
  });

  it("are dropped at once if the list drops them while other targets of the service leave", () => {
    const rig = TargetPool.createPoolRig();
    const list = ["t0", "t1", "t2", "t3"];
    rig.pool.setInstances(list.map((id) => TargetPool.createTarget(id)));
    list.forEach((id) => rig.probe(id));
    const remaining = [
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
    ];
    const leaving = TargetPool.createTarget("t2", { state: "leaving" });
    rig.pool.setInstances([
      ...remaining,
      leaving,
      TargetPool.createTarget("t3"),
    ]);
    rig.pool.setInstances(remaining);
    expect(rig.getState("t3")).toBe("leaving");
  });

  it("stay excluded if a stale list shows them as live again", () => {
    const rig = TargetPool.createPoolRig();
    const others = [
      TargetPool.createTarget("t1"),
      TargetPool.createTarget("t2"),
    ];
    rig.pool.setInstances([TargetPool.createTarget("t0"), ...others]);
    rig.pool.setInstances([
      TargetPool.createTarget("t0", { state: "leaving" }),
      ...others,
    ]);
    rig.advance(500);
    rig.pool.setInstances([TargetPool.createTarget("t0"), ...others]);
    rig.probe("t0");
    rig.advance(1_000);
    expect(rig.getState("t0")).toBe("leaving");
    rig.pool.setInstances([
      TargetPool.createTarget("t0", { state: "leaving" }),
      ...others,
    ]);
    rig.advance(6_000);
    rig.probe("t0");
    expect(rig.getState("t0")).toBe("leaving");
  });

  it("stay excluded until a new registration, even if list and probes report them as live for a minute", () => {
    const rig = TargetPool.createPoolRig();
    rig.pool.setInstances([
      TargetPool.createTarget("t0"),
      TargetPool.createTarget("t1"),
    ]);
    rig.acquireAll().find((lease) => lease.target.id === "t0")?.markLeaving();
    for (let i = 0; i < 60; i++) {
      rig.advance(1_000);
      rig.pool.setInstances([
        TargetPool.createTarget("t0"),
        TargetPool.createTarget("t1"),
      ]);
      rig.probe("t0");
    }
    expect(rig.getState("t0")).toBe("leaving");
  });

  it("are readmitted after a new registration, so that restarts lose no capacity", () => {
    const rig = TargetPool.createPoolRig();
    const others = [
      TargetPool.createTarget("t1"),
      TargetPool.createTarget("t2"),
    ];
    rig.pool.setInstances([TargetPool.createTarget("t0"), ...others]);
    rig.pool.setInstances([
      TargetPool.createTarget("t0", { state: "leaving" }),
      ...others,
    ]);
    rig.probe("t0", { reach: "refused" });
    rig.pool.setInstances(others);
    rig.advance(1_000);
    rig.pool.setInstances([TargetPool.createTarget("t0"), ...others]);
    rig.advance(5_000);
    expect(rig.getState("t0"), "the target is not readmitted before a probe")
      .toBe("leaving");
    rig.probe("t0");
    expect(rig.getState("t0")).toBe("cold");
    rig.pool.setInstances([
      TargetPool.createTarget("t0", { state: "leaving" }),
      ...others,
    ]);
    const movedTarget = TargetPool.createTarget("t0", {
      address: "127.0.0.1:2",
    });
    rig.pool.setInstances([movedTarget, ...others]);
    expect(rig.getState("t0"), "a target at another address is a new process")
      .toBe(
        "cold",
      );
  });

  it("are not inferred from a list that suddenly lacks most targets while these pass probes, as after a platform restart", () => {
    const rig = TargetPool.createPoolRig();
    const targets = ["t0", "t1", "t2"].map((id) => TargetPool.createTarget(id));
    rig.pool.setInstances(targets);
    const probeAll = () => targets.forEach(({ id }) => rig.probe(id));
    probeAll();
    rig.pool.setInstances([]);
    expect(rig.pool.hasUsable("s", "l")).toBe(true);
    rig.advance(1_000);
    rig.probe("t0", { isLeaving: true });
    expect(rig.getState("t0"), "the target itself reports that it is leaving")
      .toBe("leaving");
    rig.advance(3_000);
    expect(rig.getState("t1"), "no recent probe succeeded").toBe("leaving");
    rig.pool.setInstances(targets);
    probeAll();
    expect(rig.getState("t1"), "the target is listed and probed again").toBe(
      "cold",
    );
  });
});
