/** Status lines that begin no valid response, and a server that sends one. */
import * as Net from "node:net";

/** Lines that a response can't begin with, as seen of faulty targets. */
export const ODD_STATUS_LINES = [
  "HTTP/1.1 000 OK",
  "HTTP/1.1 101 Switching",
  "HTTP/1.1 099 OK",
  "HTTP/1.1 150 OK",
  "HTTP/1.1 20 OK",
  "HTTP/1.1 2000 OK",
  "HTTP/1.1 +20 OK",
  "HTTP/1.0 000 OK",
  "HTTP/1.1 600 OK",
  "HTTP/1.1 999 OK",
  "HTTP/2.0 200 OK",
] as const;

/** Starts a server that answers each request with the status line, the headers and an empty JSON object. */
export async function startOddServer(
  statusLine: string,
  addCleanup: (release: () => unknown) => void,
): Promise<{ readonly address: string; readonly getRequests: () => number }> {
  let requests = 0;
  const server = Net.createServer((socket) => {
    addCleanup(() => socket.destroy());
    socket.on("error", () => {});
    socket.on("data", () => {
      requests++;
      socket.write(`${statusLine}\r\nContent-Length: 2\r\n\r\n{}`);
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  addCleanup(() => server.close());
  const { port } = server.address() as Net.AddressInfo;
  return { address: `127.0.0.1:${port}`, getRequests: () => requests };
}
