import * as Http from "node:http";
import { Ok } from "ts-results-es";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as RequestPath from "../testing/fakes/request_path.ts";
import * as HttpJson from "../testing/http_json.ts";

const CHOSEN = "cap/booking/pirkanmaa";
const OTHER = "cap/booking/uusimaa";

describe("a request whose region has no token at this instance", () => {
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
        key !== CHOSEN && tryAcquire(key, tokens),
      async acquire(key: string, tokens: number, waitMs: number) {
        if (key !== CHOSEN) return acquire(key, tokens, waitMs);
        await new Promise((done) => setTimeout(done, 5));
        tryAcquire(key, tokens);
        return Ok(undefined);
      },
      isScarce: () => isScarce,
    });
  });
  afterEach(async () => {
    await instance.close();
    await new Promise((done) => server.close(done));
  });

  async function request(): Promise<number> {
    const url = `http://${instance.address}/s/booking/bikes`;
    const headers = { "anvilroute-key": RequestPath.KEY };
    const res = await fetch(url, { headers });
    await res.arrayBuffer();
    return res.status;
  }

  it("guards against a shift that no table asked for: borrows before it goes elsewhere", async () => {
    expect(await request()).toBe(200);
    expect(instance.budgets.taken.get(CHOSEN)).toBe(1);
    expect(instance.budgets.taken.get(OTHER) ?? 0).toBe(0);
  });

  it("guards against a wait at a region whose cap is used up", async () => {
    isScarce = true;
    expect(await request()).toBe(200);
    expect(instance.budgets.taken.get(OTHER)).toBe(1);
    expect(instance.budgets.taken.get(CHOSEN) ?? 0).toBe(0);
  });
});
