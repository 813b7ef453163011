import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as FairQueue from "../src/queue/fair_queue.ts";

interface RigOptions {
  readonly maxPerAccount?: number;
  readonly serviceMs?: number;
}

/** A queue in front of slots of one resource, under a clock that the test moves. */
function createRig(opts: RigOptions = {}) {
  let now = 1_000;
  let free = 0;
  const queue = FairQueue.createFairQueue<string>({
    clock: { nowMs: () => now, wallMs: () => now },
    maxPerAccount: opts.maxPerAccount ?? 1_000,
    getServiceTimeMs: () => opts.serviceMs ?? 0,
  });
  const started: { account: string; at: number; id: number }[] = [];
  const refused: { account: string; detail: string; id: number }[] = [];
  let nextId = 0;
  return {
    queue,
    started,
    refused,
    now: () => now,
    free: (count: number) => {
      free += count;
      queue.wake("s");
    },
    pass: (ms: number) => now += ms,
    /** Adds an entry; `isAble` false keeps it from starting. */
    add: (
      account: string,
      deadlineMs = 100_000,
      isAble: () => boolean = () => true,
    ) => {
      const id = nextId++;
      const abort = new AbortController();
      const tryStart = () => {
        if (free === 0 || !isAble()) return undefined;
        free--;
        started.push({ account, at: now, id });
        return account;
      };
      const deadlineAtMs = now + deadlineMs;
      const { signal } = abort;
      const entry = { service: "s", account, deadlineAtMs, signal };
      const done = queue.wait(entry, tryStart).then((result) => {
        if (result.isErr()) {
          refused.push({ account, detail: result.error.detail, id });
        }
        return result;
      });
      return { id, abort, done, deadlineAtMs };
    },
  };
}

function countOf(
  list: readonly { readonly account: string }[],
  account: string,
): number {
  return list.filter((each) => each.account === account).length;
}

describe("shares", () => {
  it("differ by at most one start among accounts that wait, whatever their rates", () => {
    const arbitrary = FastCheck.record({
      lengths: FastCheck.array(FastCheck.integer({ min: 1, max: 40 }), {
        minLength: 2,
        maxLength: 24,
      }),
      frees: FastCheck.array(FastCheck.integer({ min: 1, max: 7 }), {
        maxLength: 30,
      }),
    });
    FastCheck.assert(
      FastCheck.property(arbitrary, ({ lengths, frees }) => {
        const rig = createRig();
        lengths.forEach((length, i) => {
          for (let n = 0; n < length; n++) rig.add(`a${i}`);
        });
        for (const count of frees) {
          rig.free(count);
          const counts = lengths.map((_, i) => countOf(rig.started, `a${i}`));
          const waiting = counts.filter((n, i) => n < (lengths[i] ?? 0));
          const least = Math.min(...waiting);
          expect(Math.max(...counts)).toBeLessThanOrEqual(least + 1);
        }
      }),
    );
  });

  it("give a quiet account the next start while another floods", () => {
    const rig = createRig();
    for (let i = 0; i < 500; i++) rig.add("large");
    rig.free(3);
    rig.add("shepherd");
    rig.free(2);
    expect(countOf(rig.started, "shepherd")).toBe(1);
  });

  it("let an entry start that waits for another resource than those before it", () => {
    const rig = createRig();
    for (let i = 0; i < 40; i++) rig.add(`blocked${i}`, 100_000, () => false);
    rig.free(1);
    rig.add("able");
    for (let i = 0; i < 4; i++) rig.queue.wake("s");
    expect(rig.started.map((each) => each.account)).toEqual(["able"]);
  });

  it("keep the turn of an account that was blocked for a while", () => {
    const rig = createRig();
    let isAble = false;
    for (let i = 0; i < 3; i++) rig.add("a", 100_000, () => isAble);
    for (let i = 0; i < 9; i++) rig.add(`b${i % 3}`);
    rig.free(3);
    isAble = true;
    rig.free(1);
    expect(rig.started.at(-1)?.account).toBe("a");
  });
});

