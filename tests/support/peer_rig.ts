/** Peer networks and proxies of a test file, stopped after each test. */
import { expect, vi } from "vitest";
import * as Helpers from "../../testing/fakes/peer_net.ts";
import * as Cleanups from "./cleanups.ts";

/** Timeout and polling interval in ms for the peers to reach an expected state. */
export const WAIT = { timeout: 15_000, interval: 20 };

/** Creates functions that start peer networks and proxies, and stop them after each test. */
export function createPeerRig() {
  const addCleanup = Cleanups.createCleanups();
  return {
    addCleanup,
    async start(...args: Parameters<typeof Helpers.startNet>) {
      const testNet = await Helpers.startNet(...args);
      addCleanup(testNet.stop);
      return testNet;
    },
    async startProxy(target: string) {
      const proxy = await Helpers.startProxy(target);
      addCleanup(proxy.close);
      return proxy;
    },
  };
}

/** Waits until the member `id` is reachable from `testNet`. */
export function waitReachable(testNet: Helpers.TestNet, id: string) {
  return vi.waitFor(
    () => expect(testNet.net.getReachability(id)).toBe("reachable"),
    WAIT,
  );
}
