/**
 * The method `members.list`. Without parameters the response is the complete
 * list. With the version of an earlier response it contains only the members
 * that changed since, and the ages of the others. In a fleet of 620 instances
 * the complete list has some 200 KB, and little of it changes.
 */
import * as Json from "../json.ts";
import type * as Types from "../types.ts";
import * as Heartbeat from "./heartbeat.ts";

/** A member in a response. */
export interface ListedMember {
  readonly heartbeat: Types.Heartbeat;
  /** Age of the heartbeat in ms when the response was created. */
  readonly ageMs: number;
  readonly isReachable: boolean;
}

/** Response to a call with a version. */
export interface Changes {
  /** Parameter of the next call to the same incarnation. */
  readonly version: number;
  readonly members: readonly ListedMember[];
  /** Ages in ms of reachable members that did not change. */
  readonly ages: Readonly<Record<Types.InstanceId, number>>;
}

/** Responder of `members.list`. */
export interface Listing {
  /** Returns the complete list, or the changes if `params` has a version. */
  respond(
    params: unknown,
    self: Types.Heartbeat,
    members: readonly Types.Member[],
  ): readonly ListedMember[] | Changes;
}

/** The versioned fields of a member, and the version in which they last changed. */
interface FieldsVersion {
  readonly json: string;
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

/** Encodes the fields of a member whose change gives it a new version. */
function encodeVersionedFields(
  { heartbeat, isReachable }: Types.Member,
): string {
  return JSON.stringify([
    heartbeat.incarnation,
    heartbeat.domain,
    heartbeat.region,
    heartbeat.state,
    heartbeat.shards,
    heartbeat.capacity,
    heartbeat.callerAddress,
    heartbeat.peerAddress,
    isReachable,
  ]);
}

/** Creates a responder; its versions start at 1. */
export function createListing(): Listing {
  const versions = new Map<Types.InstanceId, FieldsVersion>();
  let version = 0;

  function updateVersions(members: readonly Types.Member[]): void {
    const ids = new Set(members.map(({ heartbeat }) => heartbeat.id));
    for (const id of versions.keys()) if (!ids.has(id)) versions.delete(id);
    version++;
    for (const member of members) {
      const { id } = member.heartbeat;
      const json = encodeVersionedFields(member);
      if (versions.get(id)?.json === json) continue;
      versions.set(id, { json, version });
    }
  }

  return {
    respond(params, self, members) {
      const selfMember = { heartbeat: self, ageMs: 0, isReachable: true };
      const allMembers = [selfMember, ...members];
      const knownVersion = Json.isObject(params) ? params.version : undefined;
      if (typeof knownVersion !== "number") return allMembers.map(encodeMember);
      updateVersions(allMembers);
      const isChanged = ({ heartbeat }: Types.Member) =>
        (versions.get(heartbeat.id)?.version ?? 0) > knownVersion;
      const ages = allMembers
        .filter((member) => member.isReachable && !isChanged(member))
        .map((
          member,
        ) => [member.heartbeat.id, Heartbeat.encodeAge(member.ageMs)]);
      return {
        version,
        members: allMembers.filter(isChanged).map(encodeMember),
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

/**
 * Reads the response to a call with a version. Returns undefined if it is
 * malformed; malformed members are omitted.
 */
export function tryReadChanges(raw: unknown): Changes | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { version, members, ages } = raw;
  if (typeof version !== "number" || !Array.isArray(members)) return undefined;
  if (!Json.isObject(ages)) return undefined;
  const isValidAge = (value: unknown) =>
    typeof value === "number" && value >= 0;
  if (!Object.values(ages).every(isValidAge)) return undefined;
  return {
    version,
    members: members.map(tryReadMember).filter((member) =>
      member !== undefined
    ),
    ages: ages as Changes["ages"],
  };
}
