/** Structured log: one line of key=value pairs per event, written with pino. */
import { type Logger as PinoLogger, pino } from "pino";

/** Values that a log line may carry. */
export type LogValue = string | number | boolean | undefined;
/** Key-value pairs of a log line, in order. */
export type LogFields = Readonly<Record<string, LogValue>>;
/** Log levels, least severe first. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes events. `event` is a fixed name in kebab case. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Returns a logger that adds `fields` to each line. */
  child(fields: LogFields): Logger;
}

const NEEDS_QUOTES = /[\s"=\\]|^$/;
const LEVEL_NAMES: Readonly<Record<number, string>> = {
  20: "debug",
  30: "info",
  40: "warn",
  50: "error",
};

function formatValue(value: LogValue): string {
  if (typeof value !== "string") return String(value);
  return NEEDS_QUOTES.test(value) ? JSON.stringify(value) : value;
}

/** Formats fields as `a=1 b="two words"`; omits undefined values. */
export function formatFields(fields: LogFields): string {
  let pairs = "";
  for (const key of Object.keys(fields)) {
    const value = fields[key];
    if (value === undefined) continue;
    pairs += `${pairs === "" ? "" : " "}${key}=${formatValue(value)}`;
  }
  return pairs;
}

/** Converts pino's JSON line to key=value pairs. */
function formatLine(line: string): string {
  const { time, level, msg, ...fields } = JSON.parse(line);
  const iso = new Date(time).toISOString();
  const head = `time=${iso} level=${LEVEL_NAMES[level] ?? level} event=${msg}`;
  const pairs = formatFields(fields);
  return pairs === "" ? `${head}\n` : `${head} ${pairs}\n`;
}

/** Creates a logger. `write` receives complete lines; the default is standard error. */
export function createLogger(
  level: LogLevel,
  fields: LogFields = {},
  write: (line: string) => void = (line) => void process.stderr.write(line),
): Logger {
  const sink = { write: (line: string) => write(formatLine(line)) };
  // pino omits pid and hostname when `base` is null.
  const base = pino({ level, base: null }, sink);
  return wrapPino(base, fields);
}

function wrapPino(base: PinoLogger, fields: LogFields): Logger {
  return {
    debug: (event, extra) => base.debug({ ...fields, ...extra }, event),
    info: (event, extra) => base.info({ ...fields, ...extra }, event),
    warn: (event, extra) => base.warn({ ...fields, ...extra }, event),
    error: (event, extra) => base.error({ ...fields, ...extra }, event),
    child: (extra) => wrapPino(base, { ...fields, ...extra }),
  };
}

/**
 * Buffers lines and writes them together after `flushMs`: each write is a system
 * call, and lines arrive in bursts. `write` must not block. `flush` writes the
 * buffered lines at once.
 */
export function createLineBuffer(
  write: (lines: string) => void,
  flushMs: number,
): { readonly add: (lines: string) => void; readonly flush: () => void } {
  let bufferedLines = "";
  let timer: NodeJS.Timeout | undefined;

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    const lines = bufferedLines;
    bufferedLines = "";
    if (lines !== "") write(lines);
  }

  return {
    add(lines) {
      bufferedLines += lines;
      timer ??= setTimeout(flush, flushMs).unref();
    },
    flush,
  };
}

/**
 * Creates a function that limits repeated log events. It returns undefined when
 * `event` must be suppressed, because it was logged less than `intervalMs` ago.
 * Otherwise it returns the number of suppressed repetitions since the last log line.
 */
export function createRepeatLimit(
  intervalMs: number,
  nowMs: () => number,
): (event: string) => { readonly suppressed: number } | undefined {
  const lastByEvent = new Map<
    string,
    { loggedAtMs: number; suppressed: number }
  >();
  return (event) => {
    const now = nowMs();
    const entry = lastByEvent.get(event);
    if (entry !== undefined && now - entry.loggedAtMs < intervalMs) {
      entry.suppressed++;
      return undefined;
    }
    lastByEvent.set(event, { loggedAtMs: now, suppressed: 0 });
    return { suppressed: entry?.suppressed ?? 0 };
  };
}
