/**
 * Mutual authentication of a new connection. Each side proves that it knows the
 * shared secret with an HMAC over both nonces, both identities and the
 * direction; the secret itself is never sent.
 *
 *     initiator -> acceptor  {hello: {version, identity, nonce}}
 *     acceptor -> initiator  {challenge: {identity, nonce}}
 *     initiator -> acceptor  {proof}
 *     acceptor -> initiator  {proof}, or {error} when the first one is wrong
 *
 * The acceptor proves itself last, so that a stranger who connects learns no
 * MAC to test guesses of the secret on.
 */
import * as Crypto from "node:crypto";
import { Ok, type Result } from "ts-results-es";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as LineSocket from "./line_socket.ts";
import * as Wire from "./wire.ts";

/** Longest wait for each message of the handshake. */
export const HANDSHAKE_STEP_TIMEOUT_MS = 2_000;

const VERSION = 1;
const NONCE_BYTES = 16;
const MAX_NAME_CHARS = 200;
const HEX_NONCE = /^[0-9a-f]{32}$/;
const HEX_PROOF = /^[0-9a-f]{64}$/;

/** Who takes part in a connection. */
export interface Identity {
  readonly id: Types.InstanceId;
  readonly incarnation: string;
  /** Peers exchange heartbeats; the operators' tool only calls. */
  readonly role: "peer" | "tool";
  /** Number of the connection at its initiator; the highest one is the newest. */
  readonly seq: number;
}

/** What both proofs cover. */
export interface Transcript {
  readonly initiator: Identity;
  readonly acceptor: Identity;
  readonly initiatorNonce: string;
  readonly acceptorNonce: string;
}

/** Which side a proof is from; a proof can't be sent back to its maker. */
export type Direction = "initiator" | "acceptor";

/** MAC of one side over the whole transcript, hex. */
export function computeProof(
  secret: string,
  direction: Direction,
  t: Transcript,
): string {
  const fields = (one: Identity) => [
    one.id,
    one.incarnation,
    one.role,
    one.seq,
  ];
  // JSON makes the encoding unambiguous whatever the ids contain.
  const text = JSON.stringify([
    `anvilroute-peer-${VERSION}`,
    direction,
    t.initiatorNonce,
    t.acceptorNonce,
    fields(t.initiator),
    fields(t.acceptor),
  ]);
  return Crypto.createHmac("sha256", secret).update(text).digest("hex");
}

function isProof(given: unknown, expected: string): boolean {
  if (typeof given !== "string" || !HEX_PROOF.test(given)) return false;
  return Crypto.timingSafeEqual(
    Buffer.from(given, "hex"),
    Buffer.from(expected, "hex"),
  );
}

function isName(value: unknown): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= MAX_NAME_CHARS;
}

function tryReadIdentity(raw: unknown): Identity | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { id, incarnation, role, seq } = raw;
  if (!isName(id) || !isName(incarnation)) return undefined;
  if (role !== "peer" && role !== "tool") return undefined;
  if (!Number.isSafeInteger(seq)) return undefined;
  return { id, incarnation, role, seq: Number(seq) };
}

function tryReadIntroduction(
  raw: unknown,
): { readonly identity: Identity; readonly nonce: string } | undefined {
  if (!Json.isObject(raw)) return undefined;
  const identity = tryReadIdentity(raw.identity);
  const { nonce } = raw;
  if (identity === undefined) return undefined;
  if (typeof nonce !== "string" || !HEX_NONCE.test(nonce)) return undefined;
  return { identity, nonce };
}

function createNonce(): string {
  return Crypto.randomBytes(NONCE_BYTES).toString("hex");
}

function failRead(socket: LineSocket.LineSocket, what: string) {
  const why = socket.isClosed() ? "connection closed" : "no or bad message";
  return ResultCodes.fail("peerMessage", `${why} while waiting for ${what}`);
}

async function readObject(socket: LineSocket.LineSocket) {
  const line = await socket.read(HANDSHAKE_STEP_TIMEOUT_MS);
  return line === undefined ? undefined : Json.tryParseObject(line);
}

/** Authenticates as the side that connected; the result is the other side. */
export async function initiate(
  socket: LineSocket.LineSocket,
  self: Identity,
  secret: string,
): Promise<Result<Identity, ResultCodes.Failure>> {
  const initiatorNonce = createNonce();
  const hello = { version: VERSION, identity: self, nonce: initiatorNonce };
  socket.write(JSON.stringify({ hello }));
  const challenge = tryReadIntroduction((await readObject(socket))?.challenge);
  if (challenge === undefined) return failRead(socket, "the challenge");
  const transcript = {
    initiator: self,
    acceptor: challenge.identity,
    initiatorNonce,
    acceptorNonce: challenge.nonce,
  };
  const proof = computeProof(secret, "initiator", transcript);
  socket.write(JSON.stringify({ proof }));
  // Ordinary messages may follow the acceptor's proof in the same segment.
  socket.setMaxLineBytes(Wire.MAX_LINE_BYTES);
  const answer = await readObject(socket);
  if (answer === undefined) return failRead(socket, "the peer's proof");
  const expected = computeProof(secret, "acceptor", transcript);
  if (!isProof(answer.proof, expected)) return ResultCodes.fail("peerAuth");
  return Ok(challenge.identity);
}

/** Authenticates as the side that was connected to. */
export async function accept(
  socket: LineSocket.LineSocket,
  self: Identity,
  secret: string,
): Promise<Result<Identity, ResultCodes.Failure>> {
  const first = (await readObject(socket))?.hello;
  const hello = tryReadIntroduction(first);
  if (hello === undefined) return failRead(socket, "the hello");
  if (Json.isObject(first) && first.version !== VERSION) {
    return ResultCodes.fail("peerMessage", `version ${first.version}`);
  }
  const acceptorNonce = createNonce();
  const challenge = { identity: self, nonce: acceptorNonce };
  socket.write(JSON.stringify({ challenge }));
  const transcript = {
    initiator: hello.identity,
    acceptor: self,
    initiatorNonce: hello.nonce,
    acceptorNonce,
  };
  const answer = await readObject(socket);
  if (answer === undefined) return failRead(socket, "the peer's proof");
  const expected = computeProof(secret, "initiator", transcript);
  if (!isProof(answer.proof, expected)) {
    socket.write(JSON.stringify({ error: "authentication failed" }));
    return ResultCodes.fail("peerAuth");
  }
  const proof = computeProof(secret, "acceptor", transcript);
  socket.write(JSON.stringify({ proof }));
  socket.setMaxLineBytes(Wire.MAX_LINE_BYTES);
  return Ok(hello.identity);
}
