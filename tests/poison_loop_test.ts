import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import * as Topology from "../src/gateway/topology.ts";
import * as Log from "../src/log.ts";
import * as Rendezvous from "../src/rendezvous.ts";
import * as Poison from "../src/retry/poison.ts";

const DOMAINS = 6;
const MAX_DELAY_MS = 110;
/** Ends runs in which messages circulate; far above any allowed number of messages. */
const MAX_MESSAGES = 200_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const F = "request";

type Instance = Pick<
  Contracts.Poison,
  "isBlocked" | "reportConnectionLoss" | "reportResponse"
>;
type Report = {
  readonly kind: string;
  readonly targets?: readonly string[];
  readonly blockMs?: number;
};

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d) + 0x6d2b79f5 | 0;
    const mixed = Math.imul(state ^ (state >>> 12), 0x297a2d39);
    return ((mixed ^ (mixed >>> 15)) >>> 0) / 2 ** 32;
  };
}

/** Rule of the earlier build: what is new is sent to all peers, without order, and a clear leaves nothing behind. */
function createEarlierBuild(peers: Contracts.PeerNet): Instance {
  let targets = new Set<string>();
  function add(added: readonly string[]): void {
    const countBefore = targets.size;
    for (const target of added) targets.add(target);
    if (targets.size === countBefore) return;
    const message = { kind: "broke", fingerprint: F, targets: [...targets] };
    peers.notifyAll("poison.report", { ...message, blockMs: 300_000 });
  }
  function clear(): void {
    if (targets.size === 0) return;
    targets = new Set();
    peers.notifyAll("poison.report", { kind: "answered", fingerprint: F });
  }
  peers.handle("poison.report", (params) => {
    const message = params as Report;
    if (message.kind === "answered") clear();
    else add(message.targets ?? []);
    return true;
  });
  return {
    isBlocked: () => targets.size >= 2,
    reportConnectionLoss: (_, target) => add([target]),
    reportResponse: clear,
  };
}

/** Creates instances whose peers and collectors are those of the gateway; messages take random times, also on one link. */
function createFleet(
  count: number,
  seed: number,
  isEarlier: (index: number) => boolean = () => false,
  hasCollectors = true,
) {
  const random = createRandom(seed);
  const members = Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    domain: `d${i % DOMAINS}`,
    capacity: 0.675 + i % 3 * 0.3,
    isUsable: true,
  }));
  const selected = new Map(
    members.map((member) => [
      member.id,
      Topology.selectPeers(member, members),
    ]),
  );
  const getDomain = (id: string) => `d${Number(id.slice(1)) % DOMAINS}`;
  const peersById = new Map(
    members.map(({ id }) => [
      id,
      members.map((other) => other.id).filter((other) =>
        other !== id &&
        (selected.get(id)!.has(other) || selected.get(other)!.has(id))
      ),
    ]),
  );
  const handlers = new Map<string, Contracts.RpcHandler>();
  const sentBy = new Map(members.map(({ id }) => [id, 0]));
  const counters: Record<string, number> = {};
  const skewMs = new Map(members.map(({ id }) => [id, 0]));
  /** Deliveries by the ms at which they arrive. */
  const arrivals = new Map<number, (() => void)[]>();
  let now = 1_000;
  let messages = 0;

  function send(from: string, to: readonly string[], params: unknown): void {
    for (const id of to) {
      messages++;
      sentBy.set(from, sentBy.get(from)! + 1);
      const line = JSON.stringify(params);
      const atMs = now + 1 + Math.floor(random() * MAX_DELAY_MS);
      const due = arrivals.get(atMs) ?? [];
      due.push(() => void handlers.get(id)!(JSON.parse(line), from));
      arrivals.set(atMs, due);
    }
  }

  function start(self: string, index: number): Instance {
    const peerIds = peersById.get(self)!;
    const localMembers = members.filter(({ id }) =>
      getDomain(id) === getDomain(self)
    );
    const hubs = [...Topology.selectHubs(localMembers)];
    const remote = new Map<string, string[]>();
    for (const id of peerIds) {
      const domain = getDomain(id);
      if (domain === getDomain(self)) continue;
      remote.set(domain, [...remote.get(domain) ?? [], id]);
    }
    const peers = {
      self,
      getMembers: () => members.slice(1),
      notifyAll: (_: string, params: unknown) => send(self, peerIds, params),
      notify: (to: readonly string[], _: string, params: unknown) =>
        send(self, to, params),
      handle: (_: string, fn: Contracts.RpcHandler) => handlers.set(self, fn),
      onHeartbeat: () => {},
    } as unknown as Contracts.PeerNet;
    if (isEarlier(index)) return createEarlierBuild(peers);
    const route: Poison.ReportRoute = {
      getCollector: (fingerprint) => Rendezvous.rank(fingerprint, hubs)[0]!,
      getRemoteDomainPeers: (fingerprint) =>
        [...remote.values()].map((ids) =>
          Rendezvous.rank(fingerprint, ids)[0]!
        ),
    };
    return Poison.createPoison({
      clock: { nowMs: () => now, wallMs: () => now + skewMs.get(self)! },
      peers,
      ...(hasCollectors ? { route } : {}),
      log: Log.createLogger("error"),
      metrics: { count: (name) => counters[name] = (counters[name] ?? 0) + 1 },
    });
  }

  const instances = members.map(({ id }, index) => start(id, index));
  return {
    instances,
    counters,
    /** Number of links, each counted once for each direction. */
    links: [...peersById.values()].reduce((sum, ids) => sum + ids.length, 0),
    setSkew: (index: number, ms: number) => void skewMs.set(`i${index}`, ms),
    /** Delivers messages in the order of their arrival, for `forMs` or until none is left. */
    run(forMs = Infinity): void {
      const untilMs = now + forMs;
      while (now < untilMs && messages < MAX_MESSAGES) {
        if (forMs === Infinity && arrivals.size === 0) return;
        now++;
        const due = arrivals.get(now) ?? [];
        arrivals.delete(now);
        for (const deliver of due) deliver();
      }
    },
    getMessages: () => messages,
    getSentByCurrent: () =>
      members.reduce(
        (sum, { id }, i) => isEarlier(i) ? sum : sum + sentBy.get(id)!,
        0,
      ),
    countBlocked: () =>
      instances.filter((instance) => instance.isBlocked(F)).length,
  };
}

