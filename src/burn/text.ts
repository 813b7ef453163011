/** Formats the burn report as text and as JSON. */
import type * as Report from "./report.ts";

/** Formats a wall-clock time in UTC with a precision of seconds. */
export function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().replace(/\.\d+Z$/, "Z");
}

/** Formats a burn rate; `-` when there were no requests. */
export function formatRate(rate: number | undefined): string {
  if (rate === undefined) return "-";
  return rate >= 100 ? rate.toFixed(0) : rate.toFixed(1);
}

/** Formats milliseconds with one decimal place; `-` for undefined. */
export function formatMs(ms: number | undefined): string {
  return ms === undefined ? "-" : `${ms.toFixed(1)}`;
}

/** Headings of the report's columns, for text and HTML. */
export const HEADINGS = [
  "service",
  "account",
  "served %",
  "requests",
  "unknown",
  "wrongful",
  "rightful",
  "caller faults",
  "p50 ms",
  "p99 ms",
  "goal ms",
  "burn 5m",
  "1h",
  "30m",
  "full",
  "slow 5m",
  "1h",
  "30m",
  "full",
  "alarm",
] as const;

/** Formats the alarms of a row: `FAST`, `SLOW`, both or `-`. */
export function formatAlarm(row: Report.BurnRow): string {
  const alarms = [row.isFast ? "FAST" : "", row.isSlow ? "SLOW" : ""];
  return alarms.filter((alarm) => alarm !== "").join(" ") || "-";
}

function formatRates(rates: Report.BurnRates): readonly string[] {
  return [rates.last5m, rates.last1h, rates.last30m, rates.full]
    .map(formatRate);
}

/** Formats the cells of a row, in the order of `HEADINGS`. */
export function formatRow(row: Report.BurnRow): readonly string[] {
  const { good, bad, rightful, wrongful, callerFaults } = row.totals;
  const hasLimit = row.limit !== undefined;
  return [
    row.service,
    row.account,
    (Math.floor(row.served * 100_000) / 1000).toFixed(3),
    String(good + bad + rightful + callerFaults + row.cancelled),
    String(row.unknown),
    hasLimit ? String(wrongful) : "-",
    String(rightful),
    String(callerFaults),
    formatMs(row.latency?.p50),
    formatMs(row.latency?.p99),
    formatMs(row.p99ObjectiveMs),
    ...formatRates(row.answeredBurn),
    ...formatRates(row.latencyBurn),
    formatAlarm(row),
  ];
}

/** Formats the lines above the table: time, objectives, instances and missing instances. */
export function formatHead(report: Report.BurnReport): readonly string[] {
  const { answeredPct, p99Ms } = report.objectives;
  const p99 = p99Ms === undefined ? "a quarter of the deadline" : `${p99Ms} ms`;
  return [
    `burn report at ${formatTime(report.atWallMs)}, ` +
    `table revision ${report.tableRevision}`,
    `objectives: ${answeredPct}% answered, p99 within ${p99}`,
    ...report.instances.map((instance) =>
      `instance ${instance.instance} counts since ${
        formatTime(instance.sinceWallMs)
      }, ` +
      `at most the last hour`
    ),
    ...formatMissing(report),
  ];
}

/** Formats one line for each instance whose requests the report lacks. */
export function formatMissing(report: Report.BurnReport): readonly string[] {
  return report.missing.map((missing) =>
    `instance ${missing.instance} is MISSING from this report: ${missing.reason}`
  );
}

/** Formats one line for each row with rejections: their number by code. */
export function formatCodes(report: Report.BurnReport): readonly string[] {
  return report.rows
    .filter((row) => row.refusedByCode.size > 0)
    .map((row) => {
      const codeCounts = [...row.refusedByCode].map(([code, count]) =>
        `E${code} ${count}`
      );
      return `refused ${row.service} ${row.account}: ${codeCounts.join(", ")}`;
    });
}

/** Line below the table that explains the burn rates. */
export const BURN_EXPLANATION =
  "burn: use of the error budget by unanswered requests; " +
  "slow: by answers over the goal; 1.0 uses it up exactly";

/** Pads cells to columns; aligns the first `leftColumns` columns left and the others right. */
export function formatColumns(
  rows: readonly (readonly string[])[],
  leftColumns: number,
): readonly string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, column) =>
      column < leftColumns
        ? cell.padEnd(widths[column] ?? 0)
        : cell.padStart(widths[column] ?? 0)
    ).join("  ").trimEnd()
  );
}

/** Formats the report for a terminal. */
export function formatText(report: Report.BurnReport): string {
  const table = formatColumns([HEADINGS, ...report.rows.map(formatRow)], 2);
  const placeholder = report.rows.length === 0
    ? ["no requests were counted"]
    : [];
  return [
    ...formatHead(report),
    "",
    ...table,
    ...placeholder,
    "",
    ...formatCodes(report),
    BURN_EXPLANATION,
    "",
  ]
    .join("\n");
}

/** Formats the report as JSON; the limit Infinity of open routes becomes null. */
export function formatJson(report: Report.BurnReport): string {
  const replacer = (_key: string, value: unknown) =>
    value instanceof Map ? Object.fromEntries(value) : value;
  return JSON.stringify(report, replacer, 2) + "\n";
}
