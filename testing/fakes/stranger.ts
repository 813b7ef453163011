/** A connection to a peer listener that is opened by hand, line by line. */
import * as NodeNet from "node:net";
import * as Handshake from "../../src/peer/handshake.ts";
import * as Helpers from "./peer_net.ts";

/** Connects like a stranger; resolves with all lines once the other side closes. */
export async function talk(
  address: string,
  answer: (line: string, socket: NodeNet.Socket) => void,
) {
  const [host, port] = address.split(":");
  const socket = NodeNet.connect({ host: host ?? "", port: Number(port) });
  const lines: string[] = [];
  socket.setEncoding("utf8");
  socket.on("error", () => {});
  socket.on("data", (text: string) => {
    for (const line of text.split("\n").filter((l) => l !== "")) {
      lines.push(line);
      answer(line, socket);
    }
  });
  await new Promise((done) => socket.once("connect", done));
  const closed = new Promise<readonly string[]>((done) =>
    socket.once("close", () => done(lines))
  );
  return { socket, closed };
}

/** Identity that `sendAsMember` gives. */
export const STRANGER = {
  id: "x",
  incarnation: "r1",
  role: "peer",
  seq: 1,
} as const;
/** Its nonce; fixed, so that a test can compute proofs. */
export const NONCE = "ab".repeat(16);

function hello(identity: object = STRANGER): string {
  return JSON.stringify({ hello: { version: 1, identity, nonce: NONCE } });
}

/** Authenticates by hand as the tool or a peer and then sends `line`. */
export async function sendAsMember(address: string, line: string) {
  const conn = await talk(address, (text, socket) => {
    const { challenge } = JSON.parse(text);
    if (challenge === undefined) return void socket.write(`${line}\n`);
    const proof = Handshake.computeProof(Helpers.SECRET, "initiator", {
      initiator: STRANGER,
      acceptor: challenge.identity,
      initiatorNonce: NONCE,
      acceptorNonce: challenge.nonce,
    });
    socket.write(`${JSON.stringify({ proof })}\n`);
  });
  conn.socket.write(`${hello()}\n`);
  return conn;
}
