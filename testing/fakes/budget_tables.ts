/** Tables for the budget tests. */
import type * as Types from "../../src/types.ts";

/**
 * Creates a table of the service "s". `regions` maps a region to its failure domains;
 * `cells` gives the rate and burst of each account, the same in every region.
 */
export function createTable(
  revision: number,
  regions: Readonly<Record<string, readonly string[]>>,
  cells: Readonly<Record<string, Types.AccountCell>>,
  capRps = 1_000,
): Types.Table {
  const regionEntries = Object.entries(regions);
  const rows = regionEntries.map(([region, domains]) => ({
    service: "s",
    region,
    domains,
    weight: 100,
    capRps,
    shiftPctPerS: 10,
    linkMbps: 100,
    accounts: new Map(Object.entries(cells)),
  }));
  const domains = regionEntries.flatMap(([region, regionDomains]) =>
    regionDomains.map((domain) => [domain, region] as const)
  );
  return {
    revision,
    services: new Map([["s", {
      service: "s",
      once: [],
      open: [],
      deadlineMs: 3_000,
      rows,
    }]]),
    accounts: Object.keys(cells),
    domains: new Map(domains),
  };
}
