/**
 * Faults that a target stand-in can be told to show. Promise: `parseFaults`
 * accepts only known names and types, so that a test with a misspelt fault
 * fails instead of running without it.
 */

/** What `/load` reports instead of the truth. */
export type LoadFault =
  /** Repeats the report from the time at which the fault was set. */
  | { readonly kind: "frozen" }
  /** Multiplies the slots in use. */
  | { readonly kind: "factor"; readonly factor: number };

/** Places in which a target can say that it is leaving; `header` is that of answers to requests. */
export type Announcement = "list" | "health" | "load" | "header";

/** Faults in force; an undefined member is off. */
export interface Faults {
  /** A request whose path contains this text crashes the target. */
  readonly crashOn?: string | undefined;
  /** `exit` ends the process; `restart` comes back on the same port. */
  readonly crashMode?: "exit" | "restart" | undefined;
  /** Milliseconds until a crashed target in mode `restart` listens again. */
  readonly restartMs?: number | undefined;
  /** Starts a cold phase now: service times are longer until it ends. */
  readonly coldMs?: number | undefined;
  readonly shedAll?: boolean | undefined;
  /** State leaving in health, load and the `Target-State` header. */
  readonly leaving?: boolean | undefined;
  /** The only place that shows `leaving`; all of them when undefined. */
  readonly announceBy?: Announcement | undefined;
  readonly load?: LoadFault | undefined;
  /** `lying` always reports live, `failing` answers 500, `hanging` never answers. */
  readonly health?: "lying" | "failing" | "hanging" | undefined;
  /** The answer's connection breaks after this many body bytes. */
  readonly truncateAfterBytes?: number | undefined;
  /** Resets the connection after the execution, before the answer. */
  readonly resetAfterExecuting?: boolean | undefined;
  /** Milliseconds between the execution and its answer. */
  readonly lateMs?: number | undefined;
  /** Without content length: in chunks, or delimited by the end of the connection. */
  readonly omitContentLength?: "chunked" | "eof" | undefined;
  /** Milliseconds until a new connection serves its first request, for the time of a handshake. */
  readonly connectMs?: number | undefined;
  /** The four faults before `connectMs` apply only to paths that contain this text. */
  readonly only?: string | undefined;
}

type Check = (value: unknown) => boolean;

const isText: Check = (value) => typeof value === "string" && value !== "";
const isFlag: Check = (value) => typeof value === "boolean";
const isCount: Check = (value) => Number.isFinite(value) && Number(value) >= 0;

function isOneOf(...allowed: readonly string[]): Check {
  return (value) => allowed.includes(String(value));
}

const isLoadFault: Check = (value) => {
  if (typeof value !== "object" || value === null) return false;
  const fault = value as { kind?: unknown; factor?: unknown };
  if (fault.kind === "frozen") return true;
  return fault.kind === "factor" && isCount(fault.factor);
};

const CHECKS: Readonly<Record<keyof Faults, Check>> = {
  crashOn: isText,
  crashMode: isOneOf("exit", "restart"),
  restartMs: isCount,
  coldMs: isCount,
  shedAll: isFlag,
  leaving: isFlag,
  announceBy: isOneOf("list", "health", "load", "header"),
  load: isLoadFault,
  health: isOneOf("lying", "failing", "hanging"),
  truncateAfterBytes: isCount,
  resetAfterExecuting: isFlag,
  lateMs: isCount,
  omitContentLength: isOneOf("chunked", "eof"),
  connectMs: isCount,
  only: isText,
};

/** True when the target says in this place that it is leaving. */
export function isAnnouncedBy(faults: Faults, place: Announcement): boolean {
  if (faults.leaving !== true) return false;
  return faults.announceBy === undefined || faults.announceBy === place;
}

/**
 * Merges a JSON object of faults into those in force; a null member switches a
 * fault off. Throws on an unknown name or a value of the wrong type.
 */
export function mergeFaults(current: Faults, change: unknown): Faults {
  if (typeof change !== "object" || change === null || Array.isArray(change)) {
    throw new TypeError("faults must be a JSON object");
  }
  const merged: Record<string, unknown> = { ...current };
  for (const [name, value] of Object.entries(change)) {
    const check = CHECKS[name as keyof Faults];
    if (check === undefined) throw new TypeError(`unknown fault ${name}`);
    if (value === null || value === undefined) {
      delete merged[name];
      continue;
    }
    if (!check(value)) throw new TypeError(`bad value of fault ${name}`);
    merged[name] = value;
  }
  return merged as Faults;
}
