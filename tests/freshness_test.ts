import { describe, expect, it, vi } from "vitest";
import * as Freshness from "../src/config/freshness.ts";
import type * as Contracts from "../src/contracts.ts";
import type * as Types from "../src/types.ts";
import * as Fakes from "../testing/fakes/config_net.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Instances from "./support/config_instances.ts";

const WAIT = { timeout: 15_000, interval: 20 };
const start = Instances.createInstanceStarter();

describe("keys freshness", () => {
  function createCase(
    members: readonly Types.Member[],
    domains: readonly string[] = ["d1", "d2", "d3"],
    localState: {
      readAtMs?: number;
      lastResponseAtMs?: number;
      isFailing?: boolean;
      revision?: number;
    } = {},
    whenIsolated: "refuse" | "serve" = "refuse",
  ) {
    const state = { nowMs: 100_000, members, ...localState };
    const freshness = Freshness.createFreshness({
      peers: { getMembers: () => state.members } as Contracts.PeerNet,
      platform: {
        getLastResponseAtMs: () => state.lastResponseAtMs,
        isFailing: () => state.isFailing ?? false,
      } as Contracts.PlatformClient,
      config: {
        getKeysRevision: () => state.revision ?? 5,
        tryGetKeysReadAtMs: () => state.readAtMs,
      },
      clock: { nowMs: () => state.nowMs, wallMs: () => 0 },
      domains: () => domains,
      cfg: { domain: "d1", stalenessLimitMs: 4_000, whenIsolated },
    });
    return { state, freshness };
  }
  const storeLost = { storeSeenMsAgo: 60_000, relayedStoreSeenMsAgo: 60_000 };

  it("expires after the staleness limit in an instance without store and peers", () => {
    const { state, freshness } = createCase([], undefined, {
      readAtMs: 100_000,
      lastResponseAtMs: 100_000,
    });
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 4_000;
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 1;
    expect(freshness.isCurrent()).toBe(false);
    expect(freshness.getAgeMs()).toBe(4_001);
    expect(createCase([]).freshness.isCurrent()).toBe(false);
    const serve = createCase([], undefined, {}, "serve").freshness;
    expect(serve.isCurrent()).toBe(true);
  });

  it("does not count a response to another call as a read of the keys", () => {
    const { freshness } = createCase([], undefined, {
      lastResponseAtMs: 99_900,
    });
    expect(freshness.isCurrent()).toBe(false);
  });

  it("adds the heartbeat's age to the age of its evidence", () => {
    const { freshness } = createCase([
      Helpers.createMember("b", "d2", { relayedStoreSeenMsAgo: 1_200 }, 700),
    ]);
    expect(freshness.getAgeMs()).toBe(1_900);
  });

  it("ignores evidence for a keys revision that this instance does not have", () => {
    const member = Helpers.createMember("b", "d2", {
      keysRevision: 6,
      relayedStoreSeenMsAgo: 10,
    });
    const { state, freshness } = createCase([member]);
    expect(freshness.isCurrent()).toBe(false);
    state.revision = 6;
    state.nowMs += 100;
    expect(freshness.isCurrent()).toBe(true);
  });

  it("never renews itself while instances only receive each other's heartbeats", () => {
    const stepMs = 100;
    const cases = [createCase([]), createCase([])] as const;
    cases[0].state.readAtMs = 100_000;
    let lastMs = -stepMs;
    for (let step = 0; step <= 50; step++) {
      for (const [index, instance] of cases.entries()) {
        const peer = cases[1 - index]!;
        const relayed = Math.ceil(instance.freshness.getAgeMs());
        // The heartbeat is sent now and received at the next step.
        peer.state.members = [
          Helpers.createMember(
            "p",
            "d2",
            { relayedStoreSeenMsAgo: relayed },
            stepMs,
          ),
        ];
      }
      const ages = cases.map((instance) => instance.freshness.getAgeMs());
      expect(Math.min(...ages)).toBeGreaterThanOrEqual(lastMs + stepMs);
      lastMs = Math.min(...ages);
      for (const instance of cases) instance.state.nowMs += stepMs;
    }
    for (const peer of cases) expect(peer.freshness.isCurrent()).toBe(false);
  });

  it("lasts through a store outage while a majority of domains is reachable", () => {
    const b = Helpers.createMember("b", "d2", storeLost);
    const c = Helpers.createMember("c", "d3", storeLost);
    expect(createCase([b]).freshness.isCurrent()).toBe(true);
    const fourDomains = ["d1", "d2", "d3", "d4"];
    expect(createCase([b], fourDomains).freshness.isCurrent()).toBe(false);
    expect(createCase([b, c], fourDomains).freshness.isCurrent()).toBe(true);
    expect(createCase([b, c], []).freshness.isCurrent()).toBe(false);
  });

  it("covers the start of an outage, and leaves time for one read of the keys after it", () => {
    const failing = {
      storeSeenMsAgo: 100,
      isStoreFailing: true,
      relayedStoreSeenMsAgo: 60_000,
    };
    const { state, freshness } = createCase(
      [Helpers.createMember("b", "d2", failing)],
      undefined,
      { lastResponseAtMs: 99_900, isFailing: true },
    );
    expect(freshness.isCurrent()).toBe(true);
    state.isFailing = false;
    state.lastResponseAtMs = state.nowMs;
    state.nowMs += 1_900;
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 200;
    expect(freshness.isCurrent()).toBe(false);
  });

  it("leaves time for one read of the keys after an outage, whenever the last check ran", () => {
    const failing = { ...storeLost, isStoreFailing: true };
    const { state, freshness } = createCase(
      [Helpers.createMember("b", "d2", failing)],
      undefined,
      { lastResponseAtMs: 99_900, isFailing: true },
    );
    // The two checks stand for requests without a heartbeat in between.
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 950;
    expect(freshness.isCurrent()).toBe(true);
    state.isFailing = false;
    state.lastResponseAtMs = state.nowMs;
    state.nowMs += 1_900;
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 200;
    expect(freshness.isCurrent()).toBe(false);
  });

  it("is denied when a reachable peer reaches the store or has newer keys", () => {
    const b = Helpers.createMember("b", "d2", storeLost);
    const storeReachingMember = Helpers.createMember("c", "d3", {
      ...storeLost,
      storeSeenMsAgo: 1_500,
      keysRevision: 6,
    });
    expect(createCase([b, storeReachingMember]).freshness.isCurrent()).toBe(
      false,
    );
    const newerKeysMember = Helpers.createMember("c", "d3", {
      ...storeLost,
      keysRevision: 6,
    });
    expect(createCase([b, newerKeysMember]).freshness.isCurrent()).toBe(false);
    const self = createCase([b], undefined, { lastResponseAtMs: 99_000 });
    expect(self.freshness.isCurrent()).toBe(false);
  });

  it("does not count the local domain when its other members are unreachable", () => {
    const unreachablePeer = Helpers.createMember("a2", "d1", storeLost, 9_000);
    expect(createCase([unreachablePeer], ["d1"]).freshness.isCurrent()).toBe(
      false,
    );
    expect(createCase([], ["d1"]).freshness.isCurrent()).toBe(true);
  });

  it("is renewed through real peers and expires in an isolated instance", async () => {
    const store = Fakes.createFakeStore();
    store.put("keys", Fakes.createKeysRecord(["k1"]));
    const domains = ["uusimaa-1", "uusimaa-2", "pirkanmaa-1"];
    const a = await start("a", [], store, { domains });
    const b = await start("b", [a.address], store, {
      domain: "uusimaa-2",
      domains,
      isCut: () => true,
    });
    await vi.waitFor(() => expect(b.freshness.isCurrent()).toBe(true), WAIT);
    // 6 s exceed the staleness limit, so the evidence must be renewed.
    const endAtMs = performance.now() + 6_000;
    while (performance.now() < endAtMs) {
      expect(b.freshness.isCurrent()).toBe(true);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    const stoppedAt = performance.now();
    await a.stop();
    await vi.waitFor(() => expect(b.freshness.isCurrent()).toBe(false), WAIT);
    expect(performance.now() - stoppedAt).toBeLessThan(5_000);
  });
});
