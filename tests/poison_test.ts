import * as FastCheck from "fast-check";
import * as Results from "ts-results-es";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import * as Log from "../src/log.ts";
import * as Rendezvous from "../src/rendezvous.ts";
import * as Poison from "../src/retry/poison.ts";
import * as Evidence from "../src/retry/poison_evidence.ts";
import * as RetryBudget from "../src/retry/retry_budget.ts";
import type * as Types from "../src/types.ts";

const MINUTE_MS = 60_000;

/** Creates instances that deliver messages immediately, with one clock that the test advances. */
function createFleet(size: number, log = Log.createLogger("error")) {
  let now = 1_000;
  const clock = { nowMs: () => now, wallMs: () => now };
  const handlers = new Map<string, Contracts.RpcHandler>();
  const heartbeats = new Map<string, (heartbeat: Types.Heartbeat) => void>();
  const sent: unknown[] = [];

  function createPeers(self: string): Contracts.PeerNet {
    return {
      self,
      incarnation: "1",
      getMembers: () => [],
      tryGetMember: () => undefined,
      call: async <T>(id: string, _method: string, params: unknown) =>
        Results.Ok(await handlers.get(id)?.(params, self) as T),
      notifyAll: (_method, params) => {
        sent.push(params);
        for (const [id, handler] of handlers) {
          if (id !== self) handler(JSON.parse(JSON.stringify(params)), self);
        }
      },
      notify: () => {},
      handle: (_method, fn) => void handlers.set(self, fn),
      onHeartbeat: (fn) => void heartbeats.set(self, fn),
      addPeerAddresses: () => {},
    };
  }

  function start(self: string) {
    return Poison.createPoison({ clock, peers: createPeers(self), log });
  }

  return {
    instances: Array.from({ length: size }, (_, i) => start(`i${i}`)),
    start,
    sent,
    advance: (ms: number) => now += ms,
    handle: (id: string, params: unknown) => handlers.get(id)?.(params, "x"),
    receiveHeartbeat: (self: string, sender: string) =>
      heartbeats.get(self)?.({ id: sender } as Types.Heartbeat),
  };
}

function createSingleInstance() {
  const fleet = createFleet(1);
  const [poison] = fleet.instances;
  if (poison === undefined) throw new Error("no instance");
  return { ...fleet, poison };
}

