import { Ok } from "ts-results-es";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import * as Directory from "../src/daemon/directory.ts";
import * as Log from "../src/log.ts";
import * as ResultCodes from "../src/result_codes.ts";
import type * as Supervisor from "../src/supervisor.ts";
import type * as Types from "../src/types.ts";
import * as PeerNet from "../testing/fakes/peer_net.ts";

function createTarget(
  id: string,
  fields: Partial<Types.PlatformInstance> = {},
): Types.PlatformInstance {
  return {
    id,
    service: "bookings",
    domain: "d1",
    region: "r1",
    address: "127.0.0.1:8080",
    slots: 4,
    state: "live",
    ...fields,
  };
}

const LIST = [createTarget("t1")];

/** Starts the directory of an instance whose platform fails, and whose only peer sends `state.response`. */
async function startDirectory(
  platformList: readonly Types.PlatformInstance[] | undefined,
  outage: "unreachable" | "unresponsive" = "unreachable",
) {
  const state = { nowMs: 1_000, response: {} as unknown };
  const appliedLists: (readonly Types.PlatformInstance[])[] = [];
  const lines: string[] = [];
  let isPlatformUp = platformList !== undefined;
  let unresponsiveReads = 0;
  let endPendingRead = () => {};
  let refresh: () => unknown = () => {};
  let handler: Contracts.RpcHandler = () => undefined;
  await Directory.startDirectory({
    domain: "d1",
    platform: {
      listInstances: () => {
        if (isPlatformUp) return Promise.resolve(Ok(platformList));
        const failure = ResultCodes.fail("storeUnreachable");
        if (outage === "unreachable") return Promise.resolve(failure);
        unresponsiveReads++;
        return new Promise((resolve) =>
          endPendingRead = () => resolve(failure)
        );
      },
    } as unknown as Contracts.PlatformClient,
    peers: {
      self: "a",
      getMembers: () => [PeerNet.createMember("b", "d1")],
      // Through JSON as between peers, where an infinite number becomes null.
      call: () =>
        Promise.resolve(Ok(JSON.parse(JSON.stringify(state.response)))),
      handle: (_method: string, fn: Contracts.RpcHandler) =>
        void (handler = fn),
    } as unknown as Contracts.PeerNet,
    targets: {
      setInstances: (list: readonly Types.PlatformInstance[]) =>
        void appliedLists.push(list),
    } as unknown as Contracts.Targets,
    supervisor: {
      every: (_name: string, _ms: number, fn: () => unknown) =>
        void (refresh = fn),
    } as unknown as Supervisor.Supervisor,
    clock: { nowMs: () => state.nowMs, wallMs: () => 0 },
    log: Log.createLogger("info", {}, (line) => void lines.push(line)),
  });
  isPlatformUp = false;
  return {
    state,
    appliedLists,
    lines,
    refresh: () => refresh(),
    endPendingRead: () => endPendingRead(),
    countUnresponsiveReads: () => unresponsiveReads,
    requestList: () => JSON.parse(JSON.stringify(handler({ digest: "" }, "b"))),
  };
}

describe("the target directory while the platform is down", () => {
  it("keeps its list if a peer without a list sends an empty one", async () => {
    const instance = await startDirectory(LIST);
    const responses = [
      { ageMs: null, digest: "", instances: [] },
      { digest: "", instances: [] },
      { ageMs: -1, digest: "", instances: [] },
      null,
    ];
    for (const response of responses) {
      instance.state.nowMs += 1_000;
      instance.state.response = response;
      await instance.refresh();
    }
    expect(instance.appliedLists).toEqual([LIST]);
    expect(instance.requestList()).toMatchObject({
      ageMs: 4_000,
      instances: LIST,
    });
  });

  it("reports no list before it has one, and accepts the list of a peer", async () => {
    const instance = await startDirectory(undefined);
    expect(instance.appliedLists).toEqual([]);
    expect(instance.requestList().ageMs).toBeUndefined();
    instance.state.response = { ageMs: 3_000, digest: "x", instances: LIST };
    await instance.refresh();
    expect(instance.appliedLists).toEqual([LIST]);
  });

  // A platform read without a response ends only after its timeout; lists of peers must not wait for it,
  // or a leaving target gets work for that much longer.
  it("applies lists of peers while a read of an unresponsive platform is pending", async () => {
    const instance = await startDirectory(LIST, "unresponsive");
    const pendingRefresh = instance.refresh();
    instance.endPendingRead();
    await pendingRefresh;
    const peerList = [createTarget("t2")];
    for (const ageMs of [300, 200, 100]) {
      instance.state.nowMs += 1_000;
      instance.state.response = {
        ageMs,
        digest: `${ageMs}`,
        instances: peerList,
      };
      await instance.refresh();
    }
    expect(instance.appliedLists.slice(1)).toEqual([
      peerList,
      peerList,
      peerList,
    ]);
    expect(
      instance.countUnresponsiveReads(),
      "only one platform read is pending at a time",
    ).toBe(2);
  });
});

describe("an odd registration in the list of targets", () => {
  const ODD = [
    createTarget("odd-slots", { slots: Number.MAX_SAFE_INTEGER }),
    createTarget("odd-port", { address: "127.0.0.1:99999" }),
    createTarget("odd-no-port", { address: "127.0.0.1:0" }),
    createTarget("odd-host", { address: "999.0.0.1:80" }),
    createTarget("odd\r\nid"),
  ];
  const SOUND = [createTarget("t1"), createTarget("t2")];
  const MIXED = [ODD[0]!, SOUND[0]!, ...ODD.slice(1), SOUND[1]!];

  // Guards against one registration that blocks the event loop, or hides the targets beside it.
  it("names no target, hides none, and is logged once", async () => {
    const instance = await startDirectory(MIXED);
    expect(instance.appliedLists).toEqual([SOUND]);
    for (const ageMs of [200, 100]) {
      instance.state.nowMs += 1_000;
      instance.state.response = { ageMs, digest: "x", instances: MIXED };
      await instance.refresh();
    }
    expect(instance.appliedLists).toEqual([SOUND, SOUND, SOUND]);
    const logged = instance.lines.filter((line) =>
      line.includes("event=registration-unreadable")
    );
    expect(logged).toHaveLength(ODD.length);
  });

  it("of a peer may be any value", async () => {
    const instance = await startDirectory(undefined);
    const deep = JSON.parse("[".repeat(500) + "]".repeat(500));
    const instances = [null, 7, deep, { ...SOUND[0], id: deep }, SOUND[0]];
    instance.state.response = { ageMs: 0, digest: "x", instances };
    await instance.refresh();
    expect(instance.appliedLists).toEqual([[SOUND[0]]]);
  });
});
