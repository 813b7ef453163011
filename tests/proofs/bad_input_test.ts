import * as Crypto from "node:crypto";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Client from "../../src/peer/client.ts";
import * as BadValues from "../../testing/fleet/bad_values.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Program from "../../testing/fleet/program.ts";
import * as Proof from "../../testing/fleet/proof.ts";
import * as Raw from "../../testing/fleet/raw.ts";
import type * as Requests from "../../testing/fleet/requests.ts";
import * as Settings from "../../testing/harness/settings.ts";
import * as Temp from "../../testing/harness/temp.ts";
import * as Wait from "../../testing/harness/wait.ts";

const CONFIG_BOUND_MS = 6_000;
const MAX_BODY_BYTES = 400_000;

describe("invalid input", () => {
  let fleet: Proof.ProofFleet;
  let journal: Requests.Journal;

  beforeAll(async () => {
    fleet = await Proof.startProofFleet({
      settings: { limits: { maxBodyBytes: MAX_BODY_BYTES } },
    });
    journal = fleet.journal;
  });
  afterAll(() => fleet?.stop());
  afterEach(() => fleet?.heal());

  /** Checks that every instance still runs, serves reads, and forwards orders to the peer that issued the ticket. */
  async function expectServing(): Promise<void> {
    for (const instance of fleet.instances) {
      expect(instance.process.isRunning(), instance.id).toBe(true);
      const readResult = await journal.send(
        instance,
        journal.createRead("/bikes"),
      );
      expect([instance.id, readResult.status, readResult.code]).toEqual([
        instance.id,
        200,
        0,
      ]);
      const issuer = fleet.getInstance("south-1-a");
      const order = await journal.createOrder(issuer, "/bookings");
      expect((await journal.send(instance, order)).status).toBe(200);
    }
    expect((await journal.check()).violations).toEqual([]);
  }

  describe("at the peer port", () => {
    it("stops no instance when messages are malformed, oversized or unauthenticated", async () => {
      const { peer } = fleet.getInstance("north-1-a");
      const responses = await Promise.all(
        BadValues.peerMessages.map((chunks) => Raw.sendRaw(peer, chunks)),
      );
      for (const response of responses) {
        expect(response).not.toContain('"result"');
        expect(response).not.toContain(Settings.TEST_SECRET);
      }
      await expectServing();
    });

    it("is rejected and changes no keys when the peer has a wrong secret", async () => {
      const { peer } = fleet.getInstance("north-1-a");
      const digest = Fleet.getDigest(fleet.keys.get("club") ?? "");
      const client = Client.createPeerClient({
        address: peer,
        secret: "another-secret-of-some-length",
        id: "stranger",
      });
      const push = { key: "keys", revision: 999, withdrawn: [digest] };
      const pushed = await client.call("config.push", push, 2_000);
      expect(pushed.isErr()).toBe(true);
      await client.close();
      await expectServing();
    });

    it("stops no instance when an authenticated peer sends malformed calls", async () => {
      const client = Client.createPeerClient({
        address: fleet.getInstance("north-1-a").peer,
        secret: Settings.TEST_SECRET,
        id: "tool",
      });
      await Promise.all(
        BadValues.peerCalls.map(([method, params]) =>
          client.call(method, params, 2_000)
        ),
      );
      await client.close();
      await expectServing();
    });
  });

  describe("in the store", () => {
    async function write(key: string, value: string): Promise<void> {
      const current = (await fleet.store.get(key)).unwrap();
      const opts = { writeId: Crypto.randomUUID() };
      await fleet.store.cas(key, current?.version ?? 0, value, opts);
    }

    it("leaves the table and the keys in force when values don't parse", async () => {
      const previousRecords = await Promise.all(
        ["table", "keys"].map(async (key) =>
          (await fleet.store.get(key)).unwrap()
        ),
      );
      const csv = Proof.formatProofTable();
      for (const [key, value] of BadValues.getStoreValues(csv)) {
        await write(key, value);
        await expectServing();
      }
      for (const record of previousRecords) {
        if (record === undefined) throw new Error("no record");
        const value = JSON.parse(record.value);
        const writeId = Crypto.randomUUID();
        await Fleet.writeRecord(fleet.store, record.key, {
          ...value,
          writeId,
        });
      }
      await fleet.writeTable(csv.replaceAll("/fleet", "/fleet /news"));
      for (const instance of fleet.instances) {
        await Wait.waitFor(
          async () => (await readPublic(instance, "/news")).status === 200,
          CONFIG_BOUND_MS,
          `${instance.id} has the next valid table`,
        );
      }
    });

    function readPublic(instance: Fleet.FleetInstance, path: string) {
      return journal.send(
        instance,
        journal.createRead(path, { account: "nobody" }),
      );
    }
  });

  describe("from callers", () => {
    /** Formats a request head with a valid key. */
    function formatHead(lines: readonly string[]): string {
      const key = `anvilroute-key: ${fleet.keys.get("club")}`;
      return [...lines, "host: x", key, "", ""].join("\r\n");
    }

    it("delays no other request when bodies are slow, which are rejected as not-run at their deadline", async () => {
      const entry = fleet.getInstance("north-1-a");
      const head = formatHead([
        "POST /s/booking/upload?m=slow-body HTTP/1.1",
        "content-length: 1000",
      ]);
      const slowResponses = Array.from(
        { length: 40 },
        () => Raw.sendRaw(entry.caller, [head, "x"], 8_000),
      );
      await expectServing();
      for (const response of await Promise.all(slowResponses)) {
        expect(response).toContain("anvilroute-outcome: not-run");
      }
      expect((await journal.getRecords()).get("slow-body")).toBe(undefined);
    });

    it("counts as no failure of a target when a body is too long, truncated or malformed", async () => {
      const entry = fleet.getInstance("north-1-a");
      const chunkedHead = formatHead([
        "POST /s/booking/upload?m=endless HTTP/1.1",
        "transfer-encoding: chunked",
        "connection: close",
      ]);
      const size = 50_000;
      const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
      const wholeBody = Array.from({ length: 12 }, () => chunk);
      const bodies = [wholeBody, [...wholeBody.slice(0, 6), "zz\r\n"]];
      const linesBefore = new Set(entry.process.getLog());
      for (let i = 0; i < 6; i++) {
        for (const body of bodies) {
          const response = await Raw.sendRaw(
            entry.caller,
            [chunkedHead, ...body],
            2_000,
          );
          // A part of the body has reached a target, which may have started to run the request.
          expect(response).toContain("anvilroute-outcome: unknown");
        }
      }
      const blamingLines = entry.process.getLog()
        .filter((line) => !linesBefore.has(line))
        .filter((line) => /target-broke|ejected|poison/.test(line));
      expect(blamingLines).toEqual([]);
      await expectServing();
    });

    it("receives a 4xx response with outcome not-run when heads are malformed or oversized", async () => {
      const entry = fleet.getInstance("north-1-a");
      const responses = await Promise.all(
        BadValues.requestHeads.map((head) =>
          Raw.sendRaw(entry.caller, [head], 2_000)
        ),
      );
      for (const response of responses) {
        expect(response).toMatch(/^HTTP\/1\.1 4\d\d /);
        expect(response).toContain("anvilroute-outcome: not-run");
      }
      await expectServing();
    });
  });

  describe("in the settings", () => {
    it("ends the program with code 2 and an error that names the setting, the value and the allowed values", async () => {
      const validSettings = {
        id: "x",
        domain: "north-1",
        region: "north",
        platform: fleet.platform.address,
      };
      const text = Settings.formatSettings(validSettings);
      for (const [toml, expected] of BadValues.getSettings(text)) {
        const path = Temp.writeTempFile("bad.toml", toml);
        const args = ["--config", path];
        const result = await Program.runProgram("src/daemon/main.js", args);
        expect([result.code, result.stdout]).toEqual([2, ""]);
        expect(result.stderr).toMatch(expected);
      }
      const missingArgs = ["--config", "/nonexistent.toml"];
      const result = await Program.runProgram(
        "src/daemon/main.js",
        missingArgs,
      );
      expect(result.code).toBe(2);
    });
  });
});
