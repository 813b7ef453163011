/** Log lines: one line of key=value pairs per event, through pino. */
import { type Logger as PinoLogger, pino } from "pino";

/** Values that a log line may carry. */
export type LogValue = string | number | boolean | undefined;
/** Pairs of a log line, in order. */
export type LogFields = Readonly<Record<string, LogValue>>;
/** Levels, least urgent first. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes events. `event` is a fixed name in kebab case. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** A logger that adds `fields` to each line. */
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

/** Joins pairs to `a=1 b="two words"`; leaves out undefined values. */
export function formatFields(fields: LogFields): string {
  let text = "";
  for (const key of Object.keys(fields)) {
    const value = fields[key];
    if (value === undefined) continue;
    text += `${text === "" ? "" : " "}${key}=${formatValue(value)}`;
  }
  return text;
}

/** Turns pino's JSON line into key=value pairs. */
function formatLine(line: string): string {
  const { time, level, msg, ...rest } = JSON.parse(line);
  const at = new Date(time).toISOString();
  const head = `time=${at} level=${LEVEL_NAMES[level] ?? level} event=${msg}`;
  const tail = formatFields(rest);
  return tail === "" ? `${head}\n` : `${head} ${tail}\n`;
}

/** Creates a logger. `write` takes whole lines; standard error by default. */
export function createLogger(
  level: LogLevel,
  fields: LogFields = {},
  write: (line: string) => void = (line) => void process.stderr.write(line),
): Logger {
  const sink = { write: (line: string) => write(formatLine(line)) };
  // pino documents null as the way to leave out pid and hostname.
  const base = pino({ level, base: null }, sink);
  return wrap(base, fields);
}

function wrap(base: PinoLogger, fields: LogFields): Logger {
  return {
    debug: (event, more) => base.debug({ ...fields, ...more }, event),
    info: (event, more) => base.info({ ...fields, ...more }, event),
    warn: (event, more) => base.warn({ ...fields, ...more }, event),
    error: (event, more) => base.error({ ...fields, ...more }, event),
    child: (more) => wrap(base, { ...fields, ...more }),
  };
}

/**
 * Gathers lines and writes them together: each write is a system call, and lines
 * come in series. `write` must not block. `flush` writes what is left.
 */
export function createLineBuffer(
  write: (text: string) => void,
  flushMs: number,
): { readonly add: (text: string) => void; readonly flush: () => void } {
  let text = "";
  let timer: NodeJS.Timeout | undefined;

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    const gathered = text;
    text = "";
    if (gathered !== "") write(gathered);
  }

  return {
    add(more) {
      text += more;
      timer ??= setTimeout(flush, flushMs).unref();
    },
    flush,
  };
}

/** Lets an event through at most once per `intervalMs` and counts what it held back. */
export function createRepeatLimit(
  intervalMs: number,
  nowMs: () => number,
): (event: string) => { readonly suppressed: number } | undefined {
  const last = new Map<string, { at: number; suppressed: number }>();
  return (event) => {
    const now = nowMs();
    const entry = last.get(event);
    if (entry !== undefined && now - entry.at < intervalMs) {
      entry.suppressed++;
      return undefined;
    }
    last.set(event, { at: now, suppressed: 0 });
    return { suppressed: entry?.suppressed ?? 0 };
  };
}
