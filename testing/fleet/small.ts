/** A small fleet for tests: two regions with two domains each, one instance and two targets per domain. */
import type * as Layout from "./layout.ts";

/** Layout of the small fleet. */
export const smallLayout: Layout.FleetLayout = {
  name: "small",
  domains: [
    { domain: "north-1", region: "north", instances: 1 },
    { domain: "north-2", region: "north", instances: 1 },
    { domain: "south-1", region: "south", instances: 1 },
    { domain: "south-2", region: "south", instances: 1 },
  ],
  services: [{ service: "booking", workers: 8, slots: 8, serviceMs: 5 }],
  orderService: "booking",
  orderPath: "/bookings",
  browsePath: "/bikes",
  accounts: ["club", "hut"],
};

/** Cells of a further account. */
export interface MoreCell {
  readonly rate: number;
  readonly burst: number;
  readonly south?: { readonly rate: number; readonly burst: number };
}

/** Values of the small fleet's table. */
export interface SmallTable {
  readonly northWeight?: number;
  readonly southWeight?: number;
  readonly capRps?: number;
  readonly shiftPctPerS?: number;
  readonly linkMbps?: number;
  readonly deadlineMs?: number;
  /** Per region. */
  readonly clubRate?: number;
  readonly clubBurst?: number;
  /** Of the south, when it differs from the north. */
  readonly southClubRate?: number;
  readonly southClubBurst?: number;
  /** More accounts, the same in both regions unless the south has its own cell. */
  readonly more?: Readonly<Record<string, MoreCell>>;
  readonly hutRate?: number;
  readonly hutBurst?: number;
}

/** The small fleet's table as CSV. */
export function formatSmallTable(values: SmallTable = {}): string {
  const more = Object.entries(values.more ?? {});
  const names = more.map(([name]) => `,rate:${name},burst:${name}`).join("");
  const head =
    "service,region,domains,weight,cap_rps,shift_pct_per_s,link_mbps," +
    "once,open,deadline_ms,rate:club,burst:club,rate:hut,burst:hut" +
    names;
  const rows = [
    ["north", values.northWeight ?? 100],
    ["south", values.southWeight ?? 100],
  ].map(([region, weight]) =>
    [
      "booking",
      region,
      `${region}-1 ${region}-2`,
      weight,
      values.capRps ?? 1_000,
      values.shiftPctPerS ?? 50,
      values.linkMbps ?? 100,
      "POST /bookings",
      "/fleet",
      values.deadlineMs ?? 5_000,
      (region === "south" ? values.southClubRate : undefined) ??
        values.clubRate ?? 100,
      (region === "south" ? values.southClubBurst : undefined) ??
        values.clubBurst ?? 100,
      values.hutRate ?? 20,
      values.hutBurst ?? 20,
      ...more.flatMap(([, cell]) => {
        const { rate, burst } = region === "south" ? cell.south ?? cell : cell;
        return [rate, burst];
      }),
    ].join(",")
  );
  return `${[head, ...rows].join("\n")}\n`;
}
