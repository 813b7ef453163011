/** Formats the burn report as one HTML page that loads no other resources. */
import * as Markup from "./markup.ts";
import * as Plot from "./plot.ts";
import type * as Report from "./report.ts";
import * as Text from "./text.ts";

const STYLE = [
  "body{font:14px/1.4 sans-serif;margin:1.5em auto;padding:0 1em;" +
  "max-width:1200px;overflow-wrap:anywhere}",
  // On a narrow screen the table scrolls instead of the page.
  ".scroll{overflow-x:auto}",
  "table{border-collapse:collapse;white-space:nowrap;overflow-wrap:normal}",
  "td,th{padding:3px 6px;text-align:right;border-bottom:1px solid #ddd}",
  "th{vertical-align:bottom;white-space:normal}th.group{text-align:center}",
  ".name{text-align:left}",
  ".alarm,.missing{color:#a5281b;font-weight:bold}",
  "figure{display:grid;grid-template-columns:3.5em minmax(0,720px);" +
  "gap:2px 6px;margin:1em 0}figcaption,.x{grid-column:2}",
  "figcaption{font-weight:bold}",
  ".y,.x{display:flex;justify-content:space-between;color:#555;" +
  "font-size:12px}.y{flex-direction:column;text-align:right}",
  "svg{width:100%;height:80px;background:#f2f2f2;border-bottom:1px solid #555}",
  ".good{fill:#4a90a4}.rightful{fill:#d9b44a}.bad{fill:#c0392b}",
  ".key{display:inline-block;margin-right:1em}" +
  ".key svg{width:1em;height:1em;vertical-align:-2px;margin-right:.3em;border:0}",
].join("");

/** Number of leading columns that hold names (service and account). */
const NAME_COLUMNS = 2;
/** Headings of the columns before the burn rates; the rates form two groups of `RATE_HEADINGS`. */
const SINGLE_HEADINGS = Text.HEADINGS.slice(
  0,
  Text.HEADINGS.indexOf("burn 5m"),
);
const RATE_HEADINGS = ["5m", "1h", "30m", "full"] as const;

/** Moves the alarm, the last cell, behind the names, because a narrow screen shows only the first columns. */
function moveAlarmBehindNames<T>(cells: readonly T[]): readonly T[] {
  return [
    ...cells.slice(0, NAME_COLUMNS),
    ...cells.slice(-1),
    ...cells.slice(NAME_COLUMNS, -1),
  ];
}

function formatHeadings(): string {
  const singleHeadings = moveAlarmBehindNames([...SINGLE_HEADINGS, "alarm"])
    .map((heading, column) =>
      Markup.formatElement(
        "th",
        heading,
        column < NAME_COLUMNS ? `class="name" rowspan="2"` : `rowspan="2"`,
      )
    );
  const groupAttributes = `class="group" colspan="${RATE_HEADINGS.length}"`;
  const rateHeadings = RATE_HEADINGS.map((heading) =>
    Markup.formatElement("th", heading)
  );
  return "<thead><tr>" + singleHeadings.join("") +
    Markup.formatElement("th", "burn", groupAttributes) +
    Markup.formatElement("th", "slow", groupAttributes) +
    `</tr><tr>${rateHeadings.join("")}${rateHeadings.join("")}</tr></thead>`;
}

function formatRow(row: Report.BurnRow): string {
  const cells = moveAlarmBehindNames(Text.formatRow(row)).map((cell, column) =>
    Markup.formatElement(
      "td",
      cell,
      column < NAME_COLUMNS ? `class="name"` : "",
    )
  );
  const isAlarm = row.isFast || row.isSlow;
  return `<tr${isAlarm ? ` class="alarm"` : ""}>${cells.join("")}</tr>`;
}

function formatTable(report: Report.BurnReport): readonly string[] {
  if (report.rows.length === 0) return ["<p>No requests were counted.</p>"];
  return [
    `<div class="scroll"><table>${formatHeadings()}<tbody>`,
    ...report.rows.map(formatRow),
    "</tbody></table></div>",
    ...Text.formatCodes(report).map((line) => Markup.formatElement("p", line)),
    Markup.formatElement("p", Text.BURN_EXPLANATION),
  ];
}

function formatHead(report: Report.BurnReport): readonly string[] {
  const missingLines = new Set(Text.formatMissing(report));
  return Text.formatHead(report).map((line) =>
    Markup.formatElement(
      "li",
      line,
      missingLines.has(line) ? `class="missing"` : "",
    )
  );
}

function formatLegendEntry(className: string, label: string): string {
  return `<span class="key"><svg viewBox="0 0 1 1" aria-hidden="true">` +
    `<rect class="${className}" width="1" height="1"/></svg>${label}</span>`;
}

function formatPlots(report: Report.BurnReport): readonly string[] {
  if (report.rows.length === 0) return [];
  const axis = Plot.getTimeAxis(report);
  return [
    `<h2>Requests per 10 s, last ${axis.spanMin} minutes</h2>`,
    "<p>Times are UTC. Each plot has its own scale.</p><p>" +
    formatLegendEntry("good", "answered") +
    formatLegendEntry("rightful", "rightly refused") +
    formatLegendEntry(
      "bad",
      "wrongly refused, unknown, or ran without its answer",
    ) +
    "</p>",
    ...report.rows.map((row) => Plot.formatPlot(row, axis)),
  ];
}

/** Returns the page as HTML. */
export function formatHtml(report: Report.BurnReport): string {
  return [
    "<!DOCTYPE html>",
    `<html lang="en"><head><meta charset="utf-8">`,
    `<meta name="viewport" content="width=device-width, initial-scale=1">`,
    `<title>anvilroute burn report</title><style>${STYLE}</style></head><body>`,
    "<h1>Burn report</h1>",
    `<ul>${formatHead(report).join("\n")}</ul>`,
    ...formatTable(report),
    ...formatPlots(report),
    "</body></html>",
    "",
  ].join("\n");
}
