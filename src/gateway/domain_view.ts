/**
 * The instances of the local domain, as reported by the peers that are connected
 * to them. Load pattern: a large fleet, in which an instance is connected only to
 * the hubs of its domain (`topology.ts`).
 *
 * A report lists only instances that its sender itself receives heartbeats from,
 * never what another peer reported. An instance that has ended therefore vanishes
 * from all reports within one interval.
 */
import type * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import * as PeerMembers from "../peer/members.ts";
import type * as Types from "../types.ts";
import * as MemberList from "./member_list.ts";

/** What a peer reports about the instances of its domain. */
export interface DomainReport {
  /** Addresses for callers of the live instances, by id. */
  readonly live: Readonly<Record<Types.InstanceId, Types.Address>>;
  /** Those of the live instances that reach no target. */
  readonly stranded: readonly Types.InstanceId[];
  /** Instances that are unresponsive, but may still spend their share of a limit. */
  readonly unresponsive: readonly Types.InstanceId[];
  /** Links of the live instances whose settings name them, Mbit/s. */
  readonly links?: Readonly<Record<Types.InstanceId, number>>;
}

/** A live instance that a peer reported. */
export interface ReportedInstance {
  readonly id: Types.InstanceId;
  readonly callerAddress: Types.Address;
  /** True while it reaches no target. */
  readonly isStranded: boolean;
  /** Capacity of its link, Mbit/s; undefined when it is unknown. */
  readonly linkMbps?: number | undefined;
}

/** The latest reports of connected peers. */
export interface DomainView {
  recordReport(peer: Types.InstanceId, report: DomainReport): void;
  /** Live instances according to recent reports, without this instance. */
  getLive(): readonly ReportedInstance[];
  /** Instances that count as members according to the reports of the last 15 s. */
  getMembers(): readonly MemberList.ObservedMember[];
}

/** Creates the view of the instance `self`; it knows no reports yet. */
export function createDomainView(opts: {
  readonly self: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly clock: Clock.Clock;
}): DomainView {
  const { clock, domain, self } = opts;
  const reports = new Map<
    Types.InstanceId,
    { readonly report: DomainReport; readonly atMs: number }
  >();

  function getReports(maxAgeMs: number): readonly DomainReport[] {
    const sinceMs = clock.nowMs() - maxAgeMs;
    return [...reports.values()]
      .filter(({ atMs }) => atMs > sinceMs)
      .map(({ report }) => report);
  }

  return {
    recordReport(peer, report) {
      reports.set(peer, { report, atMs: clock.nowMs() });
      for (const [id, { atMs }] of reports) {
        const isExpired = clock.nowMs() - atMs > MemberList.MEMBER_EXPIRY_MS;
        if (isExpired) reports.delete(id);
      }
    },
    getLive() {
      const addresses = new Map<Types.InstanceId, Types.Address>();
      const strandedIds = new Set<Types.InstanceId>();
      const links = new Map<Types.InstanceId, number>();
      const reports = getReports(PeerMembers.UNREACHABLE_AFTER_MS);
      for (const { links: reported = {}, live, stranded } of reports) {
        for (const [id, mbps] of Object.entries(reported)) links.set(id, mbps);
        for (const [id, address] of Object.entries(live)) {
          if (id !== self) addresses.set(id, address);
        }
        for (const id of stranded) strandedIds.add(id);
      }
      return [...addresses].map(([id, callerAddress]) => ({
        id,
        callerAddress,
        isStranded: strandedIds.has(id),
        linkMbps: links.get(id),
      }));
    },
    getMembers() {
      const ids = new Set<Types.InstanceId>();
      for (const report of getReports(MemberList.MEMBER_EXPIRY_MS)) {
        for (const id of Object.keys(report.live)) ids.add(id);
        for (const id of report.unresponsive) ids.add(id);
      }
      ids.delete(self);
      return [...ids].map((id) => ({
        id,
        domain,
        ageMs: 0,
        isDeparted: false,
      }));
    },
  };
}

/** Reads a report from a peer's message; undefined if it is malformed. */
export function tryReadReport(raw: unknown): DomainReport | undefined {
  if (!Json.isObject(raw)) return undefined;
  // An instance of an earlier version doesn't report `stranded`.
  const { live, stranded = [], unresponsive } = raw;
  if (!Json.isObject(live)) return undefined;
  if (!Array.isArray(unresponsive) || !Array.isArray(stranded)) {
    return undefined;
  }
  const isValid = [...Object.values(live), ...stranded, ...unresponsive]
    .every((value) => typeof value === "string");
  if (!isValid) return undefined;
  const links = readLinks(raw["links"]);
  return { live, stranded, unresponsive, links } as DomainReport;
}

/** Reads the links that are positive numbers; an earlier version reports none. */
function readLinks(raw: unknown): Readonly<Record<Types.InstanceId, number>> {
  const entries = Object.entries(Json.isObject(raw) ? raw : {});
  return Object.fromEntries(
    entries.filter(([, mbps]) =>
      typeof mbps === "number" && Number.isFinite(mbps) && mbps > 0
    ),
  ) as Readonly<Record<Types.InstanceId, number>>;
}
