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

/** Longest time until a changed table is in force, the bound of guarantee 12. */
const BOUND_MS = 6_000;

describe("a changed table", () => {
  const network = Network.createNetwork(
    Small.smallLayout.domains.map((domainLayout) => domainLayout.domain),
  );
  let fleet: Fleet.Fleet;
  let watch: Revisions.RevisionWatch;
  let lastVersion = 0;

  beforeAll(async () => {
    fleet = await Fleet.startFleet({
      layout: {
        ...Small.smallLayout,
        domains: Small.smallLayout.domains.map((domainLayout, i) => ({
          ...domainLayout,
          instances: i === 0 ? 2 : 1,
        })),
        services: Small.smallLayout.services
          .map((service) => ({ ...service, workers: 4 })),
      },
      tableCsv: Small.formatSmallTable(),
      network,
    });
    watch = Revisions.watchRevisions(fleet);
  });
  afterEach(async () => {
    for (const instance of fleet.instances) instance.process.resume();
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
    return fleet.instances.filter((instance) => instance.process.isRunning());
  }

  /** Formats a table that makes the route /vN public, so that a request shows whether the table is in force. */
  function formatTable(n: number): string {
    return Small.formatSmallTable().replaceAll(",/fleet,", `,/fleet /v${n},`);
  }

  /** Pulls and edits the table as the operator `name`; `apply` of the result applies the edited file. */
  async function edit(name: string, n: number) {
    const operator = Tool.createOperator(fleet, name);
    const path = Temp.writeTempFile("table.csv", "");
    const pulled = await operator.run("table", "pull", "--force", path);
    expect(pulled.exit, pulled.err).toBe(0);
    Temp.replaceFile(path, formatTable(n));
    return {
      apply: (...extraArgs: readonly string[]) =>
        operator.run("table", "apply", ...extraArgs, path),
    };
  }

  async function isOpen(
    instance: Fleet.FleetInstance,
    n: number,
  ): Promise<boolean> {
    const res = await Undici.request(
      `http://${instance.caller}/s/booking/v${n}`,
      {
        headersTimeout: 1_000,
      },
    );
    await res.body.dump();
    return res.statusCode === 200;
  }

  /** Resolves with the table's revision when the store holds one above `previousRevision`. */
  async function waitForStored(previousRevision: number): Promise<number> {
    return await Wait.waitFor(
      async () => {
        const entries = await fleet.platform.getEntries();
        const revision =
          entries.find((entry) => entry.key === "table")?.version ?? 0;
        return revision > previousRevision ? revision : undefined;
      },
      15_000,
      "the table is stored",
    );
  }

  async function getRevision(): Promise<number> {
    return await waitForStored(0);
  }

  /** Checks that within the bound every instance serves the route of version `n` and reports the revision. */
  async function expectInForce(
    instances: readonly Fleet.FleetInstance[],
    n: number,
    revision: number,
    boundMs = BOUND_MS,
  ): Promise<void> {
    const startMs = performance.now();
    const delays = await Promise.all(instances.map(async (instance) => {
      await Wait.waitFor(
        async () =>
          watch.getLast(instance.id)?.tableRevision === revision &&
          await isOpen(instance, n),
        boundMs,
        `${instance.id} has revision ${revision}`,
      );
      return `${instance.id} ${Math.round(performance.now() - startMs)} ms`;
    }));
    console.log(`in force: ${delays.join(", ")}`);
  }

  it("is in force at all instances although the store is slow and loses the response to the write", async () => {
    const n = ++lastVersion;
    const previousRevision = await getRevision();
    const pendingEdit = await edit("aino", n);
    await fleet.platform.setFaults({
      slowMs: 400,
      loseWrites: 1,
      loseKeyPrefix: "table",
    });
    const applying = pendingEdit.apply();
    const revision = await waitForStored(previousRevision);
    await expectInForce(getRunning(), n, revision);
    const { exit, out, err } = await applying;
    expect([exit, out, err]).toEqual([
      0,
      expect.stringContaining(`stored as revision ${revision}`),
      "",
    ]);
    const { loseWrites } = await fleet.platform.setFaults({});
    expect(loseWrites, "writes whose response is still to be lost").toBe(0);
    expect(await getRevision(), "stored once").toBe(revision);
  });

  it("is the edit of only one operator when two apply theirs at the same time, also at an instance that was frozen", async () => {
    const [first, second] = [++lastVersion, ++lastVersion];
    const previousRevision = await getRevision();
    const edits = [await edit("aino", first), await edit("matti", second)];
    const frozenInstance = getInstance("south-1-a");
    frozenInstance.process.freeze();
    const applying = Promise.all(
      edits.map((operatorEdit) => operatorEdit.apply()),
    );
    const revision = await waitForStored(previousRevision);
    await Clock.sleep(2_000);
    frozenInstance.process.resume();
    const record = (await fleet.store.get("table")).unwrap()?.value ?? "";
    const winner = record.includes(`/v${first},`) ? first : second;
    await expectInForce(getRunning(), winner, revision);
    const runs = await applying;
    expect(runs.map((run) => run.exit).toSorted()).toEqual([0, 4]);
    const rejectedRun = runs.find((run) => run.exit === 4);
    expect(rejectedRun?.out).toContain("nothing was applied");
    const loser = winner === first ? second : first;
    for (const instance of getRunning()) {
      expect(await isOpen(instance, loser), `${instance.id} has the lost edit`)
        .toBe(false);
    }
    expect(await getRevision()).toBe(revision);
  });

  it("reaches a domain that was cut off and an instance that was killed meanwhile", async () => {
    const n = ++lastVersion;
    const previousRevision = await getRevision();
    const pendingEdit = await edit("aino", n);
    await network.isolate("south-2");
    const applying = pendingEdit.apply("--wait-s", "3");
    const revision = await waitForStored(previousRevision);
    await getInstance("north-2-a").process.kill();
    const isolatedInstance = getInstance("south-2-a");
    const reachableInstances = getRunning().filter((instance) =>
      instance !== isolatedInstance
    );
    await expectInForce(reachableInstances, n, revision);
    expect((await applying).exit).toBe(6);
    expect(await isOpen(isolatedInstance, n)).toBe(false);
    await network.heal();
    await expectInForce([isolatedInstance], n, revision);
    await fleet.startInstance("north-2-a", "north-2", "north");
    await expectInForce([getInstance("north-2-a")], n, revision);
  });

  it("is read from a peer with the newest revision while the store is down", async () => {
    const n = ++lastVersion;
    const previousRevision = await getRevision();
    const pendingEdit = await edit("aino", n);
    await network.isolate("south-2");
    const applying = pendingEdit.apply("--wait-s", "2");
    const revision = await waitForStored(previousRevision);
    const staleInstance = getInstance("south-2-a");
    await expectInForce(
      getRunning().filter((instance) => instance !== staleInstance),
      n,
      revision,
    );
    await applying;
    await fleet.platform.setFaults({ availability: "refuse" });
    await getInstance("north-1-b").process.kill();
    await network.heal();
    // The seeds of the restarted instance include an instance with an old table.
    const seeds = [staleInstance.peer, getInstance("north-1-a").peer];
    await fleet.startInstance("north-1-b", "north-1", "north", { seeds });
    await expectInForce([staleInstance, getInstance("north-1-b")], n, revision);
  });

  it("is not reverted when an older table is pushed again and an instance restarts", async () => {
    const revision = await getRevision();
    const oldRecord = { writeId: "old", by: "late", csv: formatTable(99) };
    await getInstance("north-1-b").process.kill();
    const restarted = fleet.startInstance("north-1-b", "north-1", "north");
    for (const pushedRevision of [revision - 1, revision]) {
      for (const instance of getRunning()) {
        const tool = Revisions.connect(instance, "tool-late");
        const params = {
          key: "table",
          revision: pushedRevision,
          record: oldRecord,
        };
        const response = await tool.call("config.push", params, 2_000);
        expect(response.unwrap()).toMatchObject({ revision });
        tool.close();
      }
    }
    await restarted;
    await Clock.sleep(1_500);
    await expectInForce(getRunning(), lastVersion, revision);
    for (const instance of getRunning()) {
      expect(await isOpen(instance, 99)).toBe(false);
    }
  });
});
