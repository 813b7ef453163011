import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as PeerClient from "../../src/peer/client.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as KeyUse from "../../testing/fleet/key_use.ts";
import * as Proof from "../../testing/fleet/proof.ts";
import type * as Requests from "../../testing/fleet/requests.ts";
import * as Settings from "../../testing/harness/settings.ts";
import * as Wait from "../../testing/harness/wait.ts";

/** "Within seconds" of promise 5. */
const WITHDRAWAL_BOUND_MS = 6_000;
const KEY_CHARS = 40;
/** Between the last check of a key and the target's record. */
const START_SLACK_MS = 1_000;

describe("keys", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;
  const leaks: string[] = [];
  const tails = new Map<string, string>();

  /** Looks for plaintext keys in all bytes between processes. */
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

  async function expectTrue(): Promise<void> {
    expect((await journal.check()).violations).toEqual([]);
  }

  describe("decide for whom a request runs", () => {
    it("runs nothing for another account, whatever the caller claims", async () => {
      const other = fleet.getInstance("south-1-a");
      const digest = Fleet.getDigest(getKey("hut"));
      const relay = `v1.hut.${digest}.${Date.now().toString(36)}.forged`;
      const [ticketOfHut = ""] = await journal.getTickets(other, "hut", 1);
      const strange: readonly (readonly [Requests.MessageOptions, number])[] = [
        [{ account: "nobody" }, 101],
        [
          { account: "nobody", headers: { "anvilroute-key": "x".repeat(40) } },
          102,
        ],
        [{ account: "nobody", headers: { "anvilroute-relay": relay } }, 101],
        [{ account: "nobody", headers: { "anvilroute-account": "hut" } }, 101],
        [{ account: "nobody", headers: { "anvilroute-key": digest } }, 102],
      ];
      for (const instance of fleet.getRunning()) {
        for (const [opts, code] of strange) {
          const read = await journal.send(
            instance,
            journal.createRead("/bikes", opts),
          );
          expect([instance.id, read.code, read.outcome])
            .toEqual([instance.id, code, "not-run"]);
          const order = await journal.createOrder(other, "/bookings", {
            ...opts,
            ticket: ticketOfHut,
          });
          const sent = await journal.send(instance, order);
          expect([instance.id, sent.code]).toEqual([instance.id, code]);
        }
        const stolen = await journal.createOrder(other, "/bookings", {
          account: "club",
          ticket: ticketOfHut,
        });
        expect((await journal.send(instance, stolen)).code).toBe(111);
        const forged = {
          "anvilroute-account": "hut",
          "anvilroute-relay": relay,
        };
        const own = journal.createRead("/bikes", { headers: forged });
        expect((await journal.send(instance, own)).status).toBe(200);
        const open = journal.createRead("/fleet", { account: "nobody" });
        expect((await journal.send(instance, open)).status).toBe(200);
      }
      await expectTrue();
    });
  });

  describe("stay with the system", () => {
    it("shows no target a key, wherever a caller put it and through whichever instance", async () => {
      const [key, second] = [getKey("club"), getKey("hut")];
      const issuer = fleet.getInstance("south-1-a");
      for (const headers of KeyUse.getKeyPlaces(key, second)) {
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
      const urls = [`/fleet/${key}`, `/bikes/${second}`, `/fleet/a%20${key}`];
      const queries = [`key=${second}`, `${second}=1`, `a=b%26${second}`];
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
      const seen = records.map((one) => JSON.stringify(one));
      for (const each of [key, second]) {
        const inner = Buffer.from(each).toString("base64").slice(4, -4);
        const found = seen.filter((one) =>
          one.includes(each) || one.includes(inner)
        );
        expect(found, "records with a key").toEqual([]);
      }
      expect(leaks, "between processes").toEqual([]);
      await expectTrue();
    });

    it("shows no key in logs, metrics, the store or the answers to the operators' tool", async () => {
      const parts: string[] = [
        JSON.stringify(await fleet.platform.getEntries()),
      ];
      for (const instance of fleet.getRunning()) {
        const metrics = await fetch(`http://${instance.probe}/metrics`);
        parts.push(await metrics.text(), ...instance.process.getLog());
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
          parts.push(JSON.stringify(await client.call(method, params, 2_000)));
        }
        await client.close();
      }
      const all = parts.join("\n");
      expect(all.includes(Fleet.getDigest(getKey("club")))).toBe(true);
      for (const [account, key] of fleet.keys) {
        expect(all.includes(key), `key of ${account}`).toBe(false);
      }
    });
  });

  describe("stop working when they are withdrawn", () => {
    const sendWith = (one: Fleet.FleetInstance, key: string, query?: string) =>
      KeyUse.sendWith(fleet, one, key, query);

    async function expectRefusedEverywhere(
      key: string,
      sinceMs: number,
      instances: readonly Fleet.FleetInstance[],
    ): Promise<void> {
      await Promise.all(instances.map((one) =>
        Wait.waitFor(
          async () => (await sendWith(one, key)).status !== 200,
          sinceMs + WITHDRAWAL_BOUND_MS - performance.now(),
          `${one.id} refuses the withdrawn key`,
        )
      ));
      for (const one of instances) {
        const sent = await sendWith(one, key);
        expect([one.id, sent.outcome]).toEqual([one.id, "not-run"]);
      }
    }

    it("on kept-alive connections, for queued requests and for resends of an order that ran", async () => {
      const key = await KeyUse.issueKey(fleet);
      const issuer = fleet.getInstance("north-1-a");
      const headers = { "anvilroute-key": key };
      const order = await journal.createOrder(issuer, "/bookings", { headers });
      expect((await journal.send(issuer, order)).status).toBe(200);
      const kept = fleet.getRunning().map((one) =>
        KeyUse.keepSending(one, key)
      );
      // 48 slots at 300 ms: of 350 callers about 300 wait, for about 2 s.
      const flood = Promise.all(
        Array.from({ length: 350 }, async () => {
          const sent: Requests.Sent[] = [];
          const endMs = performance.now() + WITHDRAWAL_BOUND_MS;
          while (performance.now() < endMs && sent.at(-1)?.code !== 103) {
            sent.push(await sendWith(issuer, key, "ms=300"));
          }
          return sent;
        }),
      );
      const startedMs = performance.now();
      const [tool] = await Promise.all([
        KeyUse.withdraw(fleet, key),
        expectRefusedEverywhere(key, startedMs, fleet.getRunning()),
      ]);
      expect([tool.code, tool.stdout + tool.stderr]).toEqual([0, tool.stdout]);
      const doneMs = performance.now();
      for (const one of kept) {
        const { lastGoodMs, connections } = await one.stop();
        expect(connections, "one connection").toBe(1);
        expect(lastGoodMs).toBeGreaterThan(startedMs - 1_000);
        expect(lastGoodMs - startedMs).toBeLessThan(WITHDRAWAL_BOUND_MS);
      }
      const results = (await flood).flat();
      const refused = results.filter((one) => one.code === 103);
      const firstMs = Math.min(...refused.map((one) => one.endedWallMs));
      const inQueue = refused.filter((one) =>
        one.startedWallMs < firstMs - 100
      );
      expect(inQueue.length, "refused while they waited").toBeGreaterThan(0);
      const records = await journal.getRecords();
      const late = results
        .flatMap((one) => records.get(one.message.marker) ?? [])
        .map((one) => one.startedWallMs - firstMs)
        .filter((lateMs) => lateMs > START_SLACK_MS);
      expect(late, "started after the withdrawal").toEqual([]);
      for (const one of fleet.getRunning()) {
        const resent = await journal.send(one, order);
        expect([one.id, resent.code, resent.outcome])
          .toEqual([one.id, 103, "unknown"]);
      }
      console.log(`withdrawal: ${Math.round(doneMs - startedMs)} ms`);
      await expectTrue();
    });

    it("by push while the store is down and one instance is frozen", async () => {
      const key = await KeyUse.issueKey(fleet);
      const frozen = fleet.getInstance("south-1-a");
      const others = fleet.getRunning().filter((one) => one !== frozen);
      await fleet.platform.setFaults({ availability: "refuse" });
      frozen.process.freeze();
      const startedMs = performance.now();
      const [tool] = await Promise.all([
        KeyUse.withdraw(fleet, key),
        expectRefusedEverywhere(key, startedMs, others),
      ]);
      expect(tool.code, tool.stdout + tool.stderr).toBe(6);
      expect(tool.stdout).toContain("south-1-a: NOT CONFIRMED");
      expect(tool.stdout).toContain("NOT STORED");
      for (const one of others) {
        const sent = await journal.send(one, journal.createRead("/bikes"));
        expect([one.id, sent.status, sent.code]).toEqual([one.id, 200, 0]);
      }
      const resumedMs = performance.now();
      frozen.process.resume();
      await expectRefusedEverywhere(key, resumedMs, [frozen]);
      await expectTrue();
    });

    it("while a domain is cut off, which then serves no key at all", async () => {
      const key = await KeyUse.issueKey(fleet);
      const alone = fleet.getInstance("north-2-a");
      await fleet.network.isolate("north-2");
      const startedMs = performance.now();
      await Promise.all([
        KeyUse.withdraw(fleet, key),
        expectRefusedEverywhere(key, startedMs, fleet.getRunning()),
      ]);
      expect((await sendWith(alone, key)).code).toBe(104);
      const open = journal.createRead("/fleet", { account: "nobody" });
      await Wait.waitFor(
        async () => (await journal.send(alone, open)).status === 200,
        WITHDRAWAL_BOUND_MS,
        "the cut-off domain serves open routes",
      );
      await fleet.heal();
      expect((await sendWith(alone, key)).code).toBe(103);
      await expectTrue();
    });
  });
});
