/** Formats metrics in the Prometheus text exposition format. */

/** Labels of one sample. */
export type Labels = Readonly<Record<string, string>>;

/** Collects metric families and their samples; the samples of a family directly follow it. */
export interface Exposition {
  /** Starts a family; `name` is the full metric name. */
  family(
    name: string,
    type: "counter" | "gauge" | "summary",
    help: string,
  ): void;
  sample(name: string, labels: Labels, value: number): void;
  /** Returns the complete text. */
  finish(): string;
}

/** Converts a name to a valid Prometheus name: `queue.length` to `anvilroute_queue_length`. */
export function formatName(name: string): string {
  return `anvilroute_${name.replace(/[^a-zA-Z0-9_]/g, "_")}`;
}

function escapeValue(value: string): string {
  return value.replace(/\\/g, "\\\\").replace(/\n/g, "\\n").replace(
    /"/g,
    '\\"',
  );
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([key, value]) => `${key}="${escapeValue(value)}"`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

/** Creates an empty exposition. */
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
