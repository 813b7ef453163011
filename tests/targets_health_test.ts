import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import type * as Health from "../src/targets/health.ts";
import * as TargetPool from "../testing/fakes/target_pool.ts";

describe("ejection", () => {
  const ids = ["t0", "t1", "t2", "t3", "t4"];

  it("never takes more than half of a region, and never the last one", () => {
    const verdict = FastCheck.constantFrom<Contracts.TargetOutcome>(
      TargetPool.ANSWERED,
      { kind: "answered", status: 500, latencyMs: 5 },
      { kind: "answered", status: 200, latencyMs: 5_000 },
      { kind: "broke" },
      { kind: "connect-failed" },
      { kind: "timed-out" },
    );
    const step = FastCheck.oneof(
      FastCheck.record({ id: FastCheck.constantFrom(...ids), verdict }),
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
      steps: FastCheck.array(step, { maxLength: 60 }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ count, steps }) => {
        const rig = TargetPool.createRig();
        rig.pool.setInstances(
          ids.slice(0, count).map((id) => TargetPool.target(id)),
        );
        for (const each of steps) {
          if ("ms" in each) rig.pass(each.ms);
          else if ("reach" in each) {
            if (rig.stateOf(each.id)) rig.probe(each.id, { reach: each.reach });
          } else {
            const others = new Set(ids.filter((id) => id !== each.id));
            const lease = rig.pool.tryAcquire("s", "l", others);
            lease?.release(each.verdict);
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

  it("keeps new work away after a broken connection until a probe answers", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([TargetPool.target("t0"), TargetPool.target("t1")]);
    rig.pass(10_000);
    const lease = rig.acquire();
    const { id } = lease.target;
    rig.pass(10);
    lease.release({ kind: "broke" });
    expect(rig.stateOf(id)).toBe("ejected");
    expect(TargetPool.countOf(rig.acquireAll(), id)).toBe(0);
    rig.probe(id, { startedAtMs: 0 });
    expect(rig.stateOf(id), "an older probe proves nothing").toBe("ejected");
    rig.probe(id);
    expect(rig.stateOf(id), "no slow start after a blip").toBe("usable");
    rig.probe(id, { reach: "refused" });
    expect(rig.stateOf(id)).toBe("dead");
  });

  it("ejects a target whose health lies while its answers fail, and takes it back cold", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances(
      ["t0", "t1", "t2"].map((id) => TargetPool.target(id)),
    );
    rig.pass(10_000);
    const others = new Set(["t0", "t1"]);
    for (let i = 0; i < 4; i++) {
      rig.probe("t2");
      rig.pool.tryAcquire("s", "l", others)?.release({
        kind: "answered",
        status: 500,
        latencyMs: 1,
      });
    }
    expect(rig.stateOf("t2")).toBe("ejected");
    rig.probe("t2");
    expect(rig.stateOf("t2"), "a probe at once is too soon").toBe("ejected");
    rig.pass(2_000);
    rig.probe("t2");
    expect(rig.stateOf("t2")).toBe("cold");
  });

  it("ejects a target that is far slower than the others", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances(
      ["t0", "t1", "t2"].map((id) => TargetPool.target(id)),
    );
    rig.pass(10_000);
    for (let i = 0; i < 3; i++) {
      for (const lease of rig.acquireAll()) {
        const latencyMs = lease.target.id === "t1" ? 400 : 10;
        lease.release({ kind: "answered", status: 200, latencyMs });
      }
      rig.pass(1_000);
    }
    expect(rig.pool.list().map((view) => view.state)).toEqual([
      "usable",
      "ejected",
      "usable",
    ]);
  });
});

describe("leaving", () => {
  it("stops new work at once on each of the four signals", () => {
    const list = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"];
    const rig = TargetPool.createRig();
    rig.pool.setInstances(list.map((id) => TargetPool.target(id)));
    const leases = rig.acquireAll();
    leases.find((lease) => lease.target.id === "t0")?.markLeaving();
    rig.probe("t1", { isLeaving: true });
    const next = list.slice(2).filter((id) => id !== "t3").map((id) =>
      TargetPool.target(id, id === "t2" ? { state: "leaving" } : {})
    );
    rig.pool.setInstances([
      TargetPool.target("t0"),
      TargetPool.target("t1"),
      ...next,
    ]);
    for (const lease of leases) lease.release(TargetPool.ANSWERED);
    // Connections that wait at a target have to go when it leaves.
    const getOwnSlots = (id: string) =>
      leases.find((lease) => lease.target.id === id)?.getOwnedSlots();
    expect(getOwnSlots("t4")).toBeGreaterThan(0);
    const after = rig.acquireAll();
    for (const id of ["t0", "t1", "t2", "t3"]) {
      expect(getOwnSlots(id), id).toBe(0);
      expect(rig.stateOf(id), id).toBe("leaving");
      expect(TargetPool.countOf(after, id), id).toBe(0);
    }
    expect(rig.stateOf("t4")).toBe("cold");
  });

  it("takes a drop at its word while other targets of the service leave", () => {
    const rig = TargetPool.createRig();
    const list = ["t0", "t1", "t2", "t3"];
    rig.pool.setInstances(list.map((id) => TargetPool.target(id)));
    list.forEach((id) => rig.probe(id));
    const left = [TargetPool.target("t0"), TargetPool.target("t1")];
    const leaving = TargetPool.target("t2", { state: "leaving" });
    rig.pool.setInstances([...left, leaving, TargetPool.target("t3")]);
    rig.pool.setInstances(left);
    expect(rig.stateOf("t3")).toBe("leaving");
  });

  it("does not believe a stale list that shows a leaving target as live again", () => {
    const rig = TargetPool.createRig();
    const others = [TargetPool.target("t1"), TargetPool.target("t2")];
    rig.pool.setInstances([TargetPool.target("t0"), ...others]);
    rig.pool.setInstances([
      TargetPool.target("t0", { state: "leaving" }),
      ...others,
    ]);
    rig.pass(500);
    rig.pool.setInstances([TargetPool.target("t0"), ...others]);
    rig.probe("t0");
    rig.pass(1_000);
    expect(rig.stateOf("t0")).toBe("leaving");
    rig.pool.setInstances([
      TargetPool.target("t0", { state: "leaving" }),
      ...others,
    ]);
    rig.pass(6_000);
    rig.probe("t0");
    expect(rig.stateOf("t0")).toBe("leaving");
  });

  it("is final for a registration, however long list and probes say live", () => {
    const rig = TargetPool.createRig();
    rig.pool.setInstances([TargetPool.target("t0"), TargetPool.target("t1")]);
    rig.acquireAll().find((each) => each.target.id === "t0")?.markLeaving();
    for (let i = 0; i < 60; i++) {
      rig.pass(1_000);
      rig.pool.setInstances([TargetPool.target("t0"), TargetPool.target("t1")]);
      rig.probe("t0");
    }
    expect(rig.stateOf("t0")).toBe("leaving");
  });

  it("takes a target back after a new registration, so that restarts lose no capacity", () => {
    const rig = TargetPool.createRig();
    const others = [TargetPool.target("t1"), TargetPool.target("t2")];
    rig.pool.setInstances([TargetPool.target("t0"), ...others]);
    rig.pool.setInstances([
      TargetPool.target("t0", { state: "leaving" }),
      ...others,
    ]);
    rig.probe("t0", { reach: "refused" });
    rig.pool.setInstances(others);
    rig.pass(1_000);
    rig.pool.setInstances([TargetPool.target("t0"), ...others]);
    rig.pass(5_000);
    expect(rig.stateOf("t0"), "not before a probe").toBe("leaving");
    rig.probe("t0");
    expect(rig.stateOf("t0")).toBe("cold");
    rig.pool.setInstances([
      TargetPool.target("t0", { state: "leaving" }),
      ...others,
    ]);
    const moved = TargetPool.target("t0", { address: "127.0.0.1:2" });
    rig.pool.setInstances([moved, ...others]);
    expect(rig.stateOf("t0"), "another address is another process").toBe(
      "cold",
    );
  });

  it("doubts a list that suddenly lacks most targets, as after a platform restart", () => {
    const rig = TargetPool.createRig();
    const all = ["t0", "t1", "t2"].map((id) => TargetPool.target(id));
    rig.pool.setInstances(all);
    const probeAll = () => all.forEach(({ id }) => rig.probe(id));
    probeAll();
    rig.pool.setInstances([]);
    expect(rig.pool.hasUsable("s", "l")).toBe(true);
    rig.pass(1_000);
    rig.probe("t0", { isLeaving: true });
    expect(rig.stateOf("t0"), "its own word counts").toBe("leaving");
    rig.pass(3_000);
    expect(rig.stateOf("t1"), "no probe answered").toBe("leaving");
    rig.pool.setInstances(all);
    probeAll();
    expect(rig.stateOf("t1"), "listed and probed again").toBe("cold");
  });
});