/** Blocks the request everywhere, then has one instance report a response and another a loss at the same moment. */
function blockThenClearAndBlock(
  fleet: ReturnType<typeof createFleet>,
  runMs?: number,
): void {
  const { instances } = fleet;
  instances[0]!.reportConnectionLoss(F, "t1");
  instances[0]!.reportConnectionLoss(F, "t2");
  fleet.run(runMs);
  expect(fleet.countBlocked()).toBe(instances.length);
  instances[instances.length - 1]!.reportResponse(F);
  instances[instances.length >> 1]!.reportConnectionLoss(F, "t3");
  fleet.run(runMs);
}

describe("reports of poison requests in a fleet with hubs", () => {
  // Guards against a block and a clear that circulate until the heap of the instances is full.
  it.each([33, 195])(
    "a block and a clear sent at the same moment cross each link of %i instances once each",
    (count) => {
      for (const seed of SEEDS) {
        const fleet = createFleet(count, seed);
        blockThenClearAndBlock(fleet);
        // Two losses, of which the first reaches only collectors, one clear and one loss beside it.
        expect(fleet.getMessages(), `seed ${seed}`)
          .toBeLessThanOrEqual(4 * fleet.links);
        expect(fleet.links).toBeLessThanOrEqual(10 * count);
      }
    },
  );

  // The daemon's instances have no collectors and send every report to all peers.
  it("a block and a clear sent at the same moment end without collectors", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(33, seed, undefined, false);
      blockThenClearAndBlock(fleet);
      expect(fleet.getMessages(), `seed ${seed}`)
        .toBeLessThanOrEqual(4 * fleet.links);
    }
  });

  /** Blocks the request everywhere, then lets one instance lose two connections before or after another reports a response, and neither hear of the other. */
  function passEachOther(seed: number, lossLeadMs: number) {
    const fleet = createFleet(33, seed);
    const { instances } = fleet;
    instances[3]!.reportConnectionLoss(F, "t1");
    instances[3]!.reportConnectionLoss(F, "t2");
    fleet.run();
    const lose = () => {
      instances[16]!.reportConnectionLoss(F, "t3");
      instances[16]!.reportConnectionLoss(F, "t4");
    };
    const clear = () => instances[32]!.reportResponse(F);
    const [first, second] = lossLeadMs > 0 ? [lose, clear] : [clear, lose];
    first();
    fleet.run(Math.abs(lossLeadMs));
    second();
    fleet.run();
    return fleet;
  }

  // Guards against a clear that is undone by an older block, which locks callers out for five minutes.
  it("a block that was observed before a clear has no effect, even when it arrives after it", () => {
    for (const seed of SEEDS) {
      expect(passEachOther(seed, 1).countBlocked(), `seed ${seed}`).toBe(0);
    }
  });

  // Guards against a crashing request that is let through, because an older response arrives after its block.
  it("a block that was observed after a clear stays in force at all instances", () => {
    for (const seed of SEEDS) {
      const fleet = passEachOther(seed, -1);
      expect(fleet.countBlocked(), `seed ${seed}`).toBe(33);
    }
  });

  // Guards against clocks that differ: a statement must follow those that its instance knows.
  it("statements that follow each other stay in order beside wall clocks that differ by up to 40 s", () => {
    for (const seed of SEEDS) {
      const random = createRandom(seed);
      const fleet = createFleet(33, seed);
      for (let i = 0; i < 33; i++) fleet.setSkew(i, random() * 40_000 | 0);
      const pick = () => fleet.instances[Math.floor(random() * 33)]!;
      for (let round = 0; round < 5; round++) {
        for (const target of ["a", "b"]) {
          const instance = pick();
          instance.reportConnectionLoss(F, `${target}${round}`);
          fleet.run();
        }
        expect(fleet.countBlocked(), `seed ${seed}, round ${round}`).toBe(33);
        pick().reportResponse(F);
        fleet.run();
        expect(fleet.countBlocked(), `seed ${seed}, round ${round}`).toBe(0);
        // A response explains the losses of the next 2 s.
        fleet.run(3_000);
      }
    }
  });

  // Guards against a crashing request that reaches targets until the clock of its instance has passed that of an earlier clear.
  it("losses at instances whose clocks are late count after a clear that only collectors know", () => {
    const fleet = createFleet(33, 1);
    const [ahead, , , other, another] = fleet.instances;
    fleet.setSkew(0, 30_000);
    ahead!.reportConnectionLoss("other request", "t1");
    ahead!.reportConnectionLoss("other request", "t2");
    fleet.run();
    ahead!.reportConnectionLoss(F, "t1");
    fleet.run();
    ahead!.reportResponse(F);
    fleet.run(3_000);
    other!.reportConnectionLoss(F, "t2");
    another!.reportConnectionLoss(F, "t3");
    fleet.run();
    expect(fleet.countBlocked()).toBe(33);
  });

  it("counts blocks, clears and reports that were forwarded or known", () => {
    const fleet = createFleet(33, 1);
    blockThenClearAndBlock(fleet);
    expect(fleet.counters).toMatchObject({
      "poison-blocked": 33,
      "poison-cleared": 33,
      "poison-reports-forwarded": expect.any(Number),
      "poison-reports-known": expect.any(Number),
    });
  });
});

