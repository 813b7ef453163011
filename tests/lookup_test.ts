import { describe, expect, it } from "vitest";
import * as FastCheck from "fast-check";
import * as BlockMap from "../src/lookup/block_map.ts";
import * as Order from "../src/lookup/order.ts";
import * as QueueWake from "../src/daemon/queue_wake.ts";
import * as FairQueue from "../src/queue/fair_queue.ts";
import { systemClock } from "../src/clock.ts";
import type * as Types from "../src/types.ts";

function createCandidate(
  id: string,
  domain: string,
  more = {},
): Types.Heartbeat {
  const region = domain.slice(0, -2);
  return {
    id,
    domain,
    region,
    state: "live",
    load: 0,
    callerAddress: `${id}:1`,
    ...more,
  } as Types.Heartbeat;
}

describe("look-up", () => {
  function order(
    candidates: readonly Types.Heartbeat[],
    held: Record<string, number> = {},
  ) {
    return Order.orderInstances({
      domain: "north-1",
      region: "north",
      candidates,
      getAllocatedRate: (one) => held[one.id] ?? 1,
    });
  }

  it("names near instances first, budget holders before others, and no leaving one", () => {
    const list = order([
      createCandidate("far", "south-1"),
      createCandidate("near-poor", "north-1"),
      createCandidate("gone", "north-1", { state: "leaving" }),
      createCandidate("region", "north-2"),
      createCandidate("near-rich", "north-1"),
    ], { "near-rich": 10 });
    expect(list.map((one) => one.id)).toEqual([
      "near-rich",
      "near-poor",
      "region",
      "far",
    ]);
    expect(list[0]?.weight).toBe(100);
    expect(list[1]?.weight).toBe(10);
  });

  it("keeps answers small in a large fleet", () => {
    const many = Array.from(
      { length: 620 },
      (_, i) =>
        createCandidate(
          `n${i}`,
          ["north-1", "north-2", "south-1"][i % 3] ?? "",
        ),
    );
    expect(order(many)).toHaveLength(24);
  });
});

describe("client blocks", () => {
  it("finds the block of every address, as a linear search would", () => {
    const block = FastCheck.tuple(
      FastCheck.integer({ min: 0, max: 0xffffffff }),
      FastCheck.constantFrom(0, 1, 90, BlockMap.NO_SITE),
    );
    FastCheck.assert(
      FastCheck.property(
        FastCheck.uniqueArray(block, {
          selector: ([start]) => start,
          maxLength: 50,
        }),
        FastCheck.integer({ min: 0, max: 0xffffffff }),
        (blocks, address) => {
          const sorted = blocks.toSorted(([a], [b]) => a - b);
          const starts = Uint32Array.from(sorted.map(([start]) => start));
          const sites = Uint16Array.from(sorted.map(([, site]) => site));
          const map = BlockMap.decodeBlocks(
            BlockMap.encodeBlocks(starts, sites),
          ).unwrap();
          const site = sorted.findLast(([start]) => start <= address)?.[1];
          const expected = site === BlockMap.NO_SITE ? undefined : site;
          expect(map.tryGetSite(address)).toBe(expected);
        },
      ),
    );
  });

  it("refuses damaged data instead of steering by it", () => {
    const data = BlockMap.encodeBlocks(
      Uint32Array.of(5, 900),
      Uint16Array.of(1, 2),
    );
    expect(BlockMap.decodeBlocks(data.slice(0, -1)).isErr()).toBe(true);
    expect(BlockMap.decodeBlocks(Uint8Array.of(5, 1, 0, 1)).isErr()).toBe(true);
  });
});

describe("waking queue", () => {
  it("starts an entry whose tokens came with time, without any other event", async () => {
    const queue = QueueWake.createWakingQueue(
      FairQueue.createFairQueue<string>({
        clock: systemClock,
        maxPerAccount: 10,
        getServiceTimeMs: () => 0,
      }),
    );
    const readyAtMs = systemClock.nowMs() + 60;
    const started = await queue.wait(
      {
        service: "s",
        account: "a",
        deadlineAtMs: readyAtMs + 5_000,
        signal: new AbortController().signal,
      },
      () => systemClock.nowMs() >= readyAtMs ? "started" : undefined,
    );
    expect(started.unwrap()).toBe("started");
  });
});
