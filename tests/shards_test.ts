import { describe, expect, it } from "vitest";
import * as AllocationPlan from "../src/budget/allocation_plan.ts";
import * as Allocations from "../src/budget/allocations.ts";
import * as Tables from "../testing/fakes/budget_tables.ts";
import * as Quiet from "./support/quiet_fleet.ts";

describe("shards and leases", () => {
  it("spreads the shards of a domain evenly over its instances, each once", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "a3", "b1");
    const sizes = ["a1", "a2", "a3"].map((id) =>
      fleet.budgets(id).getShards().length
    );
    expect(sizes.toSorted()).toEqual([2, 3, 3]);
    const all = ["a1", "a2", "a3"].flatMap((id) =>
      fleet.budgets(id).getShards()
    );
    expect(all.toSorted()).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
    expect(fleet.budgets("b1").getShards()).toHaveLength(8);
  });

  it("guards against unused shards while a newcomer gets its part", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    fleet.addNode("a2", "da", fleet.table);
    for (let i = 0; i < 400; i++) {
      await fleet.time.advance(50);
      const held = ["a1", "a2"].flatMap((id) => fleet.budgets(id).getShards());
      expect(held.length).toBeGreaterThanOrEqual(7);
    }
    expect(fleet.budgets("a2").getShards()).toHaveLength(4);
  });

  it("guards against shards that a newcomer refuses because it has a newer table than their giver", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    fleet.addNode("a2", "da", fleet.table);
    for (let revision = 2; revision < 22; revision++) {
      const next = Tables.createTable(revision, Quiet.REGIONS, Quiet.CELLS);
      fleet.setTable("a2", next);
      for (let i = 0; i < 20; i++) {
        if (i === 10) fleet.setTable("a1", next);
        await fleet.time.advance(50);
        const held = ["a1", "a2"].flatMap((id) =>
          fleet.budgets(id).getShards()
        );
        expect(held.length).toBeGreaterThanOrEqual(7);
      }
    }
    expect(fleet.budgets("a2").getShards()).toHaveLength(4);
  });

  it("guards against a take-over with tokens, from holder or borrower", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.kill("a1");
    let taken = false;
    for (let i = 0; i < 400 && !taken; i++) {
      await fleet.time.advance(50);
      taken = fleet.budgets("a2").getShards().length === 8;
      // Only what its own four shards hold, and no refill for one loan period.
      if (taken) {
        expect(fleet.budgets("a2").getAllocation(Quiet.X).tokens).toBeLessThan(
          4.5,
        );
        await fleet.time.advance(1_900);
        expect(fleet.budgets("a2").getAllocation(Quiet.X).tokens).toBeLessThan(
          4.5,
        );
        await fleet.time.advance(3_000);
        expect(fleet.budgets("a2").getAllocation(Quiet.X).tokens).toBeCloseTo(
          8,
        );
      }
    }
    expect(taken).toBe(true);
  });

  it("leaves the shards of an instance that dies while the store is down, until one lease period after", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.setStoreUp(false);
    fleet.kill("a1");
    await fleet.time.advance(60_000);
    expect(fleet.budgets("a2").getMode()).toBe("disconnected");
    expect(fleet.budgets("a2").isValid()).toBe(true);
    expect(fleet.budgets("a2").getShards()).toHaveLength(4);
    fleet.setStoreUp(true);
    await fleet.time.advance(9_000);
    expect(fleet.budgets("a2").getShards()).toHaveLength(4);
    await fleet.time.advance(8_000);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
  });

  it("hands every shard with its content to peers on a graceful shutdown", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.get("a1").state = "leaving";
    const done = fleet.budgets("a1").transferAll();
    await fleet.time.advance(500);
    await done;
    expect(fleet.budgets("a1").getShards()).toEqual([]);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
    expect(fleet.budgets("a2").getAllocation(Quiet.X).tokens).toBeCloseTo(8);
  });

  it("guards against doubling the content of a handover whose message is lost or repeated", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.get("a1").state = "leaving";
    const handler = fleet.get("a2").handlers.get("shards.handover")!;
    const messages: unknown[] = [];
    fleet.get("a2").handlers.set("shards.handover", (params) => {
      messages.push(params);
      return { isTaken: false };
    });
    void fleet.budgets("a1").transferAll();
    await fleet.time.advance(4_000);
    expect(messages).toHaveLength(4);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
    while (fleet.budgets("a2").tryAcquire(Quiet.X, 0.5));
    for (const message of messages) void handler(message, "a1");
    expect(fleet.budgets("a2").tryAcquire(Quiet.X, 0.5)).toBe(false);
  });

  it("guards against a take-over that was decided before the holder returned", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.pause("a1");
    const countWrites = fleet.hold("a2", "cas");
    while (countWrites() === 0) await fleet.time.advance(1);
    fleet.resume("a1");
    await fleet.time.advance(400);
    expect(fleet.budgets("a1").getShards()).toHaveLength(4);
    fleet.release();
    await fleet.time.advance(400);
    fleet.expectSoleHolders();
  });

  it("guards against adopting a lost take-over while a disconnected holder counts on a full wait", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2");
    fleet.cutBothWays("a1", "store");
    fleet.cutBothWays("a1", "a2");
    const countWrites = fleet.hold("a2", "cas");
    while (countWrites() === 0) await fleet.time.advance(1);
    expect(fleet.budgets("a1").isValid()).toBe(false);
    // The take-over is written, but its answer is lost.
    fleet.cut("store", "a2");
    fleet.release();
    await fleet.time.advance(100);
    fleet.heal();
    for (const id of ["a1", "a2"]) fleet.cutBothWays(id, "store");
    while (!fleet.budgets("a1").isValid()) await fleet.time.advance(10);
    // Whatever the peer held meanwhile may be spent: nothing for one loan time.
    await fleet.time.advance(1_900);
    expect(fleet.budgets("a1").getAllocation(Quiet.X).tokens).toBeLessThan(0.1);
    await fleet.time.advance(500);
    fleet.heal();
    fleet.cutBothWays("a1", "store");
    for (let i = 0; i < 400; i++) {
      await fleet.time.advance(50);
      fleet.expectSoleHolders();
    }
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
  });

  it("asks a reachable holder before it takes over", async () => {
    const fleet = Quiet.createQuietFleet({ onSilentPeer: "keep" });
    await fleet.start("a1", "a2");
    fleet.cutBothWays("a1", "store");
    fleet.cutBothWays("a1", "a2");
    while (
      [...fleet.records.keys()].some((key) =>
        key.startsWith("members/") && key.endsWith("/a1")
      )
    ) {
      await fleet.time.advance(50);
    }
    fleet.heal();
    fleet.cutBothWays("a1", "store");
    for (let i = 0; i < 100; i++) {
      await fleet.time.advance(50);
      fleet.expectSoleHolders();
    }
  });

  it("guards against a handover that forgets what was spent or lent", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    const { burst } = fleet.budgets("a1").getAllocation(Quiet.X);
    const lend = fleet.get("a1").handlers.get("budget.borrow")!;
    expect(lend({ key: Quiet.X, want: burst, loanMs: 2_000 }, "b1"))
      .toMatchObject({ granted: burst });
    fleet.get("a1").state = "leaving";
    void fleet.budgets("a1").transferAll();
    await fleet.time.advance(1_500);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
    expect(fleet.budgets("a2").getAllocation(Quiet.X).tokens)
      .toBeLessThan(8 - burst + 0.01);
    await fleet.time.advance(3_000);
    expect(fleet.budgets("a2").getAllocation(Quiet.X).tokens).toBeCloseTo(8);
  });

  it("guards against a grown share that waits for edits to end, and against more than the table before gives", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    const edit = (revision: number) => {
      const next = Tables.createTable(revision, Quiet.REGIONS, {
        x: { rate: 40, burst: 32 },
        y: { rate: 1, burst: revision },
      });
      for (const id of ["a1", "a2"]) fleet.setTable(id, next);
    };
    edit(2);
    const { budgets } = fleet.get("a1");
    void budgets.transferAll().then(() => budgets.stop());
    // Promise 12 allows 6 s; an edit comes every 500 ms.
    for (let i = 1; i <= 12; i++) {
      await fleet.time.advance(500);
      const { burst, rate, tokens } = fleet.budgets("a2").getAllocation(
        Quiet.X,
      );
      if (i * 500 < 4_500) {
        expect(burst).toBeLessThanOrEqual(8);
        expect(rate).toBeLessThanOrEqual(10);
        expect(tokens).toBeLessThanOrEqual(8);
      }
      if (i * 500 >= 2_000) expect(burst).toBeGreaterThanOrEqual(8);
      edit(2 + i);
    }
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
    expect(fleet.budgets("a2").getAllocation(Quiet.X).burst).toBeCloseTo(16);
    expect(fleet.budgets("a2").getAllocation(Quiet.X).rate).toBeCloseTo(20);
  });

  it("guards against shards of a newcomer while others may use a table that it never had", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    const next = Tables.createTable(2, Quiet.REGIONS, Quiet.CELLS);
    fleet.setTable("a1", next);
    const { budgets } = fleet.get("a1");
    void budgets.transferAll().then(() => budgets.stop());
    fleet.addNode("a2", "da", next);
    await fleet.time.advance(4_300);
    expect(fleet.budgets("a2").getShards()).toEqual([]);
    await fleet.time.advance(3_000);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
  });

  it("guards against a restart that waits for a table change which its peers have long behind them", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    const { budgets } = fleet.get("a1");
    void budgets.transferAll().then(() => budgets.stop());
    await fleet.time.advance(1_000);
    fleet.kill("a1");
    fleet.addNode("a1", "da", fleet.table);
    // Heartbeat (1 s), tick (200 ms), and passes over the store (500 ms).
    await fleet.time.advance(2_500);
    expect(fleet.budgets("a1").getShards()).toHaveLength(8);
  });

  it("guards against a share that the table before gave to other shards", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    // Few tokens lie in few shards; with more, all shards get a part.
    const few = Tables.createTable(2, Quiet.REGIONS, {
      x: { rate: 4, burst: 4 },
    });
    for (const id of ["a1", "a2", "b1"]) fleet.setTable(id, few);
    await fleet.time.advance(8_000);
    const sumBursts = () =>
      ["a1", "a2"].map((id) => fleet.budgets(id).getAllocation(Quiet.X).burst)
        .reduce((sum, burst) => sum + burst, 0);
    const more = Tables.createTable(3, Quiet.REGIONS, Quiet.CELLS);
    for (const id of ["a1", "a2", "b1"]) fleet.setTable(id, more);
    const { budgets } = fleet.get("a1");
    void budgets.transferAll().then(() => budgets.stop());
    for (let i = 0; i < 44; i++) {
      await fleet.time.advance(100);
      expect(sumBursts()).toBeLessThanOrEqual(2);
    }
    await fleet.time.advance(1_500);
    expect(sumBursts()).toBeCloseTo(8);
  });

  it("guards against refilling what the last holder lent when a share grows soon after its claim", () => {
    let now = 0;
    const holdings = Allocations.createAllocations({
      clock: { nowMs: () => now, wallMs: () => now },
      domain: "da",
      growDelayMs: 4_500,
    });
    const setBurst = (revision: number, burst: number) => {
      const cells = { x: { rate: 10_000, burst } };
      const table = Tables.createTable(revision, Quiet.REGIONS, cells);
      holdings.setPlan(AllocationPlan.createAllocationPlan(table));
    };
    const getLevel = () => holdings.tryGet(Quiet.X)!.bucket.getLevel(now);
    setBurst(1, 16);
    for (const shard of [0, 1, 2, 3]) {
      holdings.activate(shard, { kind: "full" });
    }
    setBurst(2, 64);
    now = 4_000;
    for (const shard of [4, 5, 6, 7]) {
      holdings.activate(shard, { kind: "empty" });
    }
    now = 4_500;
    holdings.applyRaisedLimits();
    // The last holder, which had the new table before, may have lent 16.
    now = 5_999;
    expect(holdings.tryGet(Quiet.X)!.bucket.getLimits().burst).toBe(32);
    expect(getLevel()).toBeCloseTo(16);
    now = 6_100;
    expect(getLevel()).toBeCloseTo(32);
  });

  it("stops spending a shard that the store gives to another", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    const record = { owner: "a2", incarnation: "a2.9", epoch: 99, writeId: "" };
    fleet.records.set("shards/da/3", {
      value: JSON.stringify(record),
      version: 1e6,
      leaseId: undefined,
    });
    await fleet.time.advance(4_000);
    expect(fleet.budgets("a1").getShards()).not.toContain(3);
  });

  it("shrinks at once and grows after the staleness limit, without new tokens", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    const cells = (burst: number) => ({ x: { rate: 1, burst } });
    fleet.setTable("a1", Tables.createTable(2, Quiet.REGIONS, cells(4)));
    expect(fleet.budgets("a1").getAllocation(Quiet.X)).toEqual({
      tokens: 2,
      rate: 0.5,
      burst: 2,
    });
    fleet.setTable("a1", Tables.createTable(3, Quiet.REGIONS, cells(400)));
    await fleet.time.advance(4_400);
    expect(fleet.budgets("a1").getAllocation(Quiet.X).burst).toBe(2);
    await fleet.time.advance(400);
    expect(fleet.budgets("a1").getAllocation(Quiet.X).burst).toBe(200);
    expect(fleet.budgets("a1").getAllocation(Quiet.X).tokens).toBeLessThan(3);
    fleet.setTable("a1", Tables.createTable(2, Quiet.REGIONS, cells(1)));
    expect(fleet.budgets("a1").getAllocation(Quiet.X).burst).toBe(200);
  });
});