describe("poison requests", () => {
  it("a request is blocked for five minutes after two different targets lost their connections", () => {
    const { poison, advance } = createSingleInstance();
    poison.reportConnectionLoss("bad", "t1");
    poison.reportConnectionLoss("bad", "t1");
    expect(poison.isBlocked("bad"), "one target may be faulty").toBe(false);
    advance(4 * MINUTE_MS);
    poison.reportConnectionLoss("bad", "t2");
    expect(poison.isBlocked("bad")).toBe(true);
    advance(5 * MINUTE_MS - 1);
    expect(poison.isBlocked("bad")).toBe(true);
    advance(1);
    expect(poison.isBlocked("bad")).toBe(false);
  });

  it("other requests in flight on a crashing target are not blocked", () => {
    const { poison } = createSingleInstance();
    for (let i = 0; i < 9; i++) poison.reportConnectionLoss(`other${i}`, "t1");
    poison.reportConnectionLoss("bad", "t1");
    poison.reportConnectionLoss("bad", "t2");
    expect(poison.isBlocked("bad")).toBe(true);
    for (let i = 0; i < 9; i++) {
      expect(poison.isBlocked(`other${i}`)).toBe(false);
    }
  });

  it("two connection losses far apart do not block a request", () => {
    const { poison, advance } = createSingleInstance();
    poison.reportConnectionLoss("slow", "t1");
    advance(11 * MINUTE_MS);
    poison.reportConnectionLoss("slow", "t2");
    expect(poison.isBlocked("slow")).toBe(false);
  });

  it("a response clears a block, so that a failed domain does not keep popular requests blocked", () => {
    const fleet = createFleet(2);
    const [a, b] = fleet.instances;
    a?.reportConnectionLoss("popular", "t1");
    b?.reportConnectionLoss("popular", "t2");
    expect(a?.isBlocked("popular")).toBe(true);
    b?.reportResponse("popular");
    expect(a?.isBlocked("popular")).toBe(false);
    expect(b?.isBlocked("popular")).toBe(false);
  });

  it("a popular read is not blocked when several targets fail together, whichever instances observe it", () => {
    const { instances: [a, b], advance } = createFleet(2);
    for (const instance of [a, b]) instance?.reportResponse("popular");
    advance(1_900);
    a?.reportConnectionLoss("popular", "t1", 2_850);
    advance(10);
    a?.reportConnectionLoss("popular", "t2", 2_899);
    b?.reportConnectionLoss("popular", "t3", 2_890);
    expect(a?.isBlocked("popular")).toBe(false);
    expect(b?.isBlocked("popular")).toBe(false);
  });

  it("a request that becomes harmful after a response is blocked before a third target, because the response does not explain the loss of a later send", () => {
    for (const [ageMs, sentAfterMs] of [[100, 1], [2_001, -1]] as const) {
      const { instances: [a, b], advance } = createFleet(2);
      a?.reportResponse("bad");
      advance(ageMs);
      a?.reportConnectionLoss("bad", "t1", 1_000 + ageMs - 50);
      a?.reportConnectionLoss("bad", "t2", 1_000 + ageMs + sentAfterMs);
      expect(a?.isBlocked("bad"), `response ${ageMs} ms old`).toBe(true);
      expect(b?.isBlocked("bad")).toBe(true);
    }
  });

  it("connection losses are counted over all instances and the request is blocked at all of them", () => {
    const fleet = createFleet(3);
    fleet.instances[0]?.reportConnectionLoss("bad", "t1");
    fleet.instances[1]?.reportConnectionLoss("bad", "t2");
    for (const instance of fleet.instances) {
      expect(instance.isBlocked("bad")).toBe(true);
    }
    const count = fleet.sent.length;
    fleet.instances[2]?.reportConnectionLoss("bad", "t2");
    expect(fleet.sent.length, "a report without new evidence is not sent").toBe(
      count,
    );
    fleet.advance(6 * MINUTE_MS);
    fleet.instances[2]?.reportConnectionLoss("bad", "t2");
    expect(fleet.instances[0]?.isBlocked("bad"), "blocked again").toBe(true);
  });

  it("an instance pulls the blocks from a peer after a restart", async () => {
    const fleet = createFleet(2);
    fleet.instances[0]?.reportConnectionLoss("bad", "t1");
    fleet.instances[0]?.reportConnectionLoss("bad", "t2");
    fleet.advance(4 * MINUTE_MS);
    const started = fleet.start("i2");
    fleet.receiveHeartbeat("i2", "i0");
    await expect.poll(() => started.isBlocked("bad")).toBe(true);
    fleet.advance(MINUTE_MS);
    expect(
      started.isBlocked("bad"),
      "not blocked longer than at other instances",
    ).toBe(false);
  });

  it("the number of suspicions is bounded, and malformed reports change nothing", () => {
    const { poison, handle } = createSingleInstance();
    for (let i = 0; i < 12_000; i++) poison.reportConnectionLoss(`f${i}`, "t1");
    expect(poison.getSize()).toBe(10_000);
    const report = { kind: "broke", fingerprint: "x" };
    for (
      const malformed of [
        undefined,
        {},
        report,
        { ...report, targets: [1, 2] },
        { ...report, targets: Array(20).fill("t") },
        { ...report, fingerprint: "x".repeat(300), targets: ["t1", "t2"] },
      ]
    ) {
      expect(() => handle("i0", malformed)).toThrow("malformed");
    }
    handle("i0", { ...report, targets: ["t1", "t2"], blockMs: 1e12 });
    expect(poison.isBlocked("x")).toBe(true);
    expect(poison.getSize()).toBe(10_000);
  });
});

