/** Faults of the proxy, for each direction. */
import type * as Json from "../../src/json.ts";

/** Value of `truncateAfterBytes` that switches truncation off. */
export const NEVER = -1;

/** Faults of the bytes that go one way. */
export interface DirectionFaults {
  /** Bytes are read and dropped. A connection that lost bytes is reset when the cut ends. */
  readonly isCut: boolean;
  /** Bytes are held and go on when the freeze ends. */
  readonly isFrozen: boolean;
  readonly delayMs: number;
  /** Shared by all connections, as on a link; 0 is unlimited. */
  readonly bytesPerS: number;
  /** Ends each connection after this many more bytes; `NEVER` switches it off. */
  readonly truncateAfterBytes: number;
  /** How truncation ends the connection, towards the receiver of the bytes. */
  readonly truncateBy: "close" | "reset";
}

/** Faults in force. */
export interface ProxyFaults {
  /** New connections are refused; setting it resets the open ones. */
  readonly refuse: boolean;
  readonly toTarget: DirectionFaults;
  readonly toClient: DirectionFaults;
}

/** Changes of faults; `both` applies to both directions. */
export interface FaultPatch {
  readonly refuse?: boolean;
  readonly both?: Partial<DirectionFaults>;
  readonly toTarget?: Partial<DirectionFaults>;
  readonly toClient?: Partial<DirectionFaults>;
}

const NO_DIRECTION_FAULTS: DirectionFaults = {
  isCut: false,
  isFrozen: false,
  delayMs: 0,
  bytesPerS: 0,
  truncateAfterBytes: NEVER,
  truncateBy: "close",
};

/** Nothing wrong. */
export const NO_FAULTS: ProxyFaults = {
  refuse: false,
  toTarget: NO_DIRECTION_FAULTS,
  toClient: NO_DIRECTION_FAULTS,
};

/** Applies a patch. */
export function patchFaults(
  faults: ProxyFaults,
  patch: FaultPatch,
): ProxyFaults {
  return {
    refuse: patch.refuse ?? faults.refuse,
    toTarget: { ...faults.toTarget, ...patch.both, ...patch.toTarget },
    toClient: { ...faults.toClient, ...patch.both, ...patch.toClient },
  };
}

type Check = (value: unknown) => boolean;

const isFlag: Check = (value) => typeof value === "boolean";
const isNumber = (min: number): Check => (value) =>
  typeof value === "number" && Number.isFinite(value) && value >= min;

const CHECKS: Readonly<Record<keyof DirectionFaults, Check>> = {
  isCut: isFlag,
  isFrozen: isFlag,
  delayMs: isNumber(0),
  bytesPerS: isNumber(0),
  truncateAfterBytes: isNumber(NEVER),
  truncateBy: (value) => value === "close" || value === "reset",
};

function tryFindWrong(name: string, value: unknown): string | undefined {
  if (name === "refuse") return isFlag(value) ? undefined : name;
  if (!["both", "toTarget", "toClient"].includes(name)) return name;
  if (typeof value !== "object" || value === null) return name;
  for (const [field, one] of Object.entries(value)) {
    const check = Object.hasOwn(CHECKS, field)
      ? CHECKS[field as keyof DirectionFaults]
      : undefined;
    if (check?.(one) !== true) return `${name}.${field}`;
  }
  return undefined;
}

/** Checks a patch that came over the control listener; a text names the wrong field. */
export function checkPatch(body: Json.JsonObject): FaultPatch | string {
  for (const [name, value] of Object.entries(body)) {
    const wrong = tryFindWrong(name, value);
    if (wrong !== undefined) return `unknown field or bad value: ${wrong}`;
  }
  return body as FaultPatch;
}
