import { describe, expect, it } from "vitest";
import * as Log from "../src/log.ts";
import * as Drops from "../src/peer/drops.ts";
import * as SendBudget from "../src/peer/send_budget.ts";
import * as ManualTime from "../testing/fakes/manual_time.ts";

const MAX_QUEUED_BYTES = 16_000_000;

/** Creates a budget with connections whose peers take data only when a test says so. */
function createConnections(count: number) {
  const clock = ManualTime.createTime();
  const budget = SendBudget.createSendBudget({
    clock,
    maxQueuedBytes: MAX_QUEUED_BYTES,
  });
  const connections = Array.from({ length: count }, () => {
    const conn = {
      queued: 0,
      aborted: "",
      allowance: undefined as unknown as SendBudget.Allowance,
      send(bytes: number): void {
        if (conn.aborted !== "") return;
        conn.queued += bytes;
        conn.allowance.check();
      },
    };
    conn.allowance = budget.open({
      getQueuedBytes: () => conn.queued,
      abort(reason) {
        conn.aborted = reason;
        conn.queued = 0;
      },
    });
    return conn;
  });
  const getQueued = () => connections.reduce((sum, c) => sum + c.queued, 0);
  return { budget, clock, connections, getQueued };
}

describe("the budget for messages to peers", () => {
  // Guards against 32 peers with 16 MB each, more than the heap of 158 MB.
  it("bounds what waits for 32 peers that don't read, and keeps one that does", () => {
    const { budget, connections, getQueued } = createConnections(33);
    const [reader, ...silent] = connections;
    let highest = 0;
    for (let i = 0; i < 2_000; i++) {
      for (const conn of silent) conn.send(10_000);
      reader!.send(10_000);
      highest = Math.max(highest, getQueued());
      reader!.queued = 0;
    }
    expect(highest).toBeLessThanOrEqual(MAX_QUEUED_BYTES);
    expect(silent.every(({ aborted }) => aborted !== "")).toBe(true);
    expect(reader!.aborted).toBe("");
    expect(budget.getAbortedCount()).toBe(32);
    expect(budget.getQueuedBytes()).toBe(0);
  });

  // Guards against closing the connection that happens to send when the sum is exceeded.
  it("closes the connection with the most waiting data first", () => {
    const { connections } = createConnections(4);
    const [a, b, c, d] = connections;
    a!.send(7_000_000);
    b!.send(5_000_000);
    c!.send(3_900_000);
    d!.send(500_000);
    expect(connections.map(({ aborted }) => aborted !== ""))
      .toEqual([true, false, false, false]);
  });

  // Guards against a sum that still contains what was sent meanwhile.
  it("closes none when the peers have taken what waited", () => {
    const { connections } = createConnections(10);
    for (let i = 0; i < 20; i++) {
      for (const conn of connections) {
        conn.send(7_000_000);
        conn.queued = 0;
      }
    }
    expect(connections.every(({ aborted }) => aborted === "")).toBe(true);
  });

  it("lets two of the longest lines wait for a peer at any memory, and takes a small share of it", () => {
    for (const memoryBytes of [1, 64_000_000, 250_000_000]) {
      expect(SendBudget.getMaxQueuedBytes(memoryBytes))
        .toBeGreaterThanOrEqual(4 * 2 * 1024 * 1024);
    }
    expect(SendBudget.getMaxQueuedBytes(250_000_000)).toBe(15_625_000);
  });

  // Guards against status messages that pile up for a peer that doesn't read.
  it("drops droppable messages to a peer with a backlog, and not to others", () => {
    const { connections } = createConnections(2);
    connections[0]!.send(200_000);
    expect(connections[0]!.allowance.tryTake(100)).toBe("backlog");
    expect(connections[1]!.allowance.tryTake(100)).toBeUndefined();
    connections[0]!.queued = 0;
    expect(connections[0]!.allowance.tryTake(100)).toBeUndefined();
  });

  // Guards against droppable messages that multiply and take the link.
  it("limits the droppable bytes per second to one peer", async () => {
    const { clock, connections } = createConnections(1);
    const reasons = new Set<string | undefined>();
    let taken = 0;
    for (let ms = 0; ms < 60_000; ms += 10) {
      const reason = connections[0]!.allowance.tryTake(2_000);
      if (reason === undefined) taken += 2_000;
      reasons.add(reason);
      await clock.advance(10);
    }
    expect(taken / 60).toBeLessThan(SendBudget.PEER_BYTES_PER_S * 1.1);
    expect(taken / 60).toBeGreaterThan(SendBudget.PEER_BYTES_PER_S * 0.9);
    expect([...reasons]).toEqual([undefined, "peer-rate"]);
  });

  // Guards against peers that get no status message at all, as they are the last in
  // the order of sending, and take this instance for gone after 3 s.
  it("limits the droppable bytes per second in total, and serves each peer every 2 s", async () => {
    const { clock, connections } = createConnections(93);
    const lastMs = new Map<unknown, number>();
    let taken = 0;
    let longestGapMs = 0;
    for (let ms = 0; ms < 60_000; ms += 250) {
      for (const conn of connections) {
        if (conn.allowance.tryTake(3_000) !== undefined) continue;
        taken += 3_000;
        longestGapMs = Math.max(longestGapMs, ms - (lastMs.get(conn) ?? 0));
        lastMs.set(conn, ms);
      }
      await clock.advance(250);
    }
    expect(lastMs.size).toBe(93);
    for (const ms of lastMs.values()) expect(ms).toBeGreaterThan(58_000);
    expect(longestGapMs).toBeLessThanOrEqual(2_000);
    expect(taken / 60).toBeLessThan(SendBudget.TOTAL_BYTES_PER_S * 1.1);
  });

  it("logs what was dropped, for which peer and why, one line per peer, reason and 10 s", async () => {
    const clock = ManualTime.createTime();
    const lines: string[] = [];
    const log = Log.createLogger("info", {}, (line) => void lines.push(line));
    const drops = Drops.createDrops({ clock, log });
    const record = (peer: string) =>
      drops.record({ method: "status", peer, reason: "backlog", bytes: 7 });
    for (let i = 0; i < 5; i++) record("p");
    expect(lines).toHaveLength(1);
    expect(lines[0]).toContain(
      "peer-message-dropped method=status peer=p reason=backlog",
    );
    await clock.advance(10_000);
    record("p");
    expect(lines.at(-1)).toContain("suppressed=4");
    for (let i = 0; i < 500; i++) record(`peer ${i}`);
    expect(lines.length).toBeLessThan(40);
    expect(drops.getCounts().backlog).toBe(506);
    expect(drops.getBytes()).toBe(506 * 7);
  });
});
