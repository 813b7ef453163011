/** Describes in words what a new table changes. */
import type * as Types from "../types.ts";
import * as PlanAccounts from "./plan_accounts.ts";
import * as Steps from "./plan_step.ts";

/** Lists the changes from `old` (undefined: no table yet) to `next`; empty when nothing changes. */
export function planTable(
  old: Types.Table | undefined,
  next: Types.Table,
): readonly Steps.PlanStep[] {
  const steps: Steps.PlanStep[] = [];
  const names = new Set([
    ...(old?.services.keys() ?? []),
    ...next.services.keys(),
  ]);
  for (const name of names) {
    const before = old?.services.get(name);
    const after = next.services.get(name);
    if (after === undefined) {
      const text = "the service is removed; its requests are refused with E105";
      steps.push(Steps.makeStep("service", name, undefined, text));
      continue;
    }
    steps.push(...planService(before, after));
    steps.push(...PlanAccounts.planAccounts(before, after));
  }
  return steps;
}

function planService(
  before: Types.ServiceRules | undefined,
  after: Types.ServiceRules,
): readonly Steps.PlanStep[] {
  const steps: Steps.PlanStep[] = [];
  const add = (
    kind: Steps.PlanStep["kind"],
    region: string | undefined,
    text: string,
  ) => void steps.push(Steps.makeStep(kind, after.service, region, text));
  if (before === undefined) {
    const regions = after.rows.map((row) => row.region).join(", ");
    add("service", undefined, `the service is added in ${regions}`);
  } else {
    planRules(before, after, add);
  }
  for (const row of before?.rows ?? []) {
    if (after.rows.some((one) => one.region === row.region)) continue;
    add("region", row.region, "the region no longer takes this service");
  }
  for (const row of after.rows) {
    const was = before?.rows.find((one) => one.region === row.region);
    if (was !== undefined) steps.push(...planRow(was, row));
    else if (before !== undefined) {
      add(
        "region",
        row.region,
        `the region is added with weight ${row.weight}`,
      );
    }
  }
  steps.push(...planSpread(before, after));
  if (after.rows.every((row) => row.weight === 0)) {
    add("warning", undefined, "every region has weight 0: no region is chosen");
  }
  return steps;
}

type Add = (
  kind: Steps.PlanStep["kind"],
  region: string | undefined,
  text: string,
) => void;

function formatOnce(rules: Types.ServiceRules): string {
  return rules.once
    .map((one) => `${one.method} ${one.pathPrefix}`).sort().join(", ");
}

function planRules(
  before: Types.ServiceRules,
  after: Types.ServiceRules,
  add: Add,
): void {
  const open = (rules: Types.ServiceRules) => [...rules.open].sort().join(", ");
  const pairs = [
    ["at-most-once routes", formatOnce(before), formatOnce(after)],
    ["open routes", open(before), open(after)],
    ["deadline", `${before.deadlineMs} ms`, `${after.deadlineMs} ms`],
  ] as const;
  for (const [what, was, is] of pairs) {
    if (was === is) continue;
    add("routes", undefined, `${what}: ${was || "none"} -> ${is || "none"}`);
  }
}

function planRow(was: Types.Row, row: Types.Row): readonly Steps.PlanStep[] {
  const steps: Steps.PlanStep[] = [];
  const add = (kind: Steps.PlanStep["kind"], text: string) =>
    void steps.push(Steps.makeStep(kind, row.service, row.region, text));
  if (was.weight !== row.weight) steps.push(planWeight(was, row));
  if (was.capRps !== row.capRps) {
    add("cap", `cap ${was.capRps} -> ${row.capRps} requests/s`);
  }
  if (was.linkMbps !== row.linkMbps) {
    add("link", `link ${was.linkMbps} -> ${row.linkMbps} Mbit/s each way`);
  }
  if (was.shiftPctPerS !== row.shiftPctPerS) {
    add(
      "shift",
      `shift cap ${was.shiftPctPerS} -> ${row.shiftPctPerS} points/s`,
    );
  }
  const domains = (one: Types.Row) => [...one.domains].sort().join(" ");
  if (domains(was) !== domains(row)) {
    add("region", `domains ${domains(was)} -> ${domains(row)}`);
  }
  return steps;
}

function planWeight(was: Types.Row, row: Types.Row): Steps.PlanStep {
  const points = Math.abs(row.weight - was.weight);
  const durationMs = points / row.shiftPctPerS * 1000;
  const seconds = Steps.formatNumber(durationMs / 1000);
  const drain = row.weight === 0 ? " (drains the region)" : "";
  const text = `weight ${was.weight} -> ${row.weight}${drain}; ` +
    `takes ${seconds} s at ${row.shiftPctPerS} points/s`;
  const step = Steps.makeStep("traffic", row.service, row.region, text);
  return { ...step, durationMs };
}

/** Where the callers of `region` go, in percent per region, once all shifts have ended. */
export function getSpread(
  rules: Types.ServiceRules,
  region: Types.Region,
): ReadonlyMap<Types.Region, number> {
  const spread = new Map<Types.Region, number>();
  const own = rules.rows.find((row) => row.region === region)?.weight ?? 0;
  const others = rules.rows.filter((row) => row.region !== region);
  const sum = others.reduce((total, row) => total + row.weight, 0);
  for (const row of rules.rows) {
    const share = sum === 0 ? 0 : (100 - own) * row.weight / sum;
    // With no other region to go to, all callers stay where the weight allows any.
    const stays = sum === 0 && own > 0 ? 100 : own;
    spread.set(row.region, row.region === region ? stays : share);
  }
  return spread;
}

function planSpread(
  before: Types.ServiceRules | undefined,
  after: Types.ServiceRules,
): readonly Steps.PlanStep[] {
  if (before === undefined) return [];
  const steps: Steps.PlanStep[] = [];
  for (const { region } of after.rows) {
    const was = getSpread(before, region);
    const is = getSpread(after, region);
    const moved: string[] = [];
    for (const to of new Set([...was.keys(), ...is.keys()])) {
      const from = Steps.formatNumber(was.get(to) ?? 0);
      const now = Steps.formatNumber(is.get(to) ?? 0);
      if (from !== now) moved.push(`${to} ${from}% -> ${now}%`);
    }
    if (moved.length === 0) continue;
    const text = `callers of ${region} go to ${moved.join(", ")}`;
    steps.push(Steps.makeStep("traffic", after.service, region, text));
  }
  return steps;
}
