/**
 * Encoding of heartbeats on one connection.
 *
 * The parameters are `[stamp, echo, heldMs, storeSeenMsAgo,
 * relayedStoreSeenMsAgo, load, rareFields?]`. `stamp` numbers the sender's
 * heartbeats, modulo 1000. `echo` is the last stamp that the sender received (-1
 * if none), and `heldMs` the time since then. `rareFields` holds the other fields
 * that changed since the previous heartbeat: most never change, and in a fleet
 * of 620 nodes each node may use 8 KB/s.
 *
 * The echo bounds the age of a heartbeat on the receiver's clock: the heartbeat
 * was sent no earlier than `heldMs` after the receiver sent the echoed one. A
 * heartbeat that was delayed in a buffer, or read late by a paused process, is
 * therefore never considered younger than it is.
 */
import * as Json from "../json.ts";
import type * as Types from "../types.ts";

/** Upper bound of ages in messages, about 11 days, as JSON has no infinity. */
export const MAX_AGE_MS = 1e9;

const RARE_FIELDS_INDEX = 6;
/** Stamps count from 0 to one less than this number, then start again. */
const STAMP_MODULUS = 1_000;
/**
 * Number of latest stamps whose sending time is kept. An echo of an older
 * stamp gives no bound.
 */
const MAX_REMEMBERED_STAMPS = 64;
const STATES: readonly unknown[] = ["starting", "live", "leaving"];

/** Parameters of the `heartbeat` notification. */
export type Params = readonly unknown[];

/** A decoded heartbeat with a bound on its age. */
export interface ReceivedHeartbeat {
  readonly heartbeat: Types.Heartbeat;
  /** Monotonic ms of the receiver's clock; the heartbeat was not sent before. */
  readonly sentAtMs: number;
}

/** Encoder and decoder of the heartbeats on one connection. */
export interface Codec {
  /** Returns the parameters; fields that were sent before and did not change are omitted. */
  encode(heartbeat: Types.Heartbeat, nowMs: number): Params;
  /**
   * Returns undefined if `params` is malformed or has another id or
   * incarnation than the peer.
   */
  decode(params: unknown, nowMs: number): ReceivedHeartbeat | undefined;
}

/**
 * Encodes an age in ms for a message. It is rounded up, so that relaying never
 * makes an age younger.
 */
export function encodeAge(ageMs: number): number {
  return ageMs < MAX_AGE_MS ? Math.max(0, Math.ceil(ageMs)) : MAX_AGE_MS;
}

/**
 * Returns a complete heartbeat, for example from `members.list`, or undefined if
 * it is malformed. Flags that an older version does not send default to false,
 * so that both versions accept each other's heartbeats during a rolling restart.
 */
export function tryReadHeartbeat(value: unknown): Types.Heartbeat | undefined {
  if (!Json.isObject(value)) return undefined;
  const { isStoreFailing = false, isTableSettled = false, shards, state } =
    value;
  const { capacity = 0, isStranded = false } = value;
  const strings = [value.id, value.incarnation, value.domain, value.region];
  const addresses = [value.callerAddress, value.peerAddress];
  const numbers = [
    value.tableRevision,
    value.keysRevision,
    value.storeSeenMsAgo,
    value.relayedStoreSeenMsAgo,
    value.load,
    capacity,
  ];
  const isValid = [...strings, ...addresses].every(isShortString) &&
    numbers.every(isNonNegative) && STATES.includes(state) &&
    [isStoreFailing, isStranded, isTableSettled].every(isBoolean) &&
    Array.isArray(shards) && shards.every(isNonNegative);
  if (!isValid) return undefined;
  const { linkMbps, ...fields } = value;
  // The cast is safe, as every field was checked above.
  return {
    ...fields,
    ...(isPositive(linkMbps) ? { linkMbps } : {}),
    capacity,
    isStoreFailing,
    isStranded,
    isTableSettled,
  } as unknown as Types.Heartbeat;
}

function isShortString(value: unknown): boolean {
  return typeof value === "string" && value.length <= 300;
}

function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

