/** Raw bytes over TCP, for input that no client would send. */
import * as Net from "node:net";

const RAW_LIMIT_MS = 5_000;

/** Sends raw bytes; resolves with what came back when the other side closes or the limit passes. */
export function sendRaw(
  address: string,
  chunks: readonly (string | Buffer)[],
  limitMs = RAW_LIMIT_MS,
): Promise<string> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = Net.connect(Number(port), host);
    let got = "";
    const timer = setTimeout(() => socket.destroy(), limitMs);
    socket.on("data", (chunk) => got += chunk.toString("latin1"));
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(got);
    });
    for (const chunk of chunks) socket.write(chunk);
  });
}
