import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Crossing from "../../testing/fleet/crossing.ts";
import * as Proof from "../../testing/fleet/proof.ts";
import type * as Requests from "../../testing/fleet/requests.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as Random from "../../testing/load/random.ts";

const ROUNDS = 4;
const READS_PER_ROUND = 60;
/** Around the buffer of 256 KB, above which answers are streamed. */
const SIZES = [0, 1, 200, 70_000, 262_143, 262_144, 262_145, 900_000];

describe("answers", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;

  beforeAll(async () => {
    fleet = await Proof.startProofFleet({ table: { linkMbps: 2_000 } });
    journal = fleet.journal;
  });
  afterAll(() => fleet?.stop());
  afterEach(() => fleet?.heal());

  async function expectTrue(): Promise<Requests.Verdict> {
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

  describe("belong to their requests byte for byte", () => {
    it("at all sizes, with and without a length, in any order", async () => {
      for (const framing of [null, "chunked", "eof"]) {
        await fleet.setTargetFaults({ omitContentLength: framing });
        const reads = SIZES.flatMap((bytes) =>
          [40, 1, 20].map((ms) =>
            journal.createRead("/bikes", { query: `bytes=${bytes}&ms=${ms}` })
          )
        );
        // A cold fleet may refuse some of them for a moment.
        const sent = await Wait.waitFor(
          async () => {
            const all = await sendAll(reads);
            return all.every((one) => one.outcome !== "not-run") && all;
          },
          10_000,
          "no refusals",
        );
        expect(sent.map((one) => one.status)).toEqual(sent.map(() => 200));
        for (const [i, one] of sent.entries()) {
          expect(one.body.length).toBe(SIZES[Math.floor(i / 3)]);
        }
      }
      await expectTrue();
    });

    it("when callers give up and the late answers of their requests arrive among others'", async () => {
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
      const verdict = await expectTrue();
      expect(verdict.broken, "some callers gave up").toBeGreaterThan(0);
      console.log(`answers verdict ${JSON.stringify(verdict)}`);
    });

    it("over kept-alive connections of which targets send a second, crossed answer", async () => {
      const crossing = await Crossing.startCrossingTarget(
        fleet.platform.address,
      );
      let own = 0;
      try {
        const entry = fleet.getInstance("north-1-a");
        const key = fleet.keys.get("club") ?? "";
        const endMs = performance.now() + 4_000;
        while (own < 60 && performance.now() < endMs) {
          await Promise.all(Array.from({ length: 8 }, async (_, i) => {
            const path = `/bikes/${own}-${i}?m=crossing-${own}-${i}`;
            const res = await fetch(`http://${entry.caller}/s/booking${path}`, {
              headers: { "anvilroute-key": key },
            });
            const text = await res.text();
            expect(text).not.toContain("crossed");
            if (res.status !== 200) return;
            expect(text).toContain(path);
            if (text.startsWith("own")) own++;
          }));
        }
      } finally {
        await crossing.stop();
      }
      expect(own, "the crossing target was used").toBeGreaterThan(0);
    });
  });

  describe("never end as if whole when they are not", () => {
    it("when targets truncate or reset, alone and late", async () => {
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
        for (const sent of await sendAll(reads)) {
          const isWhole = sent.status === 200;
          const asked = Number(/bytes=(\d+)/.exec(sent.message.path)?.[1]);
          const cutAt = fault.truncateAfterBytes ?? 0;
          if (asked > cutAt) expect(isWhole, JSON.stringify(fault)).toBe(false);
        }
        await fleet.heal();
      }
      await expectTrue();
    });

    it("when a target is killed in the middle of its answers, with a domain cut off", async () => {
      const victim = fleet.targets.find((one) => one.domain === "south-1");
      if (victim === undefined) throw new Error("no target");
      await fleet.network.isolate("north-2", ["callers"]);
      const reads = Array.from(
        { length: 48 },
        () => journal.createRead("/bikes", { query: "bytes=900000&ms=100" }),
      );
      const sending = sendAll(reads);
      await Wait.waitFor(
        async () => Number((await victim.getStats())["inUse"]) > 0,
        2_000,
        "the target runs some of them",
      );
      await victim.process.kill();
      const sent = await sending;
      const answered = sent.filter((one) => one.status === 200);
      expect(answered.length, "others answer").toBeGreaterThan(0);
      for (const one of answered) expect(one.body.length).toBe(900_000);
      await expectTrue();
      await fleet.network.heal();
    });
  });

  describe("that refuse", () => {
    it("say not-run only when nothing ran: shed, over the limit, in the queue, at the deadline", async () => {
      await fleet.setTargetFaults({ shedAll: true });
      const shed = await sendAll(
        Array.from({ length: 8 }, () => journal.createRead("/bikes")),
      );
      for (const one of shed) expect(one.outcome).toBe("not-run");
      await fleet.setTargetFaults({ shedAll: null });
      await fleet.heal();
      const burst = Array.from(
        { length: 260 },
        (_, i) =>
          journal.createRead("/bikes", { query: `ms=${(i % 3) * 1_400}` }),
      );
      const sent = await sendAll(burst);
      const codes = new Set(sent.map((one) => one.code));
      console.log(`refusals by code: ${[...codes].join(" ")}`);
      expect(sent.some((one) => one.outcome === "not-run")).toBe(true);
      const late = journal.createRead("/bikes", { query: "ms=2900" });
      const shortened = {
        ...late,
        headers: { "anvilroute-deadline-ms": "150" },
      };
      const [timedOut] = await sendAll([shortened]);
      expect(timedOut?.outcome).not.toBe("not-run");
      await expectTrue();
    });
  });
});
