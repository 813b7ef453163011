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

describe("an instance that follows the store", () => {
  const log = Log.createLogger("error", {}, () => {});
  const clock = Clock.systemClock;
  let supervisor: Supervisor.Supervisor | undefined;
  afterEach(() => supervisor?.stop());

  // Guards against two instances of a domain, both turned away by the store, that
  // take turns as its reader for ever: each forgot its failure when it was replaced.
  it("counts as failing for some seconds after it was replaced", async () => {
    supervisor = Supervisor.createSupervisor("feed", log);
    let isReader = true;
    const refused = () =>
      Promise.resolve(ResultCodes.fail("storeError", "429"));
    const feed = Feed.createFeed({
      prefixes: ["a/"],
      store: {
        readAll: refused,
        watch: refused,
      } as unknown as Contracts.MetadataStore,
      decode: () => undefined,
      items: Items.createItems(clock, ["a/"]),
      state: State.createState({ clock, log, regionOfDomain: new Map() }),
      isReader: () => isReader,
      onChanges: () => {},
      entryReturnMs: 2_000,
      supervisor,
      clock,
      log,
    });
    feed.start();
    expect(feed.isFailing()).toBe(false);
    await Wait.waitFor(() => feed.isFailing(), 2_000, "it counts as failing");
    isReader = false;
    await Clock.sleep(1_000);
    expect(feed.isFailing()).toBe(true);
  });
});
