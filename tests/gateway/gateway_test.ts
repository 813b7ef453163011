import { describe, expect, it } from "vitest";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const { countRuns, formatConfig, send, until, waitReady } = Rig;
const addCleanup = Cleanups.createCleanups();
const startFleet = (opts?: Rig.FleetOptions) =>
  Rig.startFleet(addCleanup, opts);

describe("a gateway on the platform", () => {
  it("sends all requests of an affinity key to its primary target", async () => {
    const { front, targets } = await startFleet();
    const first = await send(front, "/read/x");
    expect(first.status).toBe(200);
    expect(first.headers["x-server-stamp"]).toMatch(/^stamp\./);
    for (let i = 0; i < 5; i++) await send(front, "/read/x");
    expect(targets.map((target) => target.ran.length).sort()).toEqual([0, 6]);
    const receivedHeaders = targets.flatMap((target) => target.seen);
    for (const headers of receivedHeaders) {
      expect(headers["authorization"]).toBeUndefined();
      expect(headers["x-tenant"]).toBe("hut");
      expect(Number(headers["x-deadline-ms"])).toBeLessThan(1_000);
    }
  });

  // Guards against a rejection that tells callers that an existing route or key is unknown.
  it("rejects with 503 until it has a configuration", async () => {
    const { front, instances, kv } = await startFleet({ config: null });
    expect((await send(front, "/read/x")).status).toBe(503);
    const ready = await send(instances[0]!.ready, "/anvilroute/ready");
    expect(ready.status).toBe(503);
    kv.put("op/config", formatConfig(1));
    await waitReady(instances[0]!.ready);
    expect((await send(front, "/read/x")).status).toBe(200);
  });

  it("rejects unknown routes and keys", async () => {
    const { front, targets } = await startFleet();
    expect((await send(front, "/none/x")).status).toBe(404);
    const headers = { authorization: "Bearer wrong" };
    expect((await send(front, "/read/x", { headers })).status).toBe(401);
    expect(countRuns(targets)).toBe(0);
  });

  describe("when a target fails to serve a request", () => {
    it("tries one other target after a target sheds the request", async () => {
      const { front, targets } = await startFleet({ targets: 3 });
      for (const target of targets) target.setBehaviour("shed");
      const response = await send(front, "/order/x");
      expect(response.status).toBe(503);
      expect(response.headers["anvilroute-outcome"]).toBe("not-run");
      const receivedRequests = targets.flatMap((target) => target.seen);
      expect(receivedRequests).toHaveLength(2);
    });

    // Guards against an order that runs twice, and against one that ran but is reported as not run.
    it("never repeats an order that may have run", async () => {
      const { front, targets } = await startFleet();
      for (const target of targets) target.setBehaviour("reset");
      const response = await send(front, "/order/x");
      expect(response.status).toBe(502);
      expect(countRuns(targets)).toBe(1);
    });

    it("repeats a read after its target reset the connection", async () => {
      const { front, targets } = await startFleet();
      await send(front, "/read/x");
      const primary = targets.find((target) => target.ran.length === 1)!;
      primary.setBehaviour("reset");
      expect((await send(front, "/read/x")).status).toBe(200);
    });

    it("pauses an address that now belongs to another target", async () => {
      const { front, targets } = await startFleet();
      targets[0]!.setBehaviour("other-target");
      targets[1]!.setBehaviour("other-target");
      const response = await send(front, "/order/x");
      expect(response.status).toBe(503);
      targets[1]!.setBehaviour("serve");
      await until(
        "the pause has expired",
        async () => (await send(front, "/order/x")).status === 200,
      );
    });

    it("responds at the deadline and cancels the request at the target", async () => {
      const { front, targets } = await startFleet();
      for (const target of targets) target.setBehaviour("hang");
      const headers = { "x-deadline-ms": "300" };
      const response = await send(front, "/order/x", { headers });
      expect(response.status).toBe(504);
      await until(
        "the target sees the cancellation",
        () => targets.some((target) => target.getCancelled() > 0),
      );
    });

    // Guards against work at a target for a caller that disconnected.
    it("cancels the request at the target when the caller disconnects", async () => {
      const { front, targets } = await startFleet();
      for (const target of targets) target.setBehaviour("hang");
      const pending = send(front, "/read/x");
      await until("the request runs", () => countRuns(targets) > 0);
      pending.abort();
      await expect(pending).rejects.toThrow();
      await until(
        "the target sees the cancellation",
        () => targets.some((target) => target.getCancelled() > 0),
      );
    });
  });

  describe("when the store changes", () => {
    it("applies a new key immediately and never returns to an older configuration", async () => {
      const { front, kv } = await startFleet();
      kv.put("op/config", formatConfig(3, { key: "k2" }));
      await until(
        "the key is withdrawn",
        async () => (await send(front, "/read/x")).status === 401,
      );
      kv.put("op/config", formatConfig(2));
      kv.put("op/evacuate/none", "{}");
      await new Promise((resolve) => setTimeout(resolve, 300));
      expect((await send(front, "/read/x")).status).toBe(401);
    });

    it("keeps the state in force when a record is malformed", async () => {
      const { front, instances, kv } = await startFleet();
      kv.put("op/config", "no json");
      kv.put("servers/i-9", "{}");
      await until(
        "the log names both records",
        () =>
          instances[0]!.lines.filter((line) => line.includes("item-unreadable"))
            .length === 2,
      );
      expect((await send(front, "/read/x")).status).toBe(200);
    });

    it("does not send requests to a leaving target or an evacuated domain", async () => {
      const { front, kv, targets } = await startFleet();
      await send(front, "/read/x");
      const primary = targets.find((target) => target.ran.length === 1)!;
      primary.register("draining");
      await until(
        "another target serves",
        async () => !(await send(front, "/read/x")).body.startsWith(primary.id),
      );
      kv.put("op/evacuate/north-a", "{}");
      await until(
        "no usable target remains",
        async () => (await send(front, "/read/x")).status === 503,
      );
    });

    it("applies a change after the store has dropped its watch history", async () => {
      const { instances, kv } = await startFleet({ instances: 2 });
      const [first, second] = instances as [
        typeof instances[number],
        typeof instances[number],
      ];
      await until("the instances know each other", async () => {
        const url = "/anvilroute/resolve?region=north&zone=north-a";
        return (await send(first.directory, url)).body.includes(second.address);
      });
      // Both instances lose the watch history; a full read returns the change.
      kv.compact();
      kv.put("op/config", formatConfig(5, { key: "k5" }));
      const headers = { authorization: "Bearer k5" };
      for (const { address } of [first, second]) {
        await until(
          "the new key serves",
          async () =>
            (await send(address, "/read/x", { headers })).status === 200,
        );
      }
    });

    it("continues to serve while the store is unresponsive", async () => {
      const { front, kv } = await startFleet();
      kv.setMode("silent");
      for (let i = 0; i < 5; i++) {
        expect((await send(front, "/read/x")).status).toBe(200);
      }
    });
  });

  it("enforces the limit of an account", async () => {
    const config = formatConfig(1, { ratePerS: 10 });
    const { front, targets } = await startFleet({ config });
    const responses = await Promise.all(
      Array.from({ length: 60 }, () => send(front, "/read/x")),
    );
    const rejected = responses.filter((response) => response.status === 429);
    expect(rejected.length).toBeGreaterThan(40);
    expect(Number(rejected[0]?.headers["retry-after"])).toBeGreaterThan(0);
    expect(countRuns(targets)).toBe(60 - rejected.length);
  });

  describe("when a target says something of itself", () => {
    /** Returns the primary target of the requests and the other one. */
    async function findPrimary(fleet: Awaited<ReturnType<typeof startFleet>>) {
      await send(fleet.front, "/read/x");
      const [primary, other] = fleet.targets.toSorted((a, b) =>
        b.ran.length - a.ran.length
      );
      return { primary: primary!, other: other! };
    }

    // Guards against requests to a target that has announced its end in its responses,
    // also while its entry says otherwise.
    it("sends nothing to a target that leaves, until another process has its id", async () => {
      const fleet = await startFleet();
      const { primary, other } = await findPrimary(fleet);
      primary.setHeaders({ "Server-Leaving": "1" });
      await send(fleet.front, "/order/x");
      const seen = primary.seen.length;
      for (let i = 0; i < 5; i++) {
        const { body } = await send(fleet.front, "/order/x");
        expect(body.startsWith(other.id)).toBe(true);
      }
      fleet.kv.remove(`servers/${primary.id}`);
      await new Promise((resolve) => setTimeout(resolve, 400));
      primary.register();
      await new Promise((resolve) => setTimeout(resolve, 400));
      await send(fleet.front, "/order/x");
      expect(primary.seen.length).toBe(seen);
      primary.setHeaders({});
      primary.register("ready", { born: 2 });
      await until(
        "the next process serves",
        async () =>
          (await send(fleet.front, "/order/x")).body.startsWith(primary.id),
      );
    });

    // Guards against requests to a target that has asked for a pause, and against a caller
    // that is not told when there will be room.
    it("sends nothing to a target for as long as it wants nothing", async () => {
      const { front, targets } = await startFleet({ targets: 1 });
      const [target] = targets;
      target!.setBehaviour("shed");
      target!.setHeaders({ "Retry-After": "1.2" });
      await send(front, "/read/x");
      target!.setBehaviour("serve");
      target!.setHeaders({});
      const seen = target!.seen.length;
      const rejected = await send(front, "/read/x");
      expect(rejected.status).toBe(503);
      expect(rejected.headers["anvilroute-outcome"]).toBe("not-run");
      expect(Number(rejected.headers["retry-after"])).toBeGreaterThan(0.8);
      expect(target!.seen.length).toBe(seen);
      await until(
        "it serves again",
        async () => (await send(front, "/read/x")).status === 200,
      );
    });

    it("ignores malformed statements", async () => {
      const { front, targets } = await startFleet({ targets: 1 });
      const [target] = targets;
      for (const value of ["", "-1", "soon", "Fri, 05 Dec 2026 10:00:00 GMT"]) {
        target!.setHeaders({ "Retry-After": value, "Server-Leaving": "maybe" });
        target!.setBehaviour("shed");
        await send(front, "/read/x");
        target!.setBehaviour("serve");
        expect((await send(front, "/read/x")).status).toBe(200);
      }
    });
  });

  describe("when it stops", () => {
    it("leaves the directory and still responds to requests", async () => {
      const { instances } = await startFleet({ instances: 2 });
      const [first, second] = instances as [
        typeof instances[number],
        typeof instances[number],
      ];
      const url = "/anvilroute/resolve?region=north&zone=north-a";
      await until(
        "the directory lists both instances",
        async () =>
          (await send(second.directory, url)).body.includes(first.address),
      );
      const stopped = first.gateway.stop();
      const ready = await send(first.ready, "/anvilroute/ready");
      expect(ready.status).toBe(503);
      const response = await send(first.address, "/read/x");
      expect(response.status).toBe(200);
      expect(response.headers["connection"]).toBe("close");
      await until(
        "the directory of the other instance no longer lists it",
        async () =>
          !(await send(second.directory, url)).body.includes(first.address),
      );
      await stopped;
    });

    // Guards against requests that are passed on late in the grace period and cut at its
    // end, orders among them.
    it("responds to every request, also to those that come late and take long", async () => {
      const { front, instances, targets } = await startFleet({
        targets: 6,
        config: formatConfig(1).replaceAll(
          '"timeoutMs":1500,"targetLatencyMs":400',
          '"timeoutMs":2500,"targetLatencyMs":2500',
        ),
      });
      for (const target of targets) target.setServiceMs(1_500);
      const stopped = instances[0]!.gateway.stop();
      const ends: string[] = [];
      const sending: Promise<unknown>[] = [];
      const stoppedAtMs = performance.now();
      while (performance.now() - stoppedAtMs < 4_200) {
        const end = send(front, "/order/x", {
          headers: {
            "x-deadline-ms": "3000",
            cookie: `X-Affinity-Key=${sending.length}`,
          },
        }).then(({ status }) => `${status}`, () => "cut");
        sending.push(end.then((value) => ends.push(value)));
        await new Promise((resolve) => setTimeout(resolve, 300));
      }
      await Promise.all([...sending, stopped]);
      // What can't end before the process does is rejected, so that callers may send it again.
      expect([...new Set(ends)].sort()).toEqual(["200", "503"]);
      expect(ends.filter((end) => end === "200").length).toBeGreaterThan(7);
      expect(countRuns(targets))
        .toBe(ends.filter((end) => end === "200").length);
    });
  });
});
