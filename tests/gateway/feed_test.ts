import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
import type * as Contracts from "../../src/gateway/contracts.ts";
import * as Feed from "../../src/gateway/feed.ts";
import * as Items from "../../src/gateway/items.ts";
import * as RelayedObservation from "../../src/gateway/relayed_observation.ts";
import * as State from "../../src/gateway/state.ts";
import * as Log from "../../src/log.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import * as Supervisor from "../../src/supervisor.ts";
import * as Wait from "../../testing/harness/wait.ts";

const log = Log.createLogger("error", {}, () => {});

/** Creates the feed of an instance whose store rejects all calls. */
function createFeed(
  clock: Clock.Clock,
  supervisor: Supervisor.Supervisor,
  isReader: () => boolean,
): Feed.Feed {
  const rejectCall = () =>
    Promise.resolve(ResultCodes.fail("storeError", "429"));
  return Feed.createFeed({
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
    isReader,
    onChanges: () => {},
    contact: {
      check: () => Promise.resolve(),
      getDelayMs: () => 500,
      recordResponse: () => {},
    },
    onRestore: () => {},
    entryRecoveryMs: 2_000,
    supervisor,
    clock,
    log,
  });
}

describe("feed of a store reader", () => {
  const clock = Clock.systemClock;
  let supervisor: Supervisor.Supervisor | undefined;
  afterEach(() => supervisor?.stop());

  // Guards against two instances of a domain that alternate as its reader forever while
  // the store rejects both. It happens when a replaced reader discards its failure.
  it("reports failure for some seconds after the reader was replaced", async () => {
    supervisor = Supervisor.createSupervisor("feed", log);
    let isReader = true;
    const feed = createFeed(clock, supervisor, () => isReader);
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

describe("the age of the store that instances relay to each other", () => {
  // Guards against an age that gets younger with each relay, so that the fleet takes a
  // store for reachable that responds to nobody.
  it("grows while the store responds to nobody, 24 instances, 250 ms, 55 ms under way", () => {
    const delayMs = 55;
    const clock = { ...Clock.systemClock, now: 0, nowMs: () => clock.now };
    const supervisor = Supervisor.createSupervisor("feeds", log);
    const feeds = Array.from(
      { length: 24 },
      () => createFeed(clock, supervisor, () => false),
    );
    let inbox: { readonly atMs: number; readonly deliver: () => void }[] = [];
    feeds[0]!.recordStoreAge(0, 1);
    for (; clock.now < 20_000; clock.now++) {
      const due = inbox.filter(({ atMs }) => atMs <= clock.now);
      if (due.length > 0) inbox = inbox.filter(({ atMs }) => atMs > clock.now);
      for (const { deliver } of due) deliver();
      for (const [i, feed] of feeds.entries()) {
        // The phases of the instances are spread over the interval.
        if (clock.now % 250 !== (i * 97) % 250) continue;
        const { ageMs, relays } = feed.getReportedStoreAge();
        const reported = Math.min(Math.ceil(ageMs), 1e9);
        inbox.push({
          atMs: clock.now + delayMs,
          deliver: () =>
            feeds.forEach((peer) =>
              peer === feed || peer.recordStoreAge(
                reported,
                RelayedObservation.readRelays(relays),
              )
            ),
        });
      }
    }
    const ages = feeds.map((feed) => feed.getStoreAgeMs());
    expect(Math.min(...ages)).toBeGreaterThan(
      20_000 - (RelayedObservation.MAX_RELAYS + 1) * delayMs,
    );
  });
});