describe("order of reports about a poison request", () => {
  const block = {
    kind: "broke",
    fingerprint: "x",
    targets: ["t1", "t2"],
    blockMs: 300_000,
    stamps: [900, 900],
    unexplainedStamp: 900,
  };

  // Guards against an instance that starts between a clear and the block that it cleared.
  it("an instance that pulls reports learns of clears, so that an older block has no effect", async () => {
    const fleet = createFleet(1);
    fleet.handle("i0", block);
    fleet.instances[0]!.reportResponse("x");
    const started = fleet.start("i1");
    fleet.instances[0]!.reportConnectionLoss("y", "t1");
    fleet.instances[0]!.reportConnectionLoss("y", "t2");
    const startedLater = fleet.start("i2");
    fleet.receiveHeartbeat("i2", "i0");
    await expect.poll(() => startedLater.isBlocked("y")).toBe(true);
    fleet.handle("i2", block);
    expect(startedLater.isBlocked("x")).toBe(false);
    expect(started.isBlocked("x")).toBe(false);
  });

  // Guards against an instance of an earlier build, which counts clears in the response as malformed.
  it("an instance that does not ask for clears gets none", () => {
    const fleet = createFleet(1);
    fleet.handle("i0", block);
    fleet.instances[0]!.reportResponse("x");
    expect(fleet.handle("i0", { kind: "pull" })).toEqual([]);
    expect(fleet.handle("i0", { kind: "pull", withClears: true })).toEqual([
      expect.objectContaining({ kind: "answered", fingerprint: "x" }),
    ]);
  });

  it.each([
    [[900]],
    [[900, -1]],
    [[900, 0.5]],
    [[900, "900"]],
    [[900, 2 ** 60]],
    [900],
    [null],
  ])("malformed stamps %j count as none, and the report is kept", (stamps) => {
    const { poison, handle } = createSingleInstance();
    handle("i0", { ...block, stamps });
    expect(poison.isBlocked("x")).toBe(true);
    for (const stamp of [-1, 2 ** 60, "900", null]) {
      handle("i0", { kind: "answered", fingerprint: "x", stamp });
      expect(poison.isBlocked("x")).toBe(false);
    }
  });

  it("malformed stamps are logged once", () => {
    const lines: string[] = [];
    const fleet = createFleet(
      1,
      Log.createLogger("warn", {}, (text) => lines.push(text)),
    );
    for (let i = 0; i < 3; i++) {
      fleet.handle("i0", { ...block, fingerprint: `x${i}`, stamps: [-1, -1] });
    }
    const logged = lines.join("").match(/event=poison-stamps-malformed/g);
    expect(logged).toHaveLength(1);
  });

  it("losses without stamps are ignored for 2 s after a clear, as they may be older", () => {
    const { poison, handle, advance } = createSingleInstance();
    const { stamps: _, unexplainedStamp: __, ...unordered } = block;
    handle("i0", unordered);
    poison.reportResponse("x");
    handle("i0", unordered);
    expect(poison.isBlocked("x")).toBe(false);
    advance(2_001);
    handle("i0", unordered);
    expect(poison.isBlocked("x")).toBe(true);
  });

  // Guards against memory that grows with each fingerprint that was ever cleared.
  it("the clears that are kept are bounded in number and time", () => {
    let now = 1_000;
    const evidence = Evidence.createEvidence({
      nowMs: () => now,
      wallMs: () => now,
    });
    for (let i = 0; i < 12_000; i++) evidence.addClear(`f${i}`, now, true);
    expect(evidence.getClears().size).toBe(10_000);
    now += 11 * MINUTE_MS;
    evidence.addClear("last", now, true);
    expect(evidence.getClears().size).toBe(1);
  });

  // Guards against a result that depends on the way that messages take.
  it("the same statements leave the same losses in force, in any order and however often they arrive", () => {
    const statement = FastCheck.record({
      isClear: FastCheck.boolean(),
      target: FastCheck.constantFrom("t1", "t2", "t3"),
      stamp: FastCheck.integer({ min: 1, max: 20 }),
      isExplained: FastCheck.boolean(),
    });
    const clock = { nowMs: () => 0, wallMs: () => 0 };
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(statement, { maxLength: 8 }).chain((all) =>
          FastCheck.tuple(
            FastCheck.constant(all),
            FastCheck.shuffledSubarray([...all, ...all], {
              minLength: 2 * all.length,
            }),
          )
        ),
        (orders) => {
          const results = orders.map((statements) => {
            const evidence = Evidence.createEvidence(clock);
            for (const { isClear, target, stamp, isExplained } of statements) {
              const targets = new Map([[target, stamp]]);
              const unexplainedStamp = isExplained ? 0 : stamp;
              if (isClear) evidence.addClear("x", stamp, true);
              else evidence.addLosses("x", { targets, unexplainedStamp }, 1);
            }
            const suspicion = evidence.getSuspicion("x");
            return {
              targets: new Map(suspicion?.targets),
              unexplainedStamp: suspicion?.unexplainedStamp,
              isBlocked: evidence.isBlocked("x"),
            };
          });
          expect(results[1]).toEqual(results[0]);
        },
      ),
    );
  });
});

