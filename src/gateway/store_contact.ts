/**
 * Bounds how long the instances of a failure domain rely on store readers to which
 * the store no longer responds. Load pattern: the store serves the fleet, but gives
 * no response to the only reader of a domain, or that reader hangs, while a target
 * leaves, a key is withdrawn or a route moves. Until its watch times out, the reader
 * can't be told from the reader of a store in which nothing changes.
 *
 * Invariant: the store responded to a reader of the domain less than the contact
 * limit ago, or other instances of the domain read the store in its place. A reader
 * therefore asks the store for a response when its watches have brought none for the
 * contact interval, and reports the age of the last one in its status messages. The
 * limit is that interval, the interval of the messages and their delay.
 */
import * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as MemberList from "./member_list.ts";

/** Time for two steps of substitutes, their reads and their pushes, ms; part of the time within which a change has to be in force. */
const TAKEOVER_MS = 700;
/** Shortest contact interval, ms. It limits the calls to the store where status messages are rare or the bound for changes is short. */
const MIN_INTERVAL_MS = 900;
/**
 * In fleets of more domains, readers of other domains report the revisions that a
 * silent reader misses. The responses to watches are frequent enough there.
 */
const MAX_DEPENDENT_DOMAINS = 2;
/** Delay of a response, a status message and the timers on the way, ms. */
const DELAY_MARGIN_MS = 250;
/** Number of instances that step in first; it doubles with each further step, as the store may not respond to them either. */
const FIRST_SUBSTITUTES = 2;
const SUBSTITUTE_STEP_MS = 400;
/** Time for which an instance reads in place of others, ms; a reader whose calls fail is replaced by then (`readers.ts`). */
const SUBSTITUTE_MS = 10_000;
/** Delay between two calls of a reader without a response, ms. */
const RETRY_MS = 300;
/** In an outage of the store, an instance that is not a reader asks it no more often than this, ms. */
const OUTAGE_RETRY_MS = 2_500;
/** Interval of the checks; aligned with that of other tasks. */
const CHECK_MS = 500;
const MIN_DELAY_MS = 10;
/** Age of the contact of a reader that had none; JSON has no infinity. */
const MAX_AGE_MS = 1e9;

/** The instances of the local domain that may read the store, as this instance sees them. */
export interface ReadingDomain {
  /** Instances that are selected as readers. */
  readonly readers: readonly Types.InstanceId[];
  /** All instances that may be selected, by rank. */
  readonly ranked: readonly Types.InstanceId[];
  /** True if other instances of the domain depend on its readers. */
  readonly hasDependents: boolean;
}

/** Contact of the domain's readers with the store. */
export interface StoreContact {
  /** Records that the store responded to a read or a watch of this instance. */
  recordResponse(): void;
  /** Records the age of the last response to a peer of the domain that reads the store. */
  recordPeerAge(peer: Types.InstanceId, ageMs: number): void;
  /** Age of the last response to this instance for status messages, ms; undefined if this instance does not read the store. */
  tryGetReportedAgeMs(): number | undefined;
  /** True while this instance reads the store in place of the selected readers. */
  isSubstitute(): boolean;
  /** Number of times since the start that this instance began to read in place of others. */
  getSubstitutionCount(): number;
  /** Asks the store for a response if that is due; resolves when the store has responded or failed. Call it after each `getDelayMs`. */
  check(): Promise<void>;
  /** Delay until the next check, ms. */
  getDelayMs(): number;
}

interface PeerContact {
  readonly respondedAtMs: number;
  readonly reportedAtMs: number;
}

