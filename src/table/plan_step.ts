/** The steps of a plan and the format of their numbers. */
import type * as Types from "../types.ts";

/** One change that takes effect when a table is applied. */
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
  /** Undefined when the change affects the whole service. */
  readonly region: Types.Region | undefined;
  readonly account: Types.Account | undefined;
  /** One line that describes the change. */
  readonly text: string;
  /** Duration of a traffic shift at the row's maximum shift rate; undefined for other changes. */
  readonly durationMs: number | undefined;
}

/** Creates a step without an account and without a duration. */
export function createStep(
  kind: PlanStep["kind"],
  service: Types.Service,
  region: Types.Region | undefined,
  text: string,
): PlanStep {
  const unset = undefined;
  return { kind, service, region, account: unset, text, durationMs: unset };
}

/** Formats a number with at most one decimal place. */
export function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10);
}
