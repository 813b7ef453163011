import { afterEach, describe, expect, it } from "vitest";
import * as Store from "../platform/store.ts";
import * as Clock from "../src/clock.ts";
import * as Exchange from "../src/platform/exchange.ts";
import * as Fakes from "../testing/fakes/request_path.ts";
import * as Requests from "../testing/fakes/requests.ts";
import * as Odd from "./support/odd_status_lines.ts";

const cleanups: (() => unknown)[] = [];
const addCleanup = (release: () => unknown) => void cleanups.push(release);
afterEach(async () => {
  for (const release of cleanups.splice(0).reverse()) await release();
});

// Guards against an invalid response that reaches a caller or passes for a record of the
// store, and against a wait for its end.
describe.each(Odd.ODD_STATUS_LINES)(
  "a response that begins with %j",
  (line) => {
    it("of a target of the daemon ends the attempt, and is sent again by its kind", async () => {
      const odd = await Odd.startOddServer(line, addCleanup);
      const good = await Requests.startTarget("t2");
      addCleanup(good.close);
      const instance = await Fakes.startTestInstance("a1", [
        odd.address,
        good.listen,
      ]);
      addCleanup(instance.close);
      const startedAtMs = performance.now();
      expect((await Requests.sendRequest(instance.address)).status).toBe(200);
      const write = { method: "PUT", body: "x" };
      const res = await Requests.sendRequest(instance.address, write);
      expect([res.status, res.headers["anvilroute-outcome"]])
        .toEqual([502, "unknown"]);
      expect(performance.now() - startedAtMs).toBeLessThan(1_000);
      expect(odd.getRequests()).toBe(2);
      expect(Requests.countExecutions(good)).toBe(1);
      expect(instance.connectionLosses).toEqual([]);
    });

    it("of the store fails the call with its first bytes", async () => {
      const { address } = await Odd.startOddServer(line, addCleanup);
      const store = Store.createStore(address, "127.0.0.1");
      addCleanup(store.close);
      for (let i = 0; i < 2; i++) {
        const listing = await store.readAll("s/");
        expect(listing.isErr() && listing.error.detail).toContain(line);
      }
    });

    it("of the daemon's platform is lost, with its first bytes", async () => {
      const { address } = await Odd.startOddServer(line, addCleanup);
      const exchange = Exchange.createExchange(address, 500, Clock.systemClock);
      addCleanup(exchange.close);
      const signal = AbortSignal.timeout(1_000);
      const outcome = await exchange.send({ method: "GET", path: "/" }, signal);
      expect(outcome).toMatchObject({ kind: "lost" });
      expect(outcome.kind === "lost" && outcome.detail).toContain(line);
      expect(exchange.isFailing()).toBe(true);
    });
  },
);
