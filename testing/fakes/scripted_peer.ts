/** A connection to a peer listener whose messages a test writes line by line. */
import * as NodeNet from "node:net";
import * as Handshake from "../../src/peer/handshake.ts";
import * as PeerNet from "./peer_net.ts";

/** Connects without authentication. `closed` resolves with all received lines once the remote end closes. */
export async function connect(
  address: string,
  onLine: (line: string, socket: NodeNet.Socket) => void,
) {
  const [host, port] = address.split(":");
  const socket = NodeNet.connect({ host: host ?? "", port: Number(port) });
  const lines: string[] = [];
  socket.setEncoding("utf8");
  socket.on("error", () => {});
  socket.on("data", (data: string) => {
    for (const line of data.split("\n").filter((line) => line !== "")) {
      lines.push(line);
      onLine(line, socket);
    }
  });
  await new Promise((resolve) => socket.once("connect", resolve));
  const closed = new Promise<readonly string[]>((resolve) =>
    socket.once("close", () => resolve(lines))
  );
  return { socket, closed };
}

/** Identity that `authenticateAndSend` presents. */
export const IDENTITY = {
  id: "x",
  incarnation: "r1",
  role: "peer",
  seq: 1,
} as const;
/** Nonce of the initiator. It is fixed, so that a test can compute proofs. */
export const NONCE = "ab".repeat(16);

function formatHello(identity: object = IDENTITY): string {
  return JSON.stringify({
    hello: { version: 1, identity, nonce: NONCE },
  });
}

/** Authenticates as the peer IDENTITY and then sends `line`. */
export async function authenticateAndSend(address: string, line: string) {
  const conn = await connect(address, (message, socket) => {
    const { challenge } = JSON.parse(message);
    if (challenge === undefined) return void socket.write(`${line}\n`);
    const proof = Handshake.computeProof(PeerNet.SECRET, "initiator", {
      initiator: IDENTITY,
      acceptor: challenge.identity,
      initiatorNonce: NONCE,
      acceptorNonce: challenge.nonce,
    });
    socket.write(`${JSON.stringify({ proof })}\n`);
  });
  conn.socket.write(`${formatHello()}\n`);
  return conn;
}
