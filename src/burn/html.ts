/** Writes the burn report as one HTML page without anything from elsewhere. */
import * as Markup from "./markup.ts";
import * as Plot from "./plot.ts";
import type * as Report from "./report.ts";
import * as Text from "./text.ts";

const STYLE = [
  "body{font:14px/1.4 sans-serif;margin:1.5em auto;padding:0 1em;" +
  "max-width:1200px;overflow-wrap:anywhere}",
  // The table is wider than a telephone: it scrolls by itself, not the page.
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

/** Columns with a service's or account's name. */
const NAME_COLUMNS = 2;
/** Headings before the burn rates, which stand in two groups of `RATE_HEADINGS`. */
const SINGLE_HEADINGS = Text.HEADINGS.slice(
  0,
  Text.HEADINGS.indexOf("burn 5m"),
);
const RATE_HEADINGS = ["5m", "1h", "30m", "full"] as const;

/** Puts the alarm, the last cell, behind the names: a narrow page shows only the first columns. */
function moveAlarm<T>(cells: readonly T[]): readonly T[] {
  return [
    ...cells.slice(0, NAME_COLUMNS),
    ...cells.slice(-1),
    ...cells.slice(NAME_COLUMNS, -1),
  ];
}

function formatHeadings(): string {
  const single = moveAlarm([...SINGLE_HEADINGS, "alarm"]).map((text, column) =>
    Markup.element(
      "th",
      text,
      column < NAME_COLUMNS ? `class="name" rowspan="2"` : `rowspan="2"`,
    )
  );
  const group = `class="group" colspan="${RATE_HEADINGS.length}"`;
  const rates = RATE_HEADINGS.map((text) => Markup.element("th", text));
  return "<thead><tr>" + single.join("") +
    Markup.element("th", "burn", group) +
    Markup.element("th", "slow", group) +
    `</tr><tr>${rates.join("")}${rates.join("")}</tr></thead>`;
}

function formatRow(row: Report.BurnRow): string {
  const cells = moveAlarm(Text.formatRow(row)).map((text, column) =>
    Markup.element("td", text, column < NAME_COLUMNS ? `class="name"` : "")
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
    ...Text.formatCodes(report).map((line) => Markup.element("p", line)),
    Markup.element("p", Text.NOTE),
  ];
}

function formatHead(report: Report.BurnReport): readonly string[] {
  const missing = new Set(Text.formatMissing(report));
  return Text.formatHead(report).map((line) =>
    Markup.element("li", line, missing.has(line) ? `class="missing"` : "")
  );
}

function formatKey(kind: string, text: string): string {
  return `<span class="key"><svg viewBox="0 0 1 1" aria-hidden="true">` +
    `<rect class="${kind}" width="1" height="1"/></svg>${text}</span>`;
}

function formatPlots(report: Report.BurnReport): readonly string[] {
  if (report.rows.length === 0) return [];
  const axis = Plot.getTimeAxis(report);
  return [
    `<h2>Requests per 10 s, last ${axis.spanMin} minutes</h2>`,
    "<p>Times are UTC. Each plot has its own scale.</p><p>" +
    formatKey("good", "answered") +
    formatKey("rightful", "rightly refused") +
    formatKey("bad", "wrongly refused, unknown, or ran without its answer") +
    "</p>",
    ...report.rows.map((row) => Plot.formatPlot(row, axis)),
  ];
}

/** The whole page. */
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
