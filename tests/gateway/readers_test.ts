import { describe, expect, it } from "vitest";
import * as Readers from "../../src/gateway/readers.ts";
import * as MemberList from "../../src/gateway/member_list.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const createDomain = (
  count: number,
  failing: readonly string[] = [],
  large: readonly string[] = [],
) =>
  Array.from({ length: count }, (_, index) => ({
    id: `i${index}`,
    isStoreFailing: failing.includes(`i${index}`),
    capacity: large.includes(`i${index}`) ? 1.35 : 0.27,
  }));

describe("the instances of a domain that follow the store", () => {
  // Load pattern: 87 instances, and a store that counts each call.
  it("are few, however large the domain is, and the same for all", () => {
    expect(Readers.chooseReaders(createDomain(3), true)).toHaveLength(2);
    const readers = Readers.chooseReaders(createDomain(36), true);
    expect(readers).toHaveLength(1);
    const reversed = createDomain(36).toReversed();
    expect(Readers.chooseReaders(reversed, true)).toEqual(readers);
    expect(Readers.chooseReaders(createDomain(1), true)).toEqual(["i0"]);
  });

  // Guards against a change that takes seconds to reach the domain: a configuration
  // of 20 KB for 17 neighbours over a link of 7 Mbit/s.
  it("are large machines, as each change goes from them to all others", () => {
    for (const large of ["i3", "i7"]) {
      const domain = createDomain(10, [], [large]);
      expect(Readers.chooseReaders(domain, true)).toEqual([large]);
    }
    const failing = createDomain(10, ["i3"], ["i3", "i7"]);
    expect(Readers.chooseReaders(failing, true)[0]).toBe("i7");
  });

  // Guards against a domain that hears nothing because the store turns its readers away.
  it("are replaced when the store serves others, and go on trying", () => {
    const [first] = Readers.chooseReaders(createDomain(10), true);
    const next = Readers.chooseReaders(createDomain(10, [first!]), true);
    expect(next).toHaveLength(2);
    expect(next).toContain(first);
  });

  // Guards against a store that is met by the whole fleet when it returns.
  it("stay the same in an outage", () => {
    const all = createDomain(10).map(({ id }) => id);
    const before = Readers.chooseReaders(createDomain(10), true);
    expect(Readers.chooseReaders(createDomain(10, all), false)).toEqual(before);
  });
});

describe("the number of instances that share limits", () => {
  function create() {
    const clock = ManualTime.createTime();
    const heard: MemberList.ObservedMember[] = [];
    const roster = MemberList.createMemberList({
      self: "a0",
      domain: "a",
      domains: ["a", "b", "c"],
      getObservedMembers: () => heard,
      clock,
    });
    return { clock, heard, roster };
  }

  // Guards against limits that are spent several times over while a fleet forms.
  it("is at least one a domain", () => {
    expect(create().roster.getCount()).toBe(3);
  });

  // Guards against a large fleet in which everybody counts only those it is connected to.
  it("adds what members of other domains tell", () => {
    const { heard, roster } = create();
    heard.push({ id: "a1", domain: "a", ageMs: 100, isDeparted: false });
    roster.recordCount("b", 15);
    roster.recordCount("c", 36);
    roster.recordCount("nowhere", 9);
    expect(roster.getCount()).toBe(2 + 15 + 36);
    expect(roster.getDomainMembers()).toEqual(["a0", "a1"]);
  });

  // Guards against a partitioned part that spends a share that others have taken.
  it("counts the silent for 15 s, and those that ended not at all", async () => {
    const { clock, heard, roster } = create();
    heard.push({ id: "a1", domain: "a", ageMs: 14_000, isDeparted: false });
    heard.push({ id: "a2", domain: "a", ageMs: 16_000, isDeparted: false });
    heard.push({ id: "a3", domain: "a", ageMs: 0, isDeparted: true });
    roster.recordCount("b", 4);
    await clock.advance(14_000);
    expect(roster.getCount()).toBe(2 + 4 + 1);
    await clock.advance(2_000);
    expect(roster.getCount()).toBe(2);
    expect(roster.getDomains()).toEqual(["a"]);
  });
});
