import * as Net from "node:net";
import { request } from "undici";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as FaultProxy from "../testing/harness/fault_proxy.ts";
import * as Process from "../testing/harness/process.ts";
import * as Wait from "../testing/harness/wait.ts";
import * as HttpJson from "../testing/http_json.ts";

const WAIT_MS = 5_000;

/** Timers may fire up to this much early against the monotonic clock of another process. */
const EARLY_MS = 5;

interface Client {
  readonly socket: Net.Socket;
  getReceived(): string;
  getError(): string | undefined;
}

let proxy: FaultProxy.FaultProxyProcess;
let echo: Net.Server;
let echoAddress: string;
const echoSockets = new Set<Net.Socket>();

function serveEcho(socket: Net.Socket): void {
  echoSockets.add(socket);
  socket.on("close", () => echoSockets.delete(socket));
  socket.on("error", () => {});
  socket.pipe(socket);
}

async function connect(address = proxy.address): Promise<Client> {
  const socket = Net.connect(HttpJson.parseAddress(address));
  let received = "";
  let error: string | undefined;
  socket.setNoDelay(true);
  socket.on("data", (chunk) => received += chunk);
  socket.on("error", (err: NodeJS.ErrnoException) => error = err.code);
  await Wait.waitFor(
    () => !socket.connecting || error !== undefined,
    WAIT_MS,
    "the end of connecting",
  );
  return { socket, getReceived: () => received, getError: () => error };
}

async function connectAndEcho(): Promise<Client> {
  const client = await connect();
  client.socket.write("a");
  await waitForText(client, "a");
  return client;
}

function waitForText(client: Client, text: string): Promise<boolean> {
  const isThere = () => client.getReceived() === text;
  return Wait.waitFor(isThere, WAIT_MS, `the text ${text}`);
}

function waitForClose(client: Client): Promise<boolean> {
  return Wait.waitFor(() => client.socket.closed, WAIT_MS, "the close");
}

async function waitForBytes(
  name: "bytesToTarget" | "bytesToClient",
  count: number,
): Promise<void> {
  await Wait.waitFor(
    async () => (await proxy.getStats())[name] === count,
    WAIT_MS,
    `${name} ${count}`,
  );
}

beforeAll(async () => {
  echo = Net.createServer({ allowHalfOpen: true }, serveEcho);
  echoAddress = await HttpJson.listen(echo, "127.0.0.1:0");
  proxy = await FaultProxy.startFaultProxy({ target: echoAddress });
});

afterEach(async () => {
  await proxy.heal();
  await proxy.resetConnections();
});

afterAll(async () => {
  await Process.killAll();
  echo.close();
});

