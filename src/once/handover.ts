/**
 * The ledger's network side: a leaving instance hands its ledger to a domain
 * peer, which then answers for its tickets. Promise: the giver is sealed before
 * the first entry leaves and the taker owns nothing before the last one
 * arrived, so at any time at most one instance runs a given ticket. When the
 * final message is lost neither does, and resends get `unknown`.
 */
import * as Crypto from "node:crypto";
import { Ok } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import * as LocalLedger from "./ledger.ts";

const ADOPT_TIMEOUT_MS = 3_000;
/**
 * A successor that does not take a part in this time is given up, which is safe: it
 * owns nothing yet. Orders wait meanwhile, and two silent ones must not use up
 * their deadline.
 */
const PART_TIMEOUT_MS = 1_000;
const SETTLE_TIMEOUT_MS = 30_000;
/** Keeps a message well below the 2 MB line limit: 16 KB of answer is 22 KB in base64. */
const ENTRIES_PER_MESSAGE = 40;
const SWEEP_INTERVAL_MS = 5_000;

interface WireEntry extends Omit<LocalLedger.Entry, "state"> {
  readonly state:
    | Exclude<LocalLedger.EntryState, { kind: "ran" }>
    | {
      readonly kind: "ran";
      readonly status: number;
      readonly answer: WireAnswer | undefined;
    };
}

interface WireAnswer {
  readonly status: number;
  readonly headers: Contracts.StoredResponse["headers"];
  readonly bodyBase64: string;
}

interface Owned {
  readonly issuer: string;
  readonly incarnation: string;
}

interface AdoptMessage {
  /** Differs per handover, so that two of them never mix. */
  readonly transferId: string;
  readonly entries: readonly WireEntry[];
  /** Set on the last message only. */
  readonly final?: {
    readonly entryCount: number;
    readonly owned: readonly Owned[];
  };
}

interface OwnerMessage extends Owned {
  readonly owner: string;
}

/** What the ledger needs. */
export interface LedgerOptions extends LocalLedger.LedgerOptions {
  readonly peers: Contracts.PeerNet;
  readonly log: Log.Logger;
}

/** The ledger with its upkeep. */
export interface Ledger extends Contracts.Ledger {
  readonly sweepIntervalMs: number;
  sweep(): void;
  /** Asks peers who answers for an issuer that this instance has not heard of. */
  findOwner(issuer: string, incarnation: string): Promise<string | undefined>;
  /** True between the start of a handover and its end. */
  isTransferring(): boolean;
}

