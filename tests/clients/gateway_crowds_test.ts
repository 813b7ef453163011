import { afterEach, describe, expect, it } from "vitest";
import * as Crowd from "../../testing/clients/crowd.ts";
import * as GatewayHost from "../../testing/clients/gateway_host.ts";
import * as Kinds from "../../testing/clients/kinds.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as Rig from "../support/gateway_rig.ts";

const MB = 1_000_000;
const SEND_LIMIT_MS = 5_000;
const ANSWER_LIMIT_MS = 15_000;
/** More connections than the machine of the process has descriptors for. */
const SCALE: Kinds.CrowdScale = {
  many: GatewayHost.machine.maxFds + 100,
  few: 20,
};
const paths = [
  ["a route", "caller", "GET", "/read/x"],
  ["a path without a route", "caller", "GET", "/nowhere"],
  ["the readiness path", "ready", "GET", "/anvilroute/ready"],
  [
    "the directory",
    "directory",
    "GET",
    "/anvilroute/resolve?region=north&zone=north-a",
  ],
  ["the metrics", "metrics", "GET", "/metrics"],
] as const;

describe("a gateway process", () => {
  let host: GatewayHost.GatewayHost | undefined;
  const crowds: Crowd.Crowd[] = [];
  afterEach(async () => {
    for (const crowd of crowds.splice(0)) crowd.close();
    await host?.close();
    host = undefined;
  });

  function startCrowd(
    { instance }: GatewayHost.GatewayHost,
    kind: Kinds.CrowdKind,
    [, listener, method, path]: typeof paths[number],
    scale: Kinds.CrowdScale,
  ): void {
    const target: Kinds.CrowdTarget = {
      address: instance[listener],
      method,
      path,
      fields: ["authorization: Bearer k1"],
      ...GatewayHost.limits,
    };
    const opts = { address: target.address, ...kind.create(target, scale) };
    crowds.push(Crowd.startCrowd(opts));
  }

  /** Checks that the process is within its machine and answers, during the crowds and after them. */
  async function expectUnharmed(
    { instance, usage }: GatewayHost.GatewayHost,
  ): Promise<void> {
    const expectAnswer = (when: string) =>
      Wait.waitFor(
        async () =>
          !instance.isRunning() ||
          (await Rig.send(instance.caller, "/read/y")).status === 200,
        ANSWER_LIMIT_MS,
        `an ordinary request is answered ${when}`,
      );
    await Promise.all(crowds.map((crowd) => crowd.settle(SEND_LIMIT_MS)));
    await expectAnswer("beside the crowd");
    for (const crowd of crowds) crowd.close();
    await expectAnswer("after the crowd");
    expect(instance.isRunning(), "the process runs").toBe(true);
    const { maxFds, memoryMb } = GatewayHost.machine;
    expect(usage.getPeakDescriptors()).toBeLessThan(maxFds);
    expect(usage.getPeakBytes()).toBeLessThan(memoryMb * MB);
  }

  for (const kind of Kinds.crowdKinds) {
    for (const path of paths) {
      // Guards against a process that ends, hangs or outgrows its machine by clients that send more than it can hold.
      it(`withstands a crowd at ${path[0]} that ${kind.name}`, async () => {
        host = await GatewayHost.startGatewayHost(Rig.formatConfig(1));
        startCrowd(host, kind, path, SCALE);
        await expectUnharmed(host);
      });
    }
  }

  // Guards against limits that hold for each kind alone and not for their sum.
  it("withstands crowds of all kinds at all paths at once", async () => {
    host = await GatewayHost.startGatewayHost(Rig.formatConfig(1));
    for (const kind of Kinds.crowdKinds) {
      for (const path of paths) {
        startCrowd(host, kind, path, { many: 20, few: 2 });
      }
    }
    await expectUnharmed(host);
  });
});