describe("fault proxy", () => {
  it("guards against bytes lost, changed or reordered without faults", async () => {
    const client = await connect();
    const text = Array.from({ length: 300_000 }, (_, i) => i % 10).join("");
    client.socket.end(text);
    await waitForClose(client);
    expect(client.getReceived() === text).toBe(true);
    expect(client.getError()).toBeUndefined();
  });

  it("guards against a delay that does not reach open connections", async () => {
    const client = await connectAndEcho();
    await proxy.setFaults({ toTarget: { delayMs: 200 } });
    await proxy.setFaults({ toClient: { delayMs: 100 } });
    const startedAt = performance.now();
    client.socket.write("b");
    await waitForText(client, "ab");
    const tookMs = performance.now() - startedAt;
    expect(tookMs).toBeGreaterThanOrEqual(300 - EARLY_MS);
    await proxy.heal();
    client.socket.write("c");
    await waitForText(client, "abc");
  });

  it("guards against a delay that limits the throughput", async () => {
    await proxy.setFaults({ toTarget: { delayMs: 100 } });
    const client = await connect();
    const text = "x".repeat(2_000_000);
    const startedAt = performance.now();
    client.socket.end(text);
    await waitForClose(client);
    expect(client.getReceived().length).toBe(text.length);
    // With one delay for each of about 30 reads of 64 KB it would take 3 s.
    expect(performance.now() - startedAt).toBeLessThan(1_500);
  });

  it("guards against a throttle that each connection has for itself", async () => {
    const clients = [await connectAndEcho(), await connectAndEcho()];
    const startedAt = performance.now();
    await proxy.setFaults({ toTarget: { bytesPerS: 100_000 } });
    for (const { socket } of clients) socket.end("x".repeat(30_000));
    for (const client of clients) await waitForClose(client);
    const tookMs = performance.now() - startedAt;
    expect(tookMs).toBeGreaterThanOrEqual(600 - EARLY_MS);
    expect(tookMs).toBeLessThan(2_000);
    for (const client of clients) {
      expect(client.getReceived().length).toBe(30_001);
    }
  });

  it("guards against a freeze that loses bytes", async () => {
    const client = await connectAndEcho();
    const before = (await proxy.getStats()).bytesToTarget;
    await proxy.setFaults({ both: { isFrozen: true } });
    client.socket.write("b");
    const fresh = await connect();
    fresh.socket.write("z");
    await proxy.setFaults({ toClient: { isFrozen: false } });
    expect((await proxy.getStats()).bytesToTarget).toBe(before);
    expect(client.getReceived()).toBe("a");
    await proxy.heal();
    await waitForText(client, "ab");
    await waitForText(fresh, "z");
  });

  it("guards against a cut that the peers notice, or that ends with a gap in the stream", async () => {
    const client = await connectAndEcho();
    const before = await proxy.getStats();
    await proxy.setFaults({ both: { isCut: true } });
    client.socket.write("lost");
    const fresh = await connect();
    fresh.socket.write("lost");
    await Wait.waitFor(
      async () => (await proxy.getStats()).accepted === before.accepted + 1,
      WAIT_MS,
      "the new connection",
    );
    expect(client.socket.closed || fresh.socket.closed).toBe(false);
    expect((await proxy.getStats()).bytesToTarget).toBe(before.bytesToTarget);
    await proxy.heal();
    await waitForClose(client);
    await waitForClose(fresh);
    expect(client.getReceived()).toBe("a");
    expect([client.getError(), fresh.getError()])
      .toEqual(["ECONNRESET", "ECONNRESET"]);
  });

  it("guards against a one-way cut that stops the other way", async () => {
    const client = await connectAndEcho();
    const before = await proxy.getStats();
    await proxy.setFaults({ toClient: { isCut: true } });
    client.socket.write("bc");
    await waitForBytes("bytesToTarget", before.bytesToTarget + 2);
    const [server] = echoSockets;
    server?.write("d");
    expect((await proxy.getStats()).bytesToClient).toBe(before.bytesToClient);
    expect(client.getReceived()).toBe("a");
    expect(client.socket.closed).toBe(false);
  });

  it.each(["close", "reset"] as const)(
    "guards against truncation at another byte (%s)",
    async (truncateBy) => {
      const client = await connectAndEcho();
      await proxy.setFaults({
        toClient: { truncateAfterBytes: 3, truncateBy },
      });
      client.socket.write("bcdefg");
      await waitForClose(client);
      expect(client.getReceived()).toBe("abcd");
    },
  );

  // No byte goes before the end here: libuv reports a reset that arrives
  // together with data as an end of the stream.
  it.each([["close", undefined], ["reset", "ECONNRESET"]] as const)(
    "guards against truncation by another end (%s)",
    async (truncateBy, error) => {
      const client = await connectAndEcho();
      await proxy.setFaults({
        toClient: { truncateAfterBytes: 0, truncateBy },
      });
      client.socket.write("b");
      await waitForClose(client);
      expect(client.getReceived()).toBe("a");
      expect(client.getError()).toBe(error);
    },
  );

  it("guards against connections that survive a reset", async () => {
    const client = await connectAndEcho();
    await proxy.resetConnections();
    await waitForClose(client);
    expect(client.getError()).toBe("ECONNRESET");
    await Wait.waitFor(() => echoSockets.size === 0, WAIT_MS, "the reset");
    await connectAndEcho();
  });

  it("guards against refusal that still accepts", async () => {
    const client = await connectAndEcho();
    await proxy.setFaults({ refuse: true });
    await waitForClose(client);
    expect((await connect()).getError()).toBe("ECONNREFUSED");
    await proxy.heal();
    await connectAndEcho();
  });

  // Other processes of a test run get ports of 127.0.0.1 from the operating system, also
  // one that was released a moment before.
  it("guards against a port that another process takes while connections are refused", async () => {
    await proxy.setFaults({ refuse: true });
    const { port } = HttpJson.parseAddress(proxy.address);
    const other = Net.createServer();
    await HttpJson.listen(other, `127.0.0.1:${port}`);
    try {
      expect((await connect()).getError()).toBe("ECONNREFUSED");
      await proxy.heal();
      await connectAndEcho();
    } finally {
      other.close();
    }
  });

  it("guards against a dead target that looks alive through the proxy", async () => {
    const server = Net.createServer(serveEcho);
    const address = await HttpJson.listen(server, "127.0.0.1:0");
    const other = await FaultProxy.startFaultProxy({ target: address });
    server.close();
    await Wait.waitFor(
      async () => (await connect(other.address)).getError() === "ECONNREFUSED",
      WAIT_MS,
      "the refusal",
    );
    await HttpJson.listen(server, address);
    const client = await Wait.waitFor(
      async () => {
        const one = await connect(other.address);
        return one.getError() === undefined ? one : undefined;
      },
      WAIT_MS,
      "the target's return",
    );
    client.socket.write("a");
    await waitForText(client, "a");
    client.socket.destroy();
    await other.process.stop();
    server.close();
  });

  it("guards against malformed controls taking effect", async () => {
    const before = await proxy.getFaults();
    const bad = [
      '{"both":{"delayMs":-1}}',
      '{"both":{"dealyMs":1}}',
      '{"refuse":1}',
      "[1]",
      "{",
    ];
    for (const body of bad) {
      const url = `http://${proxy.control}/faults`;
      const res = await request(url, { method: "PUT", body });
      await res.body.dump();
      expect(res.statusCode).toBe(400);
    }
    expect(await proxy.getFaults()).toEqual(before);
  });
});