describe("poison requests beside instances of an earlier build", () => {
  /** Earlier builds name a request by its fields; both kinds of instances forward the names of the other. */
  const NAMES = [
    "hut POST /order/17 17",
    "b1ZyB0Z5Ck8mUe0mUe0mUe0mUe0mUe0mUe0mUe0mUe0",
  ];

  // Guards against an upgrade during which a crashing request is stopped by neither build.
  it("a request crashes at most two targets of each build, in whichever order the instances get it", () => {
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(FastCheck.nat({ max: 3 }), {
          minLength: 20,
          maxLength: 20,
        }),
        (order) => {
          const { instances } = createFleet(4);
          let crashes = 0;
          for (const index of order) {
            const name = NAMES[index % 2]!;
            if (instances[index]!.isBlocked(name)) continue;
            crashes++;
            instances[index]!.reportConnectionLoss(name, `t${crashes}`);
          }
          expect(crashes).toBeLessThanOrEqual(4);
        },
      ),
    );
  });

  it("an instance that starts pulls the blocks of its own build from an instance of the other", async () => {
    const fleet = createFleet(2);
    for (const target of ["t1", "t2"]) {
      fleet.instances[0]!.reportConnectionLoss(NAMES[1]!, target);
    }
    const started = fleet.start("i2");
    fleet.receiveHeartbeat("i2", "i1");
    await expect.poll(() => started.isBlocked(NAMES[1]!)).toBe(true);
  });
});

describe("retry budget", () => {
  function createBudget() {
    let now = 50_000;
    const clock = { nowMs: () => now, wallMs: () => now };
    const budget = RetryBudget.createRetryBudget({ clock });
    const countRetries = () => {
      let count = 0;
      while (count < 10_000 && budget.tryAcquireRetry("s")) count++;
      return count;
    };
    return { budget, countRetries, advance: (ms: number) => now += ms };
  }

  it("the budget allows retries of a tenth of the requests of the last ten seconds", () => {
    const { budget, countRetries, advance } = createBudget();
    for (let i = 0; i < 1_000; i++) budget.recordRequest("s");
    expect(countRetries()).toBe(100);
    expect(countRetries()).toBe(0);
    advance(9_000);
    expect(countRetries(), "requests and retries are still in the window").toBe(
      0,
    );
    for (let i = 0; i < 500; i++) budget.recordRequest("s");
    expect(countRetries()).toBe(50);
    advance(1_000);
    expect(countRetries(), "the first second left the window").toBe(0);
    for (let i = 0; i < 100; i++) budget.recordRequest("s");
    expect(countRetries()).toBe(10);
  });

  it("a service with few requests gets a few retries, and services do not share a budget", () => {
    const { budget, countRetries } = createBudget();
    budget.recordRequest("s");
    for (let i = 0; i < 1_000; i++) budget.recordRequest("other");
    expect(countRetries()).toBe(5);
  });
});

/**
 * Creates a fleet in which each instance is connected to all instances of its
 * domain and to one instance of each remote domain.
 */
function createLargeFleet(domains: number, instancesPerDomain: number) {
  let now = 1_000;
  let messages = 0;
  const clock = { nowMs: () => now, wallMs: () => now };
  const log = Log.createLogger("error");
  const handlers = new Map<string, Contracts.RpcHandler>();
  const ids = Array.from(
    { length: domains * instancesPerDomain },
    (_, i) => `d${i % domains}-${Math.floor(i / domains)}`,
  );
  const getDomain = (id: string) => id.split("-")[0] ?? "";

  function deliver(from: string, to: readonly string[], params: unknown): void {
    for (const id of to) {
      messages++;
      handlers.get(id)?.(JSON.parse(JSON.stringify(params)), from);
    }
  }

  function start(self: string) {
    const rank = self.split("-")[1];
    const localPeers = ids.filter((id) =>
      id !== self && getDomain(id) === getDomain(self)
    );
    const remotePeers = ids.filter((id) =>
      getDomain(id) !== getDomain(self) && id.endsWith(`-${rank}`)
    );
    const peers = {
      self,
      incarnation: "1",
      getMembers: () => ids.slice(1) as unknown as readonly Types.Member[],
      tryGetMember: () => undefined,
      call: <T>() => Promise.resolve(Results.Ok([] as T)),
      notifyAll: (_method: string, params: unknown) =>
        deliver(self, [...localPeers, ...remotePeers], params),
      notify: (to: readonly string[], _method: string, params: unknown) =>
        deliver(self, to, params),
      handle: (_method: string, fn: Contracts.RpcHandler) =>
        void handlers.set(self, fn),
      onHeartbeat: () => {},
      addPeerAddresses: () => {},
    };
    const route: Poison.ReportRoute = {
      getCollector: (fingerprint) =>
        Rendezvous.rank(fingerprint, [self, ...localPeers])[0] ?? self,
      getRemoteDomainPeers: () => remotePeers,
    };
    return Poison.createPoison({ clock, peers, route, log });
  }

  return {
    instances: ids.map(start),
    advance: (ms: number) => now += ms,
    countMessages: () => messages,
  };
}

