/** One step of a plan, and how its numbers are written. */
import type * as Types from "../types.ts";

/** One change that applying a table brings. */
export interface PlanStep {
  readonly kind:
    | "service"
    | "region"
    | "traffic"
    | "cap"
    | "link"
    | "shift"
    | "routes"
    | "account"
    | "warning";
  readonly service: Types.Service;
  /** Undefined for changes of a whole service. */
  readonly region: Types.Region | undefined;
  readonly account: Types.Account | undefined;
  /** What changes, in one line. */
  readonly text: string;
  /** How long a traffic shift takes under its cap; undefined for others. */
  readonly durationMs: number | undefined;
}

/** Makes a step without a duration. */
export function makeStep(
  kind: PlanStep["kind"],
  service: Types.Service,
  region: Types.Region | undefined,
  text: string,
): PlanStep {
  const none = undefined;
  return { kind, service, region, account: none, text, durationMs: none };
}

/** A number with at most one decimal. */
export function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10);
}
