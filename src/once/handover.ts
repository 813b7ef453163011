/**
 * RPC methods of the ledger: a leaving instance transfers its ledger to a peer
 * in its domain, which then owns its tickets. Guarantee: the sender is sealed
 * before it sends the first entry, and the receiver owns no ticket before the
 * last entry arrived, so at most one instance at a time runs a given ticket. If
 * the final message is lost, neither instance does, and retries get `unknown`.
 */
import * as Crypto from "node:crypto";
import { Ok } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import * as LocalLedger from "./ledger.ts";

/** Timeout of the final message, with which the receiver becomes the owner. */
const ADOPT_FINAL_TIMEOUT_MS = 3_000;
/**
 * Timeout of a message with entries, after which the transfer fails. That is
 * safe, because the receiver owns no ticket yet. Requests wait during a transfer,
 * and two unresponsive receivers in a row must not use up their deadline.
 */
const ADOPT_ENTRIES_TIMEOUT_MS = 1_000;
const RUNNING_REQUESTS_TIMEOUT_MS = 30_000;
/** Keeps a message well below the 2 MB limit of a line: a 16 KB response is 22 KB in base64. */
const ENTRIES_PER_MESSAGE = 40;
const SWEEP_INTERVAL_MS = 5_000;
/** An incoming transfer without a message for this time has been given up by its sender. */
const INCOMING_TRANSFER_EXPIRY_MS = 30_000;

interface WireEntry extends Omit<LocalLedger.Entry, "state"> {
  readonly state:
    | Exclude<LocalLedger.EntryState, { kind: "ran" }>
    | {
      readonly kind: "ran";
      readonly status: number;
      readonly answer: WireResponse | undefined;
    };
}

interface WireResponse {
  readonly status: number;
  readonly headers: Contracts.StoredResponse["headers"];
  readonly bodyBase64: string;
}

interface IssuerIncarnation {
  readonly issuer: string;
  readonly incarnation: string;
}

interface AdoptMessage {
  /** Unique per transfer, so that entries of two transfers never mix. */
  readonly transferId: string;
  readonly entries: readonly WireEntry[];
  /** Set on the last message only; `entryCount` covers all messages of the transfer. */
  readonly final?: {
    readonly entryCount: number;
    readonly owned: readonly IssuerIncarnation[];
  };
}

interface OwnerMessage extends IssuerIncarnation {
  readonly owner: string;
}

/** Entries of a transfer whose final message has not arrived yet. */
interface IncomingTransfer {
  readonly entries: readonly LocalLedger.Entry[];
  /** Monotonic ms of the last message. */
  readonly atMs: number;
}

/** Options of `createLedger`. */
export interface LedgerOptions extends LocalLedger.LedgerOptions {
  readonly peers: Contracts.PeerNet;
  readonly log: Log.Logger;
}

/** The ledger, with its sweep and the lookup of owners. */
export interface Ledger extends Contracts.Ledger {
  readonly sweepIntervalMs: number;
  /** Removes entries of expired tickets; call every `sweepIntervalMs`. */
  sweep(): void;
  /** Queries the reachable peers for the owner of an issuer's tickets, and stores the result. */
  findOwner(issuer: string, incarnation: string): Promise<string | undefined>;
  /** True while this instance transfers its ledger. */
  isTransferring(): boolean;
}

