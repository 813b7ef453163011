/** Messages of the method `poison.report` between instances, and their validation. */
import * as Crypto from "node:crypto";
import * as Debug from "../debug.ts";
import * as Wire from "../peer/wire.ts";
import type * as Types from "../types.ts";
import type * as Evidence from "./poison_evidence.ts";

/** Instances of earlier builds send fingerprints of up to this length. */
const MAX_FINGERPRINT_LENGTH = 256;
const MAX_REPORTED_TARGETS = 16;
const MAX_TARGET_LENGTH = 128;
const MAX_BLOCK_MS = 5 * 60_000;
/** Largest accepted stamp; larger ones could not be exceeded by later stamps. */
const MAX_STAMP = 2 ** 52;
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
  /** Stamps of the losses, in the order of `targets`; earlier builds send and accept none. */
  readonly stamps?: readonly number[];
  /** Stamp of the last loss that no response explains; 0 for none. */
  readonly unexplainedStamp?: number;
}

/** Reports a response, which clears the losses with stamps up to its own. */
export interface ClearReport {
  readonly kind: "answered";
  readonly fingerprint: string;
  /** Earlier builds send none. */
  readonly stamp?: number;
  /** True if it is forwarded to all instances, as the request was blocked. */
  readonly isFleetWide?: boolean;
}

/** A message about one fingerprint. */
export type Statement = ConnectionLossReport | ClearReport;

/** A connection loss, a response that clears earlier reports, or the request for all reports. */
export type Message =
  | Statement
  | {
    readonly kind: "pull";
    /** True if the sender understands clears in the response. */
    readonly withClears?: boolean;
  };

/** Creates the report of these losses. `blockMs` is the time for which the receiver blocks the request. */
export function createReport(
  fingerprint: string,
  losses: Evidence.Losses,
  blockMs: number,
): ConnectionLossReport {
  return {
    kind: "broke",
    fingerprint,
    targets: [...losses.targets.keys()],
    blockMs,
    isExplained: losses.unexplainedStamp === 0,
    stamps: [...losses.targets.values()],
    unexplainedStamp: losses.unexplainedStamp,
  };
}

/** Returns the losses of a report; undefined when it has no stamps. */
export function getStampedLosses(
  report: ConnectionLossReport,
): Evidence.Losses | undefined {
  const { targets, stamps, unexplainedStamp } = report;
  if (stamps === undefined || unexplainedStamp === undefined) return undefined;
  return {
    targets: new Map(targets.map((target, i) => [target, stamps[i] ?? 0])),
    unexplainedStamp,
  };
}

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
export function selectForMessage<T extends Statement>(
  reports: readonly T[],
): readonly T[] {
  const isBlock = (report: T) =>
    report.kind === "broke" && (report.blockMs ?? 0) > 0;
  const newestFirst = reports.toReversed();
  const byImportance = [
    ...newestFirst.filter(isBlock),
    ...newestFirst.filter((report) => !isBlock(report)),
  ];
  const selected = new Set<T>();
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

function isStamp(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0 &&
    Number(value) <= MAX_STAMP;
}

/** Returns the stamps of a report; none if they are absent or malformed, as in a report of an earlier build. */
function parseStamps(
  { stamps, unexplainedStamp }: Readonly<Record<string, unknown>>,
  count: number,
): Pick<ConnectionLossReport, "stamps" | "unexplainedStamp"> {
  const isValid = Array.isArray(stamps) && stamps.length === count &&
    stamps.every(isStamp) && isStamp(unexplainedStamp);
  return isValid ? { stamps, unexplainedStamp } : {};
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
    ...parseStamps(value, targets.length),
  };
}

/** Parses a message; undefined when it is malformed. */
export function tryParse(value: unknown): Message | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const fields = value as Readonly<Record<string, unknown>>;
  const { kind, fingerprint, stamp } = fields;
  if (kind === "pull") {
    return { kind, withClears: fields["withClears"] === true };
  }
  if (!isBoundedString(fingerprint, MAX_FINGERPRINT_LENGTH)) return undefined;
  if (kind === "answered") {
    const isFleetWide = fields["isFleetWide"] === true;
    return isStamp(stamp)
      ? { kind, fingerprint, stamp, isFleetWide }
      : { kind, fingerprint };
  }
  if (kind !== "broke") return undefined;
  return tryParseConnectionLoss(fingerprint, fields);
}

/** True if a message has stamps that are malformed, and so were not parsed. */
export function hasMalformedStamps(value: unknown, parsed: Message): boolean {
  const fields = value as Readonly<Record<string, unknown>>;
  switch (parsed.kind) {
    case "broke":
      return fields["stamps"] !== undefined && parsed.stamps === undefined;
    case "answered":
      return fields["stamp"] !== undefined && parsed.stamp === undefined;
    case "pull":
      return false;
    default:
      return Debug.assertNever(parsed);
  }
}
