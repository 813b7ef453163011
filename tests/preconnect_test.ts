import * as Fs from "node:fs/promises";
import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Exchange from "../src/forward/exchange.ts";
import * as Preconnect from "../src/forward/preconnect.ts";
import * as RequestPath from "../testing/fakes/request_path.ts";
import * as Wait from "../testing/harness/wait.ts";

const EXPECTED = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
const UNSOLICITED = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ncrossed";
const TIMED_OUT = "HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n" +
  "connection: close\r\n\r\n";
const LIMIT = 2;

/** Starts a target that records its connections in `sockets`, oldest first, and the connection index of each request in `servedBy`. */
async function startTarget(
  getResponse: (index: number) => string = () => EXPECTED,
) {
  const sockets: Net.Socket[] = [];
  const servedBy: number[] = [];
  const server = Net.createServer((socket) => {
    const index = sockets.push(socket) - 1;
    socket.on("error", () => {});
    socket.on("data", () => {
      servedBy.push(index);
      socket.write(getResponse(index));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as Net.AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    sockets,
    servedBy,
    getOpenCount: () => sockets.filter((socket) => !socket.destroyed).length,
    stop() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

describe("idle connections that are opened ahead of requests", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const cleanUp of cleanups.splice(0)) await cleanUp();
  });

  async function startRig(getResponse?: (index: number) => string) {
    const target = await startTarget(getResponse);
    let nowMs = 0;
    let limit = LIMIT;
    const clock = { nowMs: () => nowMs, wallMs: () => nowMs };
    const preconnector = Preconnect.createPreconnector({ clock });
    const exchanger = Exchange.createExchanger({
      bufferBytes: 256 * 1024,
      preconnector,
    });
    cleanups.push(() => exchanger.close(), target.stop);
    const sink = { start: () => {}, write: () => Promise.resolve() };
    function send(
      signal = AbortSignal.timeout(3_000),
    ): Promise<Exchange.ExchangeResult> {
      const { address } = target;
      const headers = [["host", address]] as const;
      const body = { kind: "none" } as const;
      const getPreconnectLimit = () => limit;
      const req = { address, method: "GET", path: "/", headers, body };
      return exchanger.exchange({ ...req, getPreconnectLimit }, sink, signal);
    }
    const waitForIdle = (count: number) =>
      Wait.waitFor(
        () =>
          preconnector.getConnectionCount() === count &&
          target.getOpenCount() === count,
        2_000,
        `${count} idle connections`,
      );
    return {
      target,
      exchanger,
      preconnector,
      send,
      waitForIdle,
      advanceTime: (ms: number) => void (nowMs += ms),
      setLimit: (newLimit: number) => void (limit = newLimit),
      /** Sends one request and waits until the target has an idle connection. */
      async sendFirst() {
        expect(getBody(await send())).toBe("own");
        await waitForIdle(1);
      },
    };
  }

  function getBody(result: Exchange.ExchangeResult): string {
    return result.kind === "response"
      ? result.response.body.toString()
      : result.kind;
  }

  it("carry one exchange each, so that no response belongs to an earlier request", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    for (let i = 1; i < 5; i++) {
      expect(getBody(await rig.send())).toBe("own");
      await rig.waitForIdle(1);
    }
    // Each exchange opened the connection of the next one.
    expect(rig.target.servedBy).toEqual([0, 1, 2, 3, 4]);
  });

  it("are at most as many as the limit, so that targets have connections left for other instances", async () => {
    const rig = await startRig();
    await Promise.all(Array.from({ length: 10 }, () => rig.send()));
    await rig.waitForIdle(LIMIT);
  });

  it("are discarded when bytes arrive before the request, which would be mistaken for its response", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    rig.target.sockets[1]?.write(UNSOLICITED);
    await rig.waitForIdle(0);
    expect(getBody(await rig.send())).toBe("own");
    // No connection to that target is opened ahead for 60 s.
    await rig.waitForIdle(0);
    expect(rig.target.servedBy).toEqual([0, 2]);
    rig.advanceTime(61_000);
    expect(getBody(await rig.send())).toBe("own");
    await rig.waitForIdle(1);
  });

  it("are discarded when the operating system has received bytes that this process has not read", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    // The test resumes in the event loop's poll phase, which does not report the bytes any more.
    await Fs.stat(".");
    rig.target.sockets[1]?.write(UNSOLICITED);
    expect(getBody(await rig.send())).toBe("own");
    expect(rig.target.servedBy).toEqual([0, 2]);
  });

  it("are replaced when the target has closed them, so that no request fails on a closed connection", async () => {
    for (const isReset of [false, true]) {
      const rig = await startRig();
      await rig.sendFirst();
      const [, idleSocket] = rig.target.sockets;
      if (isReset) idleSocket?.resetAndDestroy();
      else idleSocket?.end();
      expect(getBody(await rig.send())).toBe("own");
      expect(rig.target.servedBy).toEqual([0, 2]);
    }
  });

  it("never forward to the caller the 408 that a target sends on an idle connection", async () => {
    const rig = await startRig((index) => index === 1 ? TIMED_OUT : EXPECTED);
    await rig.sendFirst();
    expect((await rig.send()).kind).toBe("broke");
  });

  it("are not used when they have expired, even if the process was suspended before it could close them", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    rig.advanceTime(2_000);
    expect(getBody(await rig.send())).toBe("own");
    expect(rig.target.servedBy).toEqual([0, 2]);
  });

  it("are closed when they have expired, so that unused targets keep no connections", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    rig.advanceTime(2_000);
    await rig.waitForIdle(0);
  });

  it("are closed when the limit becomes 0, so that the drain of a leaving target does not wait for them", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    rig.setLimit(0);
    await rig.waitForIdle(0);
  });

  it("are closed when their request is cancelled before it is sent", async () => {
    const rig = await startRig();
    await rig.sendFirst();
    const abort = new AbortController();
    const sending = rig.send(abort.signal);
    abort.abort();
    expect((await sending).kind).toBe("not-sent");
    await rig.waitForIdle(0);
    expect(rig.target.servedBy).toEqual([0]);
  });

  it("are closed together with the exchanger, including those that are still being opened", async () => {
    const rig = await startRig();
    await Promise.all([rig.send(), rig.send()]);
    await rig.waitForIdle(2);
    rig.setLimit(4);
    rig.preconnector.open(rig.target.address, () => 4);
    expect(rig.preconnector.getConnectionCount()).toBe(3);
    await rig.exchanger.close();
    await rig.waitForIdle(0);
    expect(getBody(await rig.send())).toBe("own");
    await rig.waitForIdle(0);
  });

  it("are not used for requests that must not be repeated", async () => {
    const target = await startTarget();
    const instance = await RequestPath.startTestInstance("a", [target.address]);
    cleanups.push(instance.close, target.stop);
    const send = async (method: string, path: string) => {
      const res = await fetch(`http://${instance.address}/s/booking${path}`, {
        method,
        headers: {
          "anvilroute-key": RequestPath.CLUB_KEY,
          "idempotency-key": instance.issueTicket(),
        },
      });
      expect(await res.text()).toBe("own");
    };
    await send("GET", "/bikes");
    await Wait.waitFor(
      () => target.getOpenCount() === 1,
      2_000,
      "one idle connection",
    );
    await send("POST", "/bikes");
    await send("POST", "/bookings");
    await send("GET", "/bikes");
    expect(target.servedBy).toEqual([0, 2, 3, 1]);
  });
});
