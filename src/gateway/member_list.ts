/**
 * How many instances share the fleet's limits. Load pattern: a fleet too large
 * for everybody to hear everybody. An instance hears all of its own domain; of
 * the others it is told their number, by those of them that it is connected to.
 *
 * An instance that has fallen silent counts on for a while: it may be on the
 * other side of a partition and spend its share there.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

/** After this time a partitioned instance has lost its lease and its callers. */
export const COUNT_SILENT_MS = 15_000;

/** A member as the own domain's connections show it. */
export interface ObservedMember {
  readonly id: Types.InstanceId;
  readonly domain: Types.Domain;
  /** Time since it was heard, ms. */
  readonly ageMs: number;
  /** It is leaving, or its process has ended. */
  readonly isGone: boolean;
}

/** The instances that share limits. */
export interface MemberList {
  /** Instances of the own domain, this one included, in order. */
  getDomainMembers(): readonly Types.InstanceId[];
  /** Instances of all domains; at least one a domain until it was heard of. */
  getCount(): number;
  /** Domains that were heard of lately, the own one included. */
  getDomains(): readonly Types.Domain[];
  /** A member of another domain tells how many it counts there. */
  recordDomainCount(domain: Types.Domain, count: number): void;
}

/** Creates the roster of the instance `self`. */
export function createMemberList(opts: {
  readonly self: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly domains: readonly Types.Domain[];
  readonly getHeard: () => readonly ObservedMember[];
  readonly clock: Clock.Clock;
}): MemberList {
  const { clock, self } = opts;
  const others = opts.domains.filter((one) => one !== opts.domain);
  const startedAtMs = clock.nowMs();
  const told = new Map<
    Types.Domain,
    { readonly count: number; readonly atMs: number }
  >();

  function getDomainMembers(): readonly Types.InstanceId[] {
    const heard = opts.getHeard().filter((one) =>
      one.domain === opts.domain && !one.isGone && one.ageMs < COUNT_SILENT_MS
    ).map(({ id }) => id);
    return [self, ...heard].sort();
  }

  /** Undefined when the domain has been silent for so long that it is lost. */
  function tryGetCount(domain: Types.Domain): number | undefined {
    const known = told.get(domain);
    const silentMs = clock.nowMs() - (known?.atMs ?? startedAtMs);
    return silentMs < COUNT_SILENT_MS ? known?.count ?? 1 : undefined;
  }

  return {
    getDomainMembers,
    getCount() {
      let sum = getDomainMembers().length;
      for (const domain of others) sum += tryGetCount(domain) ?? 0;
      return sum;
    },
    getDomains: () => [
      opts.domain,
      ...others.filter((domain) => tryGetCount(domain) !== undefined),
    ],
    recordDomainCount(domain, count) {
      if (!others.includes(domain) || count < 1) return;
      told.set(domain, { count, atMs: clock.nowMs() });
    },
  };
}