/** Creates the ledger and registers its RPC methods. */
export function createLedger(opts: LedgerOptions): Ledger {
  const { peers, log } = opts;
  const localLedger = LocalLedger.createLocalLedger(opts);
  const ownedKeys = new Set([getOwnerKey(peers.self, peers.incarnation)]);
  const knownOwners = new Map<string, string>();
  let isTransferring = false;
  const incomingTransfers = new Map<string, IncomingTransfer>();

  function notifyPeersOfOwner(issuerIncarnation: IssuerIncarnation): void {
    const message: OwnerMessage = { ...issuerIncarnation, owner: peers.self };
    peers.notifyAll("once.owner", message);
  }

  function finishAdoption(message: AdoptMessage): boolean {
    const entries = incomingTransfers.get(message.transferId)?.entries ?? [];
    incomingTransfers.delete(message.transferId);
    if (entries.length !== message.final?.entryCount) return false;
    localLedger.import(entries);
    for (const issuerIncarnation of message.final.owned) {
      ownedKeys.add(
        getOwnerKey(issuerIncarnation.issuer, issuerIncarnation.incarnation),
      );
      notifyPeersOfOwner(issuerIncarnation);
    }
    log.info("ledger-adopted", { entries: entries.length });
    return true;
  }

  function dropAbandonedTransfers(): void {
    const sinceMs = opts.clock.nowMs() - INCOMING_TRANSFER_EXPIRY_MS;
    for (const [transferId, { atMs }] of incomingTransfers) {
      if (atMs < sinceMs) incomingTransfers.delete(transferId);
    }
  }

  peers.handle("once.adopt", (params) => {
    const message = params as AdoptMessage;
    if (localLedger.isSealed) throw new Error("leaving");
    const previous = incomingTransfers.get(message.transferId)?.entries ?? [];
    incomingTransfers.set(message.transferId, {
      entries: [...previous, ...message.entries.map(fromWireEntry)],
      atMs: opts.clock.nowMs(),
    });
    return message.final === undefined || finishAdoption(message);
  });

  peers.handle("once.owner", (params) => {
    const message = params as OwnerMessage;
    knownOwners.set(
      getOwnerKey(message.issuer, message.incarnation),
      message.owner,
    );
    return true;
  });

  peers.handle("once.who", (params) => {
    const { issuer, incarnation } = params as IssuerIncarnation;
    const key = getOwnerKey(issuer, incarnation);
    return { owner: ownedKeys.has(key) ? peers.self : knownOwners.get(key) };
  });

  async function sendAdoptMessage(
    to: string,
    message: AdoptMessage,
  ): Promise<boolean> {
    const isFinal = message.final !== undefined;
    const result = await peers.call<boolean>(
      to,
      "once.adopt",
      message,
      isFinal ? ADOPT_FINAL_TIMEOUT_MS : ADOPT_ENTRIES_TIMEOUT_MS,
    );
    return result.isOk() && result.value;
  }

  async function transferTo(
    to: string,
  ): ReturnType<Contracts.Ledger["transferTo"]> {
    // A peer that received the final message may own the tickets; there must be no second owner.
    if (localLedger.isTransferred) return failTransfer(to);
    isTransferring = true;
    try {
      return await sendLedger(to);
    } finally {
      isTransferring = false;
    }
  }

  async function sendLedger(
    to: string,
  ): ReturnType<Contracts.Ledger["transferTo"]> {
    localLedger.seal();
    await localLedger.waitForRuns(RUNNING_REQUESTS_TIMEOUT_MS);
    const entries = localLedger.export().map(toWireEntry);
    const transferId = Crypto.randomUUID();
    for (
      let offset = 0;
      offset < entries.length;
      offset += ENTRIES_PER_MESSAGE
    ) {
      const chunk = entries.slice(offset, offset + ENTRIES_PER_MESSAGE);
      const isAdopted = await sendAdoptMessage(to, {
        transferId,
        entries: chunk,
      });
      if (!isAdopted) return failTransfer(to);
    }
    // From here on the peer may own the tickets, even if its response is lost.
    localLedger.markTransferred();
    const isAdopted = await sendAdoptMessage(to, {
      transferId,
      entries: [],
      final: {
        entryCount: entries.length,
        owned: [...ownedKeys].map(parseOwnerKey),
      },
    });
    if (!isAdopted) return failTransfer(to);
    for (const key of ownedKeys) knownOwners.set(key, to);
    ownedKeys.clear();
    log.info("ledger-handed-over", { to, entries: entries.length });
    return Ok(undefined);
  }

  function failTransfer(to: string) {
    log.warn("ledger-handover-failed", { to });
    return ResultCodes.fail("peerTimeout", `ledger not adopted by ${to}`);
  }

  async function findOwner(
    issuer: string,
    incarnation: string,
  ): Promise<string | undefined> {
    const reachablePeers = peers.getMembers().filter((member) =>
      member.isReachable
    );
    const results = await Promise.all(
      reachablePeers.map((member) =>
        peers.call<{ owner?: string }>(
          member.heartbeat.id,
          "once.who",
          { issuer, incarnation },
          500,
        )
      ),
    );
    for (const result of results) {
      if (result.isOk() && result.value.owner !== undefined) {
        knownOwners.set(getOwnerKey(issuer, incarnation), result.value.owner);
        return result.value.owner;
      }
    }
    return undefined;
  }

  return {
    sweepIntervalMs: SWEEP_INTERVAL_MS,
    claim: localLedger.claim,
    mayHaveRun: (ticket) =>
      !ownedKeys.has(getOwnerKey(ticket.issuer, ticket.incarnation)) ||
      localLedger.mayHaveRun(ticket),
    sweep() {
      localLedger.sweep();
      dropAbandonedTransfers();
    },
    getSize: localLedger.getSize,
    isOwner: (issuer, incarnation) =>
      ownedKeys.has(getOwnerKey(issuer, incarnation)),
    tryGetOwner: (issuer, incarnation) =>
      knownOwners.get(getOwnerKey(issuer, incarnation)),
    transferTo,
    findOwner,
    isTransferring: () => isTransferring,
  };
}

function getOwnerKey(issuer: string, incarnation: string): string {
  return `${issuer}/${incarnation}`;
}

function parseOwnerKey(key: string): IssuerIncarnation {
  const [issuer = "", incarnation = ""] = key.split("/");
  return { issuer, incarnation };
}

function toWireEntry(entry: LocalLedger.Entry): WireEntry {
  const { state } = entry;
  if (state.kind !== "ran") return { ...entry, state };
  const response = state.response && {
    status: state.response.status,
    headers: state.response.headers,
    bodyBase64: Buffer.from(state.response.body).toString("base64"),
  };
  return {
    ...entry,
    state: { kind: "ran", status: state.status, answer: response },
  };
}

function fromWireEntry(entry: WireEntry): LocalLedger.Entry {
  const { state } = entry;
  if (state.kind !== "ran") return { ...entry, state };
  const response = state.answer && {
    status: state.answer.status,
    headers: state.answer.headers,
    body: Buffer.from(state.answer.bodyBase64, "base64"),
  };
  return { ...entry, state: { kind: "ran", status: state.status, response } };
}
