/**
 * The ledger of tickets: what became of each used ticket of this instance and
 * of those whose ledger it adopted. Promise: a ticket's request is handed out
 * to run at most once at a time, and never again once it ran or may have run.
 * Lost with the process: resends then get `unknown`, and nothing runs twice.
 *
 * Bounds: at `maxEntries` or `maxBytes` new tickets are refused as not run; at
 * three quarters of `maxBytes` answers are no longer kept, and a resend learns
 * only that the request ran. No entry is dropped before its ticket expires.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import * as ResultCodes from "../result_codes.ts";
import * as PackedAnswer from "./packed_answer.ts";

/** Larger answers are not kept, so that a few of them can't use up the ledger. */
const MAX_ANSWER_BYTES = 16 * 1024;
/** Memory of an entry beside its texts; the bench `ledger` measures 335 with 10,000 entries. */
const ENTRY_OVERHEAD_BYTES = 340;
/** Kept answers leave room for entries: a resend can do without an answer, a new order not without an entry. */
const ANSWERS_SHARE = 0.75;

/** State of a used ticket, JSON-safe for the handover. */
export type EntryState =
  | { readonly kind: "running" }
  | {
    readonly kind: "ran";
    readonly status: number;
    readonly answer: Contracts.StoredResponse | undefined;
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

/** Ledger without its network side; `src/once/handover.ts` adds that. */
export interface LocalLedger {
  claim: Contracts.Ledger["claim"];
  mayHaveRun: Contracts.Ledger["mayHaveRun"];
  /** Accepts no claim from now on. */
  seal(): void;
  /** Another instance may own the tickets now: nothing here is known to be not run. */
  markTransferred(): void;
  readonly isSealed: boolean;
  readonly isTransferred: boolean;
  /** Resolves when no entry is running, or after `timeoutMs`; what still runs then becomes unknown. */
  settle(timeoutMs: number): Promise<void>;
  export(): readonly Entry[];
  import(entries: readonly Entry[]): void;
  /** Drops expired entries. */
  sweep(): void;
  getSize: Contracts.Ledger["getSize"];
}

/** Limits of a ledger. */
export interface LedgerOptions {
  readonly maxEntries: number;
  readonly maxBytes: number;
  readonly clock: Clock.Clock;
}

/** Like `EntryState`, in the form that is kept. */
type KeptState =
  | Exclude<EntryState, { kind: "ran" }>
  | {
    readonly kind: "ran";
    readonly status: number;
    readonly answer: PackedAnswer.PackedAnswer | undefined;
  };

interface MutableEntry extends Omit<Entry, "state"> {
  state: KeptState;
  bytes: number;
}

/** Creates an empty ledger. */
export function createLocalLedger(opts: LedgerOptions): LocalLedger {
  const entries = new Map<string, MutableEntry>();
  const waiters = new Map<string, Set<() => void>>();
  let bytes = 0;
  let running = 0;
  let isSealed = false;
  let isTransferred = false;

  function put(entry: Entry): MutableEntry {
    const state = toKept(entry.state);
    const size = getSizeOf(entry, state);
    // Field by field: a spread gave every entry a hidden class of its own, 300 bytes each.
    const made: MutableEntry = {
      ticketId: entry.ticketId,
      fingerprint: entry.fingerprint,
      expiresAtMs: entry.expiresAtMs,
      state,
      bytes: size,
    };
    entries.set(entry.ticketId, made);
    bytes += size;
    return made;
  }

  function settleEntry(entry: MutableEntry, state: EntryState): void {
    if (entry.state.kind !== "running") return;
    running--;
    bytes -= entry.bytes;
    entry.state = toKept(state);
    entry.bytes = getSizeOf(entry, entry.state);
    bytes += entry.bytes;
    const waiting = waiters.get(entry.ticketId);
    waiters.delete(entry.ticketId);
    waiting?.forEach((wake) => wake());
  }

  function keepAnswer(
    answer: Contracts.StoredResponse | undefined,
  ): Contracts.StoredResponse | undefined {
    const size = answer?.body.byteLength ?? 0;
    const isSmall = size <= MAX_ANSWER_BYTES;
    const hasRoom = bytes + size <= opts.maxBytes * ANSWERS_SHARE;
    return isSmall && hasRoom ? answer : undefined;
  }

  function createRun(entry: MutableEntry): Contracts.ClaimedRun {
    return {
      markRan: (answer, status) =>
        settleEntry(entry, { kind: "ran", status, answer: keepAnswer(answer) }),
      markNotRun: () => settleEntry(entry, { kind: "not-run" }),
      markUnknown: () => settleEntry(entry, { kind: "unknown" }),
    };
  }

  function startRun(entry: MutableEntry): Contracts.Claim {
    entry.state = { kind: "running" };
    running++;
    return { kind: "run", run: createRun(entry) };
  }

  function waitForEnd(ticketId: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const set = waiters.get(ticketId) ?? new Set();
      waiters.set(ticketId, set);
      const wake = () => {
        signal.removeEventListener("abort", wake);
        set.delete(wake);
        resolve();
      };
      set.add(wake);
      signal.addEventListener("abort", wake, { once: true });
    });
  }

  function claimNew(
    ticket: Contracts.Ticket & { readonly isExpired: boolean },
    fingerprint: string,
  ): Contracts.Claim {
    // Without a record an expired ticket may have run and been forgotten.
    if (ticket.isExpired || isTransferred) return { kind: "unknown" };
    if (isSealed) return refuse("leaving");
    const state = { kind: "not-run" } as const;
    const { id: ticketId, expiresAtMs } = ticket;
    const entry = { ticketId, fingerprint, expiresAtMs, state };
    const isFull = entries.size >= opts.maxEntries ||
      bytes + getSizeOf(entry, state) > opts.maxBytes;
    if (isFull) return refuse("ledgerFull");
    return startRun(put(entry));
  }

  async function claim(
    ticket: Contracts.Ticket & { readonly isExpired: boolean },
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Contracts.Claim> {
    for (;;) {
      const entry = entries.get(ticket.id);
      if (entry === undefined) return claimNew(ticket, fingerprint);
      if (entry.fingerprint !== fingerprint) return refuse("ticketReused");
      switch (entry.state.kind) {
        case "running":
          if (signal.aborted) return { kind: "unknown" };
          await waitForEnd(ticket.id, signal);
          break;
        case "ran":
          return getAnswerClaim(entry.state);
        case "not-run":
          if (isTransferred) return { kind: "unknown" };
          if (isSealed) return refuse("leaving");
          return startRun(entry);
        case "unknown":
          return { kind: "unknown" };
        default:
          Debug.assertNever(entry.state);
      }
    }
  }

  async function settle(timeoutMs: number): Promise<void> {
    const limit = AbortSignal.timeout(timeoutMs);
    while (running > 0 && !limit.aborted) {
      const busy = [...entries.values()].find((e) =>
        e.state.kind === "running"
      );
      if (busy !== undefined) await waitForEnd(busy.ticketId, limit);
    }
    for (const entry of entries.values()) {
      settleEntry(entry, { kind: "unknown" });
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
    settle,
    export: () =>
      Array.from(
        entries.values(),
        ({ bytes: _bytes, state, ...entry }) => ({
          ...entry,
          state: fromKept(state),
        }),
      ),
    import(list) {
      for (const entry of list) {
        if (!entries.has(entry.ticketId)) put(entry);
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

function refuse(name: ResultCodes.CodeName): Contracts.Claim {
  return {
    kind: "refused",
    failure: { code: ResultCodes.codes[name], detail: "" },
  };
}

function getAnswerClaim(
  state: Extract<KeptState, { kind: "ran" }>,
): Contracts.Claim {
  return state.answer === undefined
    ? { kind: "ran-without-answer", status: state.status }
    : { kind: "answer", answer: PackedAnswer.unpack(state.answer) };
}

function toKept(state: EntryState): KeptState {
  if (state.kind !== "ran") return state;
  const { kind, status, answer } = state;
  return { kind, status, answer: answer && PackedAnswer.pack(answer) };
}

function fromKept(state: KeptState): EntryState {
  if (state.kind !== "ran") return state;
  const { kind, status, answer } = state;
  return { kind, status, answer: answer && PackedAnswer.unpack(answer) };
}

function getSizeOf(
  entry: Pick<Entry, "ticketId" | "fingerprint">,
  state: KeptState,
): number {
  const answer = state.kind === "ran" ? state.answer : undefined;
  return ENTRY_OVERHEAD_BYTES + entry.ticketId.length +
    entry.fingerprint.length + (answer?.text.length ?? 0);
}
