/**
 * Mutual authentication of a new connection. Each side proves that it knows the
 * shared secret with an HMAC over both nonces, both identities and its side
 * (initiator or acceptor). The secret itself is never sent.
 *
 *     initiator -> acceptor  {hello: {version, identity, nonce}}
 *     acceptor -> initiator  {challenge: {identity, nonce}}
 *     initiator -> acceptor  {proof}
 *     acceptor -> initiator  {proof}, or {error} if the initiator's proof is wrong
 *
 * The acceptor sends its proof last. An unauthenticated peer therefore receives
 * no MAC against which it could test guesses of the secret.
 */
import * as Crypto from "node:crypto";
import { Ok, type Result } from "ts-results-es";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as LineSocket from "./line_socket.ts";
import * as Wire from "./wire.ts";

/** Longest time in ms until each message of the handshake must arrive. */
export const HANDSHAKE_STEP_TIMEOUT_MS = 2_000;

const PROTOCOL_VERSION = 1;
const NONCE_BYTES = 16;
const MAX_NAME_CHARS = 200;
const NONCE_PATTERN = /^[0-9a-f]{32}$/;
const PROOF_PATTERN = /^[0-9a-f]{64}$/;

/** Identity of one end of a connection. */
export interface Identity {
  readonly id: Types.InstanceId;
  readonly incarnation: string;
  /** Peers exchange heartbeats; the operators' tool only calls methods. */
  readonly role: "peer" | "tool";
  /**
   * Sequence number of the connection at its initiator; the highest is the
   * newest connection.
   */
  readonly seq: number;
}

/** Input of both proofs. */
export interface Transcript {
  readonly initiator: Identity;
  readonly acceptor: Identity;
  readonly initiatorNonce: string;
  readonly acceptorNonce: string;
}

/**
 * Side that computed a proof. As the MAC covers it, a proof that is reflected
 * to its sender is invalid.
 */
export type Side = "initiator" | "acceptor";

/** Returns the proof of one side: an HMAC-SHA256 over the transcript, in hex. */
export function computeProof(
  secret: string,
  side: Side,
  transcript: Transcript,
): string {
  const listFields = (identity: Identity) => [
    identity.id,
    identity.incarnation,
    identity.role,
    identity.seq,
  ];
  // JSON keeps the encoding unambiguous for any content of the ids.
  const macInput = JSON.stringify([
    `anvilroute-peer-${PROTOCOL_VERSION}`,
    side,
    transcript.initiatorNonce,
    transcript.acceptorNonce,
    listFields(transcript.initiator),
    listFields(transcript.acceptor),
  ]);
  return Crypto.createHmac("sha256", secret).update(macInput).digest("hex");
}

function isSameMac(mac: unknown, expected: string): boolean {
  if (typeof mac !== "string" || !PROOF_PATTERN.test(mac)) return false;
  return Crypto.timingSafeEqual(
    Buffer.from(mac, "hex"),
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
  if (typeof nonce !== "string" || !NONCE_PATTERN.test(nonce)) return undefined;
  return { identity, nonce };
}

function createNonce(): string {
  return Crypto.randomBytes(NONCE_BYTES).toString("hex");
}

function failRead(socket: LineSocket.LineSocket, expectedMessage: string) {
  const cause = socket.isClosed() ? "connection closed" : "no or bad message";
  return ResultCodes.fail(
    "peerMessage",
    `${cause} while waiting for ${expectedMessage}`,
  );
}

async function readObject(socket: LineSocket.LineSocket) {
  const line = await socket.read(HANDSHAKE_STEP_TIMEOUT_MS);
  return line === undefined ? undefined : Json.tryParseObject(line);
}

/**
 * Authenticates as the side that connected, and returns the identity of the
 * acceptor. Fails with peerMessage if a message is missing or malformed, and
 * with peerAuth if the secrets differ.
 */
export async function initiate(
  socket: LineSocket.LineSocket,
  self: Identity,
  secret: string,
): Promise<Result<Identity, ResultCodes.Failure>> {
  const initiatorNonce = createNonce();
  const hello = {
    version: PROTOCOL_VERSION,
    identity: self,
    nonce: initiatorNonce,
  };
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
  // JSON-RPC messages may follow the acceptor's proof in the same TCP segment.
  socket.setMaxLineBytes(Wire.MAX_LINE_BYTES);
  const response = await readObject(socket);
  if (response === undefined) return failRead(socket, "the peer's proof");
  const expected = computeProof(secret, "acceptor", transcript);
  if (!isSameMac(response.proof, expected)) return ResultCodes.fail("peerAuth");
  return Ok(challenge.identity);
}

/**
 * Authenticates as the side that accepted the connection, and returns the
 * identity of the initiator. Accepts any of the secrets and proves the one that the
 * initiator knows. Fails like `initiate`, and with peerMessage on another protocol
 * version.
 */
export async function accept(
  socket: LineSocket.LineSocket,
  self: Identity,
  secrets: readonly string[],
): Promise<Result<Identity, ResultCodes.Failure>> {
  const helloMessage = (await readObject(socket))?.hello;
  const hello = tryReadIntroduction(helloMessage);
  if (hello === undefined) return failRead(socket, "the hello");
  if (
    Json.isObject(helloMessage) && helloMessage.version !== PROTOCOL_VERSION
  ) {
    return ResultCodes.fail("peerMessage", `version ${helloMessage.version}`);
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
  const response = await readObject(socket);
  if (response === undefined) return failRead(socket, "the peer's proof");
  const secret = secrets.find((candidate) =>
    isSameMac(
      response.proof,
      computeProof(candidate, "initiator", transcript),
    )
  );
  if (secret === undefined) {
    socket.write(JSON.stringify({ error: "authentication failed" }));
    return ResultCodes.fail("peerAuth");
  }
  const proof = computeProof(secret, "acceptor", transcript);
  socket.write(JSON.stringify({ proof }));
  socket.setMaxLineBytes(Wire.MAX_LINE_BYTES);
  return Ok(hello.identity);
}
