import { afterEach, describe, expect, it } from "vitest";
import * as Records from "../../platform/records.ts";
import * as Rig from "../support/gateway_rig.ts";

/** JSON text of lists within lists; a recursive function over the parsed value exhausts the stack. */
const DEEP = "[".repeat(100_000) + "]".repeat(100_000);

const sound = {
  service: "orders",
  address: "127.0.0.1:1",
  zone: "north-a",
  version: "v1",
  state: "ready",
  capacity: 4,
  coldLeftMs: 0,
  callSeq: 1,
  born: 1,
};

/** Returns the sound entry with one field replaced by JSON text. */
function replaceField(name: string, json: string): string {
  const fields = Object.entries({ ...sound, [name]: undefined })
    .map(([field, value]) =>
      [
        JSON.stringify(field),
        field === name ? json : JSON.stringify(value),
      ].join(":")
    );
  return `{${fields.join(",")}}`;
}

/** Entries of another writer that name no usable target. */
const ODD_ENTRIES: readonly (readonly [string, string])[] = [
  ...["service", "address", "zone", "state", "capacity", "born"].map((name) =>
    [`a deeply nested ${name}`, replaceField(name, DEEP)] as const
  ),
  ["a deeply nested value", DEEP],
  ...["1e400", "1e300", "-1", "0.5", "9007199254740993"].map((number) =>
    [`a capacity of ${number}`, replaceField("capacity", number)] as const
  ),
  ...["1e400", "1e300", "-1"].map((number) =>
    [`a cold time of ${number}`, replaceField("coldLeftMs", number)] as const
  ),
  ...["1e400", "1e300", "-1", "0.5"].map((number) =>
    [`a start at ${number}`, replaceField("born", number)] as const
  ),
  ...[
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "999.0.0.1:80",
    "127.0.0.1:80\\u0000",
    "127.0.0.1:80@10.0.0.1:1",
  ].map((address) =>
    [`the address ${address}`, replaceField("address", `"${address}"`)] as const
  ),
];

describe("an entry of another writer", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const release of cleanups.splice(0).reverse()) await release();
  });

  it.each(ODD_ENTRIES)("names no target with %s", (_name, value) => {
    const item = { key: "servers/i-odd", revision: 1, value };
    expect(Records.decodeItem(item)).toMatchObject({ kind: "unreadable" });
  });

  // Guards against orders that a program runs which is no target, because an entry has the fields that are used.
  it.each([
    "service",
    "address",
    "zone",
    "version",
    "state",
    "capacity",
    "coldLeftMs",
    "callSeq",
  ])("names no target without the field %s", (field) => {
    const value = JSON.stringify({ ...sound, [field]: undefined });
    const item = { key: "servers/i-odd", revision: 1, value };
    expect(Records.decodeItem(item)).toMatchObject({ kind: "unreadable" });
  });

  it("names a target without the time of its start", () => {
    const value = JSON.stringify({ ...sound, born: undefined });
    const item = { key: "servers/i-1", revision: 1, value };
    expect(Records.decodeItem(item)).toMatchObject({ kind: "target" });
  });

  it.each(["i-\r\nx-a: 1", "i-\u0000", "i-\u00e4", "", "i odd"])(
    "names no target with the id %j, which no header can carry",
    (id) => {
      const value = JSON.stringify(sound);
      const item = { key: `servers/${id}`, revision: 1, value };
      expect(Records.decodeItem(item)).toMatchObject({ kind: "unreadable" });
    },
  );

  it.each([
    ["version", DEEP],
    ["hosts", DEEP],
    ["hosts", `[{"host":${DEEP},"paths":[{}]}]`],
    ["services", `[{"name":${DEEP}}]`],
    ["tenants", `[{"name":"a","apiKeys":${DEEP}}]`],
    ["limits", `{"maxBodyBytes":${DEEP}}`],
  ])("puts no configuration in force with an odd field %s", (field, json) => {
    const value = Rig.formatConfig(2).replace(
      /^\{/,
      `{${JSON.stringify(field)}:${json},`,
    ).replace(new RegExp(`,"${field}":`), `,"unused-${field}":`);
    const item = { key: "op/config", revision: 1, value };
    expect(Records.decodeItem(item)).toMatchObject({ kind: "unreadable" });
  });

  // Guards against one odd entry that hides those beside it, at the start and later: the fleet would have no targets.
  it("does not hide the sound ones beside it, and is logged once", async () => {
    const fleet = await Rig.startFleet(
      (release) => void cleanups.push(release),
      { targets: 2, instances: 1 },
    );
    const value = replaceField("state", DEEP);
    fleet.targets[1]!.register("draining");
    // In the order of the keys, the odd entries are the first and the last of a batch.
    for (const id of ["a-odd", "z-odd"]) fleet.kv.put(`servers/${id}`, value);
    fleet.targets[1]!.register();
    await fleet.startInstance();
    const [first, second] = fleet.instances;
    await Rig.waitReady(second!.ready);
    for (const { address } of [first!, second!]) {
      const response = await Rig.send(address, "/read/x");
      expect(response.status).toBe(200);
    }
    fleet.kv.put("op/config", Rig.formatConfig(2, { key: "k2" }));
    for (const { address, lines } of [first!, second!]) {
      await Rig.until("the new key is in force", async () => {
        const headers = { authorization: "Bearer k2" };
        return (await Rig.send(address, "/read/x", { headers })).status === 200;
      });
      for (const id of ["a-odd", "z-odd"]) {
        const logged = lines.filter((line) =>
          line.includes(`event=item-unreadable key=servers/${id} `)
        );
        expect(logged).toHaveLength(1);
      }
      expect(lines.join("\n")).not.toContain("child-failed");
    }
  });

  it("is logged once although its writer renews it", async () => {
    const fleet = await Rig.startFleet(
      (release) => void cleanups.push(release),
    );
    const { lines } = fleet.instances[0]!;
    for (let seq = 0; seq < 3; seq++) {
      fleet.kv.put("servers/i-odd", JSON.stringify({ state: "gone", seq }));
      fleet.kv.put(
        "servers/i-next",
        JSON.stringify({ ...sound, callSeq: seq, coldLeftMs: seq }),
      );
      await Rig.until("the renewal is read", () => {
        const text = lines.filter((line) =>
          line.includes("items-ignored") || line.includes("i-next")
        );
        return text.length > 0;
      });
      await new Promise((done) => setTimeout(done, 700));
    }
    const logged = lines.filter((line) => line.includes("key=servers/i-odd "));
    expect(logged).toHaveLength(1);
  });
});
