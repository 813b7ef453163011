import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Proof from "../../testing/fleet/proof.ts";
import type * as Requests from "../../testing/fleet/requests.ts";

describe("orders run at most once", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;

  beforeAll(async () => {
    fleet = await Proof.startProofFleet();
    journal = fleet.journal;
  });
  afterAll(() => fleet?.stop());

  async function expectTrue(): Promise<Requests.Verdict> {
    const verdict = await journal.check();
    expect(verdict.violations).toEqual([]);
    return verdict;
  }

  function resendEverywhere(
    order: Requests.Message,
  ): Promise<readonly Requests.Sent[]> {
    const all = fleet.getRunning();
    return Promise.all(all.map((one) => journal.send(one, order)));
  }

  describe("while the caller resends through every entry instance at once", () => {
    it("runs each order once and gives all resends the same answer", async () => {
      await fleet.setTargetFaults({ lateMs: 150 });
      await Promise.all(
        fleet.getRunning().flatMap((issuer) =>
          [1, 2, 3].map(async (n) => {
            const order = await journal.createOrder(issuer, "/bookings", {
              query: `bytes=${n * 4_000}`,
            });
            const sent = [
              ...await Promise.all([
                resendEverywhere(order),
                resendEverywhere(order),
              ]),
            ].flat();
            const bodies = new Set(sent.map((one) => one.body.toString()));
            expect(bodies.size, "one answer for all").toBe(1);
            expect(await journal.getRuns(order)).toHaveLength(1);
          })
        ),
      );
      await fleet.setTargetFaults({ lateMs: null });
      await expectTrue();
    });
  });

  describe("with targets that fail after executing", () => {
    it("never repeats an order whose target reset or truncated its answer", async () => {
      for (
        const fault of [
          { resetAfterExecuting: true, only: "bookings/broken" },
          { truncateAfterBytes: 40, only: "bookings/broken" },
          // A pair: late, so that resends wait while the answer is about to break.
          { lateMs: 300, resetAfterExecuting: true, only: "bookings/broken" },
        ]
      ) {
        await fleet.setTargetFaults(fault);
        const issuer = fleet.getInstance("north-2-a");
        const order = await journal.createOrder(issuer, "/bookings/broken");
        const sent = [
          ...await resendEverywhere(order),
          ...await resendEverywhere(order),
        ];
        expect(new Set(sent.map((one) => one.outcome)), JSON.stringify(fault))
          .toEqual(new Set(["unknown"]));
        expect(await journal.getRuns(order)).toHaveLength(1);
        await fleet.setTargetFaults({
          resetAfterExecuting: null,
          truncateAfterBytes: null,
          lateMs: null,
          only: null,
        });
      }
      await expectTrue();
    });

    it("does not say not-run of an order that ran before its like was blocked", async () => {
      const fault = { resetAfterExecuting: true, only: "bookings/again" };
      await fleet.setTargetFaults(fault);
      const issuer = fleet.getInstance("north-1-a");
      const first = await journal.createOrder(issuer, "/bookings/again");
      const [one, two, three] = await journal.getTickets(issuer, "club", 3);
      const sent = await journal.send(issuer, first);
      expect(sent.outcome).toBe("unknown");
      // The same body and path with new tickets, until two targets broke.
      for (const ticket of [one, two, three]) {
        if (ticket === undefined) throw new Error("no ticket");
        const reply = await journal.send(issuer, { ...first, ticket });
        if (reply.code === 125) break;
      }
      for (const entry of fleet.getRunning()) {
        const resent = await journal.send(entry, first);
        expect(resent.outcome, entry.id).toBe("unknown");
      }
      await fleet.setTargetFaults({ resetAfterExecuting: null, only: null });
      await expectTrue();
    });
  });
});
