/** Formats plans as lines of text. */
import * as Table from "../table/table.ts";
import type * as Types from "../types.ts";

/** Formats one step, for example `booking uusimaa: weight 100 -> 40; …`. */
export function formatStep(step: Table.PlanStep): string {
  const region = step.region === undefined ? "" : ` ${step.region}`;
  const prefix = step.kind === "warning" ? "WARNING: " : "";
  return `${prefix}${step.service}${region}: ${step.text}`;
}

/** Formats all steps, followed by the duration of the longest traffic shift. */
export function formatPlan(
  steps: readonly Table.PlanStep[],
): readonly string[] {
  if (steps.length === 0) return ["no changes"];
  const longestMs = Math.max(0, ...steps.map((step) => step.durationMs ?? 0));
  const seconds = Math.round(longestMs / 100) / 10;
  const durationLine = longestMs > 0
    ? [`traffic has moved ${seconds} s after the table is in force`]
    : [];
  return [...steps.map(formatStep), ...durationLine];
}

/** Parses a table; undefined when there is no CSV or when it is invalid. */
export function tryParseTable(
  csv: string | undefined,
): Types.Table | undefined {
  if (csv === undefined) return undefined;
  const parsed = Table.parseTable(csv, 0);
  return parsed.isOk() ? parsed.value : undefined;
}

/** Lists the changes from a CSV table to `newTable`; an invalid CSV counts as no table. */
export function planCsv(
  oldCsv: string | undefined,
  newTable: Types.Table,
): readonly Table.PlanStep[] {
  return Table.planTable(tryParseTable(oldCsv), newTable);
}
