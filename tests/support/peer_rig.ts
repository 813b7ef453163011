/** Starts peer networks and proxies for the tests of a file, and stops them after each test. */
import { expect, vi } from "vitest";
import * as PeerNet from "../../testing/fakes/peer_net.ts";
import * as Cleanups from "./cleanups.ts";

/** Timeout and polling interval in ms for the peers to reach an expected state. */
export const WAIT = { timeout: 15_000, interval: 20 };

/** Creates functions that start peer networks and proxies, and stop them after each test. */
export function createPeerRig() {
  const addCleanup = Cleanups.createCleanups();
  return {
    addCleanup,
    async start(...args: Parameters<typeof PeerNet.startNet>) {
      const testNet = await PeerNet.startNet(...args);
      addCleanup(testNet.stop);
      return testNet;
    },
    async startProxy(target: string) {
      const proxy = await PeerNet.startProxy(target);
      addCleanup(proxy.close);
      return proxy;
    },
  };
}

/** Waits until the member `id` is reachable from `testNet`. */
export function waitReachable(testNet: PeerNet.TestNet, id: string) {
  return vi.waitFor(
    () => expect(testNet.net.getReachability(id)).toBe("reachable"),
    WAIT,
  );
}
