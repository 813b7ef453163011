import * as Http from "node:http";
import type * as Net from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import * as Clock from "../src/clock.ts";
import * as Supervisor from "../src/supervisor.ts";
import * as Prober from "../src/targets/prober.ts";
import * as Targets from "../src/targets/targets.ts";
import * as TargetPool from "../testing/fakes/target_pool.ts";
import * as StandIn from "../testing/target/stand_in.ts";

describe("target probing", () => {
  const running: { stop(): Promise<unknown> }[] = [];
  afterEach(async () => {
    await Promise.all(running.splice(0).map((task) => task.stop()));
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
    for (const target of standIns) running.push({ stop: () => target.close() });
    return standIns;
  }

  function startTargets(standIns: readonly StandIn.StandIn[]) {
    const supervisor = Supervisor.createSupervisor("test", TargetPool.log);
    const targets = Targets.createTargets({
      self: "i0",
      domain: "l-1",
      region: "l",
      getLiveInstances: () => TargetPool.createEntryInstances(1),
      supervisor,
      log: TargetPool.log,
      clock: Clock.systemClock,
    });
    targets.setInstances(
      standIns.map((standIn, i) =>
        TargetPool.createTarget(`t${i}`, { address: standIn.listen })
      ),
    );
    targets.start();
    running.unshift(targets);
    const stateOf = (i: number) => targets.list()[i]?.state;
    return { targets, stateOf };
  }

  it("detects a stopped target, and a leaving one that reports healthy, within 3 s", async () => {
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

  it("keeps half of the targets in use if every health endpoint hangs", async () => {
    const standIns = await startStandIns(4);
    for (const standIn of standIns) standIn.setFaults({ health: "hanging" });
    const { targets } = startTargets(standIns);
    const countEjected = () =>
      targets.list().filter((view) => view.state === "ejected").length;
    await vi.waitFor(() => expect(countEjected()).toBe(2), 8_000);
    await Clock.sleep(1_500);
    expect(countEjected()).toBe(2);
    expect(targets.hasUsable("s", "l")).toBe(true);
  });

  it("becomes less frequent with many targets or instances, so that its cost stays bounded", () => {
    expect(Prober.getProbeIntervalMs(40, 11, false)).toBe(1_000);
    expect(Prober.getProbeIntervalMs(1_000, 11, true)).toBe(25_000);
    expect(Prober.getProbeIntervalMs(40, 620, true)).toBe(1_000);
    expect(Prober.getProbeIntervalMs(40, 620, false)).toBeGreaterThan(40_000);
  });
});

describe("target stand-in", () => {
  const running: StandIn.StandIn[] = [];
  afterEach(async () => {
    await Promise.all(running.splice(0).map((standIn) => standIn.close()));
  });

  async function startStandIn(overrides: Partial<StandIn.StandInOptions> = {}) {
    const identity = { id: "t", service: "s", domain: "l-1", region: "l" };
    const capacity = { slots: 2, serviceMs: 1 };
    const opts = { ...identity, ...capacity, ...overrides };
    const standIn = await StandIn.createTargetStandIn(opts);
    running.push(standIn);
    const base = `http://${standIn.listen}`;
    const get = async (path: string) => {
      const res = await fetch(`${base}${path}`);
      return { res, body: await res.text() };
    };
    return { standIn, get, base };
  }

  it("records the requests that it ran and those that it shed", async () => {
    const { standIn, get, base } = await startStandIn();
    const headers = { "Anvilroute-Request-Id": "r1", "Idempotency-Key": "k1" };
    const init = { method: "POST", body: "lot", headers };
    const echo = await (await fetch(`${base}/orders?x=1`, init)).json();
    expect(echo).toMatchObject({ execution: 1, requestId: "r1" });
    const requests = [1, 2, 3].map(() => get("/busy?ms=100"));
    const statuses = (await Promise.all(requests)).map(({ res }) => res.status);
    expect(statuses.toSorted()).toEqual([200, 200, 503]);
    const [firstRecord] = standIn.getRecords();
    expect(firstRecord).toMatchObject({
      path: "/orders?x=1",
      idempotencyKey: "k1",
      outcome: "executed",
      isAnswerComplete: true,
      requestBodyBytes: 3,
    });
    expect(firstRecord?.headers).toContainEqual([
      "Anvilroute-Request-Id",
      "r1",
    ]);
    const outcomes = standIn.getRecords().map((record) => record.outcome);
    expect(outcomes.filter((outcome) => outcome === "shed").length).toBe(1);
  });

  it("injects the configured faults, and rejects unknown ones", async () => {
    const { standIn, get } = await startStandIn();
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

  it("crashes on the configured path and restarts if so configured", async () => {
    const { standIn, get } = await startStandIn({ crashOn: "boom" });
    standIn.setFaults({ crashMode: "restart", restartMs: 50 });
    await expect(get("/boom")).rejects.toThrow();
    expect(standIn.getRecords()[0]?.outcome).toBe("crashed");
    await vi.waitFor(async () => {
      expect((await get("/fine")).res.status).toBe(200);
    }, 3_000);
  });

  it("registers each second, and announces that it is leaving before it deletes its entry", async () => {
    const calls: string[] = [];
    const platform = Http.createServer(async (req, res) => {
      const chunks: Uint8Array[] = [];
      for await (const chunk of req) chunks.push(chunk);
      const body = Buffer.concat(chunks).toString();
      const state = body === "" ? "" : ` ${JSON.parse(body).state}`;
      calls.push(`${req.method} ${req.url}${state}`);
      res.end();
    });
    await new Promise<void>((resolve) =>
      platform.listen(0, "127.0.0.1", resolve)
    );
    const { port } = platform.address() as Net.AddressInfo;
    const { standIn } = await startStandIn({ platform: `127.0.0.1:${port}` });
    const liveCall = "PUT /v1/instances/t live";
    await vi.waitFor(() => expect(calls).toEqual([liveCall, liveCall]), 3_000);
    await standIn.leave(0);
    running.length = 0;
    expect(calls.at(-1)).toBe("DELETE /v1/instances/t");
    expect(calls.at(-2)).toBe("PUT /v1/instances/t leaving");
    platform.closeAllConnections();
    platform.close();
  });
});
