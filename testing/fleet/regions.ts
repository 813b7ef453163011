/** A fleet of three regions, of which one can be lost as a whole. */
import type * as Fleet from "./fleet.ts";
import type * as Layout from "./layout.ts";
import type * as Requests from "./requests.ts";
import * as Small from "./small.ts";
import * as Windows from "./windows.ts";

/** The region to lose; its two domains have four of ten targets. */
export const LOST_REGION = "north";
/**
 * Of each region, in requests per second. A domain of another region has 0.9
 * tokens of the cap's burst, so it can send there only with borrowed tokens.
 */
export const CAP_RPS = 120;
/** Percentage points per second. */
export const SHIFT_PCT_PER_S = 10;
/** Over all regions, for the account `club`; `hut` has far more than it sends. */
export const CLUB_LIMIT = { rate: 21, burst: 9 };

const REGIONS: Readonly<Record<string, readonly string[]>> = {
  north: ["north-1", "north-2"],
  south: ["south-1", "south-2"],
  east: ["east-1"],
};

/** Five domains with one instance and two targets each. */
export const regionLayout: Layout.FleetLayout = {
  ...Small.smallLayout,
  name: "regions",
  domains: Object.entries(REGIONS).flatMap(([region, domains]) =>
    domains.map((domain) => ({ domain, region, instances: 1 }))
  ),
  services: [{ service: "booking", workers: 10, slots: 8, serviceMs: 5 }],
};

/** The table; weights are 100 unless the south has another one. */
export function formatRegionTable(southWeight = 100): string {
  const head = "service,region,domains,weight,cap_rps,shift_pct_per_s," +
    "link_mbps,once,open,deadline_ms,rate:club,burst:club,rate:hut,burst:hut";
  const count = Object.keys(REGIONS).length;
  const rows = Object.entries(REGIONS).map(([region, domains]) =>
    [
      ...["booking", region, domains.join(" ")],
      ...[region === "south" ? southWeight : 100, CAP_RPS, SHIFT_PCT_PER_S],
      ...[100, "POST /bookings", "/fleet", 3_000],
      ...[CLUB_LIMIT.rate / count, CLUB_LIMIT.burst / count, 1_000, 1_000],
    ].join(",")
  );
  return `${[head, ...rows].join("\n")}\n`;
}

/** Orders of one issuer: two that run while the region is lost, and one that was not sent. */
export interface RegionOrders {
  readonly issuer: Fleet.FleetInstance;
  readonly running: readonly Requests.Message[];
  readonly unused: Requests.Message;
}

/** Creates the orders of one issuer. */
export async function createOrders(
  journal: Requests.Journal,
  issuer: Fleet.FleetInstance,
): Promise<RegionOrders> {
  const opts = { account: "hut", query: "ms=800" };
  const make = () => journal.createOrder(issuer, "/bookings", opts);
  const [unused, ...running] = await Promise.all([make(), make(), make()]);
  return { issuer, running, unused };
}

/** Sends what runs while the region is lost: orders, and reads of both accounts. */
export async function sendAll(
  journal: Requests.Journal,
  { issuer, running }: RegionOrders,
): Promise<void> {
  const reads = Array.from({ length: 12 }, (_, i) => {
    // Reads of club are over its limit, so that some are refused as not run.
    const opts = { account: i % 2 === 0 ? "hut" : "club", query: "ms=500" };
    return journal.createRead("/bikes", opts);
  });
  await Promise.all(
    [...running, ...reads].map((one) => journal.send(issuer, one)),
  );
}

/**
 * Sends every order through each survivor; gives what is wrong. Tickets of an
 * issuer that is gone stay unknown, as nobody else may run them.
 */
export async function checkOrders(
  journal: Requests.Journal,
  orders: readonly RegionOrders[],
  survivors: readonly Fleet.FleetInstance[],
): Promise<readonly string[]> {
  const problems: string[] = [];
  for (const { issuer, running, unused } of orders) {
    const isLost = !survivors.includes(issuer);
    for (const at of survivors) {
      for (const order of [...running, unused]) {
        const { outcome, status } = await journal.send(at, order);
        // An order that broke with a lost target is unknown at its issuer, too.
        const isGood = isLost
          ? outcome === "unknown"
          : status === 200 || (order !== unused && outcome === "unknown");
        if (isGood) continue;
        problems.push(`${issuer.id} at ${at.id}: ${status} ${outcome}`);
      }
    }
  }
  return problems;
}

/** Time between admission and start that may differ between two requests. */
const JITTER_MS = 100;
/** Bins of shares, and what of them one request of each instance at each edge and jitter explain. */
const BIN_MS = 2_000;
const MEASURE_PCT = 5;

/** Where the starts exceed the account's limit, a cap or the shift's cap. */
export function checkStarts(
  starts: readonly Windows.Start[],
  at: { readonly lostAtMs: number; readonly shiftEndsAtMs: number },
  stallMs: number,
): readonly string[] {
  const problems: string[] = [];
  const expectAtMost = (what: string, seen: number, allowed: number) => {
    const text = `${what}: ${seen.toFixed(1)} of ${allowed.toFixed(1)}`;
    console.log(text);
    if (seen > allowed) problems.push(text);
  };
  const { rate, burst } = CLUB_LIMIT;
  const times = Windows.getAdmissions(starts, "club");
  const slack = rate * (JITTER_MS + stallMs) / 1_000;
  expectAtMost("club", Windows.getNeededBurst(times, rate), burst + slack);
  for (const region of Object.keys(REGIONS)) {
    const most = Windows.getMaxSentPerS(starts, region);
    expectAtMost(region, most, CAP_RPS);
  }
  const shifted = starts.filter((one) =>
    one.account === "hut" && one.from.startsWith("south") &&
    one.atMs < at.shiftEndsAtMs
  );
  // The last bin is not whole.
  const bins = Windows.getShares(shifted, "south", BIN_MS).slice(0, -1);
  const steps = bins.slice(1).map(({ pct }, i) => bins[i]!.pct - pct);
  const stallPct = stallMs / BIN_MS * 100;
  const cap = SHIFT_PCT_PER_S * BIN_MS / 1_000;
  expectAtMost("shift", Math.max(...steps), cap + MEASURE_PCT + stallPct);
  // A shift that stands still would hide every excess. Of the 60 points that
  // leave, the half for the lost region comes back; half of the rest must be seen.
  expectAtMost("stayed", bins.at(-1)?.pct ?? 100, 85);
  // Survivors that admit far too little would, too.
  const since = starts.filter((one) => one.atMs > at.lostAtMs);
  const clubs = since.filter((one) => one.account === "club");
  const fewest = { all: CAP_RPS * 5, clubs: rate / 3 * 6 };
  const isServing = since.length > fewest.all && clubs.length > fewest.clubs;
  const served = `${since.length} starts, ${clubs.length} of club, after`;
  console.log(served);
  if (!isServing) problems.push(`${served}: too few`);
  return problems;
}
