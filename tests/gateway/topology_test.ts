import { describe, expect, it } from "vitest";
import * as DomainView from "../../src/gateway/domain_view.ts";
import * as MemberList from "../../src/gateway/member_list.ts";
import * as Topology from "../../src/gateway/topology.ts";
import type * as Mesh from "../../src/peer/mesh.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

/** Members in 9 domains; every seventh one is a large machine. */
function createFleet(count: number): readonly Mesh.MeshMember[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    domain: `d${i % 9}`,
    capacity: i % 7 === 0 ? 1.35 : 0.27,
    isUsable: true,
  }));
}

function getDomain(fleet: readonly Mesh.MeshMember[], domain: string) {
  return fleet.filter((member) => member.domain === domain);
}

/** Pairs of members of which at least one selects the other. */
function countConnections(fleet: readonly Mesh.MeshMember[]): number {
  const pairs = new Set<string>();
  for (const self of fleet) {
    for (const id of Topology.selectPeers(self, fleet)) {
      pairs.add([self.id, id].toSorted().join(" "));
    }
  }
  return pairs.size;
}

describe("topology of a large fleet", () => {
  // Load pattern: 195 small instances. Guards against connections, and so messages
  // and wake-ups, that grow with the square of a domain's members.
  it("gives every instance other than the hubs the hubs of its domain as only peers", () => {
    const fleet = createFleet(195);
    for (const self of fleet) {
      const hubs = Topology.selectHubs(getDomain(fleet, self.domain));
      expect(hubs.size).toBe(Topology.HUBS_PER_DOMAIN);
      if (hubs.has(self.id)) continue;
      expect(Topology.selectPeers(self, fleet)).toEqual(hubs);
    }
  });

  it("needs connections in proportion to the members, also at 620 instances", () => {
    for (const count of [195, 620]) {
      const perMember = countConnections(createFleet(count)) / count;
      expect(perMember).toBeLessThan(Topology.HUBS_PER_DOMAIN + 1);
    }
  });

  it("selects the largest members as hubs, in any order of members", () => {
    const domain = getDomain(createFleet(195), "d4");
    const hubs = Topology.selectHubs(domain);
    const large = domain.filter(({ capacity }) => capacity > 1);
    expect([...hubs].every((id) => large.some((member) => member.id === id)))
      .toBe(true);
    expect(Topology.selectHubs(domain.toReversed())).toEqual(hubs);
  });

  // Guards against a domain that is cut off from the fleet because its hubs ended.
  it("supplements lost hubs by the next in rank, which then connect to the other domains", () => {
    const fleet = createFleet(195);
    const lost = Topology.selectHubs(getDomain(fleet, "d0"));
    const after = fleet.map((member) => ({
      ...member,
      isUsable: !lost.has(member.id),
    }));
    const hubs = Topology.selectHubs(getDomain(after, "d0"));
    const newHubs = [...hubs].filter((id) => !lost.has(id));
    expect(newHubs).toHaveLength(Topology.HUBS_PER_DOMAIN);
    for (const id of newHubs) {
      const self = after.find((member) => member.id === id)!;
      const peers = Topology.selectPeers(self, after);
      const domains = new Set(
        after.filter((member) => peers.has(member.id))
          .map(({ domain }) => domain),
      );
      expect(domains.size).toBe(9);
    }
  });

  it("is a full mesh up to 24 members", () => {
    const fleet = createFleet(24);
    expect(Topology.selectPeers(fleet[0]!, fleet).size).toBe(23);
  });
});

describe("domain view of an instance that is connected to hubs only", () => {
  function create() {
    const clock = ManualTime.createTime();
    const view = DomainView.createDomainView({
      self: "a0",
      domain: "a",
      clock,
    });
    return { clock, view };
  }
  const getIds = (members: readonly { readonly id: string }[]) =>
    members.map(({ id }) => id).sort();

  // Guards against a directory that names instances that were killed.
  it("forgets an instance with the first report that does not list it", async () => {
    const { clock, view } = create();
    const report = {
      live: { a0: ":1", a1: ":1", a2: ":2" },
      stranded: [],
      unresponsive: [],
    };
    view.recordReport("hub", report);
    expect(getIds(view.getLive())).toEqual(["a1", "a2"]);
    await clock.advance(1_000);
    view.recordReport("hub", {
      live: { a1: ":1" },
      stranded: [],
      unresponsive: [],
    });
    expect(getIds(view.getLive())).toEqual(["a1"]);
    expect(getIds(view.getMembers())).toEqual(["a1"]);
  });

  // Guards against limits that are spent twice while an instance is behind a partition,
  // or while a hub is silent.
  it("counts unresponsive instances, and those of a silent hub for 15 s, but lists them no longer", async () => {
    const { clock, view } = create();
    view.recordReport("hub", {
      live: { a1: ":1" },
      stranded: [],
      unresponsive: ["a2"],
    });
    expect(getIds(view.getLive())).toEqual(["a1"]);
    expect(getIds(view.getMembers())).toEqual(["a1", "a2"]);
    await clock.advance(4_000);
    expect(view.getLive()).toEqual([]);
    expect(getIds(view.getMembers())).toEqual(["a1", "a2"]);
    await clock.advance(MemberList.MEMBER_EXPIRY_MS);
    expect(view.getMembers()).toEqual([]);
  });

  // Guards against a report that is dropped for its links, which older builds don't send.
  it("reads links, and ignores malformed ones", () => {
    const { view } = create();
    const live = { a1: ":1", a2: ":2", a3: ":3" };
    const base = { live, stranded: [], unresponsive: [] };
    const links = { a1: 40, a2: -1, a3: "7" };
    view.recordReport("hub", DomainView.tryReadReport({ ...base, links })!);
    expect(view.getLive().map(({ linkMbps }) => linkMbps))
      .toEqual([40, undefined, undefined]);
    for (const raw of [undefined, 7, "x", [], null]) {
      const report = DomainView.tryReadReport({ ...base, links: raw });
      expect(report?.live).toEqual(live);
    }
  });

  it("ignores malformed reports", () => {
    for (
      const raw of [undefined, [], {
        live: { a: 1 },
        stranded: [],
        unresponsive: [],
      }]
    ) {
      expect(DomainView.tryReadReport(raw)).toBeUndefined();
    }
  });
});

describe("member counts that hubs relay", () => {
  function create() {
    const clock = ManualTime.createTime();
    const memberList = MemberList.createMemberList({
      self: "a0",
      domain: "a",
      domains: ["a", "b"],
      getObservedMembers: () => [],
      clock,
    });
    return { clock, memberList };
  }

  // Guards against shares of a limit that grow because an instance without
  // connections to other domains believes that they are gone.
  it("keep the other domains counted, and are not relayed again", async () => {
    const { clock, memberList } = create();
    await clock.advance(20_000);
    memberList.recordRelayedCount("b", 15, 400);
    expect(memberList.getCount()).toBe(16);
    expect(memberList.getReportedCounts()).toEqual([]);
    memberList.recordCount("b", 14);
    memberList.recordRelayedCount("b", 15, 400);
    expect(memberList.getCount()).toBe(15);
    expect(memberList.getReportedCounts()).toEqual([
      { domain: "b", count: 14, ageMs: 0 },
    ]);
  });

  it("expire with the age of the original report", async () => {
    const { clock, memberList } = create();
    memberList.recordRelayedCount("b", 15, 14_000);
    await clock.advance(2_000);
    expect(memberList.getDomains()).toEqual(["a"]);
  });
});
