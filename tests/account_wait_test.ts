import * as Http from "node:http";
import { Ok } from "ts-results-es";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as RequestPath from "../testing/fakes/request_path.ts";
import * as HttpJson from "../testing/http_json.ts";
import * as ResultCodes from "../src/result_codes.ts";

/** A peer on a busy machine; after 400 ms it would count as silent. */
const LOAN_ARRIVES_MS = 350;
const ACCOUNT = "acct/";

describe("a request whose account's token is with a slow peer", () => {
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
        !key.startsWith(ACCOUNT) && tryAcquire(key, tokens),
      async acquire(key: string, tokens: number, waitMs: number) {
        if (!key.startsWith(ACCOUNT)) return acquire(key, tokens, waitMs);
        const endsMs = Math.min(waitMs, LOAN_ARRIVES_MS);
        await new Promise((done) => setTimeout(done, endsMs));
        return waitMs < LOAN_ARRIVES_MS
          ? ResultCodes.fail("accountLimit")
          : Ok(undefined);
      },
      isScarce: () => isScarce,
    });
  });
  afterEach(async () => {
    await instance.close();
    await new Promise((done) => server.close(done));
  });

  async function request() {
    const startedAtMs = performance.now();
    const url = `http://${instance.address}/s/booking/bikes`;
    const headers = { "anvilroute-key": RequestPath.KEY };
    const res = await fetch(url, { headers });
    await res.arrayBuffer();
    return { status: res.status, ms: performance.now() - startedAtMs };
  }

  it("guards against the refusal of a small account far below its rate", async () => {
    expect((await request()).status).toBe(200);
  });

  it("guards against a long wait for an account that is at its limit", async () => {
    isScarce = true;
    const { status, ms } = await request();
    expect(status).toBe(429);
    expect(ms).toBeLessThan(LOAN_ARRIVES_MS);
  });
});
