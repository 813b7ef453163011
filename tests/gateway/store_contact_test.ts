import { describe, expect, it } from "vitest";
import * as StoreContact from "../../src/gateway/store_contact.ts";
import * as Log from "../../src/log.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const log = Log.createLogger("error", {}, () => {});
/** Time that is left for a substitute's read and its push to the others, ms. */
const READ_MS = 100;
const CALL_TIMEOUT_MS = 1_200;
const MESSAGE_DELAY_MS = 60;
const WATCH_INTERVAL_MS = 2_600;

/** A domain of instances, the first of which is selected as its reader. */
function createDomain(opts: {
  readonly count: number;
  readonly domainCount: number;
  readonly reportMs: number;
  /** Time within which a change in the store has to be in force, ms. */
  readonly inForceMs: number;
  /** True for a reader of a build that reports no contact. */
  readonly isOldReader?: boolean;
}) {
  const time = ManualTime.createTime();
  const ids = Array.from({ length: opts.count }, (_, i) => `i${i}`);
  const cutIds = new Set<string>();
  const calls = new Map<string, number>();
  const substitutedAtMs: number[] = [];
  let isFrozen = false;

  const contacts = ids.map((self) => {
    const contact = StoreContact.createStoreContact({
      self,
      getDomain: () => ({
        readers: ["i0"],
        ranked: ids,
        hasDependents: ids.length > 1,
      }),
      getDomainCount: () => opts.domainCount,
      getReportMs: () => opts.reportMs,
      changeInForceMs: opts.inForceMs,
      watchIntervalMs: WATCH_INTERVAL_MS,
      async askStore() {
        calls.set(self, (calls.get(self) ?? 0) + 1);
        if (!cutIds.has(self)) return true;
        await time.sleep(CALL_TIMEOUT_MS);
        return false;
      },
      isFailing: () => false,
      onSubstitute() {
        substitutedAtMs.push(time.nowMs());
        report(ids.indexOf(self));
      },
      clock: time,
      log,
    });
    return { self, contact };
  });

  async function runChecks(contact: StoreContact.StoreContact) {
    for (;;) {
      await contact.check();
      await time.sleep(contact.getDelayMs());
    }
  }

  /** Sends a status message of an instance to the others. */
  function report(index: number): void {
    const { contact, self } = contacts[index]!;
    const ageMs = contact.tryGetReportedAgeMs();
    const isOmitted = index === 0 && (isFrozen || opts.isOldReader === true);
    if (ageMs === undefined || isOmitted) return;
    void time.sleep(MESSAGE_DELAY_MS).then(() =>
      contacts.forEach((peer) =>
        peer.self === self || peer.contact.recordPeerAge(self, ageMs)
      )
    );
  }

  async function runReports(index: number) {
    await time.sleep(opts.reportMs * index / opts.count);
    for (;; await time.sleep(opts.reportMs)) report(index);
  }

  /** The reader's watches end at even intervals while the store serves it. */
  async function runWatches() {
    for (;; await time.sleep(WATCH_INTERVAL_MS)) {
      if (!cutIds.has("i0")) contacts[0]!.contact.recordResponse();
    }
  }

  contacts.forEach(({ contact }, index) => {
    void runChecks(contact);
    void runReports(index);
  });
  void runWatches();
  return {
    time,
    cutIds,
    substitutedAtMs,
    getCalls: (id: string) => calls.get(id) ?? 0,
    getCallCount: () => [...calls.values()].reduce((a, b) => a + b, 0),
    /** Freezes the reader: neither its calls nor its messages arrive. */
    freezeReader() {
      cutIds.add("i0");
      isFrozen = true;
    },
  };
}