function isNonNegative(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isPositive(value: unknown): boolean {
  return isNonNegative(value) && value !== 0;
}

/** Fields that change with most heartbeats and have their own positions in the parameters. */
const FREQUENT_FIELDS: ReadonlySet<string> = new Set(
  ["storeSeenMsAgo", "relayedStoreSeenMsAgo", "load"] satisfies readonly (
    keyof Types.Heartbeat
  )[],
);

/** Fields that are sent only once they differ from the value that the receiver assumes. */
const DEFAULT_JSON: ReadonlyMap<string, string> = new Map([
  ["isStranded", "false"],
]);

/** A rarely changing field; `json` is its encoded value, which shows whether it changed. */
type EncodedField = readonly [name: string, value: unknown, json: string];

/**
 * Encoded rare fields of each heartbeat. The same heartbeat goes to all
 * connections, so they are encoded once.
 */
const rareFieldsCache = new WeakMap<Types.Heartbeat, readonly EncodedField[]>();

function encodeRareFields(heartbeat: Types.Heartbeat): readonly EncodedField[] {
  const cachedFields = rareFieldsCache.get(heartbeat);
  if (cachedFields !== undefined) return cachedFields;
  const fields = Object.entries(heartbeat)
    .filter(([name]) => !FREQUENT_FIELDS.has(name))
    .map(([name, value]) => [name, value, JSON.stringify(value)] as const);
  rareFieldsCache.set(heartbeat, fields);
  return fields;
}

/**
 * Creates the codec of a connection to `remote` that was opened at
 * `openedAtMs` (monotonic).
 */
export function createCodec(
  openedAtMs: number,
  remote: { readonly id: Types.InstanceId; readonly incarnation: string },
): Codec {
  const sentJson = new Map<string, string>();
  let lastHeartbeat: Types.Heartbeat | undefined;
  const stampSentAtMs = new Map<number, number>();
  let nextStamp = 0;
  let lastStamp = -1;
  let lastStampReceivedAtMs = 0;

  function assignStamp(nowMs: number): number {
    const stamp = nextStamp;
    nextStamp = (nextStamp + 1) % STAMP_MODULUS;
    stampSentAtMs.set(stamp, nowMs);
    stampSentAtMs.delete(
      (stamp + STAMP_MODULUS - MAX_REMEMBERED_STAMPS) % STAMP_MODULUS,
    );
    return stamp;
  }

  /** Returns the earliest time at which a heartbeat with this echo can have been sent. */
  function getEarliestSentAtMs(
    echo: number,
    heldMs: number,
    nowMs: number,
  ): number {
    const echoedAtMs = stampSentAtMs.get(echo);
    if (echoedAtMs === undefined) return openedAtMs;
    // A `heldMs` that is too long must not give a sending time in the future.
    return Math.min(nowMs, echoedAtMs + heldMs);
  }

  function isFromRemote(heartbeat: Types.Heartbeat): boolean {
    return heartbeat.id === remote.id &&
      heartbeat.incarnation === remote.incarnation;
  }

  /**
   * Returns the whole heartbeat. Without rare fields only the frequent ones
   * are checked; the others were checked before.
   */
  function readHeartbeat(
    frequentFields: { readonly [name: string]: unknown },
    rareFields: unknown,
  ): Types.Heartbeat | undefined {
    if (lastHeartbeat !== undefined && rareFields === undefined) {
      if (!Object.values(frequentFields).every(isNonNegative)) return undefined;
      return { ...lastHeartbeat, ...frequentFields } as Types.Heartbeat;
    }
    const changedFields = Json.isObject(rareFields) ? rareFields : {};
    const heartbeat = tryReadHeartbeat({
      ...lastHeartbeat,
      ...changedFields,
      ...frequentFields,
    });
    if (heartbeat === undefined || !isFromRemote(heartbeat)) return undefined;
    return heartbeat;
  }

  return {
    encode(heartbeat, nowMs) {
      const { storeSeenMsAgo, relayedStoreSeenMsAgo, load } = heartbeat;
      const changedFields = encodeRareFields(heartbeat)
        .filter(([name, , json]) =>
          (sentJson.get(name) ?? DEFAULT_JSON.get(name)) !== json
        );
      for (const [name, , json] of changedFields) sentJson.set(name, json);
      const params = [
        assignStamp(nowMs),
        lastStamp,
        lastStamp < 0 ? 0 : Math.floor(nowMs - lastStampReceivedAtMs),
        encodeAge(storeSeenMsAgo),
        encodeAge(relayedStoreSeenMsAgo),
        Number.isFinite(load) ? Math.max(0, Math.round(load * 100) / 100) : 0,
      ];
      if (changedFields.length === 0) return params;
      return [...params, Object.fromEntries(changedFields)];
    },
    decode(params, nowMs) {
      if (!Array.isArray(params)) return undefined;
      const [stamp, echo, heldMs, storeSeenMsAgo, relayedStoreSeenMsAgo, load] =
        params;
      if (![stamp, heldMs].every(isNonNegative) || typeof echo !== "number") {
        return undefined;
      }
      const rareFields = params[RARE_FIELDS_INDEX];
      const frequentFields = { storeSeenMsAgo, relayedStoreSeenMsAgo, load };
      const heartbeat = readHeartbeat(frequentFields, rareFields);
      if (heartbeat === undefined) return undefined;
      lastHeartbeat = heartbeat;
      lastStamp = stamp;
      lastStampReceivedAtMs = nowMs;
      const sentAtMs = getEarliestSentAtMs(echo, heldMs, nowMs);
      return { heartbeat, sentAtMs };
    },
  };
}
