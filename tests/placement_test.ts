import * as Http from "node:http";
import { Ok } from "ts-results-es";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as RequestPath from "../testing/fakes/request_path.ts";
import * as HttpJson from "../testing/http_json.ts";

const CHOSEN_CAP_KEY = "cap/booking/pirkanmaa";
const OTHER_CAP_KEY = "cap/booking/uusimaa";

describe("placement when this instance has no cap token of the chosen region", () => {
  const server = Http.createServer((_req, res) => res.end("bikes"));
  let instance: RequestPath.TestInstance;
  let isScarce = false;

  beforeEach(async () => {
    const address = await HttpJson.listen(server, "127.0.0.1:0");
    instance = await RequestPath.startTestInstance("i1", [address]);
    isScarce = false;
    const { budgets, deps } = instance;
    const { acquire, tryAcquire } = budgets;
    Object.assign(deps.steering, {
      chooseRegions: () => ["pirkanmaa", "uusimaa"],
    });
    Object.assign(budgets, {
      tryAcquire: (key: string, tokens: number) =>
        key !== CHOSEN_CAP_KEY && tryAcquire(key, tokens),
      async acquire(key: string, tokens: number, waitMs: number) {
        if (key !== CHOSEN_CAP_KEY) return acquire(key, tokens, waitMs);
        await new Promise((resolve) => setTimeout(resolve, 5));
        tryAcquire(key, tokens);
        return Ok(undefined);
      },
      isScarce: () => isScarce,
    });
  });
  afterEach(async () => {
    await instance.close();
    await new Promise((resolve) => server.close(resolve));
  });

  async function request(): Promise<number> {
    const url = `http://${instance.address}/s/booking/bikes`;
    const headers = { "anvilroute-key": RequestPath.CLUB_KEY };
    const res = await fetch(url, { headers });
    await res.arrayBuffer();
    return res.status;
  }

  it("the instance borrows from peers before it uses another region, so that traffic does not shift without a table change", async () => {
    expect(await request()).toBe(200);
    expect(instance.budgets.acquiredTokens.get(CHOSEN_CAP_KEY)).toBe(1);
    expect(instance.budgets.acquiredTokens.get(OTHER_CAP_KEY) ?? 0).toBe(0);
  });

  it("the instance uses another region immediately when the chosen region is at its cap, so that requests do not wait there", async () => {
    isScarce = true;
    expect(await request()).toBe(200);
    expect(instance.budgets.acquiredTokens.get(OTHER_CAP_KEY)).toBe(1);
    expect(instance.budgets.acquiredTokens.get(CHOSEN_CAP_KEY) ?? 0).toBe(0);
  });
});
