/** Peer nets and links of a test file, stopped after each test. */
import { expect, vi } from "vitest";
import * as Helpers from "../../testing/fakes/peer_net.ts";
import * as Cleanups from "./cleanups.ts";

/** Bounds of a wait for the peers to agree. */
export const WAIT = { timeout: 15_000, interval: 20 };

/** Starts peer nets and links for the tests of a file. */
export function createPeerRig() {
  const addCleanup = Cleanups.createCleanups();
  return {
    addCleanup,
    async start(...args: Parameters<typeof Helpers.startNet>) {
      const started = await Helpers.startNet(...args);
      addCleanup(started.stop);
      return started;
    },
    async startLink(target: string) {
      const link = await Helpers.startLink(target);
      addCleanup(link.close);
      return link;
    },
  };
}

/** Waits until `one` reaches the member `id`. */
export function waitReachable(one: Helpers.TestNet, id: string) {
  return vi.waitFor(
    () => expect(one.net.getReachability(id)).toBe("reachable"),
    WAIT,
  );
}
