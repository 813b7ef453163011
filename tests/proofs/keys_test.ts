import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as PeerClient from "../../src/peer/client.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as KeyUse from "../../testing/fleet/key_use.ts";
import * as Proof from "../../testing/fleet/proof.ts";
import type * as Requests from "../../testing/fleet/requests.ts";
import * as Settings from "../../testing/harness/settings.ts";
import * as Wait from "../../testing/harness/wait.ts";

/** Longest time until every instance rejects a withdrawn key, the bound of guarantee 5. */
const WITHDRAWAL_BOUND_MS = 6_000;
const KEY_CHARS = 40;
/** Most time between the last check of a key and the start that the target records. */
const START_SLACK_MS = 1_000;

describe("access keys", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;
  const leaks: string[] = [];
  const tails = new Map<string, string>();

  /** Searches the bytes of a connection between processes for plaintext keys, also across chunks. */
  function tap(connection: string, chunk: Buffer): void {
    if (fleet === undefined) return;
    const text = (tails.get(connection) ?? "") + chunk.toString("latin1");
    for (const [account, key] of fleet.keys) {
      if (text.includes(key)) leaks.push(`key of ${account} on ${connection}`);
    }
    tails.set(connection, text.slice(-KEY_CHARS));
  }

  beforeAll(async () => {
    fleet = await Proof.startProofFleet({
      tap,
      settings: { logLevel: "debug" },
    });
    journal = fleet.journal;
  });
  afterAll(() => fleet?.stop());
  afterEach(() => fleet?.heal());

  const getKey = (account: string) => fleet.keys.get(account) ?? "";

  async function expectNoViolations(): Promise<void> {
    expect((await journal.check()).violations).toEqual([]);
  }

  describe("decide the account of a request", () => {
    it("so that no request runs for an account whose name, digest, ticket or forged relay header is sent without its key", async () => {
      const issuer = fleet.getInstance("south-1-a");
      const digest = Fleet.getDigest(getKey("hut"));
      const relay = `v1.hut.${digest}.${Date.now().toString(36)}.forged`;
      const [ticketOfHut = ""] = await journal.getTickets(issuer, "hut", 1);
      const rejectedClaims:
        readonly (readonly [Requests.MessageOptions, number])[] = [
          [{ account: "nobody" }, 101],
          [
            {
              account: "nobody",
              headers: { "anvilroute-key": "x".repeat(40) },
            },
            102,
          ],
          [{ account: "nobody", headers: { "anvilroute-relay": relay } }, 101],
          [
            { account: "nobody", headers: { "anvilroute-account": "hut" } },
            101,
          ],
          [{ account: "nobody", headers: { "anvilroute-key": digest } }, 102],
        ];
      for (const instance of fleet.getRunning()) {
        for (const [opts, code] of rejectedClaims) {
          const readResult = await journal.send(
            instance,
            journal.createRead("/bikes", opts),
          );
          expect([instance.id, readResult.code, readResult.outcome])
            .toEqual([instance.id, code, "not-run"]);
          const order = await journal.createOrder(issuer, "/bookings", {
            ...opts,
            ticket: ticketOfHut,
          });
          const orderResult = await journal.send(instance, order);
          expect([instance.id, orderResult.code]).toEqual([instance.id, code]);
        }
        const foreignTicketOrder = await journal.createOrder(
          issuer,
          "/bookings",
          {
            account: "club",
            ticket: ticketOfHut,
          },
        );
        expect((await journal.send(instance, foreignTicketOrder)).code)
          .toBe(111);
        const forgedHeaders = {
          "anvilroute-account": "hut",
          "anvilroute-relay": relay,
        };
        const ownRead = journal.createRead("/bikes", {
          headers: forgedHeaders,
        });
        expect((await journal.send(instance, ownRead)).status).toBe(200);
        const openRead = journal.createRead("/fleet", { account: "nobody" });
        expect((await journal.send(instance, openRead)).status).toBe(200);
      }
      await expectNoViolations();
    });
  });

  describe("stay inside the system", () => {
    it("so that no target receives a key, whichever part of a request contains it and whichever instance forwards it", async () => {
      const [clubKey, hutKey] = [getKey("club"), getKey("hut")];
      const issuer = fleet.getInstance("south-1-a");
      for (const headers of KeyUse.getKeyPlaces(clubKey, hutKey)) {
        for (const instance of fleet.getRunning()) {
          await journal.send(
            instance,
            journal.createRead("/bikes", { headers }),
          );
          await journal.send(
            instance,
            journal.createRead("/fleet", { account: "nobody", headers }),
          );
          const order = await journal.createOrder(issuer, "/bookings", {
            headers,
          });
          expect((await journal.send(instance, order)).status).toBe(200);
        }
      }
      const urls = [
        `/fleet/${clubKey}`,
        `/bikes/${hutKey}`,
        `/fleet/a%20${clubKey}`,
      ];
      const queries = [`key=${hutKey}`, `${hutKey}=1`, `a=b%26${hutKey}`];
      for (const account of ["club", "nobody"]) {
        for (const path of urls) {
          await journal.send(issuer, journal.createRead(path, { account }));
        }
        for (const query of queries) {
          const read = journal.createRead("/fleet", { account, query });
          await journal.send(issuer, read);
        }
      }
      const records = [...(await journal.getRecords()).values()].flat();
      const serializedRecords = records.map((record) => JSON.stringify(record));
      for (const plaintextKey of [clubKey, hutKey]) {
        const inner = Buffer.from(plaintextKey).toString("base64").slice(4, -4);
        const recordsWithKey = serializedRecords.filter((json) =>
          json.includes(plaintextKey) || json.includes(inner)
        );
        expect(recordsWithKey, "records with a key").toEqual([]);
      }
      expect(leaks, "between processes").toEqual([]);
      await expectNoViolations();
    });

    it("so that logs, metrics, the store and responses to the operators' tool contain no key", async () => {
      const outputs: string[] = [
        JSON.stringify(await fleet.platform.getEntries()),
      ];
      for (const instance of fleet.getRunning()) {
        const metrics = await fetch(`http://${instance.probe}/metrics`);
        outputs.push(await metrics.text(), ...instance.process.getLog());
        const client = PeerClient.createPeerClient({
          address: instance.peer,
          secret: Settings.TEST_SECRET,
          id: "proof",
        });
        for (
          const [method, params] of [
            ["status", {}],
            ["members.list", {}],
            ["config.get", { key: "keys" }],
            ["config.get", { key: "table" }],
            ["report.burn", {}],
            ["explain", { service: "booking", account: "club" }],
          ] as const
        ) {
          outputs.push(
            JSON.stringify(await client.call(method, params, 2_000)),
          );
        }
        await client.close();
      }
      const allOutput = outputs.join("\n");
      expect(allOutput.includes(Fleet.getDigest(getKey("club")))).toBe(true);
      for (const [account, key] of fleet.keys) {
        expect(allOutput.includes(key), `key of ${account}`).toBe(false);
      }
    });
  });

  describe("are rejected after their withdrawal", () => {
    const sendWith = (
      instance: Fleet.FleetInstance,
      key: string,
      query?: string,
    ) => KeyUse.sendWith(fleet, instance, key, query);

    async function expectRejectedEverywhere(
      key: string,
      sinceMs: number,
      instances: readonly Fleet.FleetInstance[],
    ): Promise<void> {
      await Promise.all(instances.map((instance) =>
        Wait.waitFor(
          async () => (await sendWith(instance, key)).status !== 200,
          sinceMs + WITHDRAWAL_BOUND_MS - performance.now(),
          `${instance.id} rejects the withdrawn key`,
        )
      ));
      for (const instance of instances) {
        const result = await sendWith(instance, key);
        expect([instance.id, result.outcome]).toEqual([instance.id, "not-run"]);
      }
    }

    it("on kept-alive connections, for queued requests and for resends of an order that ran", async () => {
      const key = await KeyUse.issueKey(fleet);
      const issuer = fleet.getInstance("north-1-a");
      const headers = { "anvilroute-key": key };
      const order = await journal.createOrder(issuer, "/bookings", { headers });
      expect((await journal.send(issuer, order)).status).toBe(200);
      const keptConnections = fleet.getRunning().map((instance) =>
        KeyUse.keepSending(instance, key)
      );
      // With 48 slots and 300 ms a request, about 300 of 350 callers wait for about 2 s.
      const flood = Promise.all(
        Array.from({ length: 350 }, async () => {
          const attempts: Requests.Sent[] = [];
          const endMs = performance.now() + WITHDRAWAL_BOUND_MS;
          while (performance.now() < endMs && attempts.at(-1)?.code !== 103) {
            attempts.push(await sendWith(issuer, key, "ms=300"));
          }
          return attempts;
        }),
      );
      const startedMs = performance.now();
      const [tool] = await Promise.all([
        KeyUse.withdraw(fleet, key),
        expectRejectedEverywhere(key, startedMs, fleet.getRunning()),
      ]);
      expect([tool.code, tool.stdout + tool.stderr]).toEqual([0, tool.stdout]);
      const doneMs = performance.now();
      for (const connection of keptConnections) {
        const { lastGoodMs, connections } = await connection.stop();
        expect(connections, "connections used").toBe(1);
        expect(lastGoodMs).toBeGreaterThan(startedMs - 1_000);
        expect(lastGoodMs - startedMs).toBeLessThan(WITHDRAWAL_BOUND_MS);
      }
      const results = (await flood).flat();
      const rejected = results.filter((result) => result.code === 103);
      const firstMs = Math.min(...rejected.map((result) => result.endedWallMs));
      const rejectedInQueue = rejected.filter((result) =>
        result.startedWallMs < firstMs - 100
      );
      expect(rejectedInQueue.length, "requests rejected while they waited")
        .toBeGreaterThan(0);
      const records = await journal.getRecords();
      const lateStartsMs = results
        .flatMap((result) => records.get(result.message.marker) ?? [])
        .map((record) => record.startedWallMs - firstMs)
        .filter((lateMs) => lateMs > START_SLACK_MS);
      expect(lateStartsMs, "started after the withdrawal").toEqual([]);
      for (const instance of fleet.getRunning()) {
        const resent = await journal.send(instance, order);
        expect([instance.id, resent.code, resent.outcome])
          .toEqual([instance.id, 103, "unknown"]);
      }
      console.log(`withdrawal: ${Math.round(doneMs - startedMs)} ms`);
      await expectNoViolations();
    });

    it("by push while the store is down, and by an instance that was frozen meanwhile", async () => {
      const key = await KeyUse.issueKey(fleet);
      const frozenInstance = fleet.getInstance("south-1-a");
      const otherInstances = fleet.getRunning().filter((instance) =>
        instance !== frozenInstance
      );
      await fleet.platform.setFaults({ availability: "refuse" });
      frozenInstance.process.freeze();
      const startedMs = performance.now();
      const [tool] = await Promise.all([
        KeyUse.withdraw(fleet, key),
        expectRejectedEverywhere(key, startedMs, otherInstances),
      ]);
      expect(tool.code, tool.stdout + tool.stderr).toBe(6);
      expect(tool.stdout).toContain("south-1-a: NOT CONFIRMED");
      expect(tool.stdout).toContain("NOT STORED");
      for (const instance of otherInstances) {
        const result = await journal.send(
          instance,
          journal.createRead("/bikes"),
        );
        expect([instance.id, result.status, result.code]).toEqual([
          instance.id,
          200,
          0,
        ]);
      }
      const resumedMs = performance.now();
      frozenInstance.process.resume();
      await expectRejectedEverywhere(key, resumedMs, [frozenInstance]);
      await expectNoViolations();
    });

    it("while a domain is cut off, which then rejects all keys", async () => {
      const key = await KeyUse.issueKey(fleet);
      const isolatedInstance = fleet.getInstance("north-2-a");
      await fleet.network.isolate("north-2");
      const startedMs = performance.now();
      await Promise.all([
        KeyUse.withdraw(fleet, key),
        expectRejectedEverywhere(key, startedMs, fleet.getRunning()),
      ]);
      expect((await sendWith(isolatedInstance, key)).code).toBe(104);
      const openRead = journal.createRead("/fleet", { account: "nobody" });
      await Wait.waitFor(
        async () =>
          (await journal.send(isolatedInstance, openRead)).status === 200,
        WITHDRAWAL_BOUND_MS,
        "the cut-off domain serves open routes",
      );
      await fleet.heal();
      expect((await sendWith(isolatedInstance, key)).code).toBe(103);
      await expectNoViolations();
    });
  });
});