/** Creates the contact of the instance `self`; it asks the store only in checks. */
export function createStoreContact(opts: {
  readonly self: Types.InstanceId;
  readonly getDomain: () => ReadingDomain;
  /** Number of domains of the fleet. */
  readonly getDomainCount: () => number;
  /** Interval of the status messages, ms. */
  readonly getReportMs: () => number;
  /** Time within which a change in the store has to be in force at all instances, ms. */
  readonly changeInForceMs: number;
  /** Time between two responses to a reader's watches in a store without changes, ms. */
  readonly watchIntervalMs: number;
  /** Asks the store for any response; false without one. */
  readonly askStore: () => Promise<boolean>;
  /** True while reads or watches of this instance fail. */
  readonly isFailing: () => boolean;
  /** Called when this instance begins to read in place of others. */
  readonly onSubstitute: () => void;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): StoreContact {
  const { clock, log, self } = opts;
  const peerContacts = new Map<Types.InstanceId, PeerContact>();
  let respondedAtMs = -Infinity;
  let askedAtMs = -Infinity;
  let substituteUntilMs = -Infinity;
  let dueAtMs = -Infinity;
  let isAsking = false;
  /** True if this instance was a reader or a substitute at the last check. */
  let isReading = false;
  let substitutions = 0;

  function isSubstitute(): boolean {
    return clock.nowMs() < substituteUntilMs;
  }

  /** Longest time for which a reader waits for a response before it asks for one, ms. */
  function getIntervalMs(): number {
    const isDependent = opts.getDomainCount() <= MAX_DEPENDENT_DOMAINS;
    const minMs = isDependent
      ? MIN_INTERVAL_MS
      : Math.max(MIN_INTERVAL_MS, opts.watchIntervalMs);
    const restMs = opts.changeInForceMs - TAKEOVER_MS - DELAY_MARGIN_MS -
      opts.getReportMs();
    return Math.max(minMs, restMs);
  }

  /** Time at which the domain counts as without contact; Infinity if its readers report none, as those of an earlier version. */
  function getLostAtMs({ readers }: ReadingDomain): number {
    if (!readers.some((id) => peerContacts.has(id))) return Infinity;
    let lastMs = respondedAtMs;
    for (const contact of peerContacts.values()) {
      lastMs = Math.max(lastMs, contact.respondedAtMs);
    }
    return lastMs + getIntervalMs() + opts.getReportMs() + DELAY_MARGIN_MS;
  }

  /** Time at which this instance steps in for readers without contact; Infinity if it may not. */
  function getStepInAtMs(domain: ReadingDomain): number {
    const index = domain.ranked
      .filter((id) => !domain.readers.includes(id))
      .indexOf(self);
    if (index < 0) return Infinity;
    let step = 0;
    while (index >= FIRST_SUBSTITUTES * 2 ** step) step++;
    const stepInAtMs = getLostAtMs(domain) + step * SUBSTITUTE_STEP_MS;
    return Math.max(stepInAtMs, askedAtMs + OUTAGE_RETRY_MS);
  }

  /** Time at which this instance, as a reader, asks for a response; Infinity if it needs none. */
  function getKeepAtMs({ hasDependents }: ReadingDomain): number {
    // A reader whose calls fail repeats them more often than this.
    if (!hasDependents || opts.isFailing()) return Infinity;
    return Math.max(respondedAtMs + getIntervalMs(), askedAtMs + RETRY_MS);
  }

  function getDueAtMs(domain: ReadingDomain): number {
    return isReading ? getKeepAtMs(domain) : getStepInAtMs(domain);
  }

  async function askStore(): Promise<boolean> {
    askedAtMs = clock.nowMs();
    return await opts.askStore();
  }

  async function keepContact(): Promise<void> {
    const hasResponse = await askStore();
    // A store that rejects the watches doesn't count as responding.
    if (hasResponse && !opts.isFailing()) respondedAtMs = clock.nowMs();
  }

  async function stepIn(domain: ReadingDomain): Promise<void> {
    const lostForMs = Math.round(clock.nowMs() - getLostAtMs(domain));
    if (!await askStore()) return;
    respondedAtMs = clock.nowMs();
    substituteUntilMs = respondedAtMs + SUBSTITUTE_MS;
    isReading = true;
    substitutions++;
    const readers = domain.readers.join(",");
    log.warn("store-contact-lost", { readers, lostForMs });
    opts.onSubstitute();
  }

  async function check(): Promise<void> {
    if (isAsking) return;
    const domain = opts.getDomain();
    isReading = domain.readers.includes(self) || isSubstitute();
    dueAtMs = getDueAtMs(domain);
    if (dueAtMs > clock.nowMs()) return;
    // The next check computes it anew.
    dueAtMs = Infinity;
    isAsking = true;
    await (isReading ? keepContact() : stepIn(domain));
    isAsking = false;
  }

  function getDelayMs(): number {
    const alignedMs = Clock.getAlignedDelayMs(CHECK_MS, clock);
    const delayMs = Math.min(alignedMs, dueAtMs - clock.nowMs());
    return Math.max(MIN_DELAY_MS, delayMs);
  }

  return {
    recordResponse: () => void (respondedAtMs = clock.nowMs()),
    recordPeerAge(peer, ageMs) {
      const nowMs = clock.nowMs();
      for (const [id, { reportedAtMs }] of peerContacts) {
        const isExpired = nowMs - reportedAtMs > MemberList.MEMBER_EXPIRY_MS;
        if (isExpired) peerContacts.delete(id);
      }
      peerContacts.set(peer, {
        respondedAtMs: nowMs - ageMs,
        reportedAtMs: nowMs,
      });
    },
    tryGetReportedAgeMs() {
      if (!isReading) return undefined;
      const ageMs = Math.ceil(clock.nowMs() - respondedAtMs);
      return Math.min(ageMs, MAX_AGE_MS);
    },
    isSubstitute,
    getSubstitutionCount: () => substitutions,
    check,
    getDelayMs,
  };
}
