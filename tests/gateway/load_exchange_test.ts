import { describe, expect, it } from "vitest";
import * as Choice from "../../src/gateway/choice.ts";
import * as LoadExchange from "../../src/gateway/load_exchange.ts";
import * as TargetLoad from "../../src/gateway/target_load.ts";
import * as EventQueue from "../../testing/model/event_queue.ts";

const TARGETS = Array.from({ length: 250 }, (_, i) => ({
  id: `target-${i}`,
  slots: 4,
}));
const LATENCY_MS = 1;

type Placement = LoadExchange.Recipients & { readonly domain: string };

/** Instances of one region that exchange load reports, with simulated time and links. */
function createRegion(placements: ReadonlyMap<string, Placement>) {
  const events = EventQueue.createEventQueue();
  const clock = { nowMs: events.nowMs, wallMs: events.nowMs };
  const silent = new Set<string>();
  const traffic = new Map<string, { bytes: number; entries: number }>();
  const instances = new Map([...placements].map(([id, recipients], index) => {
    const loads = TargetLoad.createTargetLoads(clock);
    const exchange = LoadExchange.createLoadExchange({
      loads,
      getTargets: () => TARGETS,
      getEpoch: () => 1,
      getRecipients: () => recipients,
      clock,
    });
    const sent = { bytes: 0, entries: 0 };
    traffic.set(id, sent);
    function send(): void {
      for (const { params, to } of exchange.createMessages()) {
        if (silent.has(id) || silent.has(to)) continue;
        sent.bytes += JSON.stringify({
          jsonrpc: "2.0",
          method: "gateway.loads",
          params,
        }).length;
        sent.entries += params.loads.length / 6;
        events.schedule(
          LATENCY_MS,
          () => instances.get(to)?.exchange.receive(id, params),
        );
      }
      events.schedule(LoadExchange.INTERVAL_MS, send);
    }
    events.schedule(index * 37 % LoadExchange.INTERVAL_MS, send);
    return [id, { loads, exchange }] as const;
  }));
  /** Has an instance read a target's load from a response. */
  function report(instance: string, target: string, running: number): void {
    const { exchange, loads } = instances.get(instance)!;
    const report = { running, waiting: 0, slots: 4 };
    loads.recordReport(target, report);
    exchange.recordReport(target, report);
  }
  return { clock, events, instances, report, silent, traffic };
}

/** Domains of `size` instances, the first three of each being hubs. */
function createDomains(domains: number, size: number) {
  const placements = new Map<string, Placement>();
  for (let d = 0; d < domains; d++) {
    const hubs = [0, 1, 2].map((i) => `d${d}-${i}`);
    for (let i = 0; i < size; i++) {
      const id = `d${d}-${i}`;
      const isHub = i < 3;
      const remote = Array.from({ length: domains }, (_, other) => other)
        .filter((other) => other !== d).map((other) => `d${other}-${i}`);
      placements.set(id, {
        domain: `d${d}`,
        isHub,
        hubs: isHub ? hubs.filter((hub) => hub !== id) : [hubs[i % 3]!],
        remote: isHub ? remote : [],
      });
    }
  }
  return createRegion(placements);
}

const PROFILE: Choice.RequestProfile = {
  deadlineMs: 3_000,
  targetLatencyMs: 508,
  priority: 0,
  cacheHitMs: 192,
  cacheMissMs: 637,
  missCostMs: 445,
};

/** Candidate of an affinity key that both targets have cached. */
function createCandidate(
  loads: TargetLoad.TargetLoads,
  rank: number,
): Choice.Candidate {
  const id = TARGETS[rank]!.id;
  return {
    target: {
      entry: {
        ...TARGETS[rank]!,
        service: "reads",
        address: "",
        domain: "d0",
        isLeaving: false,
        coldLeftMs: 0,
        startedAtMs: 1,
      },
      region: "r",
      coldUntilMs: 0,
    },
    rank,
    isPaused: false,
    isCold: false,
    isRateLimitReached: false,
    isExcluded: false,
    outstanding: loads.getOutstanding(id),
    shedShare: 0,
    roundTripMs: 2,
    cacheHitChance: 1,
    warmupRemainingMs: undefined,
  };
}

