import { Ok } from "ts-results-es";
import { describe, expect, it } from "vitest";
import type * as Contracts from "../../src/gateway/contracts.ts";
import * as Membership from "../../src/gateway/membership.ts";
import * as Topology from "../../src/gateway/topology.ts";
import * as Log from "../../src/log.ts";
import * as Supervisor from "../../src/supervisor.ts";

const PREFIX = "anvilroute/";

function createRecord(id: string, value: string) {
  return { key: `${PREFIX}members/${id}`, revision: 1, value };
}

function createSound(id: string, capacity: number) {
  const record = { peerAddress: "127.0.0.1:7220", domain: "north-a", capacity };
  return createRecord(id, JSON.stringify(record));
}

/** Joins a fleet whose store holds the items, twice; returns the members and log lines. */
async function join(items: readonly ReturnType<typeof createRecord>[]) {
  const lines: string[] = [];
  const log = Log.createLogger("info", {}, (line) => void lines.push(line));
  const secret = { key: `${PREFIX}peer-secret`, revision: 1, value: "s" };
  const membership = Membership.createMembership({
    self: "self",
    store: {
      readAll: () =>
        Promise.resolve(Ok({ items: [...items, secret], revision: 1 })),
    } as unknown as Contracts.MetadataStore,
    minLeaseMs: 1_000,
    isRecordNeeded: () => false,
    isDiscoveryNeeded: () => false,
    isAlone: () => false,
    supervisor: Supervisor.createSupervisor("test", log),
    log,
  });
  await membership.join("new");
  return { members: (await membership.join("new")).members, lines };
}

describe("an odd record among those of the members", () => {
  const DEEP = "[".repeat(100_000) + "]".repeat(100_000);
  const address = `"peerAddress":"127.0.0.1:7220"`;
  const ODD = [
    createRecord("deep", DEEP),
    createRecord("deep-domain", `{${address},"domain":${DEEP},"capacity":1}`),
    createRecord("huge", `{${address},"domain":"north-a","capacity":1e999}`),
    createRecord("large", `{${address},"domain":"north-a","capacity":1e300}`),
    createRecord("less", `{${address},"domain":"north-a","capacity":-1}`),
    createRecord(
      "port",
      `{"peerAddress":"127.0.0.1:65536","domain":"north-a","capacity":1}`,
    ),
    createRecord(
      "no-port",
      `{"peerAddress":"127.0.0.1:0","domain":"north-a","capacity":1}`,
    ),
  ];

  // Guards against instances that connect to no one, because records of no instance rank before all hubs.
  it("names no member, takes no hub's place, and is logged once", async () => {
    const sound = Array.from(
      { length: 30 },
      (_, i) => createSound(`front-${i}`, 1),
    );
    const { members, lines } = await join([...ODD, ...sound]);
    expect(members.map(({ id }) => id)).toEqual(
      sound.map((_, i) => `front-${i}`),
    );
    const usable = members.map((member) => ({ ...member, isUsable: true }));
    const self = { id: "self", domain: "north-a", capacity: 0.5 };
    const selected = Topology.selectPeers(self, usable);
    expect(selected.size).toBe(Topology.HUBS_PER_DOMAIN);
    const logged = lines.filter((line) => line.includes("member-unreadable"));
    expect(logged).toHaveLength(ODD.length);
  });
});
