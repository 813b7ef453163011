import * as Net from "node:net";
import { describe, expect, it } from "vitest";
import * as Servers from "../src/daemon/servers.ts";
import * as Log from "../src/log.ts";

const CALLERS = 30;
const quietLog = Log.createLogger("error", {}, () => {});

/** Connects and sends a request at once; `ended` resolves with what was received. */
function connectAndSend(address: string) {
  const { host, port } = Servers.parseHostPort(address);
  const socket = Net.connect({ host, port });
  socket.write("GET /v1/lookup HTTP/1.1\r\nhost: any\r\n\r\n");
  let received = "";
  socket.on("data", (chunk) => received += String(chunk));
  socket.on("error", () => {});
  return {
    connected: new Promise((resolve) => socket.once("connect", resolve)),
    ended: new Promise<string>((resolve) =>
      socket.once("close", () => resolve(received))
    ),
  };
}

describe("the callers' listener", () => {
  // The event loop accepts one connection in an iteration; those that the kernel holds
  // are reset when the listener closes.
  it("responds, when it closes, to requests on connections that it has not accepted yet", async () => {
    const listener = await Servers.startCallerListener("127.0.0.1:0", {
      lookup: (_req, res) => void res.end("{}"),
      service: () => Promise.resolve(),
    }, quietLog);
    const callers = Array.from(
      { length: CALLERS },
      () => connectAndSend(listener.address),
    );
    await Promise.all(callers.map(({ connected }) => connected));
    await listener.close();
    const responses = await Promise.all(callers.map(({ ended }) => ended));
    const statuses = responses.map((response) => response.slice(0, 15));
    expect(statuses).toEqual(Array(CALLERS).fill("HTTP/1.1 200 OK"));
  });

  // Guards against a planned stop that waits for a minute for requests that have ended:
  // only the first response of a pipeline closes with its connection.
  it("has no request in flight after the caller of a pipeline disconnected", async () => {
    const listener = await Servers.startCallerListener("127.0.0.1:0", {
      lookup: () => {},
      service: () => Promise.resolve(),
    }, quietLog);
    const { host, port } = Servers.parseHostPort(listener.address);
    const socket = Net.connect({ host, port });
    const request = "GET /v1/lookup HTTP/1.1\r\nhost: any\r\n\r\n";
    socket.write(request + request);
    await expect.poll(() => listener.getInFlight()).toBe(2);
    socket.destroy();
    await expect.poll(() => listener.getInFlight()).toBe(0);
    await listener.close();
  });
});
