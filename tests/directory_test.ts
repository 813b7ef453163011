import { Ok } from "ts-results-es";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../src/contracts.ts";
import * as Directory from "../src/daemon/directory.ts";
import * as ResultCodes from "../src/result_codes.ts";
import type * as Supervisor from "../src/supervisor.ts";
import type * as Types from "../src/types.ts";
import * as PeerNet from "../testing/fakes/peer_net.ts";

const LIST = [{
  id: "t1",
  state: "live",
}] as unknown as readonly Types.PlatformInstance[];

/** Starts the directory of an instance whose platform fails, and whose only peer sends `state.response`. */
async function startDirectory(
  platformList: readonly Types.PlatformInstance[] | undefined,
  outage: "unreachable" | "unresponsive" = "unreachable",
) {
  const state = { nowMs: 1_000, response: {} as unknown };
  const appliedLists: (readonly Types.PlatformInstance[])[] = [];
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
  });
  isPlatformUp = false;
  return {
    state,
    appliedLists,
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
    const peerList = [{ id: "t2", state: "live" }];
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
