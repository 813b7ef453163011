/** Messages of the method `poison.report` between instances, and their validation. */
import * as Crypto from "node:crypto";
import * as Wire from "../peer/wire.ts";
import type * as Types from "../types.ts";

/** Instances of earlier builds send fingerprints of up to this length. */
const MAX_FINGERPRINT_LENGTH = 256;
const MAX_REPORTED_TARGETS = 16;
const MAX_TARGET_LENGTH = 128;
const MAX_BLOCK_MS = 5 * 60_000;
/** Bytes of the reports in one message; the rest of the line holds the frame of the message. */
const MAX_REPORTS_BYTES = Wire.MAX_LINE_BYTES - 1_024;

/** Reports targets whose connection was lost while they ran the request. */
export interface ConnectionLossReport {
  readonly kind: "broke";
  readonly fingerprint: string;
  readonly targets: readonly Types.TargetId[];
  /** Time in ms for which the receiver blocks the request once two targets are known. */
  readonly blockMs?: number;
  /** True when recent responses explain every connection loss; such reports alone do not block the request. */
  readonly isExplained?: boolean;
  /** True when the report comes from another failure domain. */
  readonly isFromOutside?: boolean;
}

/** A connection loss, a response that clears earlier reports, or the request for all reports. */
export type Message =
  | ConnectionLossReport
  | { readonly kind: "answered"; readonly fingerprint: string }
  | { readonly kind: "pull" };

/**
 * Returns the name of a target in reports: its id, or a digest of an id that is
 * longer than receivers accept.
 */
export function getReportedTarget(target: Types.TargetId): Types.TargetId {
  if (target.length <= MAX_TARGET_LENGTH) return target;
  return Crypto.createHash("sha256").update(target).digest("base64url");
}

/**
 * Returns the reports that fit into one message, in their order. Reports of blocked
 * requests are selected first, then the newest; `reports` begins with the oldest.
 */
export function selectForMessage(
  reports: readonly ConnectionLossReport[],
): readonly ConnectionLossReport[] {
  const isBlock = ({ blockMs = 0 }: ConnectionLossReport) => blockMs > 0;
  const newestFirst = reports.toReversed();
  const byImportance = [
    ...newestFirst.filter(isBlock),
    ...newestFirst.filter((report) => !isBlock(report)),
  ];
  const selected = new Set<ConnectionLossReport>();
  let bytes = 0;
  for (const report of byImportance) {
    bytes += Buffer.byteLength(JSON.stringify(report)) + 1;
    if (bytes > MAX_REPORTS_BYTES) break;
    selected.add(report);
  }
  return reports.filter((report) => selected.has(report));
}

function isBoundedString(value: unknown, maxLength: number): value is string {
  return typeof value === "string" && value !== "" && value.length <= maxLength;
}

function tryParseConnectionLoss(
  fingerprint: string,
  value: Readonly<Record<string, unknown>>,
): ConnectionLossReport | undefined {
  const { targets, blockMs } = value;
  if (!Array.isArray(targets) || targets.length > MAX_REPORTED_TARGETS) {
    return undefined;
  }
  const isValid = targets.every((target) =>
    isBoundedString(target, MAX_TARGET_LENGTH)
  );
  if (!isValid) return undefined;
  const requestedMs = typeof blockMs === "number" ? blockMs : MAX_BLOCK_MS;
  const boundedMs = Math.min(Math.max(0, requestedMs), MAX_BLOCK_MS);
  return {
    kind: "broke",
    fingerprint,
    targets,
    blockMs: boundedMs,
    isExplained: value["isExplained"] === true,
    isFromOutside: value["isFromOutside"] === true,
  };
}

/** Parses a message; undefined when it is malformed. */
export function tryParse(value: unknown): Message | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { kind, fingerprint } = value as Readonly<Record<string, unknown>>;
  if (kind === "pull") return { kind };
  if (!isBoundedString(fingerprint, MAX_FINGERPRINT_LENGTH)) return undefined;
  if (kind === "answered") return { kind, fingerprint };
  if (kind !== "broke") return undefined;
  return tryParseConnectionLoss(
    fingerprint,
    value as Readonly<Record<string, unknown>>,
  );
}
