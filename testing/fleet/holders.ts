/** Who holds the shards of a fleet, as the store says. */
import * as Division from "../../src/budget/division.ts";
import * as Wait from "../harness/wait.ts";
import type * as Fleet from "./fleet.ts";

const TAKE_OVER_LIMIT_MS = 20_000;

/** One shard's entry in the store. */
export interface Holder {
  readonly domain: string;
  readonly shard: number;
  /** Empty when nobody holds it. */
  readonly owner: string;
}

/** All shards that the store names. */
export async function getHolders(
  fleet: Fleet.Fleet,
): Promise<readonly Holder[]> {
  const entries = await fleet.platform.getEntries();
  return entries.filter(({ key }) => key.startsWith("shards/"))
    .map(({ key, value }) => {
      const [, domain = "", shard] = key.split("/");
      const { owner } = JSON.parse(value) as { readonly owner: string };
      return { domain, shard: Number(shard), owner };
    });
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

/** Waits until the store names a suitable holder for every shard. */
export async function waitForHolders(
  fleet: Fleet.Fleet,
  domains: number,
  isSuitable: (owner: string) => boolean,
): Promise<void> {
  await Wait.waitFor(
    async () => {
      const holders = await getHolders(fleet);
      return holders.length === domains * Division.SHARDS_PER_DOMAIN &&
        holders.every(({ owner }) => owner !== "" && isSuitable(owner));
    },
    TAKE_OVER_LIMIT_MS,
    "every shard has a suitable holder",
  );
}
