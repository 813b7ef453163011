/**
 * Passes the newest load reports of targets on between the instances of a region.
 *
 * Load pattern: 61 instances and 85 targets of 9 requests per second each. One
 * instance sends to a target every 7 s and knows nothing of its queue in between,
 * while the instances together read seven reports of it each second.
 *
 * In a full mesh every instance sends what its own requests read to all others of
 * its region. In a larger fleet an instance sends it to one hub of its domain,
 * which passes it on to the other hubs of its region and to the instances that
 * send to it. An entry that came from another hub of the domain goes to those
 * instances only, and only an entry newer than the known one is passed on, so that
 * no entry circulates.
 *
 * Only loaded targets are reported, the most loaded first, as long as the budget of
 * bytes lasts. An older build ignores the messages and sends none, so that it
 * receives none from hubs.
 */
import type * as Clock from "../clock.ts";
import * as Hash from "../hash.ts";
import * as Json from "../json.ts";
import type * as Types from "../types.ts";
import type * as TargetLoad from "./target_load.ts";
import type * as GatewayTypes from "./types.ts";

/**
 * Interval between two messages to a peer, ms. With 250 ms a report reaches the
 * region within about 0.5 s; older reports are hardly better than none.
 */
export const INTERVAL_MS = 250;
/** Bytes that an instance sends per second to all peers together. */
export const BUDGET_BYTES_PER_S = 4_000;
/** Size of a message without its entries, bytes: the envelope of the call. */
const ENVELOPE_BYTES = 80;
/**
 * Load relative to the slots from which a target is reported. Reporting from 0.5
 * changes the model's results by at most 0.005 and takes a sixth more bytes.
 */
const MIN_REPORTED_LOAD = 1;
/** Age from which a report is not passed on, ms. */
const MAX_AGE_MS = 1_500;
/** A hub sends to the instances that sent to it within this time, ms. */
const SUBSCRIPTION_MS = 3_000;
/** An instance without news still sends this often, to stay subscribed, ms. */
const RENEWAL_MS = 1_000;
/** Newer by less than this may be the same report, as ages are rounded, ms. */
const MIN_NEWER_MS = 40;

/** Longest text that is read from one message, in characters. */
const MAX_MESSAGE_LENGTH = 4_096;
/** An entry has four digits for the target, one for its load and one for the report's age. */
const ENTRY_LENGTH = 6;
const ID_LENGTH = 4;
const AGE_UNIT_MS = 25;
const DIGITS =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const MAX_DIGIT = DIGITS.length - 1;

/** Id and slots of a target. */
export interface TargetSlots {
  readonly id: Types.TargetId;
  readonly slots: number;
}

/** Peers to which an instance sends, by their place in the topology. */
export interface Recipients {
  /** Hubs of the local domain; all peers of the region in a full mesh. */
  readonly hubs: readonly Types.InstanceId[];
  /** Connected peers of the region's other domains. */
  readonly remote: readonly Types.InstanceId[];
  /** True if this instance passes on what it receives. */
  readonly isHub: boolean;
}

/** A message to one peer. */
export interface LoadMessage {
  readonly to: Types.InstanceId;
  readonly params: { readonly loads: string };
}

/** Counts since the start. */
export interface LoadExchangeCounts {
  readonly sent: number;
  /** Entries that were newer than the known ones. */
  readonly applied: number;
  /** Entries that were not newer, malformed or of unknown targets. */
  readonly ignored: number;
  /** Entries that were not sent for lack of budget. */
  readonly dropped: number;
}

/** Exchange of load reports. */
export interface LoadExchange {
  /** Records a report that this instance read itself. */
  recordReport(
    target: Types.TargetId,
    report: GatewayTypes.LoadReport,
  ): void;
  /** Applies a peer's message. */
  receive(sender: Types.InstanceId, params: unknown): void;
  /** Returns the messages of this interval. */
  createMessages(): readonly LoadMessage[];
  getCounts(): LoadExchangeCounts;
}

