import * as FastCheck from "fast-check";
import { afterEach, describe, expect, it, vi } from "vitest";
import * as Clock from "../src/clock.ts";
import type * as Contracts from "../src/contracts.ts";
import * as Log from "../src/log.ts";
import * as Supervisor from "../src/supervisor.ts";
import type * as Health from "../src/targets/health.ts";
import * as Pool from "../src/targets/pool.ts";
import * as Prober from "../src/targets/prober.ts";
import * as Rendezvous from "../src/targets/rendezvous.ts";
import * as Targets from "../src/targets/targets.ts";
import type * as Types from "../src/types.ts";
import * as StandIn from "../testing/target/stand_in.ts";

const log = Log.createLogger("error");
const ANSWERED = { kind: "answered", status: 200, latencyMs: 5 } as const;
const SHED = { kind: "shed" } as const;

function target(
  id: string,
  more: Partial<Types.PlatformInstance> = {},
): Types.PlatformInstance {
  const place = { service: "s", domain: "l-1", region: "l" };
  const address = "127.0.0.1:1";
  return { id, ...place, address, slots: 9, state: "live", ...more };
}

function entryInstances(count: number): readonly Rendezvous.LiveInstance[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    domain: `l-${i % 2 + 1}`,
    region: "l",
  }));
}

function candidates(count: number): Rendezvous.Candidates {
  return Rendezvous.createCandidates(entryInstances(count));
}

/** A pool as instance i0 under a clock that the test moves. */
function createRig(instances = entryInstances(1)) {
  let now = 1_000;
  const clock = { nowMs: () => now, wallMs: () => now };
  const pool = Pool.createPool({
    self: "i0",
    domain: "l-1",
    region: "l",
    getLiveInstances: () => instances,
    log,
    clock,
  });
  const probe = (id: string, result: Partial<Health.ProbeResult> = {}) => {
    const entry = pool.tryGetEntry(id);
    if (entry === undefined) throw new Error(`no target ${id}`);
    const defaults = {
      reach: "ok",
      isLeaving: false,
      load: undefined,
    } as const;
    pool.takeProbe(entry, { ...defaults, startedAtMs: now, ...result });
  };
  const acquireAll = () => {
    const leases: Contracts.SlotLease[] = [];
    for (;;) {
      const lease = pool.tryAcquire("s", "l");
      if (lease === undefined) return leases;
      leases.push(lease);
    }
  };
  return {
    pool,
    probe,
    acquireAll,
    acquire: () => {
      const lease = pool.tryAcquire("s", "l");
      if (lease === undefined) throw new Error("no slot");
      return lease;
    },
    pass: (ms: number) => {
      now += ms;
      pool.tick();
    },
    stateOf: (id: string) => pool.list().find((each) => each.id === id)?.state,
  };
}

function countOf(leases: readonly Contracts.SlotLease[], id: string): number {
  return leases.filter((lease) => lease.target.id === id).length;
}

