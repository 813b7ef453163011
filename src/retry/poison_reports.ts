/** Messages of `poison.report` between instances, checked on arrival. */
import type * as Types from "../types.ts";

const MAX_FINGERPRINT_LENGTH = 256;
const MAX_TARGETS = 16;
const MAX_TARGET_LENGTH = 128;
const MAX_BLOCK_MS = 5 * 60_000;

/** Targets that broke while they ran the request. */
export interface Broke {
  readonly kind: "broke";
  readonly fingerprint: string;
  readonly targets: readonly Types.TargetId[];
  /** Time for which the receiver blocks in ms, when two targets are known. */
  readonly blockMs?: number;
  /** True when recent answers explain every break; such reports alone do not block. */
  readonly isExplained?: boolean;
  /** True when it comes from another domain. */
  readonly isFromOutside?: boolean;
}

/** A report, its withdrawal, or the request for all reports. */
export type Message =
  | Broke
  | { readonly kind: "answered"; readonly fingerprint: string }
  | { readonly kind: "pull" };

function isText(value: unknown, maxLength: number): value is string {
  return typeof value === "string" && value !== "" && value.length <= maxLength;
}

function tryParseBroke(
  fingerprint: string,
  value: Readonly<Record<string, unknown>>,
): Broke | undefined {
  const { targets, blockMs } = value;
  if (!Array.isArray(targets) || targets.length > MAX_TARGETS) return undefined;
  const isValid = targets.every((each) => isText(each, MAX_TARGET_LENGTH));
  if (!isValid) return undefined;
  const asked = typeof blockMs === "number" ? blockMs : MAX_BLOCK_MS;
  const bounded = Math.min(Math.max(0, asked), MAX_BLOCK_MS);
  return {
    kind: "broke",
    fingerprint,
    targets,
    blockMs: bounded,
    isExplained: value["isExplained"] === true,
    isFromOutside: value["isFromOutside"] === true,
  };
}

/** Checks a message; undefined when it is malformed. */
export function tryParse(value: unknown): Message | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { kind, fingerprint } = value as Readonly<Record<string, unknown>>;
  if (kind === "pull") return { kind };
  if (!isText(fingerprint, MAX_FINGERPRINT_LENGTH)) return undefined;
  if (kind === "answered") return { kind, fingerprint };
  if (kind !== "broke") return undefined;
  return tryParseBroke(
    fingerprint,
    value as Readonly<Record<string, unknown>>,
  );
}