/** Where an entry comes from: decides to whom it is passed on. */
type Source = "local" | "remote" | "hub";

interface Pending {
  readonly source: Source;
  readonly sender: Types.InstanceId | undefined;
  readonly outstanding: number;
  /** Monotonic ms at which the target's response arrived. */
  readonly atMs: number;
  /** Outstanding requests relative to the slots. */
  readonly load: number;
}

/** Creates the exchange of one instance. */
export function createLoadExchange(opts: {
  readonly loads: Pick<TargetLoad.TargetLoads, "recordPeerReport">;
  /** All targets in use. */
  readonly getTargets: () => readonly TargetSlots[];
  /** Changes whenever the targets may have changed. */
  readonly getEpoch: () => number;
  readonly getRecipients: () => Recipients;
  readonly clock: Clock.Clock;
}): LoadExchange {
  const { clock, loads } = opts;
  /** Reports since the last interval. */
  const pending = new Map<Types.TargetId, Pending>();
  /** Time of the newest report of each target, monotonic ms; those of others included. */
  const newestAtMs = new Map<Types.TargetId, number>();
  const subscribedAtMs = new Map<Types.InstanceId, number>();
  const sentAtMs = new Map<Types.InstanceId, number>();
  let targetsById = new Map<string, TargetSlots | undefined>();
  let targetsEpoch: number | undefined;
  const counts = { sent: 0, applied: 0, ignored: 0, dropped: 0 };

  /** The targets by their digits; undefined where two targets have the same. */
  function getTargets(): ReadonlyMap<string, TargetSlots | undefined> {
    const epoch = opts.getEpoch();
    if (epoch === targetsEpoch) return targetsById;
    targetsEpoch = epoch;
    targetsById = new Map();
    const ids = new Set<Types.TargetId>();
    for (const target of opts.getTargets()) {
      const digits = formatId(target.id);
      targetsById.set(digits, targetsById.has(digits) ? undefined : target);
      ids.add(target.id);
    }
    for (const id of newestAtMs.keys()) if (!ids.has(id)) newestAtMs.delete(id);
    return targetsById;
  }

  function getSource(sender: Types.InstanceId): Source {
    const { hubs, remote } = opts.getRecipients();
    if (remote.includes(sender)) return "remote";
    return hubs.includes(sender) ? "hub" : "local";
  }

  function applyEntry(
    entry: string,
    sender: Types.InstanceId,
    source: Source,
    isPassedOn: boolean,
  ): boolean {
    const target = getTargets().get(entry.slice(0, ID_LENGTH));
    const outstanding = DIGITS.indexOf(entry[ID_LENGTH]!);
    const age = DIGITS.indexOf(entry[ID_LENGTH + 1]!);
    if (target === undefined || outstanding < 0 || age < 0) return false;
    const atMs = clock.nowMs() - age * AGE_UNIT_MS;
    const knownAtMs = newestAtMs.get(target.id) ?? -Infinity;
    if (atMs < knownAtMs + MIN_NEWER_MS) return false;
    newestAtMs.set(target.id, atMs);
    loads.recordPeerReport(target.id, outstanding, atMs);
    if (!isPassedOn) return true;
    const load = outstanding / target.slots;
    pending.set(target.id, { source, sender, outstanding, atMs, load });
    return true;
  }

  /** Entries for one peer, the most loaded first. */
  function formatEntries(
    entries: readonly (readonly [Types.TargetId, Pending])[],
    to: Types.InstanceId,
    sources: readonly Source[],
    maxEntries: number,
  ): string {
    const nowMs = clock.nowMs();
    let text = "";
    let count = 0;
    for (const [id, { atMs, outstanding, sender, source }] of entries) {
      if (sender === to || !sources.includes(source)) continue;
      const ageMs = nowMs - atMs;
      if (ageMs > MAX_AGE_MS) continue;
      count++;
      if (count > maxEntries) continue;
      text += formatId(id) + formatDigit(outstanding) +
        formatDigit(Math.ceil(ageMs / AGE_UNIT_MS));
    }
    counts.dropped += Math.max(0, count - maxEntries);
    return text;
  }

  /** Peers of this interval and the sources whose entries each of them gets. */
  function getRoutes(): ReadonlyMap<Types.InstanceId, readonly Source[]> {
    const { hubs, isHub, remote } = opts.getRecipients();
    const routes = new Map<Types.InstanceId, readonly Source[]>();
    if (isHub) {
      const sinceMs = clock.nowMs() - SUBSCRIPTION_MS;
      for (const [id, atMs] of subscribedAtMs) {
        if (atMs < sinceMs) subscribedAtMs.delete(id);
        else routes.set(id, ["local", "remote", "hub"]);
      }
    }
    for (const id of remote) routes.set(id, ["local"]);
    for (const id of hubs) routes.set(id, ["local", "remote"]);
    return routes;
  }

  return {
    recordReport(target, report) {
      const outstanding = report.running + report.waiting;
      const load = outstanding / Math.max(1, report.slots);
      if (!Number.isFinite(load) || load < 0) return;
      const atMs = clock.nowMs();
      newestAtMs.set(target, atMs);
      const sender = undefined;
      pending.set(target, { source: "local", sender, outstanding, atMs, load });
    },
    receive(sender, params) {
      if (!Json.isObject(params)) return;
      const text = params["loads"];
      if (typeof text !== "string") return;
      const { isHub } = opts.getRecipients();
      const source = getSource(sender);
      if (source === "local") subscribedAtMs.set(sender, clock.nowMs());
      const end = Math.min(text.length, MAX_MESSAGE_LENGTH);
      for (let at = 0; at + ENTRY_LENGTH <= end; at += ENTRY_LENGTH) {
        const entry = text.slice(at, at + ENTRY_LENGTH);
        if (applyEntry(entry, sender, source, isHub)) counts.applied++;
        else counts.ignored++;
      }
    },
    createMessages() {
      const routes = getRoutes();
      const entries = routes.size === 0
        ? []
        : [...pending].filter(([, { load }]) => load >= MIN_REPORTED_LOAD)
          .sort(([, a], [, b]) => b.load - a.load);
      pending.clear();
      const nowMs = clock.nowMs();
      const budgetBytes = BUDGET_BYTES_PER_S * INTERVAL_MS / 1_000;
      const perPeerBytes = budgetBytes / routes.size - ENVELOPE_BYTES;
      const maxEntries = Math.max(1, Math.floor(perPeerBytes / ENTRY_LENGTH));
      const messages: LoadMessage[] = [];
      for (const [to, sources] of routes) {
        const text = formatEntries(entries, to, sources, maxEntries);
        const isRenewed = nowMs - (sentAtMs.get(to) ?? -Infinity) < RENEWAL_MS;
        if (text === "" && isRenewed) continue;
        sentAtMs.set(to, nowMs);
        counts.sent += text.length / ENTRY_LENGTH;
        messages.push({ to, params: { loads: text } });
      }
      for (const id of sentAtMs.keys()) {
        if (!routes.has(id)) sentAtMs.delete(id);
      }
      return messages;
    },
    getCounts: () => ({ ...counts }),
  };
}

/** Names a target by 24 bits of a hash; targets that share one are not exchanged. */
function formatId(id: Types.TargetId): string {
  const hash = Hash.mixBits(Hash.fnv1a(id));
  return DIGITS[hash >>> 26]! + DIGITS[hash >>> 20 & MAX_DIGIT]! +
    DIGITS[hash >>> 14 & MAX_DIGIT]! + DIGITS[hash >>> 8 & MAX_DIGIT]!;
}

function formatDigit(value: number): string {
  return DIGITS[Math.max(0, Math.min(MAX_DIGIT, Math.round(value)))]!;
}
