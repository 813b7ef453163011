/** Checks the snapshots that instances return for `report.burn`. */
import * as Json from "../json.ts";
import type * as Metrics from "../metrics/metrics.ts";
import type * as Latency from "../metrics/latency.ts";
import type * as Windows from "../metrics/windows.ts";

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isWindow(value: unknown): value is Windows.EncodedWindow {
  if (!Array.isArray(value) || value.length !== 6) return false;
  const [refused] = value.slice(5);
  return value.slice(0, 5).every(isCount) && Json.isObject(refused) &&
    Object.values(refused).every(isCount);
}

function isLatency(value: unknown): value is Latency.EncodedLatency {
  return Array.isArray(value) && value.length === 2 && isCount(value[0]) &&
    typeof value[1] === "string";
}

function isSeries(value: unknown): value is Metrics.SeriesSnapshot {
  return Json.isObject(value) && typeof value["service"] === "string" &&
    typeof value["account"] === "string" &&
    Array.isArray(value["windows"]) && value["windows"].every(isWindow) &&
    Array.isArray(value["latency"]) && value["latency"].every(isLatency);
}

/** Returns a well-formed snapshot; undefined when it is malformed, for example from another version. */
export function tryReadSnapshot(
  raw: unknown,
): Metrics.BurnSnapshot | undefined {
  const isValid = Json.isObject(raw) && typeof raw["instance"] === "string" &&
    isCount(raw["sinceWallMs"]) && isCount(raw["nowWallMs"]) &&
    Array.isArray(raw["series"]) && raw["series"].every(isSeries);
  return isValid ? raw as unknown as Metrics.BurnSnapshot : undefined;
}
