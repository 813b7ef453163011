/** Writes plans as lines. */
import * as Table from "../table/table.ts";
import type * as Types from "../types.ts";

/** One step: `booking uusimaa: weight 100 -> 40; …`. */
export function formatStep(step: Table.PlanStep): string {
  const region = step.region === undefined ? "" : ` ${step.region}`;
  const mark = step.kind === "warning" ? "WARNING: " : "";
  return `${mark}${step.service}${region}: ${step.text}`;
}

/** All steps, and how long the longest shift takes. */
export function formatPlan(
  steps: readonly Table.PlanStep[],
): readonly string[] {
  if (steps.length === 0) return ["no changes"];
  const longestMs = Math.max(0, ...steps.map((step) => step.durationMs ?? 0));
  const seconds = Math.round(longestMs / 100) / 10;
  const last = longestMs > 0
    ? [`traffic has moved ${seconds} s after the table is in force`]
    : [];
  return [...steps.map(formatStep), ...last];
}

/** A table of a good text; undefined otherwise. */
export function tryParse(csv: string | undefined): Types.Table | undefined {
  if (csv === undefined) return undefined;
  const parsed = Table.parseTable(csv, 0);
  return parsed.isOk() ? parsed.value : undefined;
}

/** The plan from a text to a table; a text that is not good counts as no table. */
export function planTexts(
  oldCsv: string | undefined,
  next: Types.Table,
): readonly Table.PlanStep[] {
  return Table.planTable(tryParse(oldCsv), next);
}
