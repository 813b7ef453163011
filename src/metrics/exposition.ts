/** Writes metrics in the Prometheus text format. */

/** Labels of one sample. */
export type Labels = Readonly<Record<string, string>>;

/** Collects samples; all of one name must be added one after another. */
export interface Exposition {
  family(
    name: string,
    type: "counter" | "gauge" | "summary",
    help: string,
  ): void;
  sample(name: string, labels: Labels, value: number): void;
  finish(): string;
}

/** Turns a name of our code into one that Prometheus allows: `queue.length` to `anvilroute_queue_length`. */
export function formatName(name: string): string {
  return `anvilroute_${name.replace(/[^a-zA-Z0-9_]/g, "_")}`;
}

function escapeValue(text: string): string {
  return text.replace(/\\/g, "\\\\").replace(/\n/g, "\\n").replace(/"/g, '\\"');
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([key, value]) => `${key}="${escapeValue(value)}"`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

/** Creates an empty text. */
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
