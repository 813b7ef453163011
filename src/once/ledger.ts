/**
 * Ledger of tickets: the outcome of each used ticket that this instance issued
 * or whose issuer's ledger it adopted. Guarantee: at most one run of a ticket's
 * request is permitted at a time, and none after the request ran or may have
 * run. The ledger is lost when the process ends; retries then get `unknown`, and
 * nothing runs twice.
 *
 * Bounds: at `maxEntries` or `maxBytes`, requests with new tickets are rejected
 * as not run. Above three quarters of `maxBytes`, responses are not stored, and a
 * retry learns only that the request ran. No entry is removed before its ticket
 * expires.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import * as ResultCodes from "../result_codes.ts";
import * as PackedResponse from "./packed_response.ts";

/** Larger responses are not stored, so that a few of them can't fill the ledger. */
const MAX_RESPONSE_BYTES = 16 * 1024;
/** Memory of an entry without its strings; the bench `ledger` measures 335 bytes with 10,000 entries. */
const ENTRY_OVERHEAD_BYTES = 340;
/**
 * Share (0 to 1) of `maxBytes` above which responses are not stored. The remainder
 * is for entries: a retry works without a stored response, but a new request needs an entry.
 */
const RESPONSES_SHARE = 0.75;

/** State of a used ticket, as exported and imported. */
export type EntryState =
  | { readonly kind: "running" }
  | {
    readonly kind: "ran";
    readonly status: number;
    readonly response: Contracts.StoredResponse | undefined;
  }
  | { readonly kind: "not-run" }
  | { readonly kind: "unknown" };

/** One used ticket. */
export interface Entry {
  readonly ticketId: string;
  readonly fingerprint: string;
  readonly expiresAtMs: number;
  readonly state: EntryState;
}

/** Ledger without its RPC methods, which `src/once/handover.ts` adds. */
export interface LocalLedger {
  claim: Contracts.Ledger["claim"];
  mayHaveRun: Contracts.Ledger["mayHaveRun"];
  /** Rejects new runs from now on; results of earlier runs are still returned. */
  seal(): void;
  /** Records that another instance may own the tickets: none counts as not run from now on. */
  markTransferred(): void;
  readonly isSealed: boolean;
  readonly isTransferred: boolean;
  /** Resolves when no entry is running, or after `timeoutMs`; entries that still run then become unknown. */
  waitForRuns(timeoutMs: number): Promise<void>;
  export(): readonly Entry[];
  /** Adds entries; a ticket that already has one keeps it. */
  import(entries: readonly Entry[]): void;
  /** Removes entries of expired tickets. */
  sweep(): void;
  getSize: Contracts.Ledger["getSize"];
}

/** Limits of a ledger. */
export interface LedgerOptions {
  readonly maxEntries: number;
  readonly maxBytes: number;
  readonly clock: Clock.Clock;
}

/** Like `EntryState`, with the response packed. */
type StoredState =
  | Exclude<EntryState, { kind: "ran" }>
  | {
    readonly kind: "ran";
    readonly status: number;
    readonly response: PackedResponse.PackedResponse | undefined;
  };

interface MutableEntry extends Omit<Entry, "state"> {
  state: StoredState;
  bytes: number;
}

