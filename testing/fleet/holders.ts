/** Who holds the shards of a fleet, as the store says. */
import * as AllocationPlan from "../../src/budget/allocation_plan.ts";
import * as Wait from "../harness/wait.ts";
import type * as Fleet from "./fleet.ts";
import * as Flows from "./flows.ts";

const TAKE_OVER_LIMIT_MS = 20_000;
const TAKE_OVER_LOAD_MS = 6_000;
/** Below the time that a platform call may take. */
const SLOW_STORE_MS = 1_000;

/** One shard's entry in the store. */
export interface Holder {
  readonly domain: string;
  readonly shard: number;
  /** Empty when nobody holds it. */
  readonly owner: string;
  readonly incarnation: string;
}

/** All shards that the store names. */
export async function getHolders(
  fleet: Fleet.Fleet,
): Promise<readonly Holder[]> {
  const entries = await fleet.platform.getEntries();
  return entries.filter(({ key }) => key.startsWith("shards/"))
    .map(({ key, value }) => {
      const [, domain = "", shard] = key.split("/");
      const { owner, incarnation } = JSON.parse(value) as Holder;
      return { domain, shard: Number(shard), owner, incarnation };
    });
}

/** Shards of one process; one that stopped before with the store down may have left others. */
export async function getHeldBy(
  fleet: Fleet.Fleet,
  incarnation: string | undefined,
): Promise<readonly Holder[]> {
  const holders = await getHolders(fleet);
  return holders.filter((one) => one.incarnation === incarnation);
}

/** Incarnation that an instance has registered; undefined when there is none. */
export async function getIncarnation(
  fleet: Fleet.Fleet,
  instance: Fleet.FleetInstance,
): Promise<string | undefined> {
  const wanted = `members/${instance.domain}/${instance.id}`;
  const entries = await fleet.platform.getEntries();
  const found = entries.find(({ key }) => key === wanted);
  return found && (JSON.parse(found.value) as Holder).incarnation;
}

/** The instance with most shards. */
export async function getBusiestHolder(fleet: Fleet.Fleet): Promise<string> {
  const counts = new Map<string, number>();
  for (const { owner } of await getHolders(fleet)) {
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  const [most] = [...counts].toSorted(([, a], [, b]) => b - a);
  if (most === undefined) throw new Error("no shard has a holder");
  return most[0];
}

/**
 * Freezes the busiest holder until its shards are taken over, and resumes it
 * while the store is slow, so that it learns late what it lost. Callers load the
 * others with `ratePerS`, and it with less than it held, so that it borrows
 * nothing. Resolves when the load has ended.
 */
export async function resumeAfterTakeOver(
  fleet: Fleet.Fleet,
  domains: number,
  account: string,
  limitPerS: number,
): Promise<void> {
  const id = await getBusiestHolder(fleet);
  const frozen = fleet.getInstance(id);
  const start = (
    instances: readonly Fleet.FleetInstance[],
    ratePerS: number,
  ) => {
    const flow = { account, ratePerS, instances };
    return Flows.startTraffic(fleet, "booking", [flow], TAKE_OVER_LOAD_MS);
  };
  frozen.process.freeze();
  await waitForHolders(fleet, domains, (owner) => owner !== id);
  const others = fleet.instances.filter((one) => one !== frozen);
  const traffic = start(others, 3 * limitPerS);
  await Flows.waitForAnswers(traffic, 2 * limitPerS);
  await fleet.platform.setFaults({ slowMs: SLOW_STORE_MS });
  frozen.process.resume();
  await Promise.all([start([frozen], 0.8 * limitPerS).done, traffic.done]);
}

/** Waits until the store names a suitable holder for every shard. */
export async function waitForHolders(
  fleet: Fleet.Fleet,
  domains: number,
  isSuitable: (owner: string) => boolean,
): Promise<void> {
  await Wait.waitFor(
    async () => {
      const holders = await getHolders(fleet);
      return holders.length === domains * AllocationPlan.SHARDS_PER_DOMAIN &&
        holders.every(({ owner }) => owner !== "" && isSuitable(owner));
    },
    TAKE_OVER_LIMIT_MS,
    "every shard has a suitable holder",
  );
}
