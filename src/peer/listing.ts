/**
 * The method `members.list`. Without parameters the answer is the whole list;
 * with the version of an earlier answer it has only the members that changed
 * since and the ages of the others. In a fleet of 620 the whole list has some
 * 200 KB, and little of it changes.
 */
import * as Json from "../json.ts";
import type * as Types from "../types.ts";
import * as Heartbeat from "./heartbeat.ts";

/** One member in an answer. */
export interface ListedMember {
  readonly heartbeat: Types.Heartbeat;
  readonly ageMs: number;
  readonly isReachable: boolean;
}

/** Answer to a call with a version. */
export interface Changes {
  /** For the next call to the same incarnation. */
  readonly version: number;
  readonly members: readonly ListedMember[];
  /** Ages in ms of reachable members that did not change. */
  readonly ages: Readonly<Record<Types.InstanceId, number>>;
}

/** Answers `members.list`. */
export interface Listing {
  answer(
    params: unknown,
    self: Types.Heartbeat,
    members: readonly Types.Member[],
  ): readonly ListedMember[] | Changes;
}

interface Listed {
  readonly text: string;
  readonly version: number;
}

function encodeMember(member: Types.Member): ListedMember {
  const { heartbeat, ageMs, isReachable } = member;
  const { encodeAge } = Heartbeat;
  return {
    heartbeat: {
      ...heartbeat,
      storeSeenMsAgo: encodeAge(heartbeat.storeSeenMsAgo),
      relayedStoreSeenMsAgo: encodeAge(heartbeat.relayedStoreSeenMsAgo),
    },
    ageMs: encodeAge(ageMs),
    isReachable,
  };
}

/** Everything whose change others should hear of. */
function formatLasting({ heartbeat, isReachable }: Types.Member): string {
  return JSON.stringify([
    heartbeat.incarnation,
    heartbeat.domain,
    heartbeat.region,
    heartbeat.state,
    heartbeat.shards,
    heartbeat.callerAddress,
    heartbeat.peerAddress,
    isReachable,
  ]);
}

/** Creates the answering side. */
export function createListing(): Listing {
  const listed = new Map<Types.InstanceId, Listed>();
  let version = 0;

  function updateVersions(members: readonly Types.Member[]): void {
    const ids = new Set(members.map(({ heartbeat }) => heartbeat.id));
    for (const id of listed.keys()) if (!ids.has(id)) listed.delete(id);
    version++;
    for (const member of members) {
      const { id } = member.heartbeat;
      const text = formatLasting(member);
      if (listed.get(id)?.text === text) continue;
      listed.set(id, { text, version });
    }
  }

  return {
    answer(params, self, others) {
      const own = { heartbeat: self, ageMs: 0, isReachable: true };
      const all = [own, ...others];
      const since = Json.isObject(params) ? params.version : undefined;
      if (typeof since !== "number") return all.map(encodeMember);
      updateVersions(all);
      const isNew = ({ heartbeat }: Types.Member) =>
        (listed.get(heartbeat.id)?.version ?? 0) > since;
      const ages = all
        .filter((one) => one.isReachable && !isNew(one))
        .map((one) => [one.heartbeat.id, Heartbeat.encodeAge(one.ageMs)]);
      return {
        version,
        members: all.filter(isNew).map(encodeMember),
        ages: Object.fromEntries(ages),
      };
    },
  };
}

function tryReadMember(raw: unknown): ListedMember | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { ageMs, isReachable } = raw;
  const heartbeat = Heartbeat.tryReadHeartbeat(raw.heartbeat);
  if (heartbeat === undefined || typeof isReachable !== "boolean") {
    return undefined;
  }
  if (typeof ageMs !== "number" || !(ageMs >= 0)) return undefined;
  return { heartbeat, ageMs, isReachable };
}

/** Reads an answer to a call with a version; undefined when malformed. Malformed members are left out. */
export function tryReadChanges(raw: unknown): Changes | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { version, members, ages } = raw;
  if (typeof version !== "number" || !Array.isArray(members)) return undefined;
  if (!Json.isObject(ages)) return undefined;
  const isAge = (value: unknown) => typeof value === "number" && value >= 0;
  if (!Object.values(ages).every(isAge)) return undefined;
  return {
    version,
    members: members.map(tryReadMember).filter((one) => one !== undefined),
    ages: ages as Changes["ages"],
  };
}
