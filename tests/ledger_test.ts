import { describe, expect, it } from "vitest";
import * as FastCheck from "fast-check";
import type * as Contracts from "../src/contracts.ts";
import * as Ledger from "../src/once/ledger.ts";

const never = new AbortController().signal;

function createCase(limits: { maxEntries: number; maxBytes: number }) {
  const state = { nowMs: 1_000_000 };
  const clock = { nowMs: () => state.nowMs, wallMs: () => state.nowMs };
  const ledger = Ledger.createLocalLedger({ ...limits, clock });
  const ticketOf = (id: string) => ({
    id,
    issuer: "a1",
    incarnation: "i1",
    account: "club",
    service: "booking",
    expiresAtMs: 1_060_000,
    isExpired: state.nowMs >= 1_060_000,
  });
  return { state, ledger, ticketOf };
}

function answerOf(bytes: number): Contracts.StoredResponse {
  return { status: 200, headers: [], body: new Uint8Array(bytes) };
}

describe("ledger", () => {
  it("never hands a ticket out to run twice, whatever its runs end with", async () => {
    const end = FastCheck.constantFrom("ran", "notRun", "unknown");
    const step = FastCheck.record({
      id: FastCheck.constantFrom("x", "y", "z"),
      end,
    });
    await FastCheck.assert(
      FastCheck.asyncProperty(
        FastCheck.array(step, { maxLength: 40 }),
        async (steps) => {
          const { ledger, ticketOf } = createCase({
            maxEntries: 10,
            maxBytes: 1e6,
          });
          const over = new Set<string>();
          for (const { id, end } of steps) {
            const claim = await ledger.claim(ticketOf(id), "print", never);
            expect(claim.kind === "run").toBe(!over.has(id));
            if (claim.kind !== "run") continue;
            if (end !== "notRun") over.add(id);
            if (end === "ran") claim.run.markRan(answerOf(10), 200);
            else if (end === "unknown") claim.run.markUnknown();
            else claim.run.markNotRun();
          }
        },
      ),
    );
  });

  it("replays an answer byte for byte, so that no resend sees another one", async () => {
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
          const { ledger, ticketOf } = createCase(limits);
          const first = await ledger.claim(ticketOf("x"), "print", never);
          if (first.kind !== "run") throw new Error(first.kind);
          first.run.markRan({ status: 201, headers, body: body.slice() }, 201);
          const again = await ledger.claim(ticketOf("x"), "print", never);
          if (again.kind !== "response") throw new Error(again.kind);
          expect(again.response.status).toBe(201);
          expect(again.response.headers).toEqual(headers);
          expect([...again.response.body]).toEqual([...body]);
          expect(ledger.export()).toMatchObject([
            { ticketId: "x", state: { response: { headers } } },
          ]);
        },
      ),
    );
  });

  it("refuses new orders at its bounds and forgets none before its time", async () => {
    const { ledger, ticketOf, state } = createCase({
      maxEntries: 1_000,
      maxBytes: 40_000,
    });
    let refusedAt = -1;
    for (let i = 0; refusedAt < 0; i++) {
      const claim = await ledger.claim(ticketOf(`t${i}`), "print", never);
      if (claim.kind === "run") claim.run.markRan(answerOf(2_000), 200);
      else refusedAt = i;
      expect(ledger.getSize().bytes).toBeLessThanOrEqual(40_000);
    }
    const first = await ledger.claim(ticketOf("t0"), "print", never);
    const last = await ledger.claim(
      ticketOf(`t${refusedAt - 1}`),
      "print",
      never,
    );
    expect([first.kind, last.kind]).toEqual([
      "response",
      "ran-without-response",
    ]);
    ledger.sweep();
    expect(ledger.getSize().entries).toBe(refusedAt);
    state.nowMs += 60_000;
    ledger.sweep();
    expect(ledger.getSize()).toEqual({ entries: 0, bytes: 0 });
    const late = await ledger.claim(ticketOf("t0"), "print", never);
    expect(late.kind).toBe("unknown");
  });
});