describe("poison requests in a fleet that is not a full mesh", () => {
  // Load pattern: targets lose a fraction of their responses for some seconds, so
  // that dozens of requests per second lose one connection each. With 68 instances,
  // reports to every instance caused 0.7 GB of traffic between regions within 6 s.
  it("reports of single connection losses reach only the collectors, so that they do not flood the fleet", () => {
    const fleet = createLargeFleet(6, 15);
    const lossCount = 200;
    for (let i = 0; i < lossCount; i++) {
      fleet.advance(20);
      const instance = fleet.instances[(i * 7) % fleet.instances.length]!;
      instance.reportConnectionLoss(`order ${i}`, `t${i % 30}`);
    }
    // One message to the collector, one to each remote domain, and one from there to the collector of that domain.
    expect(fleet.countMessages() / lossCount).toBeLessThanOrEqual(1 + 2 * 5);
  });

  it.each([["the same domain", 6], ["two domains", 1]])(
    "losses at two instances of %s block the request at all instances, so that it reaches no further target",
    (_name, secondIndex) => {
      const fleet = createLargeFleet(6, 15);
      fleet.instances[0]!.reportConnectionLoss("order 1", "t1");
      fleet.advance(500);
      fleet.instances[secondIndex]!.reportConnectionLoss("order 1", "t2");
      const blocked = fleet.instances.filter((instance) =>
        instance.isBlocked("order 1")
      );
      expect(blocked).toHaveLength(fleet.instances.length);
    },
  );
});

describe("confirmation of a block", () => {
  /** Creates three instances whose messages arrive late, because the receivers stall. */
  function createStalledFleet(stallMs: number) {
    const log = Log.createLogger("error");
    const ids = ["i0", "i1", "i2"];
    const handlers = new Map<string, Contracts.RpcHandler>();
    const sleep = () => new Promise((resolve) => setTimeout(resolve, stallMs));
    const instances = ids.map((self) => {
      const peerIds = ids.filter((id) => id !== self);
      const peers = {
        self,
        incarnation: "1",
        getMembers: () =>
          peerIds.map((id) => ({
            heartbeat: { id },
            isReachable: id !== "i2",
          })),
        async call(id: string, _method: string, params: unknown) {
          await sleep();
          return Results.Ok(await handlers.get(id)?.(params, self));
        },
        async notifyAll(_method: string, params: unknown) {
          await sleep();
          for (const id of peerIds) handlers.get(id)?.(params, self);
        },
        handle: (_method: string, fn: Contracts.RpcHandler) =>
          void handlers.set(self, fn),
        onHeartbeat: () => {},
      } as unknown as Contracts.PeerNet;
      const clock = { nowMs: () => 1_000, wallMs: () => 1_000 };
      return Poison.createPoison({ clock, peers, log });
    });
    return instances;
  }

  it("confirmation waits until reachable instances know the block, so that no instance sends the request to a third target", async () => {
    const [first, second] = createStalledFleet(30);
    first!.reportConnectionLoss("bad", "t1");
    first!.reportConnectionLoss("bad", "t2");
    expect(second!.isBlocked("bad")).toBe(false);
    await first!.confirmBlock("bad");
    expect(second!.isBlocked("bad")).toBe(true);
  });

  it("confirmation resolves immediately for a request that is not blocked", async () => {
    const [first] = createStalledFleet(60_000);
    first!.reportConnectionLoss("once", "t1");
    await first!.confirmBlock("once");
    expect(first!.isBlocked("once")).toBe(false);
  });
});
