/** Computes the changes of client account limits between two tables. */
import type * as Types from "../types.ts";
import * as Steps from "./plan_step.ts";

interface AccountLimits {
  readonly rate: number;
  readonly burst: number;
  readonly perRegion: ReadonlyMap<Types.Region, Types.AccountCell>;
}

function getLimits(
  rules: Types.ServiceRules | undefined,
  account: Types.Account,
): AccountLimits {
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

function formatRegionChanges(
  oldLimits: AccountLimits,
  newLimits: AccountLimits,
): string {
  const noLimit = { rate: 0, burst: 0 };
  const changes: string[] = [];
  for (
    const region of new Set([
      ...oldLimits.perRegion.keys(),
      ...newLimits.perRegion.keys(),
    ])
  ) {
    const before = oldLimits.perRegion.get(region) ?? noLimit;
    const after = newLimits.perRegion.get(region) ?? noLimit;
    if (before.rate === after.rate && before.burst === after.burst) continue;
    changes.push(
      `${region} ${before.rate}/s+${before.burst} -> ${after.rate}/s+${after.burst}`,
    );
  }
  return changes.join(", ");
}

function formatChange(
  label: string,
  oldValue: number,
  newValue: number,
  unit: string,
): string {
  const [oldText, newText] = [
    Steps.formatNumber(oldValue),
    Steps.formatNumber(newValue),
  ];
  const change = oldText === newText ? newText : `${oldText} -> ${newText}`;
  return `${label} ${change} ${unit}`;
}

/** Returns one step for each account whose total limit or limit per region changes. */
export function planAccounts(
  oldRules: Types.ServiceRules | undefined,
  newRules: Types.ServiceRules,
): readonly Steps.PlanStep[] {
  const names = new Set<Types.Account>();
  for (const rules of [oldRules, newRules]) {
    for (const row of rules?.rows ?? []) {
      for (const account of row.accounts.keys()) names.add(account);
    }
  }
  const steps: Steps.PlanStep[] = [];
  for (const account of names) {
    const oldLimits = getLimits(oldRules, account);
    const newLimits = getLimits(newRules, account);
    const regionChanges = formatRegionChanges(oldLimits, newLimits);
    if (regionChanges === "") continue;
    const text = `account ${account}: ` +
      `${
        formatChange("rate", oldLimits.rate, newLimits.rate, "requests/s")
      }, ` +
      `${
        formatChange("burst", oldLimits.burst, newLimits.burst, "requests")
      } (${regionChanges})`;
    steps.push({
      kind: "account",
      service: newRules.service,
      region: undefined,
      account,
      text,
      durationMs: undefined,
    });
  }
  return steps;
}
