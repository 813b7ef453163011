import { describe, expect, it } from "vitest";
import type * as Connection from "../src/peer/connection.ts";
import * as Listing from "../src/peer/listing.ts";
import * as Members from "../src/peer/members.ts";
import * as Release from "../src/peer/release.ts";
import type * as Types from "../src/types.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Stranger from "../testing/fakes/stranger.ts";

describe("release", () => {
  it("closes only old idle connections that nothing needs, and says so first", () => {
    const told: string[] = [];
    const create = (
      id: string,
      fields: Partial<Connection.Connection> = {},
    ) => ({
      remote: { ...Stranger.STRANGER, id },
      isInitiator: true,
      openedAtMs: 0,
      isIdle: () => true,
      notify: (method: string) => void told.push(`${id} ${method}`),
      close: (reason: string) =>
        void told.push(`${id} ${Release.isRelease(reason)}`),
      ...fields,
    } as Connection.Connection);
    const connections = [
      create("unneeded"),
      create("needed"),
      create("busy", { isIdle: () => false }),
      create("young", { openedAtMs: 99_000 }),
      create("theirs", { isInitiator: false }),
    ];
    const clock = { nowMs: () => 100_000, wallMs: () => 0 };
    Release.closeUnneeded(connections, (id) => id === "needed", clock);
    expect(told).toEqual(["unneeded connection.release", "unneeded true"]);
    expect(Release.isRelease("closed by the other side")).toBe(false);
  });
});

describe("membership", () => {
  function createCase(isMeshed: boolean) {
    const state = { nowMs: 10_000, failedAtMs: -Infinity };
    const clock = { nowMs: () => state.nowMs, wallMs: () => 0 };
    const members = Members.createMembers(
      "a",
      (_, sentAtMs) => !isMeshed && sentAtMs > state.failedAtMs,
      clock,
    );
    return { state, members };
  }
  const toMember = (heartbeat: Types.Heartbeat, ageMs = 100) => ({
    heartbeat,
    ageMs,
    isReachable: ageMs < 3_000,
  });

  it("is listed whole once, then only what changed, and refreshes ages", () => {
    const listing = Listing.createListing();
    const self = Helpers.createHeartbeat("b", "d");
    const c = Helpers.createHeartbeat("c", "d");
    const ask = (version: number, others: readonly Types.Member[]) => {
      const answer = listing.answer({ version }, self, others);
      return Listing.tryReadChanges(JSON.parse(JSON.stringify(answer)))!;
    };
    const first = ask(0, [toMember(c)]);
    expect(first.members.map((m) => m.heartbeat.id)).toEqual(["b", "c"]);
    const same = ask(first.version, [toMember({ ...c, load: 0.9 }, 200)]);
    expect(same).toMatchObject({ members: [], ages: { b: 0, c: 200 } });
    const gone = ask(same.version, [toMember(c, 5_000)]);
    expect(gone.members.map((m) => m.isReachable)).toEqual([false]);
    expect(listing.answer({}, self, [toMember(c)])).toHaveLength(2);

    const { state, members } = createCase(false);
    members.noteChanges(first, 9_000);
    expect(members.tryGet("c")).toMatchObject({
      ageMs: 1_100,
      isReachable: true,
    });
    state.nowMs += 10_000;
    members.noteChanges(same, 19_000);
    expect(members.tryGet("c")).toMatchObject({
      ageMs: 1_200,
      isReachable: true,
    });
    expect(members.tryGet("c")?.heartbeat.relayedStoreSeenMsAgo).toBe(9_900);
  });

  it("does not take a member of the own mesh for reachable because others reach it", () => {
    const { members } = createCase(true);
    const ages = { c: 0 };
    const listed = toMember(Helpers.createHeartbeat("c", "d"));
    members.noteChanges({ version: 1, members: [listed], ages: {} }, 9_900);
    members.noteChanges({ version: 2, members: [], ages }, 9_950);
    expect(members.tryGet("c")?.isReachable).toBe(false);
  });

  it("takes others' word only from after the own failure to reach a member", () => {
    const { state, members } = createCase(false);
    const heartbeat = Helpers.createHeartbeat("c", "d");
    members.noteHeartbeat({ heartbeat, sentAtMs: 10_000 });
    state.nowMs = 20_000;
    expect(members.tryGet("c")?.isReachable).toBe(true);
    state.failedAtMs = 15_000;
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.noteChanges(
      { version: 1, members: [], ages: { c: 9_000 } },
      20_000,
    );
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.noteChanges({ version: 2, members: [], ages: { c: 100 } }, 20_000);
    expect(members.tryGet("c")?.isReachable).toBe(true);
  });

  it("prefers what a member said itself, and forgets ended ones", () => {
    const { state, members } = createCase(false);
    const heartbeat = Helpers.createHeartbeat("c", "d");
    members.noteHeartbeat({ heartbeat: heartbeat, sentAtMs: 9_000 });
    const old = toMember({ ...heartbeat, incarnation: "c-run0" }, 0);
    members.noteChanges({ version: 1, members: [old], ages: {} }, 9_990);
    expect(members.tryGet("c")?.heartbeat.incarnation).toBe("c-run1");
    state.nowMs += 600_000;
    members.forget(() => false);
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.forget(() => true);
    expect(members.tryGet("c")).toBeUndefined();
  });
});
