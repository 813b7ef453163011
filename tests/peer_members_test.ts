import { describe, expect, it } from "vitest";
import type * as Connection from "../src/peer/connection.ts";
import * as Listing from "../src/peer/listing.ts";
import * as Members from "../src/peer/members.ts";
import * as Release from "../src/peer/release.ts";
import type * as Types from "../src/types.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as ScriptedPeer from "../testing/fakes/scripted_peer.ts";

describe("connection release", () => {
  it("announces and closes only old idle connections that nothing needs", () => {
    const events: string[] = [];
    const create = (
      id: string,
      fields: Partial<Connection.Connection> = {},
    ) => ({
      remote: { ...ScriptedPeer.IDENTITY, id },
      isInitiator: true,
      openedAtMs: 0,
      isIdle: () => true,
      notify: (method: string) => void events.push(`${id} ${method}`),
      close: (reason: string) =>
        void events.push(`${id} ${Release.isRelease(reason)}`),
      ...fields,
    } as Connection.Connection);
    const connections = [
      create("unneeded"),
      create("needed"),
      create("busy", { isIdle: () => false }),
      create("young", { openedAtMs: 99_000 }),
      create("accepted", { isInitiator: false }),
    ];
    const clock = { nowMs: () => 100_000, wallMs: () => 0 };
    Release.closeUnneeded(connections, (id) => id === "needed", clock);
    expect(events).toEqual(["unneeded connection.release", "unneeded true"]);
    expect(Release.isRelease("closed by the other side")).toBe(false);
  });
});

describe("member table", () => {
  function createMemberTable(isInMesh: boolean) {
    const state = { nowMs: 10_000, failedAtMs: -Infinity };
    const clock = { nowMs: () => state.nowMs, wallMs: () => 0 };
    const members = Members.createMembers(
      "a",
      (_, sentAtMs) => !isInMesh && sentAtMs > state.failedAtMs,
      clock,
    );
    return { state, members };
  }
  const createListedMember = (heartbeat: Types.Heartbeat, ageMs = 100) => ({
    heartbeat,
    ageMs,
    isReachable: ageMs < 3_000,
  });

  it("receives the complete list once, then only changes and ages", () => {
    const listing = Listing.createListing();
    const self = Helpers.createHeartbeat("b", "d");
    const c = Helpers.createHeartbeat("c", "d");
    const requestChanges = (
      version: number,
      listedMembers: readonly Types.Member[],
    ) => {
      const response = listing.respond({ version }, self, listedMembers);
      return Listing.tryReadChanges(JSON.parse(JSON.stringify(response)))!;
    };
    const first = requestChanges(0, [createListedMember(c)]);
    expect(first.members.map((member) => member.heartbeat.id)).toEqual([
      "b",
      "c",
    ]);
    const unchanged = requestChanges(first.version, [
      createListedMember({ ...c, load: 0.9 }, 200),
    ]);
    expect(unchanged).toMatchObject({ members: [], ages: { b: 0, c: 200 } });
    const unreachable = requestChanges(unchanged.version, [
      createListedMember(c, 5_000),
    ]);
    expect(unreachable.members.map((member) => member.isReachable)).toEqual([
      false,
    ]);
    expect(listing.respond({}, self, [createListedMember(c)])).toHaveLength(2);

    const { state, members } = createMemberTable(false);
    members.applyChanges(first, 9_000);
    expect(members.tryGet("c")).toMatchObject({
      ageMs: 1_100,
      isReachable: true,
    });
    state.nowMs += 10_000;
    members.applyChanges(unchanged, 19_000);
    expect(members.tryGet("c")).toMatchObject({
      ageMs: 1_200,
      isReachable: true,
    });
    expect(members.tryGet("c")?.heartbeat.relayedStoreSeenMsAgo).toBe(9_900);
  });

  it("does not treat a mesh member as reachable on evidence from other peers", () => {
    const { members } = createMemberTable(true);
    const ages = { c: 0 };
    const listed = createListedMember(Helpers.createHeartbeat("c", "d"));
    members.applyChanges({ version: 1, members: [listed], ages: {} }, 9_900);
    members.applyChanges({ version: 2, members: [], ages }, 9_950);
    expect(members.tryGet("c")?.isReachable).toBe(false);
  });

  it("accepts evidence from other peers only if it is newer than its own failure to reach the member", () => {
    const { state, members } = createMemberTable(false);
    const heartbeat = Helpers.createHeartbeat("c", "d");
    members.recordHeartbeat({ heartbeat, sentAtMs: 10_000 });
    state.nowMs = 20_000;
    expect(members.tryGet("c")?.isReachable).toBe(true);
    state.failedAtMs = 15_000;
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.applyChanges(
      { version: 1, members: [], ages: { c: 9_000 } },
      20_000,
    );
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.applyChanges({ version: 2, members: [], ages: { c: 100 } }, 20_000);
    expect(members.tryGet("c")?.isReachable).toBe(true);
  });

  it("prefers a direct heartbeat over a relayed one, and removes members whose process has ended", () => {
    const { state, members } = createMemberTable(false);
    const heartbeat = Helpers.createHeartbeat("c", "d");
    members.recordHeartbeat({ heartbeat, sentAtMs: 9_000 });
    const oldIncarnation = createListedMember({
      ...heartbeat,
      incarnation: "c-run0",
    }, 0);
    members.applyChanges(
      { version: 1, members: [oldIncarnation], ages: {} },
      9_990,
    );
    expect(members.tryGet("c")?.heartbeat.incarnation).toBe("c-run1");
    state.nowMs += 600_000;
    members.removeExpired(() => false);
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.removeExpired(() => true);
    expect(members.tryGet("c")).toBeUndefined();
  });
});
