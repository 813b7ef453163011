/** Formats metrics in the Prometheus text format. */

/** Labels of one sample. */
export type Labels = Readonly<Record<string, string>>;

/** Collects samples. All samples of a family must be added directly after the call of `family`. */
export interface Exposition {
  family(
    name: string,
    type: "counter" | "gauge" | "summary",
    help: string,
  ): void;
  sample(name: string, labels: Labels, value: number): void;
  finish(): string;
}

/** Converts an internal name to a Prometheus name: `queue.length` becomes `anvilroute_queue_length`. */
export function formatName(name: string): string {
  return `anvilroute_${name.replace(/[^a-zA-Z0-9_]/g, "_")}`;
}

function escapeValue(raw: string): string {
  return raw.replace(/\\/g, "\\\\").replace(/\n/g, "\\n").replace(/"/g, '\\"');
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([key, value]) => `${key}="${escapeValue(value)}"`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

/** Creates an exposition without samples. */
export function createExposition(): Exposition {
  const lines: string[] = [];
  return {
    family(name, type, help) {
      lines.push(`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`);
    },
    sample(name, labels, value) {
      lines.push(`${name}${formatLabels(labels)} ${value}`);
    },
    finish: () => lines.join("\n") + "\n",
  };
}
