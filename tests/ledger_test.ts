import { describe, expect, it } from "vitest";
import * as FastCheck from "fast-check";
import type * as Contracts from "../src/contracts.ts";
import * as Ledger from "../src/once/ledger.ts";

const neverAborted = new AbortController().signal;

function createTestLedger(limits: { maxEntries: number; maxBytes: number }) {
  const state = { nowMs: 1_000_000 };
  const clock = { nowMs: () => state.nowMs, wallMs: () => state.nowMs };
  const ledger = Ledger.createLocalLedger({ ...limits, clock });
  const createTicket = (id: string) => ({
    id,
    issuer: "a1",
    incarnation: "i1",
    account: "club",
    service: "booking",
    expiresAtMs: 1_060_000,
    isExpired: state.nowMs >= 1_060_000,
  });
  return { state, ledger, createTicket };
}

function createResponse(bytes: number): Contracts.StoredResponse {
  return { status: 200, headers: [], body: new Uint8Array(bytes) };
}

describe("ledger", () => {
  it("permits no second run of a ticket whose request ran or may have run", async () => {
    const arbitraryEnd = FastCheck.constantFrom("ran", "notRun", "unknown");
    const arbitraryStep = FastCheck.record({
      id: FastCheck.constantFrom("x", "y", "z"),
      end: arbitraryEnd,
    });
    await FastCheck.assert(
      FastCheck.asyncProperty(
        FastCheck.array(arbitraryStep, { maxLength: 40 }),
        async (steps) => {
          const { ledger, createTicket } = createTestLedger({
            maxEntries: 10,
            maxBytes: 1e6,
          });
          const endedIds = new Set<string>();
          for (const { id, end } of steps) {
            const claim = await ledger.claim(
              createTicket(id),
              "print",
              neverAborted,
            );
            expect(claim.kind === "run").toBe(!endedIds.has(id));
            if (claim.kind !== "run") continue;
            if (end !== "notRun") endedIds.add(id);
            if (end === "ran") claim.run.markRan(createResponse(10), 200);
            else if (end === "unknown") claim.run.markUnknown();
            else claim.run.markNotRun();
          }
        },
      ),
    );
  });

  it("replays a response byte for byte, so that no retry receives a different one", async () => {
    await FastCheck.assert(
      FastCheck.asyncProperty(
        FastCheck.array(FastCheck.tuple(
          FastCheck.string(),
          FastCheck.string({
            unit: "binary",
          }),
        )),
        FastCheck.uint8Array({ maxLength: 300 }),
        async (headers, body) => {
          const limits = { maxEntries: 10, maxBytes: 1e6 };
          const { ledger, createTicket } = createTestLedger(limits);
          const firstClaim = await ledger.claim(
            createTicket("x"),
            "print",
            neverAborted,
          );
          if (firstClaim.kind !== "run") throw new Error(firstClaim.kind);
          firstClaim.run.markRan(
            { status: 201, headers, body: body.slice() },
            201,
          );
          const retryClaim = await ledger.claim(
            createTicket("x"),
            "print",
            neverAborted,
          );
          if (retryClaim.kind !== "response") throw new Error(retryClaim.kind);
          expect(retryClaim.response.status).toBe(201);
          expect(retryClaim.response.headers).toEqual(headers);
          expect([...retryClaim.response.body]).toEqual([...body]);
          expect(ledger.export()).toMatchObject([
            { ticketId: "x", state: { response: { headers } } },
          ]);
        },
      ),
    );
  });

  it("rejects new tickets at its bounds, and removes no entry before its ticket expires", async () => {
    const { ledger, createTicket, state } = createTestLedger({
      maxEntries: 1_000,
      maxBytes: 40_000,
    });
    let rejectedIndex = -1;
    for (let i = 0; rejectedIndex < 0; i++) {
      const claim = await ledger.claim(
        createTicket(`t${i}`),
        "print",
        neverAborted,
      );
      if (claim.kind === "run") claim.run.markRan(createResponse(2_000), 200);
      else rejectedIndex = i;
      expect(ledger.getSize().bytes).toBeLessThanOrEqual(40_000);
    }
    const firstClaim = await ledger.claim(
      createTicket("t0"),
      "print",
      neverAborted,
    );
    const lastClaim = await ledger.claim(
      createTicket(`t${rejectedIndex - 1}`),
      "print",
      neverAborted,
    );
    expect([firstClaim.kind, lastClaim.kind]).toEqual([
      "response",
      "ran-without-response",
    ]);
    ledger.sweep();
    expect(ledger.getSize().entries).toBe(rejectedIndex);
    state.nowMs += 60_000;
    ledger.sweep();
    expect(ledger.getSize()).toEqual({ entries: 0, bytes: 0 });
    const expiredClaim = await ledger.claim(
      createTicket("t0"),
      "print",
      neverAborted,
    );
    expect(expiredClaim.kind).toBe("unknown");
  });
});
