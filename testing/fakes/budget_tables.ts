/** Tables for the budget tests. */
import type * as Types from "../../src/types.ts";

/** Table with one service "s"; `cells` gives rate and burst by account for each region. */
export function createTable(
  revision: number,
  regions: Readonly<Record<string, readonly string[]>>,
  cells: Readonly<Record<string, Types.AccountCell>>,
  capRps = 1_000,
): Types.Table {
  const names = Object.entries(regions);
  const rows = names.map(([region, domains]) => ({
    service: "s",
    region,
    domains,
    weight: 100,
    capRps,
    shiftPctPerS: 10,
    linkMbps: 100,
    accounts: new Map(Object.entries(cells)),
  }));
  const domains = names.flatMap(([region, list]) =>
    list.map((domain) => [domain, region] as const)
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