/** Creates an empty ledger. */
export function createLocalLedger(opts: LedgerOptions): LocalLedger {
  const entries = new Map<string, MutableEntry>();
  const waiters = new Map<string, Set<() => void>>();
  let bytes = 0;
  let runningCount = 0;
  let isSealed = false;
  let isTransferred = false;

  function addEntry(entry: Entry): MutableEntry {
    const state = toStoredState(entry.state);
    const entryBytes = getEntryBytes(entry, state);
    // Field by field, because a spread gives every entry its own hidden class of 300 bytes.
    const storedEntry: MutableEntry = {
      ticketId: entry.ticketId,
      fingerprint: entry.fingerprint,
      expiresAtMs: entry.expiresAtMs,
      state,
      bytes: entryBytes,
    };
    entries.set(entry.ticketId, storedEntry);
    bytes += entryBytes;
    return storedEntry;
  }

  function endRun(entry: MutableEntry, state: EntryState): void {
    if (entry.state.kind !== "running") return;
    runningCount--;
    bytes -= entry.bytes;
    entry.state = toStoredState(state);
    entry.bytes = getEntryBytes(entry, entry.state);
    bytes += entry.bytes;
    const ticketWaiters = waiters.get(entry.ticketId);
    waiters.delete(entry.ticketId);
    ticketWaiters?.forEach((wake) => wake());
  }

  function tryKeepResponse(
    response: Contracts.StoredResponse | undefined,
  ): Contracts.StoredResponse | undefined {
    const bodyBytes = response?.body.byteLength ?? 0;
    const isSmall = bodyBytes <= MAX_RESPONSE_BYTES;
    const hasRoom = bytes + bodyBytes <= opts.maxBytes * RESPONSES_SHARE;
    return isSmall && hasRoom ? response : undefined;
  }

  function createClaimedRun(entry: MutableEntry): Contracts.ClaimedRun {
    return {
      markRan: (response, status) =>
        endRun(entry, {
          kind: "ran",
          status,
          response: tryKeepResponse(response),
        }),
      markNotRun: () => endRun(entry, { kind: "not-run" }),
      markUnknown: () => endRun(entry, { kind: "unknown" }),
    };
  }

  function startRun(entry: MutableEntry): Contracts.Claim {
    entry.state = { kind: "running" };
    runningCount++;
    return { kind: "run", run: createClaimedRun(entry) };
  }

  function waitForRunEnd(ticketId: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const ticketWaiters = waiters.get(ticketId) ?? new Set();
      waiters.set(ticketId, ticketWaiters);
      const wake = () => {
        signal.removeEventListener("abort", wake);
        ticketWaiters.delete(wake);
        resolve();
      };
      ticketWaiters.add(wake);
      signal.addEventListener("abort", wake, { once: true });
    });
  }

  function claimNew(
    ticket: Contracts.Ticket & { readonly isExpired: boolean },
    fingerprint: string,
  ): Contracts.Claim {
    // An expired ticket without an entry may have run: its entry may have been removed.
    if (ticket.isExpired || isTransferred) return { kind: "unknown" };
    if (isSealed) return rejectClaim("leaving");
    const state = { kind: "not-run" } as const;
    const { id: ticketId, expiresAtMs } = ticket;
    const entry = { ticketId, fingerprint, expiresAtMs, state };
    const isFull = entries.size >= opts.maxEntries ||
      bytes + getEntryBytes(entry, state) > opts.maxBytes;
    if (isFull) return rejectClaim("ledgerFull");
    return startRun(addEntry(entry));
  }

  async function claim(
    ticket: Contracts.Ticket & { readonly isExpired: boolean },
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Contracts.Claim> {
    for (;;) {
      const entry = entries.get(ticket.id);
      if (entry === undefined) return claimNew(ticket, fingerprint);
      if (entry.fingerprint !== fingerprint) return rejectClaim("ticketReused");
      switch (entry.state.kind) {
        case "running":
          if (signal.aborted) return { kind: "unknown" };
          await waitForRunEnd(ticket.id, signal);
          break;
        case "ran":
          return createResponseClaim(entry.state);
        case "not-run":
          if (isTransferred) return { kind: "unknown" };
          if (isSealed) return rejectClaim("leaving");
          return startRun(entry);
        case "unknown":
          return { kind: "unknown" };
        default:
          Debug.assertNever(entry.state);
      }
    }
  }

  async function waitForRuns(timeoutMs: number): Promise<void> {
    const timeout = AbortSignal.timeout(timeoutMs);
    while (runningCount > 0 && !timeout.aborted) {
      const entry = [...entries.values()].find((entry) =>
        entry.state.kind === "running"
      );
      if (entry !== undefined) await waitForRunEnd(entry.ticketId, timeout);
    }
    for (const entry of entries.values()) {
      endRun(entry, { kind: "unknown" });
    }
  }

  return {
    claim,
    mayHaveRun(ticket) {
      const entry = entries.get(ticket.id);
      if (entry === undefined) return ticket.isExpired || isTransferred;
      return entry.state.kind !== "not-run" || isTransferred;
    },
    seal() {
      isSealed = true;
    },
    markTransferred() {
      isTransferred = true;
    },
    get isSealed() {
      return isSealed;
    },
    get isTransferred() {
      return isTransferred;
    },
    waitForRuns,
    export: () =>
      Array.from(
        entries.values(),
        ({ bytes: _bytes, state, ...entry }) => ({
          ...entry,
          state: fromStoredState(state),
        }),
      ),
    import(newEntries) {
      for (const entry of newEntries) {
        if (!entries.has(entry.ticketId)) addEntry(entry);
      }
    },
    sweep() {
      const now = opts.clock.wallMs();
      for (const [id, entry] of entries) {
        if (entry.expiresAtMs > now || entry.state.kind === "running") continue;
        bytes -= entry.bytes;
        entries.delete(id);
      }
    },
    getSize: () => ({ entries: entries.size, bytes }),
  };
}

function rejectClaim(name: ResultCodes.CodeName): Contracts.Claim {
  return {
    kind: "rejected",
    failure: { code: ResultCodes.codes[name], detail: "" },
  };
}

function createResponseClaim(
  state: Extract<StoredState, { kind: "ran" }>,
): Contracts.Claim {
  return state.response === undefined
    ? { kind: "ran-without-response", status: state.status }
    : { kind: "response", response: PackedResponse.unpack(state.response) };
}

function toStoredState(state: EntryState): StoredState {
  if (state.kind !== "ran") return state;
  const { kind, status, response } = state;
  return { kind, status, response: response && PackedResponse.pack(response) };
}

function fromStoredState(state: StoredState): EntryState {
  if (state.kind !== "ran") return state;
  const { kind, status, response } = state;
  return {
    kind,
    status,
    response: response && PackedResponse.unpack(response),
  };
}

function getEntryBytes(
  entry: Pick<Entry, "ticketId" | "fingerprint">,
  state: StoredState,
): number {
  const response = state.kind === "ran" ? state.response : undefined;
  return ENTRY_OVERHEAD_BYTES + entry.ticketId.length +
    entry.fingerprint.length + (response?.content.length ?? 0);
}
