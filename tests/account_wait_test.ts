import * as Http from "node:http";
import { Ok } from "ts-results-es";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as RequestPath from "../testing/fakes/request_path.ts";
import * as HttpJson from "../testing/http_json.ts";
import * as ResultCodes from "../src/result_codes.ts";

/** Delay of a loan from a peer on a busy machine; after 400 ms the peer would count as unresponsive. */
const LOAN_ARRIVES_MS = 350;
const ACCT_PREFIX = "acct/";

describe("account limit when the token is held by a slow peer", () => {
  const server = Http.createServer((_req, res) => res.end("bikes"));
  let instance: RequestPath.TestInstance;
  let isScarce = false;

  beforeEach(async () => {
    const address = await HttpJson.listen(server, "127.0.0.1:0");
    instance = await RequestPath.startTestInstance("i1", [address]);
    isScarce = false;
    const { tryAcquire, acquire } = instance.budgets;
    Object.assign(instance.budgets, {
      tryAcquire: (key: string, tokens: number) =>
        !key.startsWith(ACCT_PREFIX) && tryAcquire(key, tokens),
      async acquire(key: string, tokens: number, waitMs: number) {
        if (!key.startsWith(ACCT_PREFIX)) return acquire(key, tokens, waitMs);
        const loanWaitMs = Math.min(waitMs, LOAN_ARRIVES_MS);
        await new Promise((resolve) => setTimeout(resolve, loanWaitMs));
        return waitMs < LOAN_ARRIVES_MS
          ? ResultCodes.fail("accountLimit")
          : Ok(undefined);
      },
      isScarce: () => isScarce,
    });
  });
  afterEach(async () => {
    await instance.close();
    await new Promise((resolve) => server.close(resolve));
  });

  async function request() {
    const startedAtMs = performance.now();
    const url = `http://${instance.address}/s/booking/bikes`;
    const headers = { "anvilroute-key": RequestPath.CLUB_KEY };
    const res = await fetch(url, { headers });
    await res.arrayBuffer();
    return { status: res.status, ms: performance.now() - startedAtMs };
  }

  it("the instance waits for the loan, so that a small account far below its rate is not rejected", async () => {
    expect((await request()).status).toBe(200);
  });

  it("the instance rejects early when peers have no tokens, so that an account at its limit does not wait long", async () => {
    isScarce = true;
    const { status, ms } = await request();
    expect(status).toBe(429);
    expect(ms).toBeLessThan(LOAN_ARRIVES_MS);
  });
});
