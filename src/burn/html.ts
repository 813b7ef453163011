/** Writes the burn report as one HTML page without anything from elsewhere. */
import type * as Report from "./report.ts";
import * as Text from "./text.ts";

const PLOT_WIDTH = 720;
const PLOT_HEIGHT = 80;
const WINDOW_MS = 10_000;
const HOUR_MS = 3_600_000;
const STYLE = "body{font:14px sans-serif;margin:2em}" +
  "table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right;" +
  "border-bottom:1px solid #ddd}td:nth-child(-n+2){text-align:left}" +
  ".good{fill:#4a90a4}.rightful{fill:#d9b44a}.bad{fill:#c0392b}" +
  "svg{background:#f7f7f7;display:block}figure{margin:1em 0}";

function escape(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;")
    .replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}

function formatBar(
  kind: string,
  x: number,
  width: number,
  from: number,
  to: number,
): string {
  if (to <= from) return "";
  const y = (PLOT_HEIGHT - to).toFixed(1);
  const height = (to - from).toFixed(1);
  return `<rect class="${kind}" x="${x.toFixed(1)}" y="${y}" ` +
    `width="${width.toFixed(1)}" height="${height}"/>`;
}

/** Stacked bars per 10 s: answered, rightly refused, wrongly refused or unknown. */
function formatPlot(row: Report.BurnRow, atWallMs: number): string {
  const start = atWallMs - HOUR_MS;
  const width = PLOT_WIDTH * WINDOW_MS / HOUR_MS;
  const total = (point: Report.Point) =>
    point.verdict.good + point.verdict.rightful + point.verdict.bad;
  const top = Math.max(1, ...row.points.map(total));
  const bars = row.points.map((point) => {
    const { good, rightful, bad } = point.verdict;
    const x = (point.wallMs - start) / HOUR_MS * PLOT_WIDTH;
    const y = (count: number) => count / top * PLOT_HEIGHT;
    return formatBar("good", x, width, 0, y(good)) +
      formatBar("rightful", x, width, y(good), y(good + rightful)) +
      formatBar("bad", x, width, y(good + rightful), y(good + rightful + bad));
  });
  const name = escape(`${row.service} ${row.account}`);
  return `<figure><figcaption>${name}: at most ${top} requests in 10 s` +
    `</figcaption><svg role="img" aria-label="${name}" ` +
    `width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}">${bars.join("")}</svg>` +
    `</figure>`;
}

function formatCells(tag: "td" | "th", cells: readonly string[]): string {
  const parts = cells.map((cell) => `<${tag}>${escape(cell)}</${tag}>`);
  return `<tr>${parts.join("")}</tr>`;
}

/** The whole page. */
export function formatHtml(report: Report.BurnReport): string {
  const head = Text.formatHead(report).map((line) => `<p>${escape(line)}</p>`);
  const rows = report.rows.map((row) => formatCells("td", Text.formatRow(row)));
  const plots = report.rows.map((row) => formatPlot(row, report.atWallMs));
  return [
    "<!DOCTYPE html>",
    `<html lang="en"><head><meta charset="utf-8">`,
    `<title>anvilroute burn report</title><style>${STYLE}</style></head><body>`,
    "<h1>Burn report</h1>",
    ...head,
    "<table>",
    formatCells("th", Text.HEADINGS),
    ...rows,
    "</table>",
    "<h2>Last hour, per 10 s</h2>",
    "<p>Blue: answered. Yellow: rightly refused. Red: wrongly refused, " +
    "unknown, or ran without its answer.</p>",
    ...plots,
    "</body></html>",
    "",
  ].join("\n");
}
