/** Faults that tests switch on and off at the stand-in's control listener. */
import type * as Json from "../../src/json.ts";

/** `refuse`: connections are refused; `hang`: they are accepted and nothing is answered. */
export type Availability = "up" | "refuse" | "hang";

/** Operations that change something and can lose their answer. */
export const WRITE_OPS = ["cas", "remove", "grant", "renew", "release"];

/** Faults in force. */
export interface Faults {
  readonly availability: Availability;
  /** Added before each call is carried out. */
  readonly slowMs: number;
  /** Number of writes that still take effect and lose their answer. */
  readonly loseWrites: number;
  /** How an answer is lost: the connection is reset, or stays silent. */
  readonly loseBy: "reset" | "silence";
  /** Operations that lose their answer. */
  readonly loseOps: readonly string[];
  /** Only writes to keys that start with this lose their answer. */
  readonly loseKeyPrefix: string;
  readonly listLagMs: number;
}

/** No faults. */
export function createFaults(listLagMs: number): Faults {
  return {
    availability: "up",
    slowMs: 0,
    loseWrites: 0,
    loseBy: "reset",
    loseOps: ["cas", "remove"],
    loseKeyPrefix: "",
    listLagMs,
  };
}

type Check = (value: unknown) => boolean;

const isCount: Check = (value) => Number.isInteger(value) && Number(value) >= 0;
const isOneOf = (...allowed: readonly string[]): Check => (value) =>
  typeof value === "string" && allowed.includes(value);

const CHECKS: Readonly<Record<keyof Faults, Check>> = {
  availability: isOneOf("up", "refuse", "hang"),
  slowMs: isCount,
  loseWrites: isCount,
  loseBy: isOneOf("reset", "silence"),
  loseOps: (value) =>
    Array.isArray(value) && value.every(isOneOf(...WRITE_OPS)),
  loseKeyPrefix: (value) => typeof value === "string",
  listLagMs: isCount,
};

/** Applies the given fields; a text says what is wrong with them. */
export function patchFaults(
  faults: Faults,
  patch: Json.JsonObject,
): Faults | string {
  for (const [name, value] of Object.entries(patch)) {
    if (!Object.hasOwn(CHECKS, name)) return `unknown fault ${name}`;
    if (!CHECKS[name as keyof Faults](value)) return `bad value for ${name}`;
  }
  return { ...faults, ...patch };
}