describe("reports of poison requests beside instances of an earlier build", () => {
  const isEverySecond = (index: number) => index % 2 === 1;

  it.each([["one instance", (index: number) => index === 7], [
    "half",
    isEverySecond,
  ]])(
    "blocks and clears reach both builds if %s of the fleet runs the earlier one",
    (_name, isEarlier) => {
      for (const seed of SEEDS) {
        for (const [blocker, clearer] of [[7, 0], [0, 7]] as const) {
          const fleet = createFleet(33, seed, isEarlier);
          fleet.instances[blocker]!.reportConnectionLoss(F, "t1");
          fleet.instances[blocker]!.reportConnectionLoss(F, "t2");
          fleet.run();
          expect(fleet.countBlocked(), `seed ${seed}`).toBe(33);
          fleet.instances[clearer]!.reportResponse(F);
          fleet.run();
          expect(fleet.countBlocked(), `seed ${seed}`).toBe(0);
        }
      }
    },
  );

  // Guards against a loop between the builds; one between instances of the earlier build goes on until they are replaced.
  it("a block and a clear sent at the same moment end if one instance runs the earlier build", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(33, seed, (index) => index === 7);
      blockThenClearAndBlock(fleet);
      expect(fleet.getMessages(), `seed ${seed}`)
        .toBeLessThanOrEqual(6 * fleet.links);
    }
  });

  // Guards against a loop between two earlier instances that the others repeat each time their hold has passed.
  it("a block and a clear sent at the same moment leave no instance of this build blocked if two peers run the earlier one", () => {
    const isEarlier = (index: number) => index === 8 || index === 14;
    for (const seed of SEEDS) {
      const fleet = createFleet(33, seed, isEarlier);
      blockThenClearAndBlock(fleet, 1_000);
      fleet.run(20_000);
      expect(fleet.getMessages(), `seed ${seed}`)
        .toBeLessThanOrEqual(6 * fleet.links);
      const blocked = fleet.instances.filter((instance, index) =>
        !isEarlier(index) && instance.isBlocked(F)
      );
      expect(blocked, `seed ${seed}`).toHaveLength(0);
    }
  });

  it("instances of this build do not multiply what circulates between those of the earlier build", () => {
    for (const seed of SEEDS.slice(0, 2)) {
      const fleet = createFleet(33, seed, isEverySecond);
      blockThenClearAndBlock(fleet, 1_000);
      expect(fleet.getSentByCurrent(), `seed ${seed}`)
        .toBeLessThanOrEqual(6 * fleet.links);
    }
  });
});
