import { describe, expect, it, vi } from "vitest";
import * as Log from "../src/log.ts";
import * as Discards from "../src/peer/discards.ts";
import * as ManualTime from "../testing/fakes/manual_time.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("discarded peer messages", () => {
  // Guards against reports that every receiver throws away while no log line or counter shows it.
  it("counts notifications and calls that a handler rejects, and unknown methods", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    a.net.handle("report", () => {
      throw new TypeError("malformed report");
    });
    a.net.handle("late", () => Promise.reject(new TypeError("malformed")));
    await Rig.waitReachable(b, "a");
    b.net.notifyAll("report", {});
    b.net.notifyAll("late", {});
    b.net.notifyAll("from-a-later-build", {});
    expect((await b.net.call("a", "report", {}, 2_000)).isErr()).toBe(true);
    await vi.waitFor(
      () => expect(a.net.getDiscardedCount()).toBe(4),
      Rig.WAIT,
    );
    expect(b.net.getDiscardedCount()).toBe(0);
  });

  it("counts a notification that is too long to send", async () => {
    const a = await rig.start("a", []);
    a.net.notifyAll("report", "x".repeat(3_000_000));
    expect(a.net.getDiscardedCount()).toBe(1);
  });

  it("logs one line per method and 10 s, with the number of suppressed ones", async () => {
    const clock = ManualTime.createTime();
    const lines: string[] = [];
    const log = Log.createLogger("info", {}, (line) => void lines.push(line));
    const discards = Discards.createDiscards({ clock, log });
    const record = (method: string) =>
      discards.record({ method, peer: "p", reason: "malformed" });
    for (let i = 0; i < 5; i++) record("report");
    record("items");
    expect(lines).toHaveLength(2);
    await clock.advance(10_000);
    record("report");
    expect(lines.at(-1)).toContain("peer=p detail=malformed suppressed=4");
    for (let i = 0; i < 500; i++) record(`method ${i}`);
    expect(lines.length, "names of methods are bounded").toBeLessThan(70);
    expect(discards.getCount()).toBe(507);
  });
});
