/** Describes changes of client accounts' limits. */
import type * as Types from "../types.ts";
import * as Steps from "./plan_step.ts";

interface Limits {
  readonly rate: number;
  readonly burst: number;
  readonly perRegion: ReadonlyMap<Types.Region, Types.AccountCell>;
}

function getLimits(
  rules: Types.ServiceRules | undefined,
  account: Types.Account,
): Limits {
  const perRegion = new Map<Types.Region, Types.AccountCell>();
  for (const row of rules?.rows ?? []) {
    const cell = row.accounts.get(account);
    if (cell !== undefined) perRegion.set(row.region, cell);
  }
  const cells = [...perRegion.values()];
  const rate = cells.reduce((sum, cell) => sum + cell.rate, 0);
  const burst = cells.reduce((sum, cell) => sum + cell.burst, 0);
  return { rate, burst, perRegion };
}

function formatRegions(was: Limits, is: Limits): string {
  const none = { rate: 0, burst: 0 };
  const parts: string[] = [];
  for (
    const region of new Set([...was.perRegion.keys(), ...is.perRegion.keys()])
  ) {
    const from = was.perRegion.get(region) ?? none;
    const to = is.perRegion.get(region) ?? none;
    if (from.rate === to.rate && from.burst === to.burst) continue;
    parts.push(
      `${region} ${from.rate}/s+${from.burst} -> ${to.rate}/s+${to.burst}`,
    );
  }
  return parts.join(", ");
}

function formatChange(
  what: string,
  was: number,
  is: number,
  unit: string,
): string {
  const [from, to] = [Steps.formatNumber(was), Steps.formatNumber(is)];
  const change = from === to ? to : `${from} -> ${to}`;
  return `${what} ${change} ${unit}`;
}

/** One step for each account whose limit or split over regions changes. */
export function planAccounts(
  before: Types.ServiceRules | undefined,
  after: Types.ServiceRules,
): readonly Steps.PlanStep[] {
  const names = new Set<Types.Account>();
  for (const rules of [before, after]) {
    for (const row of rules?.rows ?? []) {
      for (const account of row.accounts.keys()) names.add(account);
    }
  }
  const steps: Steps.PlanStep[] = [];
  for (const account of names) {
    const was = getLimits(before, account);
    const is = getLimits(after, account);
    const regions = formatRegions(was, is);
    if (regions === "") continue;
    const text = `account ${account}: ` +
      `${formatChange("rate", was.rate, is.rate, "requests/s")}, ` +
      `${formatChange("burst", was.burst, is.burst, "requests")} (${regions})`;
    steps.push({
      kind: "account",
      service: after.service,
      region: undefined,
      account,
      text,
      durationMs: undefined,
    });
  }
  return steps;
}
