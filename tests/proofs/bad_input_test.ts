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

describe("bad input", () => {
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

  /** Every instance still runs, serves a caller and hears its peers. */
  async function expectServing(): Promise<void> {
    for (const one of fleet.instances) {
      expect(one.process.isRunning(), one.id).toBe(true);
      const read = await journal.send(one, journal.createRead("/bikes"));
      expect([one.id, read.status, read.code]).toEqual([one.id, 200, 0]);
      const issuer = fleet.getInstance("south-1-a");
      const order = await journal.createOrder(issuer, "/bookings");
      expect((await journal.send(one, order)).status).toBe(200);
    }
    expect((await journal.check()).violations).toEqual([]);
  }

  describe("at the peer port", () => {
    it("survives malformed, oversized and unauthenticated messages", async () => {
      const { peer } = fleet.getInstance("north-1-a");
      const answers = await Promise.all(
        BadValues.peerMessages.map((chunks) => Raw.sendRaw(peer, chunks)),
      );
      for (const answer of answers) {
        expect(answer).not.toContain('"result"');
        expect(answer).not.toContain(Settings.TEST_SECRET);
      }
      await expectServing();
    });

    it("refuses a wrong secret, and takes nothing from its holder", async () => {
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

    it("survives malformed calls of an authenticated peer", async () => {
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

    it("keeps the table and the keys in force over values that do not parse", async () => {
      const before = await Promise.all(
        ["table", "keys"].map(async (key) =>
          (await fleet.store.get(key)).unwrap()
        ),
      );
      const csv = Proof.formatProofTable();
      for (const [key, value] of BadValues.getStoreValues(csv)) {
        await write(key, value);
        await expectServing();
      }
      for (const record of before) {
        if (record === undefined) throw new Error("no record");
        const value = JSON.parse(record.value);
        const writeId = Crypto.randomUUID();
        await Fleet.writeRecord(fleet.store, record.key, {
          ...value,
          writeId,
        });
      }
      await fleet.writeTable(csv.replaceAll("/fleet", "/fleet /news"));
      for (const one of fleet.instances) {
        await Wait.waitFor(
          async () => (await readPublic(one, "/news")).status === 200,
          CONFIG_BOUND_MS,
          `${one.id} has the next good table`,
        );
      }
    });

    function readPublic(one: Fleet.FleetInstance, path: string) {
      return journal.send(one, journal.createRead(path, { account: "nobody" }));
    }
  });

  describe("from callers", () => {
    /** A request head without its body. */
    function formatHead(lines: readonly string[]): string {
      const key = `anvilroute-key: ${fleet.keys.get("club")}`;
      return [...lines, "host: x", key, "", ""].join("\r\n");
    }

    it("bounds slow bodies by the deadline, as not run, while others are served", async () => {
      const entry = fleet.getInstance("north-1-a");
      const head = formatHead([
        "POST /s/booking/upload?m=slow-body HTTP/1.1",
        "content-length: 1000",
      ]);
      const slow = Array.from(
        { length: 40 },
        () => Raw.sendRaw(entry.caller, [head, "x"], 8_000),
      );
      await expectServing();
      for (const answer of await Promise.all(slow)) {
        expect(answer).toContain("anvilroute-outcome: not-run");
      }
      expect((await journal.getRecords()).get("slow-body")).toBe(undefined);
    });

    it("blames no target for callers whose body is too long, breaks off or is malformed", async () => {
      const entry = fleet.getInstance("north-1-a");
      const chunked = formatHead([
        "POST /s/booking/upload?m=endless HTTP/1.1",
        "transfer-encoding: chunked",
        "connection: close",
      ]);
      const size = 50_000;
      const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
      const whole = Array.from({ length: 12 }, () => chunk);
      const bodies = [whole, [...whole.slice(0, 6), "zz\r\n"]];
      const before = new Set(entry.process.getLog());
      for (let i = 0; i < 6; i++) {
        for (const body of bodies) {
          const answer = await Raw.sendRaw(
            entry.caller,
            [chunked, ...body],
            2_000,
          );
          // A part of the body has reached a target, which may have begun.
          expect(answer).toContain("anvilroute-outcome: unknown");
        }
      }
      const blamed = entry.process.getLog()
        .filter((line) => !before.has(line))
        .filter((line) => /target-broke|ejected|poison/.test(line));
      expect(blamed).toEqual([]);
      await expectServing();
    });

    it("answers malformed and oversized heads", async () => {
      const entry = fleet.getInstance("north-1-a");
      const answers = await Promise.all(
        BadValues.requestHeads.map((head) =>
          Raw.sendRaw(entry.caller, [head], 2_000)
        ),
      );
      for (const answer of answers) {
        expect(answer).toMatch(/^HTTP\/1\.1 4\d\d /);
        expect(answer).toContain("anvilroute-outcome: not-run");
      }
      await expectServing();
    });
  });

  describe("in the settings", () => {
    it("ends with code 2, naming the setting, the value and what is allowed", async () => {
      const good = {
        id: "x",
        domain: "north-1",
        region: "north",
        platform: fleet.platform.address,
      };
      const text = Settings.formatSettings(good);
      for (const [toml, expected] of BadValues.getSettings(text)) {
        const path = Temp.writeTempFile("bad.toml", toml);
        const args = ["--config", path];
        const ended = await Program.runProgram("src/daemon/main.js", args);
        expect([ended.code, ended.stdout]).toEqual([2, ""]);
        expect(ended.stderr).toMatch(expected);
      }
      const missing = ["--config", "/nonexistent.toml"];
      const ended = await Program.runProgram("src/daemon/main.js", missing);
      expect(ended.code).toBe(2);
    });
  });
});