describe("a pause of the process", () => {
  function createPaused() {
    const rig = createRig();
    rig.pool.setInstances([target("t1")]);
    rig.pool.noteAlive();
    rig.probe("t1");
    rig.pass(900);
    rig.acquire().release(ANSWERED);
    const wanted: string[] = [];
    rig.pool.setProbeWanted((entry) => void wanted.push(entry.info.id));
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
      rig.pool.noteAlive();
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
        const info = target(id, { slots });
        const own = (self: string, n: number) =>
          Rendezvous.getOwnSlots(info, self, candidates(n));
        const owned = entryInstances(count).flatMap((each) =>
          own(each.id, count)
        );
        expect(owned.toSorted((a, b) => a - b)).toEqual(
          Array.from({ length: slots }, (_, i) => i),
        );
        for (const each of entryInstances(count)) {
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
      for (const each of entryInstances(4)) {
        const own = Rendezvous.getOwnSlots(
          target(`t${i}`),
          each.id,
          candidates(4),
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
        const rig = createRig(entryInstances(6));
        rig.pool.setInstances([target("t0")]);
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
    const rig = createRig(entryInstances(6));
    rig.pool.setInstances([target("t0")]);
    let inFlight = rig.acquireAll().length;
    for (let i = 0; i < 8; i++) {
      rig.pass(1_000);
      rig.probe("t0", { load: { inUse: inFlight, slots: 9 } });
      inFlight += rig.acquireAll().length;
    }
    expect(inFlight).toBe(8);
  });

  it("sheds at most once per second when a frozen report hides the load of others", () => {
    const rig = createRig(entryInstances(6));
    rig.pool.setInstances([target("t0")]);
    const usedByOthers = 7;
    let sheds = 0;
    let running: Contracts.SlotLease[] = [];
    for (let ms = 0; ms < 20_000; ms += 50) {
      rig.pass(50);
      if (ms % 1_000 === 0) rig.probe("t0", { load: { inUse: 0, slots: 9 } });
      for (const lease of running) lease.release(ANSWERED);
      running = [];
      for (;;) {
        const lease = rig.pool.tryAcquire("s", "l");
        if (lease === undefined) break;
        if (running.length + usedByOthers < 9) running.push(lease);
        else {
          sheds++;
          lease.release(SHED);
          expect(sheds).toBeLessThanOrEqual(ms / 1_000 + 2);
        }
      }
    }
    expect(sheds).toBeGreaterThan(0);
    expect(sheds).toBeLessThanOrEqual(20);
  });

  it("leaves a target that sheds everything to rare trials, though it looks idle", () => {
    const rig = createRig();
    rig.pool.setInstances([target("t0")]);
    let sheds = 0;
    for (let ms = 0; ms < 40_000; ms += 10) {
      rig.pass(10);
      const lease = rig.pool.tryAcquire("s", "l");
      if (lease === undefined) continue;
      sheds++;
      lease.release(SHED);
      expect(rig.pool.hasUsable("s", "l"), "others are tried").toBe(false);
    }
    expect(sheds).toBeLessThanOrEqual(8);
    expect(sheds, "it is tried again").toBeGreaterThanOrEqual(5);
  });

  it("prefers the own domain and spreads over its targets", () => {
    const rig = createRig();
    rig.pool.setInstances([
      target("near1"),
      target("near2"),
      target("far", { domain: "l-2" }),
    ]);
    const first = Array.from({ length: 10 }, rig.acquire);
    expect(countOf(first, "far")).toBe(0);
    expect(countOf(first, "near1")).toBeGreaterThanOrEqual(4);
    expect(countOf(first, "near2")).toBeGreaterThanOrEqual(4);
    const rest = rig.acquireAll();
    expect(countOf(rest, "far")).toBe(9);
  });
});

describe("slow start", () => {
  it("ramps a new target from one slot to all in 10 s beside warm ones", () => {
    const rig = createRig();
    rig.pool.setInstances([target("t0"), target("t1")]);
    rig.pass(10_000);
    const old = [target("t0"), target("t1")];
    rig.pool.setInstances([...old, target("new")]);
    const counts: number[] = [];
    for (let i = 0; i < 3; i++) {
      const leases = rig.acquireAll();
      counts.push(countOf(leases, "new"));
      for (const lease of leases) lease.release(ANSWERED);
      rig.pass(5_000);
    }
    expect(counts).toEqual([1, 5, 9]);
  });

  it("refuses nothing when all targets are cold, as after a start", () => {
    const rig = createRig();
    rig.pool.setInstances([target("t0"), target("t1")]);
    expect(rig.acquireAll().length).toBe(18);
  });
});

describe("ejection", () => {
  const ids = ["t0", "t1", "t2", "t3", "t4"];

  it("never takes more than half of a region, and never the last one", () => {
    const verdict = FastCheck.constantFrom<Contracts.TargetVerdict>(
      ANSWERED,
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
        const rig = createRig();
        rig.pool.setInstances(ids.slice(0, count).map((id) => target(id)));
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
    const rig = createRig();
    rig.pool.setInstances([target("t0"), target("t1")]);
    rig.pass(10_000);
    const lease = rig.acquire();
    const { id } = lease.target;
    rig.pass(10);
    lease.release({ kind: "broke" });
    expect(rig.stateOf(id)).toBe("ejected");
    expect(countOf(rig.acquireAll(), id)).toBe(0);
    rig.probe(id, { startedAtMs: 0 });
    expect(rig.stateOf(id), "an older probe proves nothing").toBe("ejected");
    rig.probe(id);
    expect(rig.stateOf(id), "no slow start after a blip").toBe("usable");
    rig.probe(id, { reach: "refused" });
    expect(rig.stateOf(id)).toBe("dead");
  });

  it("ejects a target whose health lies while its answers fail, and takes it back cold", () => {
    const rig = createRig();
    rig.pool.setInstances(["t0", "t1", "t2"].map((id) => target(id)));
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
    const rig = createRig();
    rig.pool.setInstances(["t0", "t1", "t2"].map((id) => target(id)));
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
    const rig = createRig();
    rig.pool.setInstances(list.map((id) => target(id)));
    const leases = rig.acquireAll();
    leases.find((lease) => lease.target.id === "t0")?.markLeaving();
    rig.probe("t1", { isLeaving: true });
    const next = list.slice(2).filter((id) => id !== "t3").map((id) =>
      target(id, id === "t2" ? { state: "leaving" } : {})
    );
    rig.pool.setInstances([target("t0"), target("t1"), ...next]);
    for (const lease of leases) lease.release(ANSWERED);
    const after = rig.acquireAll();
    for (const id of ["t0", "t1", "t2", "t3"]) {
      expect(rig.stateOf(id), id).toBe("leaving");
      expect(countOf(after, id), id).toBe(0);
    }
    expect(rig.stateOf("t4")).toBe("cold");
  });

  it("takes a drop at its word while other targets of the service leave", () => {
    const rig = createRig();
    const list = ["t0", "t1", "t2", "t3"];
    rig.pool.setInstances(list.map((id) => target(id)));
    list.forEach((id) => rig.probe(id));
    const left = [target("t0"), target("t1")];
    const leaving = target("t2", { state: "leaving" });
    rig.pool.setInstances([...left, leaving, target("t3")]);
    rig.pool.setInstances(left);
    expect(rig.stateOf("t3")).toBe("leaving");
  });

  it("does not believe a stale list that shows a leaving target as live again", () => {
    const rig = createRig();
    const others = [target("t1"), target("t2")];
    rig.pool.setInstances([target("t0"), ...others]);
    rig.pool.setInstances([target("t0", { state: "leaving" }), ...others]);
    rig.pass(500);
    rig.pool.setInstances([target("t0"), ...others]);
    rig.probe("t0");
    rig.pass(1_000);
    expect(rig.stateOf("t0")).toBe("leaving");
    rig.pool.setInstances([target("t0", { state: "leaving" }), ...others]);
    rig.pass(6_000);
    rig.probe("t0");
    expect(rig.stateOf("t0")).toBe("leaving");
  });

  it("is final for a registration, however long list and probes say live", () => {
    const rig = createRig();
    rig.pool.setInstances([target("t0"), target("t1")]);
    rig.acquireAll().find((each) => each.target.id === "t0")?.markLeaving();
    for (let i = 0; i < 60; i++) {
      rig.pass(1_000);
      rig.pool.setInstances([target("t0"), target("t1")]);
      rig.probe("t0");
    }
    expect(rig.stateOf("t0")).toBe("leaving");
  });

  it("takes a target back after a new registration, so that restarts lose no capacity", () => {
    const rig = createRig();
    const others = [target("t1"), target("t2")];
    rig.pool.setInstances([target("t0"), ...others]);
    rig.pool.setInstances([target("t0", { state: "leaving" }), ...others]);
    rig.probe("t0", { reach: "refused" });
    rig.pool.setInstances(others);
    rig.pass(1_000);
    rig.pool.setInstances([target("t0"), ...others]);
    rig.pass(5_000);
    expect(rig.stateOf("t0"), "not before a probe").toBe("leaving");
    rig.probe("t0");
    expect(rig.stateOf("t0")).toBe("cold");
    rig.pool.setInstances([target("t0", { state: "leaving" }), ...others]);
    const moved = target("t0", { address: "127.0.0.1:2" });
    rig.pool.setInstances([moved, ...others]);
    expect(rig.stateOf("t0"), "another address is another process").toBe(
      "cold",
    );
  });

  it("doubts a list that suddenly lacks most targets, as after a platform restart", () => {
    const rig = createRig();
    const all = ["t0", "t1", "t2"].map((id) => target(id));
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

describe("probing", () => {
  const running: { stop(): Promise<unknown> }[] = [];
  afterEach(async () => {
    await Promise.all(running.splice(0).map((each) => each.stop()));
  });

  async function startStandIns(count: number) {
    const standIns = await Promise.all(
      Array.from({ length: count }, (_, i) =>
        StandIn.createTargetStandIn({
          id: `t${i}`,
          service: "s",
          domain: "l-1",
          region: "l",
          slots: 4,
          serviceMs: 5,
        })),
    );
    for (const each of standIns) running.push({ stop: () => each.close() });
    return standIns;
  }

  function startTargets(standIns: readonly StandIn.StandIn[]) {
    const supervisor = Supervisor.createSupervisor("test", log);
    const targets = Targets.createTargets({
      self: "i0",
      domain: "l-1",
      region: "l",
      getLiveInstances: () => entryInstances(1),
      supervisor,
      log,
      clock: Clock.systemClock,
    });
    targets.setInstances(
      standIns.map((each, i) => target(`t${i}`, { address: each.listen })),
    );
    targets.start();
    running.unshift(targets);
    const stateOf = (i: number) => targets.list()[i]?.state;
    return { targets, stateOf };
  }

  it("sees a target that ends, and one that leaves while its health lies, within 3 s", async () => {
    const standIns = await startStandIns(3);
    const { targets, stateOf } = startTargets(standIns);
    await vi.waitFor(() => {
      expect(targets.list().map((view) => view.reportedInUse)).toEqual([
        0,
        0,
        0,
      ]);
    }, 3_000);
    standIns[0]?.setFaults({ leaving: true, health: "lying" });
    await standIns[1]?.close();
    await vi.waitFor(() => {
      expect([stateOf(0), stateOf(1)]).toEqual(["leaving", "dead"]);
    }, 3_000);
    expect(targets.hasUsable("s", "l")).toBe(true);
  });

  it("keeps half of the targets when every health endpoint hangs", async () => {
    const standIns = await startStandIns(4);
    for (const each of standIns) each.setFaults({ health: "hanging" });
    const { targets } = startTargets(standIns);
    const countEjected = () =>
      targets.list().filter((view) => view.state === "ejected").length;
    await vi.waitFor(() => expect(countEjected()).toBe(2), 8_000);
    await Clock.sleep(1_500);
    expect(countEjected()).toBe(2);
    expect(targets.hasUsable("s", "l")).toBe(true);
  });

  it("probes less often when targets or instances are many", () => {
    expect(Prober.getProbeIntervalMs(40, 11, false)).toBe(1_000);
    expect(Prober.getProbeIntervalMs(1_000, 11, true)).toBe(25_000);
    expect(Prober.getProbeIntervalMs(40, 620, true)).toBe(1_000);
    expect(Prober.getProbeIntervalMs(40, 620, false)).toBeGreaterThan(40_000);
  });
});

describe("target stand-in", () => {
  const running: StandIn.StandIn[] = [];
  afterEach(async () => {
    await Promise.all(running.splice(0).map((each) => each.close()));
  });

  async function start(more: Partial<StandIn.StandInOptions> = {}) {
    const place = { id: "t", service: "s", domain: "l-1", region: "l" };
    const work = { slots: 2, serviceMs: 1 };
    const opts = { ...place, ...work, ...more };
    const standIn = await StandIn.createTargetStandIn(opts);
    running.push(standIn);
    const base = `http://${standIn.listen}`;
    const get = async (path: string) => {
      const res = await fetch(`${base}${path}`);
      return { res, body: await res.text() };
    };
    return { standIn, get, base };
  }

  it("records what it ran and received, and what it refused", async () => {
    const { standIn, get, base } = await start();
    const headers = { "Anvilroute-Request-Id": "r1", "Idempotency-Key": "k1" };
    const sent = { method: "POST", body: "lot", headers };
    const echo = await (await fetch(`${base}/orders?x=1`, sent)).json();
    expect(echo).toMatchObject({ execution: 1, requestId: "r1" });
    const all = [1, 2, 3].map(() => get("/busy?ms=100"));
    const statuses = (await Promise.all(all)).map(({ res }) => res.status);
    expect(statuses.toSorted()).toEqual([200, 200, 503]);
    const [first] = standIn.getRecords();
    expect(first).toMatchObject({
      path: "/orders?x=1",
      idempotencyKey: "k1",
      outcome: "executed",
      isAnswerComplete: true,
      requestBodyBytes: 3,
    });
    expect(first?.headers).toContainEqual(["Anvilroute-Request-Id", "r1"]);
    const outcomes = standIn.getRecords().map((record) => record.outcome);
    expect(outcomes.filter((outcome) => outcome === "shed").length).toBe(1);
  });

  it("shows the faults that are set, and refuses unknown ones", async () => {
    const { standIn, get } = await start();
    expect((await get("/a?bytes=300000")).body.length).toBe(300_000);
    expect(() => standIn.setFaults({ truncate: 1 })).toThrow("unknown fault");
    standIn.setFaults({ truncateAfterBytes: 1_000, only: "cut" });
    await expect(get("/cut?bytes=300000")).rejects.toThrow();
    expect((await get("/whole?bytes=300000")).body.length).toBe(300_000);
    standIn.setFaults({ truncateAfterBytes: null, resetAfterExecuting: true });
    await expect(get("/cut")).rejects.toThrow();
    expect(standIn.getRecords().at(-1)).toMatchObject({
      outcome: "executed",
      isAnswerComplete: false,
    });
  });

  it("crashes on the given path and comes back when told to", async () => {
    const { standIn, get } = await start({ crashOn: "boom" });
    standIn.setFaults({ crashMode: "restart", restartMs: 50 });
    await expect(get("/boom")).rejects.toThrow();
    expect(standIn.getRecords()[0]?.outcome).toBe("crashed");
    await vi.waitFor(async () => {
      expect((await get("/fine")).res.status).toBe(200);
    }, 3_000);
  });
});
