import { describe, expect, it } from "vitest";
import * as Quiet from "./support/quiet_fleet.ts";

describe("leases", () => {
  it("a holder that was paused past its lease admits nothing until it has renewed the lease", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.pause("a1");
    await fleet.time.advance(60_000);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
    // The first requests after the pause, before any timer or response.
    expect(fleet.budgets("a1").tryAcquire(Quiet.X, 0.1)).toBe(false);
    expect((await fleet.budgets("a1").acquire(Quiet.X, 0.1, 0)).isErr()).toBe(
      true,
    );
    const lend = fleet.get("a1").handlers.get("budget.borrow")!;
    expect(lend({ key: Quiet.X, want: 1, loanMs: 100 }, "b1"))
      .toMatchObject({ granted: 0 });
    fleet.resume("a1");
    await fleet.time.advance(300);
    expect(fleet.budgets("a1").isValid()).toBe(true);
    fleet.expectSoleHolders();
    await fleet.time.advance(10_000);
    fleet.expectSoleHolders();
    expect(fleet.budgets("a1").getShards()).toHaveLength(4);
    expect(fleet.budgets("a2").getShards()).toHaveLength(4);
  });

  it("an instance that reaches the store only through a peer stays valid", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.cutBothWays("a1", "store");
    for (let i = 0; i < 60; i++) {
      await fleet.time.advance(1_000);
      expect(fleet.budgets("a1").isValid()).toBe(true);
    }
    expect(fleet.budgets("a1").getMode()).toBe("connected");
    expect(fleet.budgets("a1").getShards()).toHaveLength(4);
  });

  it("an instance in disconnected mode does not spend after a process pause until peers confirm", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.setStoreReachable(false);
    await fleet.time.advance(20_000);
    expect(fleet.budgets("a1").getMode()).toBe("disconnected");
    fleet.pause("a1");
    await fleet.time.advance(1_500);
    expect(fleet.budgets("a1").isValid()).toBe(false);
    fleet.cutBothWays("a1", "a2");
    fleet.resume("a1");
    // The tick after the pause must not end the suspension; only the peer can.
    await fleet.time.advance(4_000);
    expect(fleet.budgets("a1").isValid()).toBe(false);
    fleet.heal();
    await fleet.time.advance(8_000);
    expect(fleet.budgets("a1").isValid()).toBe(true);
  });

  it("an instance in disconnected mode does not wait for the next regular renewal after a process pause", async () => {
    const fleet = Quiet.createQuietFleet({ ttlMs: 30_000, renewMs: 10_000 });
    await fleet.start("a1", "a2", "b1");
    fleet.setStoreReachable(false);
    await fleet.time.advance(60_000);
    for (let i = 0; i < 8; i++) {
      await fleet.time.advance(20_000 + i * 1_300);
      fleet.pause("a1");
      await fleet.time.advance(1_500);
      fleet.resume("a1");
      // At worst: the remaining time of a renewal that began before the pause
      // (2 s, the timeouts of its own call and of the peers'), a poll, and
      // another renewal.
      let waitedMs = 0;
      while (!fleet.budgets("a1").isValid()) {
        await fleet.time.advance(100);
        waitedMs += 100;
      }
      expect(waitedMs).toBeLessThan(5_000);
    }
  });

  it("an unresponsive domain peer suspends an instance unless the setting is keep", async () => {
    for (const onSilentPeer of ["suspend", "keep"] as const) {
      const fleet = Quiet.createQuietFleet({ onSilentPeer });
      await fleet.start("a1", "a2", "b1");
      fleet.cutBothWays("a1", "a2");
      fleet.cutBothWays("a1", "store");
      fleet.cutBothWays("b1", "store");
      await fleet.time.advance(30_000);
      const isExpectedValid = onSilentPeer === "keep";
      expect(fleet.budgets("a1").isValid()).toBe(isExpectedValid);
      expect(fleet.budgets("b1").isValid()).toBe(true);
    }
  });

  it("an instance does not stay valid beside an unresponsive domain peer that still reaches the store", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2");
    fleet.cutBothWays("a1", "store");
    // The relayed renewals to the peer are lost; heartbeats arrive.
    fleet.cut("a1", "a2");
    await fleet.time.advance(40_000);
    expect(fleet.budgets("a1").isValid()).toBe(false);
    expect(fleet.budgets("a2").getShards()).toHaveLength(8);
  });

  it("a shard never has two holders when a lapsed holder resumes during a take-over", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2", "b1");
    fleet.kill("b1");
    fleet.pause("a1");
    for (let i = 0; i < 200; i++) {
      await fleet.time.advance(100);
      if (i === 120) fleet.resume("a1");
      fleet.expectSoleHolders();
    }
    const [a1, a2] = ["a1", "a2"].map((id) => fleet.budgets(id).getShards());
    expect([...a1!, ...a2!].toSorted()).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
  });

  it("a lease period starts when its renewal is sent, not when the response arrives", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "a2");
    const countRenewals = fleet.holdCalls("a1", "renew");
    while (countRenewals() === 0) await fleet.time.advance(1);
    const sentAtMs = fleet.time.nowMs();
    fleet.releaseCalls();
    // The response has arrived by the time the process resumes.
    fleet.pause("a1");
    await fleet.time.advance(5_000);
    fleet.resume("a1");
    fleet.cut("*", "a1");
    await fleet.time.advance(sentAtMs + 8_900 - fleet.time.nowMs());
    expect(fleet.budgets("a1").isValid()).toBe(true);
    await fleet.time.advance(200);
    expect(fleet.budgets("a1").isValid()).toBe(false);
  });

  it("a lapsed holder keeps its tokens when no instance took over its shards", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    fleet.pause("a1");
    await fleet.time.advance(30_000);
    fleet.resume("a1");
    await fleet.time.advance(200);
    expect(fleet.budgets("a1").getAllocation(Quiet.X).tokens).toBeCloseTo(8);
    expect(fleet.budgets("a1").tryAcquire(Quiet.X, 8)).toBe(true);
  });

  it("a replacement does not spend while its paused predecessor may still spend", async () => {
    const fleet = Quiet.createQuietFleet();
    await fleet.start("a1", "b1");
    const predecessor = fleet.get("a1");
    fleet.pause("a1");
    const replacement = fleet.addInstance("a1", "da", fleet.table);
    for (let i = 0; i < 300; i++) {
      await fleet.time.advance(100);
      const areBothValid = predecessor.budgets.isValid() &&
        replacement.budgets.isValid();
      expect(areBothValid).toBe(false);
    }
    expect(replacement.budgets.getShards()).toHaveLength(8);
  });
});
