import { afterEach, describe, expect, it } from "vitest";
import * as Headers from "../../platform/headers.ts";
import * as Clock from "../../src/clock.ts";
import * as Cancellation from "../../src/gateway/cancellation.ts";
import * as Connections from "../../src/gateway/connections.ts";
import * as MemoryBudget from "../../src/memory_budget.ts";
import * as Relay from "../../src/gateway/relay.ts";
import * as Odd from "../support/odd_status_lines.ts";
import * as Rig from "../support/gateway_rig.ts";

const cleanups: (() => unknown)[] = [];
const addCleanup = (release: () => unknown) => void cleanups.push(release);
afterEach(async () => {
  for (const release of cleanups.splice(0).reverse()) await release();
});

// Guards against an invalid response that reaches a caller, and against a wait for its end:
// undici accepted HTTP/2.0, 600 and 999, and failed assertions on 000, 099 and 101.
describe.each(Odd.ODD_STATUS_LINES)(
  "a response that begins with %j",
  (line) => {
    /** Starts two targets; the first that gets a request answers with the line. */
    async function start() {
      const fleet = await Rig.startFleet(addCleanup);
      await Rig.send(fleet.front, "/read/x");
      const odd = fleet.targets.find(({ ran }) => ran.length > 0)!;
      const other = fleet.targets.find((target) => target !== odd)!;
      odd.setStatusLine(line);
      const { lines } = fleet.instances[0]!;
      const getLogged = () => lines.filter((text) => text.includes(line));
      return { ...fleet, odd, other, getLogged };
    }

    it("lets a read go on to a second target, and counts against the first", async () => {
      const { front, getLogged, odd, other } = await start();
      for (let i = 0; i < 8; i++) {
        const response = await Rig.send(front, "/read/x");
        expect([response.status, response.body]).toEqual([200, `${other.id} `]);
      }
      expect(other.ran).toHaveLength(8);
      expect(odd.ran.length - 1).toBeLessThan(8);
      const [logged] = getLogged();
      expect(logged).toContain("event=invalid-response");
      expect(logged).toContain(odd.address);
    });

    it("ends an order with 502 at once, which no second target runs", async () => {
      const { front, getLogged, odd, other } = await start();
      const startedAtMs = performance.now();
      expect((await Rig.send(front, "/order/x")).status).toBe(502);
      expect(performance.now() - startedAtMs).toBeLessThan(500);
      expect([odd.ran.length, other.ran.length]).toEqual([2, 0]);
      expect(getLogged()[0]).toContain("event=invalid-response");
    });

    it("lets a read that is passed on to an instance go on to another instance", async () => {
      const server = await Odd.startOddServer(line, addCleanup);
      const connections = Connections.createConnections({
        clock: Clock.systemClock,
      });
      addCleanup(connections.close);
      const place = { domain: "north-a", region: "north", isStranded: false };
      const relay = Relay.createRelay({
        self: { ...place, id: "self", callerAddress: "127.0.0.1:1" },
        getInstances: () =>
          ["a", "b"].map((id) => ({
            ...place,
            id,
            callerAddress: server.address,
          })),
        connections,
        responseMemory: MemoryBudget.createMemoryBudget(1_000_000),
        dialect: Headers.headerDialect,
        getRoundTripMs: () => 1,
        clock: Clock.systemClock,
      });
      const send = (isRepeatable: boolean) =>
        relay.send({
          method: "POST",
          path: "/order/x",
          rawHeaders: [],
          body: undefined,
          isRepeatable,
          homeRegions: undefined,
          affinityKey: "17",
          deadlineAtMs: Clock.systemClock.nowMs() + 1_000,
          cancellation: Cancellation.createCancellation(),
        });
      const order = await send(false);
      expect(order).toMatchObject({ kind: "broke" });
      expect(order.kind === "broke" && order.reason).toContain(line);
      expect(server.getRequests()).toBe(1);
      // The first instance gets nothing for a while.
      expect(await send(true)).toMatchObject({ kind: "broke" });
      expect(server.getRequests()).toBe(2);
    });
  },
);
