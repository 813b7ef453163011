import { describe, expect, it } from "vitest";
import * as RestoreGuard from "../../src/gateway/restore_guard.ts";
import * as State from "../../src/gateway/state.ts";
import type * as GatewayTypes from "../../src/gateway/types.ts";
import * as Log from "../../src/log.ts";
import * as GatewayData from "../../testing/fakes/gateway_data.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("guard of the state after a restore of the store", () => {
  const TARGET_HOLD_MS = 6_500;
  const OPERATOR_HOLD_MS = 60_000;
  const { createConfig, createEntry } = GatewayData;

  function create() {
    const clock = ManualTime.createTime();
    const log = Log.createLogger("error", {}, () => {});
    const state = State.createState({
      clock,
      log,
      regionOfDomain: new Map([["north-a", "north"]]),
    });
    let restoredAtMs: number | undefined;
    const guard = RestoreGuard.createRestoreGuard({
      state,
      getRestoreAgeMs: () =>
        restoredAtMs === undefined ? undefined : clock.nowMs() - restoredAtMs,
      targetHoldMs: TARGET_HOLD_MS,
      clock,
      sleep: clock.sleep,
      log,
    });
    const apply = (
      change: GatewayTypes.StateChange,
      isRestored: boolean,
      previous?: GatewayTypes.StoreItem,
    ) => guard.apply([{ key: getKey(change), change, isRestored, previous }]);
    return {
      clock,
      state,
      guard,
      write: (change: GatewayTypes.StateChange) => apply(change, false),
      restore: () => void (restoredAtMs = clock.nowMs()),
      readCopy: (
        change: GatewayTypes.StateChange,
        previous?: GatewayTypes.StoreItem,
      ) => apply(change, true, previous),
      getVersion: () => state.getConfig()?.version,
      getTargets: () =>
        state.getUsableTargets("orders").map(({ entry }) => entry.id),
    };
  }

  function getKey(change: GatewayTypes.StateChange): string {
    switch (change.kind) {
      case "target":
        return change.entry.id;
      case "target-gone":
        return change.id;
      case "evacuation":
        return change.domain;
      default:
        return change.kind;
    }
  }
  const config = (version: number) =>
    ({ kind: "config", config: createConfig(version) }) as const;
  const target = (overrides: Partial<GatewayTypes.TargetEntry> = {}) =>
    ({ kind: "target", entry: createEntry("i-1", overrides) }) as const;
  const gone = { kind: "target-gone", id: "i-1" } as const;
  const evacuation = (isActive: boolean) =>
    ({ kind: "evacuation", domain: "north-a", isActive }) as const;

  // Guards against a configuration that reverts, and against one that instances keep for
  // ever although the operators have given it up.
  it("keeps a configuration that the copy lacks until the hold ends", async () => {
    const { clock, getVersion, readCopy, restore, write } = create();
    write(config(16));
    restore();
    readCopy(config(13));
    await clock.advance(OPERATOR_HOLD_MS - 1_000);
    expect(getVersion()).toBe(16);
    await clock.advance(2_000);
    expect(getVersion()).toBe(13);
    write(config(12));
    expect(getVersion()).toBe(13);
  });

  // Guards against an instance that was cut off and keeps for ever what the others gave up.
  it("takes what the copy holds at once if the hold has passed", async () => {
    const { clock, getVersion, readCopy, restore, write } = create();
    write(config(16));
    restore();
    await clock.advance(OPERATOR_HOLD_MS + 1_000);
    readCopy(config(13));
    expect(getVersion()).toBe(13);
  });

  // Guards against operators' tools that write their versions again in series.
  it("takes a version that is written again with a higher number at once, a lower one not", async () => {
    const { clock, getVersion, readCopy, restore, write } = create();
    write(config(16));
    restore();
    readCopy(config(13));
    write(config(15));
    expect(getVersion()).toBe(16);
    write(config(17));
    expect(getVersion()).toBe(17);
    await clock.advance(OPERATOR_HOLD_MS + 1_000);
    expect(getVersion()).toBe(17);
  });

  it("takes what is ahead of the state in force at once", () => {
    const { getTargets, getVersion, readCopy, restore, state, write } =
      create();
    write(config(13));
    write(target());
    restore();
    readCopy(config(16));
    readCopy(target({ isLeaving: true }));
    readCopy(evacuation(true));
    expect(getVersion()).toBe(16);
    expect(getTargets()).toEqual([]);
    expect(state.isEvacuated("north-a")).toBe(true);
  });

  it("keeps a target out of use that leaves, and uses its next process at once", () => {
    const { getTargets, readCopy, restore, write } = create();
    write(target({ isLeaving: true }));
    restore();
    readCopy(target());
    expect(getTargets()).toEqual([]);
    readCopy(target({ startedAtMs: 2 }));
    expect(getTargets()).toEqual(["i-1"]);
  });

  // Guards against a removed target that is used again, and against one that is lost
  // although it lives.
  it("holds the return of a removed target and the removal of a known one until targets have written again", async () => {
    const removed = create();
    removed.write(target());
    removed.write(gone);
    removed.restore();
    removed.readCopy(target(), { key: "i-1", value: undefined, revision: 1 });
    expect(removed.getTargets()).toEqual([]);
    await removed.clock.advance(TARGET_HOLD_MS + 100);
    expect(removed.getTargets()).toEqual(["i-1"]);

    const known = create();
    known.write(target());
    known.restore();
    known.readCopy(gone);
    expect(known.getTargets()).toEqual(["i-1"]);
    expect(known.guard.getHeldCount()).toBe(1);
    await known.clock.advance(TARGET_HOLD_MS + 100);
    expect(known.getTargets()).toEqual([]);
  });

  it("takes what is written after the restore at once", () => {
    const { guard, getTargets, readCopy, restore, state, write } = create();
    write(target());
    write(evacuation(true));
    restore();
    readCopy(evacuation(false));
    readCopy(gone);
    expect(state.isEvacuated("north-a")).toBe(true);
    write(evacuation(false));
    expect(state.isEvacuated("north-a")).toBe(false);
    write(gone);
    expect(getTargets()).toEqual([]);
    expect(guard.getHeldCount()).toBe(0);
  });
});