const FLEETS = [
  {
    count: 4,
    domainCount: 1,
    reportMs: 250,
    inForceMs: 2_500,
    maxCallsPerS: 0.4,
  },
  {
    count: 24,
    domainCount: 2,
    reportMs: 250,
    inForceMs: 2_500,
    maxCallsPerS: 0.4,
  },
  {
    count: 33,
    domainCount: 1,
    reportMs: 1_000,
    inForceMs: 2_500,
    maxCallsPerS: 0.8,
  },
  {
    count: 33,
    domainCount: 6,
    reportMs: 1_000,
    inForceMs: 4_000,
    maxCallsPerS: 0,
  },
] as const;

describe.each(FLEETS)(
  "contact with the store in a domain of $count instances of $domainCount domains that report each $reportMs ms, with a bound of $inForceMs ms",
  (fleet) => {
    // Guards against changes that nobody in a domain learns of while its reader waits for a silent store.
    it.each([0, 300, 700, 1_100, 1_900, 2_500])(
      "is taken over in time when the reader is cut off at %i ms of its watches, or hangs",
      async (phaseMs) => {
        for (const how of ["cut", "frozen"] as const) {
          const domain = createDomain(fleet);
          await domain.time.advance(20_000 + phaseMs);
          expect(domain.substitutedAtMs).toEqual([]);
          if (how === "cut") domain.cutIds.add("i0");
          else domain.freezeReader();
          const cutAtMs = domain.time.nowMs();
          await domain.time.advance(fleet.inForceMs);
          expect(domain.substitutedAtMs.length).toBeGreaterThan(0);
          expect(domain.substitutedAtMs.length).toBeLessThanOrEqual(2);
          const tookMs = domain.substitutedAtMs[0]! - cutAtMs;
          expect(tookMs).toBeLessThan(fleet.inForceMs - READ_MS);
        }
      },
    );

    it("costs no call of the other instances while the store responds to the reader", async () => {
      const domain = createDomain(fleet);
      await domain.time.advance(60_000);
      expect(domain.getCallCount()).toBe(domain.getCalls("i0"));
      expect(domain.getCalls("i0")).toBeLessThanOrEqual(
        2 + fleet.maxCallsPerS * 60,
      );
    });
  },
);

describe("contact with the store", () => {
  const small = FLEETS[0];

  // The store may respond to a part of the instances only.
  it("is taken over by further instances when the store doesn't respond to the first ones", async () => {
    const domain = createDomain({ ...small, count: 8 });
    await domain.time.advance(20_000);
    for (const id of ["i0", "i1", "i2"]) domain.cutIds.add(id);
    const cutAtMs = domain.time.nowMs();
    await domain.time.advance(small.inForceMs);
    const tookMs = domain.substitutedAtMs[0]! - cutAtMs;
    expect(tookMs).toBeLessThan(small.inForceMs - READ_MS);
  });

  // Guards against a recovering store that receives the calls of a whole domain.
  it("costs each instance a call in some seconds while the store is down", async () => {
    const domain = createDomain({ ...small, count: 24 });
    await domain.time.advance(20_000);
    for (let i = 0; i < 24; i++) domain.cutIds.add(`i${i}`);
    const before = domain.getCallCount();
    await domain.time.advance(30_000);
    const perInstance = (domain.getCallCount() - before) / 24;
    expect(perInstance).toBeLessThanOrEqual(30_000 / 2_500 + 1);
    expect(domain.substitutedAtMs).toEqual([]);
  });

  // In other domains there are readers that report what one of them misses.
  it("costs the reader no calls besides its watches in a fleet of many domains", async () => {
    const domain = createDomain({ ...FLEETS[3], count: 6 });
    await domain.time.advance(60_000);
    // One at the start, before the first watch has ended.
    expect(domain.getCallCount()).toBeLessThanOrEqual(1);
  });

  // Guards against a domain that reads the store many times during an upgrade.
  it("isn't expected of a reader of an earlier build, which reports none", async () => {
    const domain = createDomain({ ...small, isOldReader: true });
    domain.cutIds.add("i0");
    await domain.time.advance(20_000);
    expect(domain.substitutedAtMs).toEqual([]);
  });
});
