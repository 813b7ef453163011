import * as Net from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
import * as GatewayHost from "../../testing/clients/gateway_host.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as Rig from "../support/gateway_rig.ts";

const LIMIT_MS = 20_000;
/** Time-out of the route. */
const ROUTE_TIMEOUT_MS = 1_500;
const { headerTimeoutMs, idleTimeoutMs, maxBodyBytes, maxHeaderBytes } =
  GatewayHost.limits;

describe("a gateway process in calm", () => {
  let host: GatewayHost.GatewayHost;
  const sockets: Net.Socket[] = [];
  beforeAll(async () => {
    host = await GatewayHost.startGatewayHost(Rig.formatConfig(1));
  });
  afterAll(async () => {
    for (const socket of sockets) socket.destroy();
    await host.close();
  });

  function connect() {
    const [address, port] = host.instance.caller.split(":");
    const socket = Net.connect({ host: address, port: Number(port) });
    sockets.push(socket);
    let received = "";
    socket.on("data", (chunk) => received += chunk.toString("latin1"));
    socket.on("error", () => {});
    return { socket, getReceived: () => received };
  }

  const formatHead = (method: string, path: string, id: string) =>
    `${method} ${path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\n` +
    "authorization: Bearer k1\r\n";

  const countOk = (text: string) => text.split("HTTP/1.1 200 ").length - 1;

  const waitForOk = (getReceived: () => string, count = 1) =>
    Wait.waitFor(
      () => countOk(getReceived()) >= count,
      LIMIT_MS,
      `${count} responses`,
    );

  // Guards against limits that a client inside the documented limits reaches.
  it("serves the largest body", async () => {
    const { getReceived, socket } = connect();
    socket.write(
      formatHead("POST", "/order/x", "largest") +
        `content-length: ${maxBodyBytes}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(maxBodyBytes, "x"));
    await waitForOk(getReceived);
  });

  it("serves the largest body in chunks of 100 bytes", async () => {
    const { getReceived, socket } = connect();
    socket.write(
      formatHead("POST", "/order/x", "chunked") +
        "transfer-encoding: chunked\r\n\r\n",
    );
    const chunk = `64\r\n${"x".repeat(100)}\r\n`;
    socket.write(chunk.repeat(maxBodyBytes / 100) + "0\r\n\r\n");
    await waitForOk(getReceived);
  });

  it("serves the longest head, of one long field", async () => {
    const { getReceived, socket } = connect();
    const head = formatHead("GET", "/read/x", "longest");
    const rest = maxHeaderBytes - head.length - "a: \r\n\r\n".length;
    socket.write(`${head}a: ${"x".repeat(rest)}\r\n\r\n`);
    await waitForOk(getReceived);
  });

  it("serves a head that takes most of its time and a body that takes most of its deadline", async () => {
    const { getReceived, socket } = connect();
    const head = formatHead("POST", "/order/x", "slowest") +
      "content-length: 10\r\n\r\n";
    const middle = head.length - 10;
    socket.write(head.slice(0, middle));
    await Clock.sleep(headerTimeoutMs * 0.7);
    socket.write(head.slice(middle));
    for (let i = 0; i < 9; i++) {
      await Clock.sleep(ROUTE_TIMEOUT_MS * 0.7 / 9);
      socket.write("x");
    }
    socket.write("x");
    await waitForOk(getReceived);
  });

  it("serves a connection again that was idle for four fifths of the limit", async () => {
    const { getReceived, socket } = connect();
    const request = formatHead("GET", "/read/x", "idle") + "\r\n";
    socket.write(request);
    await waitForOk(getReceived);
    await Clock.sleep(idleTimeoutMs * 0.8);
    socket.write(request);
    await waitForOk(getReceived, 2);
  });

  // Guards against limits that make a pipelining client wait for each response.
  it("runs at least 16 requests of one connection side by side, and responds to all in order", async () => {
    const count = 16;
    host.target.setServiceMs(500);
    const { getReceived, socket } = connect();
    const before = host.target.seen.length;
    for (let i = 0; i < count; i++) {
      socket.write(formatHead("GET", "/read/x", `piped-${i}`) + "\r\n");
    }
    await Wait.waitFor(
      () => host.target.seen.length - before === count || getReceived() !== "",
      LIMIT_MS,
      "requests run",
    );
    expect(getReceived()).toBe("");
    await waitForOk(getReceived, count);
    host.target.setServiceMs(0);
    const ids = [...getReceived().matchAll(/x-request-id: piped-(\d+)/gi)];
    expect(ids.map(([, id]) => Number(id))).toEqual(
      Array.from({ length: count }, (_, i) => i),
    );
  });

  // Guards against requests that run although their client sends them again.
  it("forwards no request that was sent behind one whose response closes the connection", async () => {
    const { getReceived, socket } = connect();
    socket.write(
      formatHead("GET", "/read/x", "closing") + "connection: close\r\n\r\n" +
        formatHead("POST", "/order/x", "behind") + "content-length: 0\r\n\r\n",
    );
    const closed = new Promise((resolve) => socket.once("close", resolve));
    await closed;
    expect(countOk(getReceived())).toBe(1);
    expect(host.target.ran).not.toContain("behind");
  });
});
