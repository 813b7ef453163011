/** Computes the changes between two tables and describes them for operators. */
import type * as Types from "../types.ts";
import * as PlanAccounts from "./plan_accounts.ts";
import * as Steps from "./plan_step.ts";

/** Lists the changes between two tables; `oldTable` is undefined when there is no table yet. */
export function planTable(
  oldTable: Types.Table | undefined,
  newTable: Types.Table,
): readonly Steps.PlanStep[] {
  const steps: Steps.PlanStep[] = [];
  const names = new Set([
    ...(oldTable?.services.keys() ?? []),
    ...newTable.services.keys(),
  ]);
  for (const name of names) {
    const oldRules = oldTable?.services.get(name);
    const newRules = newTable.services.get(name);
    if (newRules === undefined) {
      const text = "the service is removed; its requests are refused with E105";
      steps.push(Steps.createStep("service", name, undefined, text));
      continue;
    }
    steps.push(...planService(oldRules, newRules));
    steps.push(...PlanAccounts.planAccounts(oldRules, newRules));
  }
  return steps;
}

function planService(
  oldRules: Types.ServiceRules | undefined,
  newRules: Types.ServiceRules,
): readonly Steps.PlanStep[] {
  const steps: Steps.PlanStep[] = [];
  const addStep = (
    kind: Steps.PlanStep["kind"],
    region: string | undefined,
    text: string,
  ) => void steps.push(Steps.createStep(kind, newRules.service, region, text));
  if (oldRules === undefined) {
    const regions = newRules.rows.map((row) => row.region).join(", ");
    addStep("service", undefined, `the service is added in ${regions}`);
  } else {
    planRules(oldRules, newRules, addStep);
  }
  for (const row of oldRules?.rows ?? []) {
    if (newRules.rows.some((newRow) => newRow.region === row.region)) continue;
    addStep("region", row.region, "the region no longer takes this service");
  }
  for (const row of newRules.rows) {
    const oldRow = oldRules?.rows.find((existing) =>
      existing.region === row.region
    );
    if (oldRow !== undefined) steps.push(...planRow(oldRow, row));
    else if (oldRules !== undefined) {
      addStep(
        "region",
        row.region,
        `the region is added with weight ${row.weight}`,
      );
    }
  }
  steps.push(...planTrafficSplit(oldRules, newRules));
  if (newRules.rows.every((row) => row.weight === 0)) {
    addStep(
      "warning",
      undefined,
      "every region has weight 0: no region is chosen",
    );
  }
  return steps;
}

type AddStep = (
  kind: Steps.PlanStep["kind"],
  region: string | undefined,
  text: string,
) => void;

function formatOnce(rules: Types.ServiceRules): string {
  return rules.once
    .map((pattern) => `${pattern.method} ${pattern.pathPrefix}`).sort().join(
      ", ",
    );
}

function planRules(
  oldRules: Types.ServiceRules,
  newRules: Types.ServiceRules,
  addStep: AddStep,
): void {
  const formatOpen = (rules: Types.ServiceRules) =>
    [...rules.open].sort().join(", ");
  const pairs = [
    ["at-most-once routes", formatOnce(oldRules), formatOnce(newRules)],
    ["open routes", formatOpen(oldRules), formatOpen(newRules)],
    ["deadline", `${oldRules.deadlineMs} ms`, `${newRules.deadlineMs} ms`],
  ] as const;
  for (const [label, oldValue, newValue] of pairs) {
    if (oldValue === newValue) continue;
    addStep(
      "routes",
      undefined,
      `${label}: ${oldValue || "none"} -> ${newValue || "none"}`,
    );
  }
}

function planRow(
  oldRow: Types.Row,
  newRow: Types.Row,
): readonly Steps.PlanStep[] {
  const steps: Steps.PlanStep[] = [];
  const addStep = (kind: Steps.PlanStep["kind"], text: string) =>
    void steps.push(
      Steps.createStep(kind, newRow.service, newRow.region, text),
    );
  if (oldRow.weight !== newRow.weight) steps.push(planWeight(oldRow, newRow));
  if (oldRow.capRps !== newRow.capRps) {
    addStep("cap", `cap ${oldRow.capRps} -> ${newRow.capRps} requests/s`);
  }
  if (oldRow.linkMbps !== newRow.linkMbps) {
    addStep(
      "link",
      `link ${oldRow.linkMbps} -> ${newRow.linkMbps} Mbit/s each way`,
    );
  }
  if (oldRow.shiftPctPerS !== newRow.shiftPctPerS) {
    addStep(
      "shift",
      `shift cap ${oldRow.shiftPctPerS} -> ${newRow.shiftPctPerS} points/s`,
    );
  }
  const formatDomains = (row: Types.Row) => [...row.domains].sort().join(" ");
  if (formatDomains(oldRow) !== formatDomains(newRow)) {
    addStep(
      "region",
      `domains ${formatDomains(oldRow)} -> ${formatDomains(newRow)}`,
    );
  }
  return steps;
}

function planWeight(oldRow: Types.Row, newRow: Types.Row): Steps.PlanStep {
  const points = Math.abs(newRow.weight - oldRow.weight);
  const durationMs = points / newRow.shiftPctPerS * 1000;
  const seconds = Steps.formatNumber(durationMs / 1000);
  const drain = newRow.weight === 0 ? " (drains the region)" : "";
  const text = `weight ${oldRow.weight} -> ${newRow.weight}${drain}; ` +
    `takes ${seconds} s at ${newRow.shiftPctPerS} points/s`;
  const step = Steps.createStep("traffic", newRow.service, newRow.region, text);
  return { ...step, durationMs };
}

/** Returns the percentage of callers in `region` that each region serves once all traffic shifts have ended. */
export function getTrafficSplit(
  rules: Types.ServiceRules,
  region: Types.Region,
): ReadonlyMap<Types.Region, number> {
  const split = new Map<Types.Region, number>();
  const localWeight = rules.rows.find((row) => row.region === region)?.weight ??
    0;
  const remoteRows = rules.rows.filter((row) => row.region !== region);
  const remoteWeight = remoteRows.reduce((total, row) => total + row.weight, 0);
  for (const row of rules.rows) {
    const remoteShare = remoteWeight === 0
      ? 0
      : (100 - localWeight) * row.weight / remoteWeight;
    // When every other region has weight 0, the local region serves all its callers, unless its weight is 0 too.
    const localShare = remoteWeight === 0 && localWeight > 0
      ? 100
      : localWeight;
    split.set(row.region, row.region === region ? localShare : remoteShare);
  }
  return split;
}

function planTrafficSplit(
  oldRules: Types.ServiceRules | undefined,
  newRules: Types.ServiceRules,
): readonly Steps.PlanStep[] {
  if (oldRules === undefined) return [];
  const steps: Steps.PlanStep[] = [];
  for (const { region } of newRules.rows) {
    const oldSplit = getTrafficSplit(oldRules, region);
    const newSplit = getTrafficSplit(newRules, region);
    const moves: string[] = [];
    for (const toRegion of new Set([...oldSplit.keys(), ...newSplit.keys()])) {
      const oldPct = Steps.formatNumber(oldSplit.get(toRegion) ?? 0);
      const newPct = Steps.formatNumber(newSplit.get(toRegion) ?? 0);
      if (oldPct !== newPct) moves.push(`${toRegion} ${oldPct}% -> ${newPct}%`);
    }
    if (moves.length === 0) continue;
    const text = `callers of ${region} go to ${moves.join(", ")}`;
    steps.push(Steps.createStep("traffic", newRules.service, region, text));
  }
  return steps;
}
