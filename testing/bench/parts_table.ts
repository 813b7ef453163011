/** Table and plot of processor time by part, for one commit or for two. */

/** Processor time of one part, us. */
export interface PartFigures {
  readonly name: string;
  /** For each request. */
  readonly requestUs: number;
  /** For each second without requests. */
  readonly idleUsPerS: number;
}

/** Processor time of a commit by part. */
export interface Figures {
  readonly commit: string;
  readonly parts: readonly PartFigures[];
}

const BAR_HEIGHT = 12;
const ROW_HEIGHT = 2 * BAR_HEIGHT + 10;
const LABEL_WIDTH = 170;
const PLOT_WIDTH = 420;
const COLORS = ["#888888", "#1f6fb2"] as const;

/** Returns the argument after `--NAME`, undefined without one. */
export function tryGetOption(
  args: readonly string[],
  name: "against" | "program",
): string | undefined {
  const index = args.indexOf(`--${name}`);
  return index < 0 ? undefined : args[index + 1];
}

/** Parses figures that the bench wrote; throws on anything else. */
export function parseFigures(text: string): Figures {
  const figures = JSON.parse(text) as Partial<Figures>;
  if (typeof figures.commit !== "string" || !Array.isArray(figures.parts)) {
    throw new Error("these are no figures of `npm run bench -- parts`");
  }
  return figures as Figures;
}

/** Returns the sums over all parts. */
export function getTotals({ parts }: Figures): PartFigures {
  return {
    name: "all",
    requestUs: parts.reduce((sum, part) => sum + part.requestUs, 0),
    idleUsPerS: parts.reduce((sum, part) => sum + part.idleUsPerS, 0),
  };
}

function formatCells(
  get: (figures: PartFigures) => number,
  part: PartFigures,
  before: PartFigures | undefined,
): string[] {
  const value = get(part).toFixed(1);
  return before === undefined ? [value] : [get(before).toFixed(1), value];
}

/** Formats a Markdown table; with `against`, the figures of the other commit come first. */
export function formatTable(figures: Figures, against?: Figures): string {
  const commits = against === undefined
    ? [figures.commit]
    : [against.commit, figures.commit];
  const header = [
    "part",
    ...commits.map((commit) => `us a request, ${commit}`),
    ...commits.map((commit) => `us an idle second, ${commit}`),
  ];
  const rows = [...figures.parts, getTotals(figures)].map((part) => {
    const before = against === undefined ? undefined : tryFind(against, part);
    return [
      part.name,
      ...formatCells(({ requestUs }) => requestUs, part, before),
      ...formatCells(({ idleUsPerS }) => idleUsPerS, part, before),
    ];
  });
  return [header, header.map(() => "---"), ...rows]
    .map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

/** A part that the other commit did not have cost nothing there. */
function tryFind(figures: Figures, { name }: PartFigures): PartFigures {
  const parts = [...figures.parts, getTotals(figures)];
  return parts.find((part) => part.name === name) ??
    { name, requestUs: 0, idleUsPerS: 0 };
}

/** Formats an SVG plot with two bars for each part: processor time of a request before and after. */
export function formatPlot(figures: Figures, against: Figures): string {
  const rows = figures.parts.map((part) => ({
    name: part.name,
    values: [tryFind(against, part).requestUs, part.requestUs],
  }));
  const max = Math.max(1, ...rows.flatMap(({ values }) => values));
  const bars = rows.flatMap(({ name, values }, row) => {
    const y = 30 + row * ROW_HEIGHT;
    const label = `<text x="${LABEL_WIDTH - 8}" y="${
      y + BAR_HEIGHT + 4
    }" text-anchor="end">${name}</text>`;
    return [
      label,
      ...values.map((value, index) => {
        const width = Math.max(0, value) / max * PLOT_WIDTH;
        const top = y + index * BAR_HEIGHT;
        return `<rect x="${LABEL_WIDTH}" y="${top}" width="${
          width.toFixed(1)
        }" height="${BAR_HEIGHT}" fill="${COLORS[index]}"/>` +
          `<text x="${(LABEL_WIDTH + width + 4).toFixed(1)}" y="${
            top + BAR_HEIGHT - 2
          }">${value.toFixed(1)}</text>`;
      }),
    ];
  });
  const height = 40 + rows.length * ROW_HEIGHT;
  const title =
    `<text x="${LABEL_WIDTH}" y="18">us a request: ${against.commit} (grey), ${figures.commit}</text>`;
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${
    LABEL_WIDTH + PLOT_WIDTH + 60
  }" height="${height}" font-family="sans-serif" font-size="11">\n${
    [title, ...bars].join("\n")
  }\n</svg>\n`;
}
