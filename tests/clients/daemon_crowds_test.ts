import { afterEach, describe, expect, it } from "vitest";
import * as Crowd from "../../testing/clients/crowd.ts";
import * as Kinds from "../../testing/clients/kinds.ts";
import * as Usage from "../../testing/clients/usage.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Requests from "../../testing/fleet/requests.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Wait from "../../testing/harness/wait.ts";

const MB = 1_000_000;
const MAX_BODY_BYTES = MB;
/** Longest head that the listeners accept. */
const MAX_HEADER_BYTES = 16 * 1_024;
/** The machine: the daemon has no setting for its memory, so the bound is that of the smallest machine. */
const MEMORY_BYTES = 250 * MB;
const MAX_CONNECTIONS = 300;
/** With 100 for its listeners, targets, peers and the store. */
const MAX_DESCRIPTORS = MAX_CONNECTIONS + 100;
/** More connections than the daemon may have. */
const SCALE: Kinds.CrowdScale = { many: MAX_DESCRIPTORS + 100, few: 20 };
const SEND_LIMIT_MS = 5_000;
const ANSWER_LIMIT_MS = 15_000;
const layout = {
  ...Small.smallLayout,
  domains: [{ domain: "north-1", region: "north", instances: 1 }],
  services: [{ service: "booking", workers: 2, slots: 8, serviceMs: 5 }],
};
const paths = [
  ["a route", "caller", "GET", "/s/booking/bikes"],
  ["a path without a route", "caller", "GET", "/nowhere"],
  ["the lookup path", "caller", "GET", "/v1/lookup?service=booking"],
  ["the health path", "probe", "GET", "/healthz"],
  ["the metrics", "probe", "GET", "/metrics"],
] as const;

describe("a daemon", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0).toReversed()) await cleanup();
  });

  async function startHost() {
    const fleet = await Fleet.startFleet({
      layout,
      tableCsv: Small.formatSmallTable({
        deadlineMs: 3_000,
        clubRate: 400,
        clubBurst: 400,
      }).replace("north-1 north-2", "north-1").split("\n")
        .filter((line) => !line.includes(",south,")).join("\n"),
      settings: {
        limits: {
          maxBodyBytes: MAX_BODY_BYTES,
          maxConnections: MAX_CONNECTIONS,
        },
      },
    });
    cleanups.push(fleet.stop);
    const journal = Requests.createJournal(fleet);
    cleanups.push(journal.close);
    const instance = fleet.instances[0]!;
    const isServed = async () =>
      (await journal.send(instance, journal.createRead("/bikes"))).status ===
        200;
    await Wait.waitFor(isServed, ANSWER_LIMIT_MS, "the daemon serves");
    const usage = Usage.watchUsage(instance.process.pid);
    cleanups.push(usage.stop);
    return { fleet, instance, isServed, usage };
  }

  // Guards against a daemon that ends, hangs or outgrows its machine by clients that send more than it can hold.
  for (const kind of Kinds.crowdKinds) {
    for (const [name, listener, method, path] of paths) {
      it(`withstands a crowd at ${name} that ${kind.name}`, async () => {
        const { fleet, instance, isServed, usage } = await startHost();
        const target: Kinds.CrowdTarget = {
          address: instance[listener],
          method,
          path,
          fields: [`anvilroute-key: ${fleet.keys.get("hut")}`],
          maxBodyBytes: MAX_BODY_BYTES,
          maxHeaderBytes: MAX_HEADER_BYTES,
        };
        const crowd = Crowd.startCrowd({
          address: target.address,
          ...kind.create(target, SCALE),
        });
        cleanups.push(crowd.close);
        const expectAnswer = (when: string) =>
          Wait.waitFor(
            () => !instance.process.isRunning() || isServed(),
            ANSWER_LIMIT_MS,
            `an ordinary request is answered ${when}`,
          );
        await crowd.settle(SEND_LIMIT_MS);
        await expectAnswer("beside the crowd");
        crowd.close();
        await expectAnswer("after the crowd");
        expect(instance.process.isRunning(), "the process runs").toBe(true);
        expect(usage.getPeakDescriptors()).toBeLessThan(MAX_DESCRIPTORS);
        expect(usage.getPeakBytes()).toBeLessThan(MEMORY_BYTES);
      });
    }
  }
});
