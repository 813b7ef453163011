/**
 * Observations that instances report to each other with their age: the rate that a
 * target names, the last response of the store.
 *
 * A receiver doesn't know how long the report was under way, so each instance takes
 * the observation for that much younger. If instances relay what others reported, an
 * observation that returns looks newer than the one that is known, and circulates:
 * with messages every 250 ms that take 55 ms, a report that should end after 3 s
 * went on for 25 s. The number of relays is therefore limited.
 */

/**
 * Largest number of relays. From an instance to its hub, a hub of another domain and
 * the instances there take three; the quickest way through a domain may take more.
 */
export const MAX_RELAYS = 12;
/** A report that came by more relays is the known observation unless it seems newer by this, ms. */
const MAX_TRANSIT_MS = 500;

/** When something was observed, and by how many relays this instance knows. */
export interface Observation {
  /** Monotonic ms. */
  readonly atMs: number;
  /** 0 for an observation of this instance. */
  readonly relays: number;
}

/** True if the instance may report the observation to others. */
export function isReportable({ relays }: Observation): boolean {
  return relays < MAX_RELAYS;
}

/** True if `received` is a later observation than `known` rather than the same by a longer way. */
export function isLater(received: Observation, known: Observation): boolean {
  const transitMs = received.relays > known.relays ? MAX_TRANSIT_MS : 0;
  return received.atMs >= known.atMs + transitMs;
}

/**
 * Reads the relays in a peer's report. An older build states none; its report is
 * taken for an observation of its own. Others that are invalid aren't relayed.
 */
export function readRelays(raw: unknown): number {
  if (raw === undefined) return 1;
  const isValid = Number.isSafeInteger(raw) && (raw as number) >= 0;
  return isValid ? Math.min(raw as number, MAX_RELAYS) + 1 : MAX_RELAYS;
}