describe("load reports that instances pass on", () => {
  // Guards against an instance that knows nothing of a queue at a target to which it sends every 7 s.
  it("reach all instances of the region, each entry once per link", () => {
    const { events, instances, report, traffic } = createDomains(2, 10);
    events.runUntil(2_000);
    report("d0-5", "target-7", 12);
    events.runUntil(2_900);
    for (const [id, { loads }] of instances) {
      expect(loads.getOutstanding("target-7"), id).toBeGreaterThan(3);
    }
    const sum = [...traffic.values()].reduce((a, b) => a + b.entries, 0);
    // 20 instances: the links to the hubs, between them and to the other domain.
    expect(sum).toBeLessThanOrEqual(2 * 20);
    events.runUntil(10_000);
    const later = [...traffic.values()].reduce((a, b) => a + b.entries, 0);
    expect(later).toBe(sum);
  });

  it.each([[2, 11], [3, 22]])(
    "stay within the budget of bytes with %i domains of %i instances",
    (domains, size) => {
      const { events, instances, report, traffic } = createDomains(
        domains,
        size,
      );
      const ids = [...instances.keys()];
      for (let second = 0; second < 10; second++) {
        for (let i = 0; i < 600; i++) {
          report(ids[i % ids.length]!, TARGETS[i * 7 % 250]!.id, 4 + i % 12);
          events.runUntil(second * 1_000 + i * 1.6);
        }
      }
      for (const { bytes } of traffic.values()) {
        expect(bytes / 10).toBeLessThan(LoadExchange.BUDGET_BYTES_PER_S);
      }
    },
  );

  // Guards against an older report that arrives late and replaces a newer one.
  it("are used in the order of their reading", () => {
    const { clock, events } = createDomains(1, 4);
    const loads = TargetLoad.createTargetLoads(clock);
    events.runUntil(1_000);
    loads.recordPeerReport("target-1", 12, 990);
    loads.recordPeerReport("target-1", 2, 900);
    expect(loads.getOutstanding("target-1")).toBeGreaterThan(11);
    loads.recordPeerReport("target-1", 2, 1_000);
    expect(loads.getOutstanding("target-1")).toBe(2);
  });

  // Guards against many instances that act on one old report: it must lose its
  // weight by itself, and requests sent since must count.
  it("lose their weight with age, and requests sent since are added", () => {
    const { clock, events } = createDomains(1, 4);
    const loads = TargetLoad.createTargetLoads(clock);
    loads.recordPeerReport("target-1", 8, 0);
    const estimates = [0, 300, 700, 2_000, 5_000].map((atMs) => {
      events.runUntil(atMs);
      return loads.getOutstanding("target-1");
    });
    expect(estimates).toEqual(estimates.toSorted((a, b) => b - a));
    expect(estimates[4]).toBeLessThan(0.1);
    loads.recordPeerReport("target-2", 8, 5_000);
    events.runUntil(5_010);
    loads.start("target-2");
    expect(loads.getOutstanding("target-2")).toBeGreaterThan(8.5);
    loads.end("target-2", "answered");
    expect(loads.getOutstanding("target-2")).toBeLessThan(8);
  });

  // Guards against many deciders that avoid a target in turns: one report and a
  // burst of requests at all instances, with no newer report for a while.
  it.each([[100, 0], [2_500, 61]])(
    "divert the burst of 61 instances from a queue seen %i ms ago: %i use its target",
    (ageMs, expected) => {
      const { clock, events } = createDomains(1, 4);
      const readAtMs = 1_000;
      events.runUntil(readAtMs + ageMs);
      const deciders = Array.from({ length: 61 }, () => {
        const loads = TargetLoad.createTargetLoads(clock);
        loads.recordPeerReport("target-0", 14, readAtMs);
        return loads;
      });
      const users = deciders.filter((loads) => {
        const choice = Choice.chooseCandidate(
          [createCandidate(loads, 0), createCandidate(loads, 1)],
          PROFILE,
        );
        return choice.kind === "send" && choice.candidate.rank === 0;
      });
      expect(users).toHaveLength(expected);
      for (const loads of users) loads.start("target-0");
      // What an instance has sent counts for itself, whatever the report's age.
      for (const loads of users) {
        expect(loads.getOutstanding("target-0")).toBeGreaterThanOrEqual(1);
      }
    },
  );

  it("are absent at a new instance, which then knows its own requests only", () => {
    const { instances } = createDomains(2, 10);
    const { loads } = instances.get("d1-9")!;
    loads.start("target-3");
    expect(loads.getOutstanding("target-3")).toBe(1);
    expect(loads.getOutstanding("target-4")).toBe(0);
  });

  it("keep arriving after a hub ended, from the instances of the other hubs", () => {
    const { events, instances, report, silent } = createDomains(2, 10);
    events.runUntil(2_000);
    silent.add("d0-2");
    report("d0-4", "target-7", 12);
    events.runUntil(2_900);
    const getLoad = (id: string) =>
      instances.get(id)!.loads.getOutstanding("target-7");
    expect(getLoad("d0-7")).toBeGreaterThan(3);
    expect(getLoad("d1-6")).toBeGreaterThan(3);
    // Instances of the lost hub are served as if there were no reports.
    expect(getLoad("d0-5")).toBe(0);
  });

  // An older build sends no load reports, so that hubs send it none.
  it("are not sent to an instance that sends none", () => {
    const { events, instances, report } = createDomains(1, 4);
    const hub = instances.get("d0-0")!.exchange;
    hub.receive("d0-3", { loads: "" });
    report("d0-0", "target-1", 12);
    const recipients = () => hub.createMessages().map(({ to }) => to);
    expect(recipients()).toContain("d0-3");
    expect(recipients()).not.toContain("older-build");
    events.runUntil(0);
  });

  it.each([
    undefined,
    null,
    7,
    [],
    {},
    { loads: 7 },
    { loads: "AAAAMA" },
    { loads: "short" },
    { loads: "é".repeat(60) },
    { loads: "_".repeat(100_000) },
  ])("ignore malformed content: %j", (params) => {
    const { instances } = createDomains(1, 4);
    const { exchange, loads } = instances.get("d0-0")!;
    exchange.receive("d0-1", params);
    expect(exchange.getCounts().applied).toBe(0);
    for (const { id } of TARGETS) expect(loads.getOutstanding(id)).toBe(0);
  });

  it.each([NaN, Infinity, -5])(
    "omit absurd reports of a target: %d",
    (running) => {
      const { instances } = createDomains(1, 4);
      const { exchange } = instances.get("d0-0")!;
      exchange.recordReport("target-1", { running, waiting: 0, slots: 4 });
      const texts = exchange.createMessages().map(({ params }) => params.loads);
      expect(texts.every((text) => text === "")).toBe(true);
    },
  );
});
