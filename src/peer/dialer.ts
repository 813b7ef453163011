/**
 * Keeps the required connections to peers open, with one task for each address to
 * which a connection is missing or open.
 */
import * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Connection from "./connection.ts";
import * as Dial from "./dial.ts";
import type * as Tasks from "./tasks.ts";
import * as Wire from "./wire.ts";

/** Bounds in ms of the delay between two attempts; it doubles after each attempt. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/**
 * Upper bound of the delay between attempts on an address that has failed for
 * more than LONG_FAILURE_MS. It keeps the cost of long partitions low.
 */
const LONG_FAILURE_BACKOFF_MS = 30_000;
const LONG_FAILURE_MS = 600_000;
/** A connection that was open for more than this time resets the delay. */
const STABLE_CONNECTION_MS = 5_000;
/** Shortest time in ms between two log lines on failures of the same address. */
const LOG_INTERVAL_MS = 60_000;
/**
 * Longest delay before the first attempt on an address whose owner is unknown,
 * if many peers are connected. They usually report the owner within this time.
 * Without the delay all instances of a large fleet would connect to each other.
 */
const UNKNOWN_OWNER_DELAY_MS = 60_000;

/** Result of the last attempt to connect to an address. */
export interface Attempt {
  readonly kind: "connected" | "refused" | "unresponsive";
  /** Monotonic ms at which the attempt started. */
  readonly startedAtMs: number;
}

/** Owner of an address, and the last attempt to connect to it. */
export interface AddressState {
  /** Instance that last authenticated at the address or reports it as its own. */
  readonly owner: Types.InstanceId | undefined;
  /** Undefined before the first attempt ends. */
  readonly attempt: Attempt | undefined;
}

/** Connects to the addresses of peers and reconnects after failures. */
export interface Dialer {
  /** Adds an address, or updates the owner of an address that was added before. */
  add(address: Types.Address, owner?: Types.InstanceId): void;
  /** Returns undefined for an address that was not added or is no longer tried. */
  tryGetState(address: Types.Address): AddressState | undefined;
  /** Starts to connect where connections are missing, and forgets obsolete addresses. */
  check(): void;
}

interface AddressRecord {
  readonly address: Types.Address;
  readonly isSeed: boolean;
  /** True while a task connects to the address or serves the connection. */
  isActive: boolean;
  owner: Types.InstanceId | undefined;
  attempt: Attempt | undefined;
  /** Monotonic ms at which the first failed attempt since the last success started. */
  firstFailureAtMs: number | undefined;
  /** Monotonic ms of the last log line on a failure; -Infinity before the first. */
  loggedAtMs: number;
}

