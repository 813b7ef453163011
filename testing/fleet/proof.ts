/** The fleet that the proofs of requests run on: two instances in one domain, so that a ledger can be handed over. */
import type * as Types from "../../src/types.ts";
import * as Wait from "../harness/wait.ts";
import * as Fleet from "./fleet.ts";
import type * as Layout from "./layout.ts";
import * as Network from "./network.ts";
import * as Requests from "./requests.ts";
import * as Small from "./small.ts";

/** Three domains, four instances, six targets. */
export const proofLayout: Layout.FleetLayout = {
  ...Small.smallLayout,
  name: "proof",
  domains: [
    { domain: "north-1", region: "north", instances: 2 },
    { domain: "north-2", region: "north", instances: 1 },
    { domain: "south-1", region: "south", instances: 1 },
  ],
  services: [{ service: "booking", workers: 6, slots: 8, serviceMs: 5 }],
};

/** A fleet, its network, and the journal of its requests. */
export interface ProofFleet extends Fleet.Fleet {
  readonly network: Network.TestNetwork;
  readonly journal: Requests.Journal;
  /** The running instance with this id; throws when there is none. */
  getInstance(id: string): Fleet.FleetInstance;
  /** All running instances. */
  getRunning(): readonly Fleet.FleetInstance[];
  /** Sets the same faults at every running target. */
  setTargetFaults(faults: unknown): Promise<void>;
  /** Ends all faults of the network, the platform and the targets, and resumes what is frozen. */
  heal(): Promise<void>;
}

const SERVICE_LIMIT_MS = 12_000;

/** Waits until an instance takes keyed requests and reaches a target. */
async function waitForService(
  journal: Requests.Journal,
  instance: Fleet.FleetInstance,
): Promise<void> {
  await Wait.waitFor(
    async () => {
      const sent = await journal.send(instance, journal.createRead("/bikes"));
      return sent.status === 200;
    },
    SERVICE_LIMIT_MS,
    `${instance.id} serves keyed requests`,
  );
}

const NO_TARGET_FAULTS = {
  crashOn: null,
  crashMode: null,
  shedAll: null,
  truncateAfterBytes: null,
  resetAfterExecuting: null,
  lateMs: null,
  omitContentLength: null,
  only: null,
};

/** What can be changed. */
export interface ProofOptions {
  readonly table?: Small.SmallTable;
  readonly settings?: Fleet.FleetOptions["settings"];
  readonly tap?: Network.Tap;
}

/** The small fleet's table without the domain that has no instance here: a domain without instances counts as cut off. */
export function formatProofTable(values: Small.SmallTable = {}): string {
  return Small.formatSmallTable({
    deadlineMs: 3_000,
    clubRate: 400,
    clubBurst: 400,
    hutRate: 200,
    hutBurst: 200,
    ...values,
  }).replace("south-1 south-2", "south-1");
}

/** Starts the fleet. */
export async function startProofFleet(
  opts: ProofOptions = {},
): Promise<ProofFleet> {
  const network = Network.createNetwork(
    [...proofLayout.domains.map((one) => one.domain)],
    opts.tap,
  );
  const fleet = await Fleet.startFleet({
    layout: proofLayout,
    tableCsv: formatProofTable(opts.table),
    network,
    streamRecords: true,
    settings: { lookupMaxAgeMs: 500, ...opts.settings },
  });
  const journal = Requests.createJournal(fleet);
  const getRunning = () =>
    fleet.instances.filter((one) => one.process.isRunning());
  async function setTargetFaults(faults: unknown): Promise<void> {
    const running = fleet.targets.filter((one) => one.process.isRunning());
    await Promise.all(running.map((one) => one.setFaults(faults)));
  }

  return {
    ...fleet,
    network,
    journal,
    getRunning,
    getInstance(id: Types.InstanceId) {
      const found = getRunning().find((one) => one.id === id);
      if (found === undefined) throw new Error(`no instance ${id}`);
      return found;
    },
    setTargetFaults,
    async heal() {
      for (const one of getRunning()) one.process.resume();
      await network.heal();
      await fleet.platform.setFaults({ availability: "up" });
      await setTargetFaults(NO_TARGET_FAULTS);
      await Promise.all(
        getRunning().map((one) => waitForService(journal, one)),
      );
    },
    async stop() {
      await journal.close();
      await fleet.stop();
    },
  };
}
