/** Plots of the burn report: stacked bars of requests per window over time. */
import * as Windows from "../metrics/windows.ts";
import * as Markup from "./markup.ts";
import type * as Report from "./report.ts";

/** Units of the drawing; the page stretches it to the width that it has. */
const WIDTH = 720;
const HEIGHT = 80;
const MINUTE_MS = 60_000;
/** Lengths of the time axis; instances hold an hour. */
const SPANS_MIN = [5, 15, 30, 60] as const;
const LONGEST_SPAN_MIN = 60;

/** The time axis that all plots of a report share. */
export interface TimeAxis {
  readonly endWallMs: number;
  readonly spanMin: number;
}

/** The shortest axis that reaches back to the first instance's start. */
export function getTimeAxis(report: Report.BurnReport): TimeAxis {
  const endWallMs = report.atWallMs;
  const starts = report.instances.map((one) => one.sinceWallMs);
  const ageMin = (endWallMs - Math.min(...starts)) / MINUTE_MS;
  const spanMin = SPANS_MIN.find((span) => span >= ageMin) ?? LONGEST_SPAN_MIN;
  return { endWallMs, spanMin };
}

/** The next of 1, 2, 5, 10, 20, 50 ... that is not below `count`. */
function roundUp(count: number): number {
  const power = 10 ** Math.floor(Math.log10(Math.max(1, count)));
  const step = [1, 2, 5].find((one) => one * power >= count) ?? 10;
  return step * power;
}

function formatClock(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(11, 19);
}

function formatBar(
  kind: string,
  x: number,
  width: number,
  from: number,
  to: number,
): string {
  if (to <= from) return "";
  const y = (HEIGHT - to).toFixed(1);
  const height = (to - from).toFixed(1);
  return `<rect class="${kind}" x="${x.toFixed(1)}" y="${y}" ` +
    `width="${width.toFixed(1)}" height="${height}"/>`;
}

function formatBars(
  row: Report.BurnRow,
  axis: TimeAxis,
  top: number,
): string {
  const spanMs = axis.spanMin * MINUTE_MS;
  const startMs = axis.endWallMs - spanMs;
  const width = WIDTH * Windows.WINDOW_MS / spanMs;
  const y = (count: number) => count / top * HEIGHT;
  return row.points.map((point) => {
    const { good, rightful, bad } = point.verdict;
    const x = (point.wallMs - startMs) / spanMs * WIDTH;
    return formatBar("good", x, width, 0, y(good)) +
      formatBar("rightful", x, width, y(good), y(good + rightful)) +
      formatBar("bad", x, width, y(good + rightful), y(good + rightful + bad));
  }).join("");
}

/** One row's bars: answered, rightly refused, wrongly refused or unknown. */
export function formatPlot(row: Report.BurnRow, axis: TimeAxis): string {
  const totals = row.points.map(({ verdict }) =>
    verdict.good + verdict.rightful + verdict.bad
  );
  const top = roundUp(Math.max(1, ...totals));
  const name = `${row.service} ${row.account}`;
  const endMs = axis.endWallMs;
  const times = [axis.spanMin, axis.spanMin / 2, 0]
    .map((min) => Markup.element("span", formatClock(endMs - min * MINUTE_MS)));
  const label = Markup.escape(`${name}: requests per 10 s, at most ${top}`);
  return [
    `<figure>${Markup.element("figcaption", name)}`,
    `<div class="y"><span>${top}</span><span>0</span></div>`,
    `<svg role="img" aria-label="${label}" viewBox="0 0 ${WIDTH} ${HEIGHT}" ` +
    `preserveAspectRatio="none">${formatBars(row, axis, top)}</svg>`,
    `<div class="x">${times.join("")}</div></figure>`,
  ].join("");
}
