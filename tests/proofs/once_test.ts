import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import type * as Fleet from "../../testing/fleet/fleet.ts";
import * as Proof from "../../testing/fleet/proof.ts";
import * as Storm from "../../testing/fleet/storm.ts";
import type * as Requests from "../../testing/fleet/requests.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as Random from "../../testing/load/random.ts";

const RUNNING_LIMIT_MS = 3_000;
/** Ends a loop that would otherwise run on after its test failed. */
const LOOP_LIMIT_MS = 8_000;
const STORM_ROUNDS = 3;
const STORM_ORDERS = 24;

describe("orders with a ticket", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;

  beforeAll(async () => {
    fleet = await Proof.startProofFleet();
    journal = fleet.journal;
  });
  afterAll(() => fleet?.stop());
  // A fault that stays after a failed test would make the next tests fail.
  afterEach(() => fleet?.heal());

  async function expectNoViolations(): Promise<Requests.Verdict> {
    const verdict = await journal.check();
    expect(verdict.violations).toEqual([]);
    return verdict;
  }

  /** Resolves when a target has started to run the order. */
  function waitForRun(order: Requests.Message): Promise<unknown> {
    return Wait.waitFor(
      async () => (await journal.getRuns(order)).length > 0,
      RUNNING_LIMIT_MS,
      `${order.path} runs`,
    );
  }

  /** Sends the order until a result is as expected, as a caller resends after a lost connection. */
  function sendUntil(
    instance: Fleet.FleetInstance,
    order: Requests.Message,
    isExpected: (result: Requests.Sent) => boolean,
  ): Promise<Requests.Sent> {
    return Wait.waitFor(
      async () => {
        const result = await journal.send(instance, order);
        return isExpected(result) ? result : undefined;
      },
      12_000,
      `${order.path} through ${instance.id}`,
    );
  }

  function resendEverywhere(
    order: Requests.Message,
  ): Promise<readonly Requests.Sent[]> {
    const instances = fleet.getRunning();
    return Promise.all(
      instances.map((instance) => journal.send(instance, order)),
    );
  }

  describe("while the caller resends through all entry instances at the same time", () => {
    it("run once, and all resends receive the same response", async () => {
      await fleet.setTargetFaults({ lateMs: 150 });
      await Promise.all(
        fleet.getRunning().flatMap((issuer) =>
          [1, 2, 3].map(async (n) => {
            const order = await journal.createOrder(issuer, "/bookings", {
              query: `bytes=${n * 4_000}`,
            });
            const results = [
              ...await Promise.all([
                resendEverywhere(order),
                resendEverywhere(order),
              ]),
            ].flat();
            const responses = results.filter((result) => result.status === 200);
            const bodies = new Set(
              responses.map((result) => result.body.toString()),
            );
            expect(bodies.size, "distinct response bodies").toBe(1);
            // A fleet in its cold start may reject some of them for a short time.
            for (const result of results) {
              if (result.status !== 200) expect(result.outcome).toBe("not-run");
            }
            expect(await journal.getRuns(order)).toHaveLength(1);
          })
        ),
      );
      await fleet.setTargetFaults({ lateMs: null });
      await expectNoViolations();
    });
  });

  describe("with targets that fail after running an order", () => {
    it("are not repeated when a target resets the connection or truncates its response", async () => {
      for (
        const fault of [
          { resetAfterExecuting: true, only: "bookings/broken" },
          { truncateAfterBytes: 40, only: "bookings/broken" },
          // Two faults: the response is late, so that resends wait for it when the connection is reset.
          { lateMs: 300, resetAfterExecuting: true, only: "bookings/broken" },
        ]
      ) {
        await fleet.setTargetFaults(fault);
        const issuer = fleet.getInstance("north-2-a");
        const order = await journal.createOrder(issuer, "/bookings/broken");
        const results = [
          ...await resendEverywhere(order),
          ...await resendEverywhere(order),
        ];
        expect(
          new Set(results.map((result) => result.outcome)),
          JSON.stringify(fault),
        )
          .toEqual(new Set(["unknown"]));
        expect(await journal.getRuns(order)).toHaveLength(1);
        await fleet.setTargetFaults({
          resetAfterExecuting: null,
          truncateAfterBytes: null,
          lateMs: null,
          only: null,
        });
      }
      await expectNoViolations();
    });

    it("are not reported as not-run when they ran before an equal order was blocked", async () => {
      const fault = { resetAfterExecuting: true, only: "bookings/again" };
      await fleet.setTargetFaults(fault);
      const issuer = fleet.getInstance("north-1-a");
      const firstOrder = await journal.createOrder(issuer, "/bookings/again");
      const [ticketA, ticketB, ticketC] = await journal.getTickets(
        issuer,
        "club",
        3,
      );
      const result = await journal.send(issuer, firstOrder);
      expect(result.outcome).toBe("unknown");
      // The same path and body with new tickets, until two targets have reset the connection.
      for (const ticket of [ticketA, ticketB, ticketC]) {
        if (ticket === undefined) throw new Error("no ticket");
        const result = await journal.send(issuer, { ...firstOrder, ticket });
        if (result.code === 125) break;
      }
      for (const entry of fleet.getRunning()) {
        const resent = await journal.send(entry, firstOrder);
        expect(resent.outcome, entry.id).toBe("unknown");
      }
      await fleet.setTargetFaults({ resetAfterExecuting: null, only: null });
      await expectNoViolations();
    });
  });

  describe("while the instance that issued the ticket fails", () => {
    it("run at no other instance when the issuer is killed during the order, nor after its restart", async () => {
      const issuer = fleet.getInstance("south-1-a");
      const slow = { query: "ms=600" };
      const runningOrder = await journal.createOrder(issuer, "/bookings", slow);
      const unusedOrder = await journal.createOrder(issuer, "/bookings", slow);
      // Two faults: the targets respond late, so that the order is still running when its issuer is killed.
      await fleet.setTargetFaults({ lateMs: 300 });
      const firstSend = journal.send(issuer, runningOrder);
      await waitForRun(runningOrder);
      await issuer.process.kill();
      expect((await firstSend).status).toBe(0);
      for (const order of [runningOrder, unusedOrder]) {
        for (const result of await resendEverywhere(order)) {
          expect([result.via, result.outcome]).toEqual([result.via, "unknown"]);
        }
      }
      await fleet.startInstance("south-1-a", "south-1", "south");
      for (const result of await resendEverywhere(runningOrder)) {
        expect([result.via, result.outcome]).toEqual([result.via, "unknown"]);
      }
      expect(await journal.getRuns(unusedOrder)).toEqual([]);
      await fleet.setTargetFaults({ lateMs: null });
      await expectNoViolations();
    });

    it("receive the response from the ledger when a frozen issuer resumes, also while the store is down", async () => {
      for (const isDown of [false, true]) {
        const issuer = fleet.getInstance("north-2-a");
        const order = await journal.createOrder(issuer, "/bookings", {
          query: "ms=400",
        });
        await fleet.platform.setFaults({
          availability: isDown ? "refuse" : "up",
        });
        const firstSend = journal.send(issuer, order);
        await waitForRun(order);
        issuer.process.freeze();
        const otherInstances = fleet.getRunning().filter((instance) =>
          instance !== issuer
        );
        const results = await Promise.all(
          otherInstances.map((instance) => journal.send(instance, order)),
        );
        issuer.process.resume();
        await firstSend;
        for (const result of results) {
          expect(result.outcome, result.via).not.toBe("not-run");
        }
        const replay = await sendUntil(
          fleet.getInstance("north-1-a"),
          order,
          (result) => result.status === 200,
        );
        expect(replay.isReplay).toBe(true);
        expect(await journal.getRuns(order)).toHaveLength(1);
        await fleet.platform.setFaults({ availability: "up" });
      }
      await expectNoViolations();
    });

    it("are neither lost nor repeated when the link to the issuer is cut while they run", async () => {
      const issuer = fleet.getInstance("north-2-a");
      const entry = fleet.getInstance("south-1-a");
      const order = await journal.createOrder(issuer, "/bookings", {
        query: "ms=900",
      });
      const firstSend = journal.send(entry, order);
      await waitForRun(order);
      await fleet.network.cut("south-1", "north-2");
      expect((await firstSend).outcome).toBe("unknown");
      expect((await journal.send(entry, order)).outcome).toBe("unknown");
      await fleet.network.heal();
      const replay = await sendUntil(
        entry,
        order,
        (result) => result.status === 200,
      );
      expect(replay.isReplay).toBe(true);
      expect(await journal.getRuns(order)).toHaveLength(1);
      await expectNoViolations();
    });

    it("run once when the issuer transfers its tickets in a planned stop, with resends before, during and after", async () => {
      const issuer = fleet.getInstance("north-1-b");
      const createOrder = (ms: number) =>
        journal.createOrder(issuer, "/bookings", { query: `ms=${ms}` });
      const finishedOrder = await createOrder(5);
      expect((await journal.send(issuer, finishedOrder)).status).toBe(200);
      const runningOrder = await createOrder(1_200);
      const unusedOrders = await Promise.all([
        createOrder(5),
        createOrder(5),
        createOrder(5),
        createOrder(5),
      ]);
      const firstSend = journal.send(issuer, runningOrder);
      await waitForRun(runningOrder);
      issuer.process.terminate();
      const otherInstances = fleet.getRunning().filter((instance) =>
        instance !== issuer
      );
      const stopResults: Requests.Sent[] = [];
      const endMs = performance.now() + LOOP_LIMIT_MS;
      for (
        let round = 0;
        performance.now() < endMs &&
        (issuer.process.isRunning() || round < 8);
        round++
      ) {
        const orders = [
          finishedOrder,
          runningOrder,
          unusedOrders[round % unusedOrders.length],
        ]
          .filter((order) => order !== undefined);
        const via = otherInstances[round % otherInstances.length];
        if (via === undefined) throw new Error("no other instance");
        stopResults.push(
          ...await Promise.all(orders.map((order) => journal.send(via, order))),
        );
      }
      expect((await firstSend).status).toBe(200);
      expect(await issuer.process.exited).toEqual(
        { code: 0, signal: undefined },
      );
      const failures = stopResults.filter((result) => result.status !== 200)
        .map((result) => `${result.via} ${result.message.path} ${result.code}`);
      expect(failures, "orders that a planned stop interrupted").toEqual([]);
      for (const order of [finishedOrder, runningOrder, ...unusedOrders]) {
        for (const result of await resendEverywhere(order)) {
          expect([result.via, result.status]).toEqual([result.via, 200]);
        }
        expect(await journal.getRuns(order)).toHaveLength(1);
      }
      await fleet.startInstance("north-1-b", "north-1", "north");
      await expectNoViolations();
    });
  });

  describe("that crash every target that runs them", () => {
    it("are blocked at all instances after two targets crashed, while other requests, also identical ones in flight, are served", async () => {
      await fleet.setTargetFaults(
        { crashOn: "poison", crashMode: "restart", restartMs: 200 },
      );
      const issuer = fleet.getInstance("north-1-a");
      const popular = journal.createRead("/bikes", { query: "ms=40" });
      const endMs = performance.now() + LOOP_LIMIT_MS;
      let isBlocked = false;
      const backgroundLoad = fleet.getRunning().map(async (entry) => {
        while (!isBlocked && performance.now() < endMs) {
          await Promise.all(
            Array.from({ length: 6 }, () => journal.send(entry, popular)),
          );
        }
      });
      const poison = await journal.createOrder(issuer, "/bookings/poison");
      const outcomes: string[] = [];
      for (let i = 0; i < 4; i++) {
        const [ticket = ""] = await journal.getTickets(issuer, "club", 1);
        const result = await journal.send(issuer, { ...poison, ticket });
        outcomes.push(`${result.code} ${result.outcome}`);
      }
      for (const entry of fleet.getRunning()) {
        await Wait.waitFor(
          async () => {
            const [ticket = ""] = await journal.getTickets(entry, "club", 1);
            const result = await journal.send(entry, { ...poison, ticket });
            return result.code === 125;
          },
          2_000,
          `${entry.id} blocks the request`,
        );
      }
      isBlocked = true;
      await Promise.all(backgroundLoad);
      expect(outcomes).toEqual(
        ["128 unknown", "128 unknown", "125 not-run", "125 not-run"],
      );
      const records = await journal.getRecords();
      const poisonRecords = records.get(poison.marker) ?? [];
      console.log(
        poisonRecords.map((record) => `${record.target} ${record.outcome}`),
      );
      // A target without a free slot shed the request and did not run it.
      const crashedTargets = poisonRecords.filter((record) =>
        record.outcome !== "shed"
      )
        .map((record) => record.target);
      expect(crashedTargets).toHaveLength(2);
      expect(new Set(crashedTargets).size).toBe(2);
      for (const entry of fleet.getRunning()) {
        const result = await journal.send(entry, popular);
        expect([entry.id, result.status]).toEqual([entry.id, 200]);
      }
      await fleet.setTargetFaults({ crashOn: null, crashMode: null });
      await expectNoViolations();
    });
  });

  describe("under random pairs of faults", () => {
    it("never run twice, and are not reported as not-run when they ran", async () => {
      const seed = Number(process.env["SEED"] ?? Random.createSeed());
      console.log(`once storm seed=${seed}`);
      const random = Random.createRandom(seed);
      const pick = <T>(list: readonly T[]): T => {
        const item = list[Math.floor(random() * list.length)];
        if (item === undefined) throw new Error("nothing to pick from");
        return item;
      };
      const faults = Storm.getFaults(fleet, pick);
      for (let round = 0; round < STORM_ROUNDS; round++) {
        const orders = await Promise.all(
          Array.from(
            { length: STORM_ORDERS },
            () =>
              journal.createOrder(pick(fleet.getRunning()), "/bookings", {
                query: `ms=${Math.floor(random() * 200)}`,
              }),
          ),
        );
        const [firstFault, secondFault] = [pick(faults), pick(faults)];
        console.log(`round ${round}: ${firstFault[0]} and ${secondFault[0]}`);
        const sending = orders.map(async (order) => {
          for (let i = 0; i < 3; i++) {
            const entries = [
              pick(fleet.getRunning()),
              pick(fleet.getRunning()),
            ];
            await Promise.all(
              entries.map((entry) => journal.send(entry, order)),
            );
          }
        });
        await Promise.all([firstFault[1](), secondFault[1]()]);
        await Promise.all(sending);
        await fleet.network.heal();
        await fleet.platform.setFaults({ availability: "up" });
        await fleet.setTargetFaults({
          lateMs: null,
          resetAfterExecuting: null,
          truncateAfterBytes: null,
        });
        for (const entry of fleet.getRunning()) {
          const probe = journal.createRead("/bikes");
          await sendUntil(entry, probe, (result) => result.status === 200);
        }
      }
      const verdict = await expectNoViolations();
      console.log(`once verdict ${JSON.stringify(verdict)}`);
    });
  });
});
