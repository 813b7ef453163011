/** Formats the plots of the burn report: stacked bars of requests per 10 s window over time. */
import * as Windows from "../metrics/windows.ts";
import * as Markup from "./markup.ts";
import type * as Report from "./report.ts";

/** Size of a plot in SVG units; the page stretches the plot to its width. */
const WIDTH = 720;
const HEIGHT = 80;
const MINUTE_MS = 60_000;
/** Possible lengths of the time axis in minutes; instances keep one hour. */
const SPANS_MIN = [5, 15, 30, 60] as const;
const LONGEST_SPAN_MIN = 60;

/** The time axis that all plots of a report share. */
export interface TimeAxis {
  readonly endWallMs: number;
  readonly spanMin: number;
}

/** Returns the shortest time axis that reaches back to the earliest start of an instance, at most an hour. */
export function getTimeAxis(report: Report.BurnReport): TimeAxis {
  const endWallMs = report.atWallMs;
  const starts = report.instances.map((instance) => instance.sinceWallMs);
  const ageMin = (endWallMs - Math.min(...starts)) / MINUTE_MS;
  const spanMin = SPANS_MIN.find((span) => span >= ageMin) ?? LONGEST_SPAN_MIN;
  return { endWallMs, spanMin };
}

/** Rounds up to the next of 1, 2, 5, 10, 20, 50 and so on. */
function roundUp(count: number): number {
  const power = 10 ** Math.floor(Math.log10(Math.max(1, count)));
  const factor = [1, 2, 5].find((digit) => digit * power >= count) ?? 10;
  return factor * power;
}

function formatClock(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(11, 19);
}

function formatBar(
  className: string,
  x: number,
  width: number,
  bottom: number,
  top: number,
): string {
  if (top <= bottom) return "";
  const y = (HEIGHT - top).toFixed(1);
  const height = (top - bottom).toFixed(1);
  return `<rect class="${className}" x="${x.toFixed(1)}" y="${y}" ` +
    `width="${width.toFixed(1)}" height="${height}"/>`;
}

function formatBars(
  row: Report.BurnRow,
  axis: TimeAxis,
  maxCount: number,
): string {
  const spanMs = axis.spanMin * MINUTE_MS;
  const startMs = axis.endWallMs - spanMs;
  const width = WIDTH * Windows.WINDOW_MS / spanMs;
  const y = (count: number) => count / maxCount * HEIGHT;
  return row.points.map((point) => {
    const { good, rightful, bad } = point.verdict;
    const x = (point.wallMs - startMs) / spanMs * WIDTH;
    return formatBar("good", x, width, 0, y(good)) +
      formatBar("rightful", x, width, y(good), y(good + rightful)) +
      formatBar("bad", x, width, y(good + rightful), y(good + rightful + bad));
  }).join("");
}

/** Formats the plot of one row; each bar stacks the answered, the rightly rejected and the bad requests. */
export function formatPlot(row: Report.BurnRow, axis: TimeAxis): string {
  const totals = row.points.map(({ verdict }) =>
    verdict.good + verdict.rightful + verdict.bad
  );
  const maxCount = roundUp(Math.max(1, ...totals));
  const name = `${row.service} ${row.account}`;
  const endMs = axis.endWallMs;
  const times = [axis.spanMin, axis.spanMin / 2, 0]
    .map((minutesAgo) =>
      Markup.formatElement("span", formatClock(endMs - minutesAgo * MINUTE_MS))
    );
  const label = Markup.escapeHtml(
    `${name}: requests per 10 s, at most ${maxCount}`,
  );
  return [
    `<figure>${Markup.formatElement("figcaption", name)}`,
    `<div class="y"><span>${maxCount}</span><span>0</span></div>`,
    `<svg role="img" aria-label="${label}" viewBox="0 0 ${WIDTH} ${HEIGHT}" ` +
    `preserveAspectRatio="none">${formatBars(row, axis, maxCount)}</svg>`,
    `<div class="x">${times.join("")}</div></figure>`,
  ].join("");
}