/** Creates a dialer; `dial` opens a connection, and `serve` resolves once it is closed. */
export function createDialer(args: {
  readonly dial: (
    address: Types.Address,
  ) => ReturnType<typeof Dial.dial>;
  readonly serve: (conn: Connection.Connection) => Promise<void>;
  /** True if the instance should be connected and is not. */
  readonly isConnectionMissing: (id: Types.InstanceId) => boolean;
  /** True if the instance now uses another address or is no longer a member. */
  readonly isAddressObsolete: (
    id: Types.InstanceId,
    address: Types.Address,
  ) => boolean;
  /** True if as many peers are connected as a full mesh may have members. */
  readonly hasManyPeers: () => boolean;
  readonly seeds: readonly Types.Address[];
  readonly tasks: Tasks.TaskGroup;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
}): Dialer {
  const { clock, log } = args;
  const records = new Map<Types.Address, AddressRecord>();
  const seeds = new Set(args.seeds);

  function isObsolete(record: AddressRecord): boolean {
    if (record.isSeed) return false;
    if (record.owner !== undefined) {
      return args.isAddressObsolete(record.owner, record.address);
    }
    return getFailingMs(record) > LONG_FAILURE_MS;
  }

  function getFailingMs(record: AddressRecord): number {
    if (record.firstFailureAtMs === undefined) return 0;
    return clock.nowMs() - record.firstFailureAtMs;
  }

  function logFailure(
    record: AddressRecord,
    failure: ResultCodes.Failure,
  ): void {
    if (clock.nowMs() - record.loggedAtMs < LOG_INTERVAL_MS) return;
    record.loggedAtMs = clock.nowMs();
    const err = ResultCodes.formatFailure(failure);
    log.warn("peer-connect-failed", {
      address: record.address,
      peer: record.owner,
      err,
    });
  }

  function recordFailure(
    record: AddressRecord,
    failure: ResultCodes.Failure,
    startedAtMs: number,
  ): void {
    const kind = failure.detail === Dial.REFUSED_DETAIL
      ? "refused"
      : "unresponsive";
    record.attempt = { kind, startedAtMs };
    record.firstFailureAtMs ??= startedAtMs;
    logFailure(record, failure);
  }

  /**
   * Connects once and serves the connection until it closes. Returns the
   * duration in ms, or 0 after a failed attempt.
   */
  async function connectOnce(
    record: AddressRecord,
    signal: AbortSignal,
  ): Promise<number> {
    const startedAtMs = clock.nowMs();
    const dialed = await args.dial(record.address);
    if (dialed.isErr()) {
      recordFailure(record, dialed.error, startedAtMs);
      return 0;
    }
    const conn = dialed.value;
    const closeConnection = () => conn.close("stopping");
    if (signal.aborted) closeConnection();
    signal.addEventListener("abort", closeConnection);
    record.attempt = { kind: "connected", startedAtMs };
    record.owner = conn.remote.id;
    record.firstFailureAtMs = undefined;
    await args.serve(conn);
    signal.removeEventListener("abort", closeConnection);
    return clock.nowMs() - startedAtMs;
  }

  function isMissing({ owner }: AddressRecord): boolean {
    return owner === undefined || args.isConnectionMissing(owner);
  }

  /** Connects to the address until its owner has a connection or the address is obsolete. */
  async function connect(
    record: AddressRecord,
    signal: AbortSignal,
  ): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    const isNew = record.owner === undefined && record.attempt === undefined;
    if (isNew && !record.isSeed && args.hasManyPeers()) {
      await Clock.sleep(Math.random() * UNKNOWN_OWNER_DELAY_MS, signal);
    }
    while (!signal.aborted && !isObsolete(record) && isMissing(record)) {
      const connectedMs = await connectOnce(record, signal);
      if (connectedMs > STABLE_CONNECTION_MS) backoffMs = MIN_BACKOFF_MS;
      await Clock.sleep(backoffMs * (0.5 + Math.random()), signal);
      const isLongFailure = getFailingMs(record) > LONG_FAILURE_MS;
      const maxBackoffMs = isLongFailure
        ? LONG_FAILURE_BACKOFF_MS
        : MAX_BACKOFF_MS;
      backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
    }
  }

  function start(record: AddressRecord): void {
    record.isActive = true;
    args.tasks.run(`peer ${record.address}`, async (signal) => {
      try {
        await connect(record, signal);
      } finally {
        record.isActive = false;
      }
    });
  }

  function check(): void {
    for (const record of records.values()) {
      if (record.isActive) continue;
      if (isObsolete(record)) records.delete(record.address);
      else if (isMissing(record)) start(record);
    }
  }

  return {
    add(address, owner) {
      const existing = records.get(address);
      if (existing !== undefined) {
        existing.owner = owner ?? existing.owner;
        return;
      }
      const parsed = Wire.tryParseAddress(address);
      if (parsed === undefined || parsed.port === 0) return;
      const record: AddressRecord = {
        address,
        isSeed: seeds.has(address),
        isActive: false,
        owner,
        attempt: undefined,
        firstFailureAtMs: undefined,
        loggedAtMs: -Infinity,
      };
      records.set(address, record);
      if (isMissing(record)) start(record);
    },
    tryGetState: (address) => records.get(address),
    check,
  };
}
