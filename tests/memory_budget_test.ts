import { describe, expect, it } from "vitest";
import * as ProcessMemory from "../src/gateway/process_memory.ts";
import * as MemoryBudget from "../src/memory_budget.ts";

describe("memory of responses that are being received", () => {
  // Load pattern: three targets send without end beside ordinary responses. Guards
  // against an ordinary response that is aborted in place of an endless one.
  it("is taken from the longest response when the limit is exceeded", () => {
    const buffer = MemoryBudget.createMemoryBudget(10_000);
    const aborted: string[] = [];
    const open = (name: string) => buffer.open(() => void aborted.push(name));
    const ordinary = open("ordinary");
    ordinary.add(1_000);
    const endless = ["a", "b", "c"].map(open);
    for (let i = 0; i < 100; i++) {
      for (const response of endless) response.add(100);
      expect(buffer.getBytes()).toBeLessThanOrEqual(10_000);
    }
    expect(aborted).not.toContain("ordinary");
    expect(aborted.length).toBeGreaterThan(0);
    ordinary.close();
    for (const response of endless) response.close();
    expect(buffer.getBytes()).toBe(0);
  });

  it("limits each response", () => {
    const buffer = MemoryBudget.createMemoryBudget(Infinity, 1_000);
    let reason = "";
    const response = buffer.open((text) => reason = text);
    response.add(1_000);
    expect(reason).toBe("");
    response.add(1);
    expect(reason).toContain("size limit");
  });

  // Guards against a body that is given up although its request runs, or has nearly arrived.
  it("is taken from the newest of equal holdings, and from none that is kept", () => {
    const budget = MemoryBudget.createMemoryBudget(10_000);
    const aborted: string[] = [];
    const open = (name: string) => {
      const holding = budget.open(() => void aborted.push(name));
      holding.add(4_000);
      return holding;
    };
    const holdings = ["a", "b", "c"].map(open);
    expect(aborted).toEqual(["c"]);
    holdings[0]!.keep();
    holdings[1]!.keep();
    open("d");
    expect(aborted).toEqual(["c", "d"]);
    holdings[0]!.close();
    open("e");
    expect(aborted).toEqual(["c", "d"]);
  });
});

describe("memory for request bodies", () => {
  // Guards against a share that, beside the process and its read buffers, exceeds a small machine.
  it("is what the process and its read buffers leave, and holds the longest body by default on 250 MB", () => {
    const longestBytes = 64 * 1_024 * 1_024;
    expect(ProcessMemory.getBodyBytes(250e6)).toBeGreaterThan(longestBytes);
    expect(ProcessMemory.getBodyBytes(150e6)).toBeLessThan(150e6 - 107e6);
    expect(ProcessMemory.getBodyBytes(80e6)).toBeGreaterThan(0);
  });
});
