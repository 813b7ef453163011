/**
 * Callers that disconnect soon after they sent a request, as a process of their
 * own: they keep running while the process of an instance under test is busy.
 * Arguments: a JSON object of type `Options`. Prints a line when the callers are
 * prepared, and lets them send when a byte arrives on standard input.
 */
import * as Net from "node:net";

/** What the callers do. */
export interface Options {
  /** Address of the instance. */
  readonly address: string;
  /** Request line and headers of each request; `{caller}` stands for the number of its caller. */
  readonly head: readonly string[];
  readonly count: number;
  readonly disconnectAfterMs: number;
  /** True if each caller completes a request on its connection before it sends another. */
  readonly isKept: boolean;
}

const opts = JSON.parse(process.argv[2] ?? "{}") as Options;

function createRequest(caller: number): string {
  return [...opts.head, "\r\n"].join("\r\n").replaceAll(
    "{caller}",
    `${caller}`,
  );
}

async function connect(): Promise<Net.Socket> {
  const [host, port] = opts.address.split(":");
  const socket = Net.connect({ host: host!, port: Number(port) });
  await new Promise((resolve) => socket.once("connect", resolve));
  return socket.on("error", () => {});
}

async function connectAndRequest(caller: number): Promise<Net.Socket> {
  const socket = await connect();
  socket.write(createRequest(caller));
  await new Promise((resolve) => socket.once("data", resolve));
  return socket;
}

function sendAndLeave(socket: Net.Socket, caller: number): void {
  socket.write(createRequest(caller));
  setTimeout(() => socket.destroy(), opts.disconnectAfterMs);
}

const callers = Array.from({ length: opts.count }, (_, caller) => caller);
const keptSockets = opts.isKept
  ? await Promise.all(callers.map(connectAndRequest))
  : [];
process.stdout.write("ready\n");
await new Promise((resolve) => process.stdin.once("data", resolve));
process.stdin.destroy();
await Promise.all(
  callers.map(async (caller) =>
    sendAndLeave(keptSockets[caller] ?? await connect(), caller)
  ),
);