describe("bounds", () => {
  it("never start an entry after its deadline or its cancellation, and settle all", async () => {
    const step = FastCheck.record({
      account: FastCheck.constantFrom("a", "b", "c"),
      deadlineMs: FastCheck.integer({ min: 1, max: 300 }),
      cancel: FastCheck.option(FastCheck.nat(30), { nil: undefined }),
      ms: FastCheck.integer({ min: 0, max: 60 }),
      free: FastCheck.integer({ min: 0, max: 2 }),
    });
    const steps = FastCheck.array(step, { minLength: 1, maxLength: 40 });
    await FastCheck.assert(
      FastCheck.asyncProperty(steps, async (all) => {
        const rig = createRig({ serviceMs: 20 });
        const entries: ReturnType<typeof rig.add>[] = [];
        const cancelled = new Set<number>();
        for (const each of all) {
          entries.push(rig.add(each.account, each.deadlineMs));
          const victim = entries[each.cancel ?? -1];
          const isWaiting = victim !== undefined &&
            !rig.started.some((start) => start.id === victim.id);
          if (isWaiting) {
            victim.abort.abort();
            cancelled.add(victim.id);
          }
          rig.pass(each.ms);
          rig.free(each.free);
        }
        for (const start of rig.started) {
          expect(cancelled.has(start.id)).toBe(false);
          expect(start.at).toBeLessThan(entries[start.id]?.deadlineAtMs ?? 0);
        }
        rig.pass(1_000);
        rig.free(0);
        await Promise.all(entries.map((entry) => entry.done));
        expect(rig.started.length + rig.refused.length).toBe(entries.length);
        expect(rig.queue.getLength("s")).toBe(0);
      }),
    );
  });

  it("refuse at once what cannot start in time at the recent rate", async () => {
    const rig = createRig();
    for (let i = 0; i < 100; i++) rig.add("a");
    for (let i = 0; i < 20; i++) {
      rig.pass(50);
      rig.free(1);
    }
    // 80 entries at 50 ms each are before it.
    const late = await rig.add("a", 3_000).done;
    expect(late.isErr() && late.error.detail).toContain("longer");
    rig.add("a", 6_000);
    rig.add("b", 300);
    await Promise.resolve();
    expect(rig.refused.length).toBe(1);
  });

  it("refuse nobody for a slow period that is over", () => {
    const rig = createRig();
    for (let i = 0; i < 10; i++) rig.add("a");
    for (let i = 0; i < 10; i++) {
      rig.pass(2_000);
      rig.free(1);
    }
    rig.add("a", 500);
    expect(rig.queue.getLength("s")).toBe(1);
  });

  it("refuse nobody before the first slots of a slow service become free", () => {
    const rig = createRig({ serviceMs: 800 });
    for (let i = 0; i < 20; i++) rig.add("a");
    rig.pass(700);
    rig.add("b", 2_000);
    expect(rig.queue.getLength("s")).toBe(21);
  });

  it("let an entry whose start throws fail alone", async () => {
    const rig = createRig();
    const bad = rig.add("a", 100_000, () => {
      throw new Error("programming error");
    });
    rig.add("b");
    rig.free(1);
    await expect(bad.done).rejects.toThrow("programming error");
    expect(rig.started.map((each) => each.account)).toEqual(["b"]);
  });

  it("let a full account refuse only itself", async () => {
    const rig = createRig({ maxPerAccount: 5 });
    for (let i = 0; i < 9; i++) rig.add("a");
    rig.add("b");
    await Promise.resolve();
    await Promise.resolve();
    expect(countOf(rig.refused, "a")).toBe(4);
    expect(countOf(rig.refused, "b")).toBe(0);
  });

  it("end a wait at its deadline without a wake, so that a stuck service refuses", async () => {
    const clock = { nowMs: () => performance.now(), wallMs: () => Date.now() };
    const queue = FairQueue.createFairQueue<string>({
      clock,
      maxPerAccount: 10,
      getServiceTimeMs: () => 0,
    });
    const { signal } = new AbortController();
    const deadlineAtMs = clock.nowMs() + 60;
    const entry = { service: "s", account: "a", deadlineAtMs, signal };
    const result = await queue.wait(entry, () => undefined);
    expect(result.isErr()).toBe(true);
    expect(clock.nowMs()).toBeLessThan(deadlineAtMs + 500);
  });

  it("survive a start that wakes the queue again", () => {
    const rig = createRig();
    for (let i = 0; i < 5; i++) {
      rig.add("a", 100_000, () => {
        rig.queue.wake("s");
        return true;
      });
    }
    rig.free(5);
    expect(rig.started.map((each) => each.id)).toEqual([0, 1, 2, 3, 4]);
  });

  it("cost no more per entry when the queue is long", () => {
    const measure = (length: number) => {
      const rig = createRig({ maxPerAccount: 200_000 });
      for (let i = 0; i < length; i++) rig.add(`a${i % 8}`);
      const began = performance.now();
      for (let i = 0; i < 2_000; i++) {
        rig.add(`a${i % 8}`);
        rig.free(1);
      }
      return performance.now() - began;
    };
    // The least of three, because other processes can only add time.
    const best = (length: number) =>
      Math.min(...[1, 2, 3].map(() => measure(length)));
    // A cost that grows with the length would make it 30 times as long.
    expect(best(30_000)).toBeLessThan(10 * Math.max(best(1_000), 2));
  });
});
