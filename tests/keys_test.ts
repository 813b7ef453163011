import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as Keys from "../src/keys/keys.ts";
import type * as Types from "../src/types.ts";

function createRecord(
  accounts: Readonly<Record<string, readonly string[]>>,
  withdrawn: readonly string[] = [],
): Types.KeysRecord {
  const entries = Object.entries(accounts).map(([account, keys]) => [
    account,
    keys.map((key) => ({ id: key, digest: Keys.computeDigest(key) })),
  ]);
  return {
    writeId: "w",
    accounts: Object.fromEntries(entries),
    withdrawn: withdrawn.map(Keys.computeDigest),
  };
}

describe("key check", () => {
  it("distinguishes missing, unknown and withdrawn keys", () => {
    const keys = Keys.createKeys();
    expect(keys.authenticate("k1").unwrapErr().code.number).toBe(102);
    keys.setRecord(1, createRecord({ tenda: ["k1", "k2"] }, ["k2"]));
    const authenticated = keys.authenticate("k1").unwrap();
    expect(authenticated).toEqual({
      account: "tenda",
      digest: Keys.computeDigest("k1"),
    });
    expect(keys.authenticate(undefined).unwrapErr().code.number).toBe(101);
    expect(keys.authenticate("").unwrapErr().code.number).toBe(101);
    expect(keys.authenticate("k3").unwrapErr().code.number).toBe(102);
    expect(keys.authenticate("k2").unwrapErr().code.number).toBe(103);
    expect(keys.isKnownKey("k2") && keys.isKnownKey("k1")).toBe(true);
    expect(keys.isKnownKey("k3")).toBe(false);
  });

  it("checks the key of a queued request again by its digest", () => {
    const keys = Keys.createKeys();
    keys.setRecord(1, createRecord({ tenda: ["k1"] }));
    const { digest } = keys.authenticate("k1").unwrap();
    expect(keys.checkDigest(digest).unwrap()).toBe("tenda");
    keys.addWithdrawn([digest]);
    expect(keys.checkDigest(digest).unwrapErr().code.number).toBe(103);
    expect(keys.checkDigest("__proto__").unwrapErr().code.number).toBe(102);
  });

  it("never accepts a withdrawn key again, in whatever order records arrive", () => {
    const names = ["a", "b", "c"];
    const step = fc.record({
      revision: fc.integer({ min: 1, max: 6 }),
      issued: fc.subarray(names),
      withdrawn: fc.subarray(names),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const keys = Keys.createKeys();
      const withdrawnKeys = new Set<string>();
      let highest = 0;
      for (const { revision, issued, withdrawn } of steps) {
        const record = createRecord({ acct: issued }, withdrawn);
        expect(keys.setRecord(revision, record)).toBe(revision > highest);
        highest = Math.max(highest, revision);
        withdrawn.forEach((key) => withdrawnKeys.add(key));
        for (const key of withdrawnKeys) {
          expect(keys.authenticate(key).unwrapErr().code.number).toBe(103);
        }
      }
    }));
  });

  it("rejects malformed records, so that no keys or withdrawals are lost", () => {
    const validRecord = createRecord({ tenda: ["k1"] }, ["k2"]);
    expect(Keys.parseRecord(validRecord).isOk()).toBe(true);
    const malformedRecords = [
      null,
      [],
      { ...validRecord, writeId: 1 },
      { ...validRecord, withdrawn: ["K2"] },
      { ...validRecord, accounts: [] },
      { ...validRecord, accounts: { tenda: [{ id: "x", digest: "zz" }] } },
    ];
    for (const raw of malformedRecords) {
      expect(Keys.parseRecord(raw).unwrapErr().code.number).toBe(305);
    }
  });
});
