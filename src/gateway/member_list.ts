/**
 * Counts the instances that share the fleet's limits. Load pattern: a fleet too
 * large for every instance to connect to every other. An instance observes the
 * members of its domain, or its hubs report them. Hubs of the other domains
 * report how many members their domain has.
 *
 * An unresponsive instance still counts for a while: it may be on the other side
 * of a partition and spend its share there.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

/** After this time a partitioned instance has lost its lease and its callers. */
export const MEMBER_EXPIRY_MS = 15_000;

/** A member as observed through this instance's connections. */
export interface ObservedMember {
  readonly id: Types.InstanceId;
  readonly domain: Types.Domain;
  /** Time since its last message, ms. */
  readonly ageMs: number;
  /** True when it is leaving or its process has ended. */
  readonly isDeparted: boolean;
}

/** The instances that share limits. */
export interface MemberList {
  /** Instances of the local domain, including this instance, sorted by id. */
  getDomainMembers(): readonly Types.InstanceId[];
  /** Number of instances in all domains; a domain that has not reported counts as one instance for 15 s after the start. */
  getCount(): number;
  /** The local domain and the other domains that are not expired. */
  getDomains(): readonly Types.Domain[];
  /** Records the member count that a member of another domain reports for its domain. */
  recordCount(domain: Types.Domain, count: number): void;
  /** Records a count that a peer of the local domain received and reports `ageMs` later. */
  recordRelayedCount(domain: Types.Domain, count: number, ageMs: number): void;
  /** Counts that members of other domains reported to this instance, with their ages in ms. */
  getReportedCounts(): readonly DomainCount[];
}

/** Member count of a domain. */
export interface DomainCount {
  readonly domain: Types.Domain;
  readonly count: number;
  readonly ageMs: number;
}

interface CountReport {
  readonly count: number;
  readonly atMs: number;
  /** True if a peer of the local domain relayed it; such a report is not relayed again. */
  readonly isRelayed: boolean;
}

/** Creates the member list of the instance `self`. */
export function createMemberList(opts: {
  readonly self: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly domains: readonly Types.Domain[];
  readonly getObservedMembers: () => readonly ObservedMember[];
  readonly clock: Clock.Clock;
}): MemberList {
  const { clock, self } = opts;
  const remoteDomains = opts.domains.filter((name) => name !== opts.domain);
  const startedAtMs = clock.nowMs();
  const countReports = new Map<Types.Domain, CountReport>();

  function getDomainMembers(): readonly Types.InstanceId[] {
    const peerIds = opts.getObservedMembers().filter((member) =>
      member.domain === opts.domain && !member.isDeparted &&
      member.ageMs < MEMBER_EXPIRY_MS
    ).map(({ id }) => id);
    return [...new Set([self, ...peerIds])].sort();
  }

  /** Returns undefined when the domain has been unresponsive for so long that its instances no longer count. */
  function tryGetCount(domain: Types.Domain): number | undefined {
    const report = countReports.get(domain);
    const ageMs = clock.nowMs() - (report?.atMs ?? startedAtMs);
    return ageMs < MEMBER_EXPIRY_MS ? report?.count ?? 1 : undefined;
  }

  return {
    getDomainMembers,
    getCount() {
      let total = getDomainMembers().length;
      for (const domain of remoteDomains) total += tryGetCount(domain) ?? 0;
      return total;
    },
    getDomains: () => [
      opts.domain,
      ...remoteDomains.filter((domain) => tryGetCount(domain) !== undefined),
    ],
    recordCount(domain, count) {
      if (!remoteDomains.includes(domain) || count < 1) return;
      const atMs = clock.nowMs();
      countReports.set(domain, { count, atMs, isRelayed: false });
    },
    recordRelayedCount(domain, count, ageMs) {
      if (!remoteDomains.includes(domain) || count < 1 || ageMs < 0) return;
      const atMs = clock.nowMs() - ageMs;
      const existing = countReports.get(domain);
      if (existing !== undefined && existing.atMs >= atMs) return;
      countReports.set(domain, { count, atMs, isRelayed: true });
    },
    getReportedCounts: () =>
      [...countReports]
        .filter(([, { isRelayed }]) => !isRelayed)
        .map(([domain, { atMs, count }]) => ({
          domain,
          count,
          ageMs: Math.round(clock.nowMs() - atMs),
        })),
  };
}
