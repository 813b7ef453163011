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

/** An instance whose platform is down, or silent, and whose one peer answers as given. */
async function start(
  platformList: readonly Types.PlatformInstance[] | undefined,
  outage: "refuses" | "silent" = "refuses",
) {
  const state = { nowMs: 1_000, answer: {} as unknown };
  const taken: (readonly Types.PlatformInstance[])[] = [];
  let isPlatformUp = platformList !== undefined;
  let silentReads = 0;
  let endSilence = () => {};
  let refresh: () => unknown = () => {};
  let handler: Contracts.RpcHandler = () => undefined;
  await Directory.startDirectory({
    domain: "d1",
    platform: {
      listInstances: () => {
        if (isPlatformUp) return Promise.resolve(Ok(platformList));
        const failure = ResultCodes.fail("storeUnreachable");
        if (outage === "refuses") return Promise.resolve(failure);
        silentReads++;
        return new Promise((resolve) => endSilence = () => resolve(failure));
      },
    } as unknown as Contracts.PlatformClient,
    peers: {
      self: "a",
      getMembers: () => [PeerNet.createMember("b", "d1")],
      // As on the wire, where an infinite number becomes null.
      call: () => Promise.resolve(Ok(JSON.parse(JSON.stringify(state.answer)))),
      handle: (_method: string, fn: Contracts.RpcHandler) =>
        void (handler = fn),
    } as unknown as Contracts.PeerNet,
    targets: {
      setInstances: (list: readonly Types.PlatformInstance[]) =>
        void taken.push(list),
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
    taken,
    refresh: () => refresh(),
    endSilence: () => endSilence(),
    countSilentReads: () => silentReads,
    ask: () => JSON.parse(JSON.stringify(handler({ digest: "" }, "b"))),
  };
}

describe("the target directory while the platform is down", () => {
  it("guards against a peer without a list that empties the own one", async () => {
    const one = await start(LIST);
    const answers = [
      { ageMs: null, digest: "", instances: [] },
      { digest: "", instances: [] },
      { ageMs: -1, digest: "", instances: [] },
      null,
    ];
    for (const answer of answers) {
      one.state.nowMs += 1_000;
      one.state.answer = answer;
      await one.refresh();
    }
    expect(one.taken).toEqual([LIST]);
    expect(one.ask()).toMatchObject({ ageMs: 4_000, instances: LIST });
  });

  it("guards against an instance that offers a list before it has one, and misses its peer's", async () => {
    const one = await start(undefined);
    expect(one.taken).toEqual([]);
    expect(one.ask().ageMs).toBeUndefined();
    one.state.answer = { ageMs: 3_000, digest: "x", instances: LIST };
    await one.refresh();
    expect(one.taken).toEqual([LIST]);
  });

  // A read that gets no answer ends after its time-out only; a leaving target got work for that much longer.
  it("guards against a silent platform that holds up the lists of peers", async () => {
    const one = await start(LIST, "silent");
    const first = one.refresh();
    one.endSilence();
    await first;
    const news = [{ id: "t2", state: "live" }];
    for (const ageMs of [300, 200, 100]) {
      one.state.nowMs += 1_000;
      one.state.answer = { ageMs, digest: `${ageMs}`, instances: news };
      await one.refresh();
    }
    expect(one.taken.slice(1)).toEqual([news, news, news]);
    expect(one.countSilentReads(), "one read at a time").toBe(2);
  });
});