/** Creates the ledger and registers its RPC methods. */
export function createLedger(opts: LedgerOptions): Ledger {
  const { peers, log } = opts;
  const local = LocalLedger.createLocalLedger(opts);
  const owned = new Set([getOwnerKey(peers.self, peers.incarnation)]);
  const owners = new Map<string, string>();
  let isHandingOver = false;
  const incoming = new Map<string, LocalLedger.Entry[]>();

  function announce(who: Owned): void {
    const message: OwnerMessage = { ...who, owner: peers.self };
    peers.notifyAll("once.owner", message);
  }

  function finishAdoption(message: AdoptMessage): boolean {
    const entries = incoming.get(message.transferId) ?? [];
    incoming.delete(message.transferId);
    if (entries.length !== message.final?.entryCount) return false;
    local.import(entries);
    for (const who of message.final.owned) {
      owned.add(getOwnerKey(who.issuer, who.incarnation));
      announce(who);
    }
    log.info("ledger-adopted", { entries: entries.length });
    return true;
  }

  peers.handle("once.adopt", (params) => {
    const message = params as AdoptMessage;
    if (local.isSealed) throw new Error("leaving");
    const entries = incoming.get(message.transferId) ?? [];
    incoming.set(message.transferId, entries);
    entries.push(...message.entries.map(fromWire));
    return message.final === undefined || finishAdoption(message);
  });

  peers.handle("once.owner", (params) => {
    const message = params as OwnerMessage;
    owners.set(
      getOwnerKey(message.issuer, message.incarnation),
      message.owner,
    );
    return true;
  });

  peers.handle("once.who", (params) => {
    const { issuer, incarnation } = params as Owned;
    const key = getOwnerKey(issuer, incarnation);
    return { owner: owned.has(key) ? peers.self : owners.get(key) };
  });

  async function send(
    to: string,
    message: AdoptMessage,
  ): Promise<boolean> {
    const isFinal = message.final !== undefined;
    const reply = await peers.call<boolean>(
      to,
      "once.adopt",
      message,
      isFinal ? ADOPT_TIMEOUT_MS : PART_TIMEOUT_MS,
    );
    return reply.isOk() && reply.value;
  }

  async function handOver(
    to: string,
  ): ReturnType<Contracts.Ledger["transferTo"]> {
    // A peer that got the last message may own the tickets; a second owner must not.
    if (local.isTransferred) return failHandOver(to);
    isHandingOver = true;
    try {
      return await transfer(to);
    } finally {
      isHandingOver = false;
    }
  }

  async function transfer(
    to: string,
  ): ReturnType<Contracts.Ledger["transferTo"]> {
    local.seal();
    await local.settle(SETTLE_TIMEOUT_MS);
    const entries = local.export().map(toWire);
    const transferId = Crypto.randomUUID();
    for (let at = 0; at < entries.length; at += ENTRIES_PER_MESSAGE) {
      const part = entries.slice(at, at + ENTRIES_PER_MESSAGE);
      const sent = await send(to, { transferId, entries: part });
      if (!sent) return failHandOver(to);
    }
    // From here the peer may own the tickets even when its answer is lost.
    local.markTransferred();
    const sent = await send(to, {
      transferId,
      entries: [],
      final: {
        entryCount: entries.length,
        owned: [...owned].map(parseOwnerKey),
      },
    });
    if (!sent) return failHandOver(to);
    for (const key of owned) owners.set(key, to);
    owned.clear();
    log.info("ledger-handed-over", { to, entries: entries.length });
    return Ok(undefined);
  }

  function failHandOver(to: string) {
    log.warn("ledger-handover-failed", { to });
    return ResultCodes.fail("peerTimeout", `ledger not adopted by ${to}`);
  }

  async function findOwner(
    issuer: string,
    incarnation: string,
  ): Promise<string | undefined> {
    const asked = peers.getMembers().filter((m) => m.isReachable);
    const replies = await Promise.all(
      asked.map((m) =>
        peers.call<{ owner?: string }>(
          m.heartbeat.id,
          "once.who",
          { issuer, incarnation },
          500,
        )
      ),
    );
    for (const reply of replies) {
      if (reply.isOk() && reply.value.owner !== undefined) {
        owners.set(getOwnerKey(issuer, incarnation), reply.value.owner);
        return reply.value.owner;
      }
    }
    return undefined;
  }

  return {
    sweepIntervalMs: SWEEP_INTERVAL_MS,
    claim: local.claim,
    mayHaveRun: (ticket) =>
      !owned.has(getOwnerKey(ticket.issuer, ticket.incarnation)) ||
      local.mayHaveRun(ticket),
    sweep: local.sweep,
    getSize: local.getSize,
    isOwner: (issuer, incarnation) =>
      owned.has(getOwnerKey(issuer, incarnation)),
    tryGetOwner: (issuer, incarnation) =>
      owners.get(getOwnerKey(issuer, incarnation)),
    transferTo: handOver,
    findOwner,
    isTransferring: () => isHandingOver,
  };
}

function getOwnerKey(issuer: string, incarnation: string): string {
  return `${issuer}/${incarnation}`;
}

function parseOwnerKey(key: string): Owned {
  const [issuer = "", incarnation = ""] = key.split("/");
  return { issuer, incarnation };
}

function toWire(entry: LocalLedger.Entry): WireEntry {
  const { state } = entry;
  if (state.kind !== "ran") return { ...entry, state };
  const answer = state.answer && {
    status: state.answer.status,
    headers: state.answer.headers,
    bodyBase64: Buffer.from(state.answer.body).toString("base64"),
  };
  return { ...entry, state: { kind: "ran", status: state.status, answer } };
}

function fromWire(entry: WireEntry): LocalLedger.Entry {
  const { state } = entry;
  if (state.kind !== "ran") return { ...entry, state };
  const answer = state.answer && {
    status: state.answer.status,
    headers: state.answer.headers,
    body: Buffer.from(state.answer.bodyBase64, "base64"),
  };
  return { ...entry, state: { kind: "ran", status: state.status, answer } };
}
