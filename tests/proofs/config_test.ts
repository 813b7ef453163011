import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Revisions from "../../testing/fleet/revisions.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Tool from "../../testing/fleet/tool.ts";
import * as Temp from "../../testing/harness/temp.ts";
import * as Wait from "../../testing/harness/wait.ts";

/** Bound of promise 12, in ms. */
const BOUND_MS = 6_000;

describe("a changed table", () => {
  const network = Network.createNetwork(
    Small.smallLayout.domains.map((one) => one.domain),
  );
  let fleet: Fleet.Fleet;
  let watch: Revisions.RevisionWatch;
  let version = 0;

  beforeAll(async () => {
    fleet = await Fleet.startFleet({
      layout: {
        ...Small.smallLayout,
        domains: Small.smallLayout.domains.map((one, i) => ({
          ...one,
          instances: i === 0 ? 2 : 1,
        })),
        services: Small.smallLayout.services
          .map((one) => ({ ...one, workers: 4 })),
      },
      tableCsv: Small.formatSmallTable(),
      network,
    });
    watch = Revisions.watchRevisions(fleet);
  });
  afterEach(async () => {
    for (const one of fleet.instances) one.process.resume();
    await network.heal();
    await fleet.platform.setFaults({
      availability: "up",
      slowMs: 0,
      loseWrites: 0,
    });
    expect(watch.getReverts()).toEqual([]);
  });
  afterAll(async () => {
    await watch.end();
    await fleet.stop();
  });

  const getInstance = (id: string) => fleet.getInstance(id);

  function getRunning(): readonly Fleet.FleetInstance[] {
    return fleet.instances.filter((one) => one.process.isRunning());
  }

  /** A table that opens the route /vN to all, which callers can see. */
  function formatTable(n: number): string {
    return Small.formatSmallTable().replaceAll(",/fleet,", `,/fleet /v${n},`);
  }

  /** An operator's file that is pulled and edited, not yet applied. */
  async function edit(name: string, n: number) {
    const operator = Tool.createOperator(fleet, name);
    const path = Temp.writeTempFile("table.csv", "");
    const pulled = await operator.run("table", "pull", "--force", path);
    expect(pulled.exit, pulled.err).toBe(0);
    Temp.replaceFile(path, formatTable(n));
    return {
      apply: (...more: readonly string[]) =>
        operator.run("table", "apply", ...more, path),
    };
  }

  async function isOpen(at: Fleet.FleetInstance, n: number): Promise<boolean> {
    const res = await Undici.request(`http://${at.caller}/s/booking/v${n}`, {
      headersTimeout: 1_000,
    });
    await res.body.dump();
    return res.statusCode === 200;
  }

  /** Resolves when the store holds a table above the revision. */
  async function waitForStored(above: number): Promise<number> {
    return await Wait.waitFor(
      async () => {
        const entries = await fleet.platform.getEntries();
        const found = entries.find((one) => one.key === "table")?.version ?? 0;
        return found > above ? found : undefined;
      },
      15_000,
      "the table is stored",
    );
  }

  async function getRevision(): Promise<number> {
    return await waitForStored(0);
  }

  /** Every instance lets callers see version `n` and names the revision within the bound. */
  async function expectInForce(
    instances: readonly Fleet.FleetInstance[],
    n: number,
    revision: number,
    boundMs = BOUND_MS,
  ): Promise<void> {
    const startMs = performance.now();
    const took = await Promise.all(instances.map(async (one) => {
      await Wait.waitFor(
        async () =>
          watch.getLast(one.id)?.tableRevision === revision &&
          await isOpen(one, n),
        boundMs,
        `${one.id} has revision ${revision}`,
      );
      return `${one.id} ${Math.round(performance.now() - startMs)} ms`;
    }));
    console.log(`in force: ${took.join(", ")}`);
  }

  it("is in force everywhere although the store is slow and loses the answer", async () => {
    const n = ++version;
    const before = await getRevision();
    const mine = await edit("aino", n);
    await fleet.platform.setFaults({
      slowMs: 400,
      loseWrites: 1,
      loseKeyPrefix: "table",
    });
    const applying = mine.apply();
    const revision = await waitForStored(before);
    await expectInForce(getRunning(), n, revision);
    const { exit, out, err } = await applying;
    expect([exit, out, err]).toEqual([
      0,
      expect.stringContaining(`stored as revision ${revision}`),
      "",
    ]);
    const { loseWrites } = await fleet.platform.setFaults({});
    expect(loseWrites, "the answer was lost").toBe(0);
    expect(await getRevision(), "stored once").toBe(revision);
  });

  it("is one operator's when two apply at the same time, also at an instance that was frozen", async () => {
    const [first, second] = [++version, ++version];
    const before = await getRevision();
    const edits = [await edit("aino", first), await edit("matti", second)];
    const frozen = getInstance("south-1-a");
    frozen.process.freeze();
    const applying = Promise.all(edits.map((one) => one.apply()));
    const revision = await waitForStored(before);
    await Clock.sleep(2_000);
    frozen.process.resume();
    const record = (await fleet.store.get("table")).unwrap()?.value ?? "";
    const winner = record.includes(`/v${first},`) ? first : second;
    await expectInForce(getRunning(), winner, revision);
    const runs = await applying;
    expect(runs.map((one) => one.exit).toSorted()).toEqual([0, 4]);
    const lost = runs.find((one) => one.exit === 4);
    expect(lost?.out).toContain("nothing was applied");
    const loser = winner === first ? second : first;
    for (const one of getRunning()) {
      expect(await isOpen(one, loser), `${one.id} has the lost edit`)
        .toBe(false);
    }
    expect(await getRevision()).toBe(revision);
  });

  it("reaches a domain that was cut off, with one instance killed meanwhile", async () => {
    const n = ++version;
    const before = await getRevision();
    const mine = await edit("aino", n);
    await network.isolate("south-2");
    const applying = mine.apply("--wait-s", "3");
    const revision = await waitForStored(before);
    await getInstance("north-2-a").process.kill();
    const cut = getInstance("south-2-a");
    const reached = getRunning().filter((one) => one !== cut);
    await expectInForce(reached, n, revision);
    expect((await applying).exit).toBe(6);
    expect(await isOpen(cut, n)).toBe(false);
    await network.heal();
    await expectInForce([cut], n, revision);
    await fleet.startInstance("north-2-a", "north-2", "north");
    await expectInForce([getInstance("north-2-a")], n, revision);
  });

  it("comes from a peer with the newest revision while the store is down", async () => {
    const n = ++version;
    const before = await getRevision();
    const mine = await edit("aino", n);
    await network.isolate("south-2");
    const applying = mine.apply("--wait-s", "2");
    const revision = await waitForStored(before);
    const stale = getInstance("south-2-a");
    await expectInForce(
      getRunning().filter((one) => one !== stale),
      n,
      revision,
    );
    await applying;
    await fleet.platform.setFaults({ availability: "refuse" });
    await getInstance("north-1-b").process.kill();
    await network.heal();
    // Its first seeds include the instance with the old table.
    const seeds = [stale.peer, getInstance("north-1-a").peer];
    await fleet.startInstance("north-1-b", "north-1", "north", { seeds });
    await expectInForce([stale, getInstance("north-1-b")], n, revision);
  });

  it("does not revert when an older one is pushed again and an instance restarts", async () => {
    const revision = await getRevision();
    const old = { writeId: "old", by: "late", csv: formatTable(99) };
    await getInstance("north-1-b").process.kill();
    const restarted = fleet.startInstance("north-1-b", "north-1", "north");
    for (const at of [revision - 1, revision]) {
      for (const instance of getRunning()) {
        const tool = Revisions.connect(instance, "tool-late");
        const params = { key: "table", revision: at, record: old };
        const answer = await tool.call("config.push", params, 2_000);
        expect(answer.unwrap()).toMatchObject({ revision });
        tool.close();
      }
    }
    await restarted;
    await Clock.sleep(1_500);
    await expectInForce(getRunning(), version, revision);
    for (const one of getRunning()) expect(await isOpen(one, 99)).toBe(false);
  });
});
