import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Crossing from "../../testing/fleet/crossing.ts";
import * as Proof from "../../testing/fleet/proof.ts";
import type * as Requests from "../../testing/fleet/requests.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as Random from "../../testing/load/random.ts";

const ROUNDS = 4;
const READS_PER_ROUND = 60;
/** Response sizes in bytes, also around the buffer of 256 KB above which responses are streamed. */
const SIZES = [0, 1, 200, 70_000, 262_143, 262_144, 262_145, 900_000];

describe("responses", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;

  beforeAll(async () => {
    fleet = await Proof.startProofFleet({ table: { linkMbps: 2_000 } });
    journal = fleet.journal;
  });
  afterAll(() => fleet?.stop());
  afterEach(() => fleet?.heal());

  async function expectNoViolations(): Promise<Requests.Verdict> {
    const verdict = await journal.check();
    expect(verdict.violations).toEqual([]);
    return verdict;
  }

  const sendAll = (messages: readonly Requests.Message[]) =>
    Promise.all(messages.flatMap((message, i) => {
      const running = fleet.getRunning();
      const entry = running[i % running.length];
      return entry === undefined ? [] : [journal.send(entry, message)];
    }));

  describe("match their requests byte for byte", () => {
    it("at all sizes, with and without a content length, and in any order of completion", async () => {
      for (const framing of [null, "chunked", "eof"]) {
        await fleet.setTargetFaults({ omitContentLength: framing });
        const reads = SIZES.flatMap((bytes) =>
          [40, 1, 20].map((ms) =>
            journal.createRead("/bikes", { query: `bytes=${bytes}&ms=${ms}` })
          )
        );
        // A fleet in its cold start may reject some of them for a short time.
        const results = await Wait.waitFor(
          async () => {
            const latestResults = await sendAll(reads);
            return latestResults.every((result) =>
              result.outcome !== "not-run"
            ) && latestResults;
          },
          10_000,
          "no request is rejected",
        );
        expect(results.map((result) => result.status)).toEqual(
          results.map(() => 200),
        );
        for (const [i, result] of results.entries()) {
          expect(result.body.length).toBe(SIZES[Math.floor(i / 3)]);
        }
      }
      await expectNoViolations();
    });

    it("when callers disconnect and the late responses to their requests arrive between others", async () => {
      const seed = Number(process.env["SEED"] ?? Random.createSeed());
      console.log(`answers seed=${seed}`);
      const random = Random.createRandom(seed);
      for (let round = 0; round < ROUNDS; round++) {
        await fleet.setTargetFaults({ lateMs: round % 2 === 0 ? 60 : null });
        await Promise.all(
          Array.from({ length: READS_PER_ROUND }, (_, i) => {
            const bytes = SIZES[Math.floor(random() * SIZES.length)];
            const read = journal.createRead("/bikes", {
              query: `bytes=${bytes}&ms=${Math.floor(random() * 80)}`,
            });
            const running = fleet.getRunning();
            const entry = running[i % running.length];
            if (entry === undefined) throw new Error("no instance");
            const limit = random() < 0.4
              ? AbortSignal.timeout(Math.ceil(random() * 120))
              : undefined;
            return journal.send(entry, read, limit);
          }),
        );
      }
      const verdict = await expectNoViolations();
      expect(verdict.broken, "requests whose caller disconnected")
        .toBeGreaterThan(0);
      console.log(`answers verdict ${JSON.stringify(verdict)}`);
    });

    it("over kept-alive connections on which a target sends a second response that belongs to no request", async () => {
      const crossing = await Crossing.startCrossingTarget(
        fleet.platform.address,
      );
      let ownResponses = 0;
      try {
        const entry = fleet.getInstance("north-1-a");
        const key = fleet.keys.get("club") ?? "";
        const endMs = performance.now() + 4_000;
        while (ownResponses < 60 && performance.now() < endMs) {
          await Promise.all(Array.from({ length: 8 }, async (_, i) => {
            const path =
              `/bikes/${ownResponses}-${i}?m=crossing-${ownResponses}-${i}`;
            const res = await fetch(`http://${entry.caller}/s/booking${path}`, {
              headers: { "anvilroute-key": key },
            });
            const text = await res.text();
            expect(text).not.toContain("crossed");
            if (res.status !== 200) return;
            expect(text).toContain(path);
            if (text.startsWith("own")) ownResponses++;
          }));
        }
      } finally {
        await crossing.stop();
      }
      expect(ownResponses, "responses of the crossing target").toBeGreaterThan(
        0,
      );
    });
  });

  describe("never seem complete when they are not", () => {
    it("when targets truncate the response or reset the connection, also late", async () => {
      for (
        const fault of [
          { truncateAfterBytes: 100 },
          { truncateAfterBytes: 300_000 },
          { truncateAfterBytes: 300_000, omitContentLength: "chunked" },
          { resetAfterExecuting: true, lateMs: 50 },
        ]
      ) {
        await fleet.setTargetFaults(fault);
        const reads = SIZES.slice(2).map((bytes) =>
          journal.createRead("/bikes", { query: `bytes=${bytes}` })
        );
        for (const result of await sendAll(reads)) {
          const isWhole = result.status === 200;
          const requestedBytes = Number(
            /bytes=(\d+)/.exec(result.message.path)?.[1],
          );
          const cutAt = fault.truncateAfterBytes ?? 0;
          if (requestedBytes > cutAt) {
            expect(isWhole, JSON.stringify(fault)).toBe(false);
          }
        }
        await fleet.heal();
      }
      await expectNoViolations();
    });

    it("when a target is killed during its responses while a domain is cut off", async () => {
      const killedTarget = fleet.targets.find((target) =>
        target.domain === "south-1"
      );
      if (killedTarget === undefined) throw new Error("no target");
      await fleet.network.isolate("north-2", ["callers"]);
      const reads = Array.from(
        { length: 48 },
        () => journal.createRead("/bikes", { query: "bytes=900000&ms=100" }),
      );
      const sending = sendAll(reads);
      await Wait.waitFor(
        async () => Number((await killedTarget.getStats())["inUse"]) > 0,
        2_000,
        "the target runs some of the requests",
      );
      await killedTarget.process.kill();
      const results = await sending;
      const okResults = results.filter((result) => result.status === 200);
      expect(okResults.length, "responses of other targets")
        .toBeGreaterThan(0);
      for (const result of okResults) expect(result.body.length).toBe(900_000);
      await expectNoViolations();
      await fleet.network.heal();
    });
  });

  describe("that reject a request", () => {
    it("report not-run only when no target ran it, after shedding, over the limit, in the queue or at the deadline", async () => {
      await fleet.setTargetFaults({ shedAll: true });
      const shedResults = await sendAll(
        Array.from({ length: 8 }, () => journal.createRead("/bikes")),
      );
      for (const result of shedResults) expect(result.outcome).toBe("not-run");
      await fleet.setTargetFaults({ shedAll: null });
      await fleet.heal();
      const burst = Array.from(
        { length: 260 },
        (_, i) =>
          journal.createRead("/bikes", { query: `ms=${(i % 3) * 1_400}` }),
      );
      const results = await sendAll(burst);
      const codes = new Set(results.map((result) => result.code));
      console.log(`refusals by code: ${[...codes].join(" ")}`);
      expect(results.some((result) => result.outcome === "not-run")).toBe(true);
      const slowRead = journal.createRead("/bikes", { query: "ms=2900" });
      const slowReadWithDeadline = {
        ...slowRead,
        headers: { "anvilroute-deadline-ms": "150" },
      };
      const [timedOutResult] = await sendAll([slowReadWithDeadline]);
      expect(timedOutResult?.outcome).not.toBe("not-run");
      await expectNoViolations();
    });
  });
});
