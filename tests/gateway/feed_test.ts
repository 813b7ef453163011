import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
import type * as Contracts from "../../src/gateway/contracts.ts";
import * as Feed from "../../src/gateway/feed.ts";
import * as Items from "../../src/gateway/items.ts";
import * as State from "../../src/gateway/state.ts";
import * as Log from "../../src/log.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import * as Supervisor from "../../src/supervisor.ts";
import * as Wait from "../../testing/harness/wait.ts";

describe("feed of a store reader", () => {
  const log = Log.createLogger("error", {}, () => {});
  const clock = Clock.systemClock;
  let supervisor: Supervisor.Supervisor | undefined;
  afterEach(() => supervisor?.stop());

  // Guards against two instances of a domain that alternate as its reader forever while
  // the store rejects both. It happens when a replaced reader discards its failure.
  it("reports failure for some seconds after the reader was replaced", async () => {
    supervisor = Supervisor.createSupervisor("feed", log);
    let isReader = true;
    const rejectCall = () =>
      Promise.resolve(ResultCodes.fail("storeError", "429"));
    const feed = Feed.createFeed({
      prefixes: ["a/"],
      store: {
        readAll: rejectCall,
        watch: rejectCall,
      } as unknown as Contracts.MetadataStore,
      decode: () => undefined,
      items: Items.createItems(clock, ["a/"]),
      state: State.createState({ clock, log, regionOfDomain: new Map() }),
      restoreGuard: {
        apply: () => {},
        getHeldCount: () => 0,
        getSuperseding: () => [],
        adopt: () => {},
      },
      isReader: () => isReader,
      onChanges: () => {},
      onRestore: () => {},
      entryRecoveryMs: 2_000,
      supervisor,
      clock,
      log,
    });
    feed.start();
    expect(feed.isFailing()).toBe(false);
    await Wait.waitFor(
      () => feed.isFailing(),
      2_000,
      "the feed to fail",
    );
    isReader = false;
    await Clock.sleep(1_000);
    expect(feed.isFailing()).toBe(true);
  });
});
