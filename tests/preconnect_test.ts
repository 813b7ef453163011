import * as Fs from "node:fs/promises";
import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Exchange from "../src/forward/exchange.ts";
import * as Preconnect from "../src/forward/preconnect.ts";
import * as RequestPath from "../testing/fakes/request_path.ts";
import * as Wait from "../testing/harness/wait.ts";

const OWN = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
const CROSSED = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ncrossed";
const TIMED_OUT = "HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n" +
  "connection: close\r\n\r\n";
const LIMIT = 2;

/** A target that counts its connections; `sockets` has all of them, oldest first. */
async function startTarget(getAnswer: (n: number) => string = () => OWN) {
  const sockets: Net.Socket[] = [];
  const servedBy: number[] = [];
  const server = Net.createServer((socket) => {
    const n = sockets.push(socket) - 1;
    socket.on("error", () => {});
    socket.on("data", () => {
      servedBy.push(n);
      socket.write(getAnswer(n));
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as Net.AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    sockets,
    servedBy,
    getOpen: () => sockets.filter((one) => !one.destroyed).length,
    stop() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

describe("connections opened ahead", () => {
  const ends: (() => unknown)[] = [];
  afterEach(async () => {
    for (const end of ends.splice(0)) await end();
  });

  async function start(getAnswer?: (n: number) => string) {
    const target = await startTarget(getAnswer);
    let now = 0;
    let limit = LIMIT;
    const clock = { nowMs: () => now, wallMs: () => now };
    const preconnector = Preconnect.createPreconnector({ clock });
    const exchanger = Exchange.createExchanger({
      bufferBytes: 256 * 1024,
      preconnector,
    });
    ends.push(() => exchanger.close(), target.stop);
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
    const waitForOpen = (count: number) =>
      Wait.waitFor(
        () => preconnector.getWaiting() === count && target.getOpen() === count,
        2_000,
        `${count} connections that wait`,
      );
    return {
      target,
      exchanger,
      preconnector,
      send,
      waitForOpen,
      passTime: (ms: number) => void (now += ms),
      setLimit: (n: number) => void (limit = n),
      /** Sends once and waits until a connection waits at the target. */
      async sendFirst() {
        expect(getBody(await send())).toBe("own");
        await waitForOpen(1);
      },
    };
  }

  function getBody(result: Exchange.ExchangeResult): string {
    return result.kind === "answer"
      ? result.answer.body.toString()
      : result.kind;
  }

  it("carry one exchange each, so that no answer can come from an earlier one", async () => {
    const rig = await start();
    await rig.sendFirst();
    for (let i = 1; i < 5; i++) {
      expect(getBody(await rig.send())).toBe("own");
      await rig.waitForOpen(1);
    }
    // Each of them was opened by the exchange before it.
    expect(rig.target.servedBy).toEqual([0, 1, 2, 3, 4]);
  });

  it("are no more than the limit, so that targets keep their connections for others", async () => {
    const rig = await start();
    await Promise.all(Array.from({ length: 10 }, () => rig.send()));
    await rig.waitForOpen(LIMIT);
  });

  it("are discarded when something arrives before the request, which would be taken for its answer", async () => {
    const rig = await start();
    await rig.sendFirst();
    rig.target.sockets[1]?.write(CROSSED);
    await rig.waitForOpen(0);
    expect(getBody(await rig.send())).toBe("own");
    // That target gets none ahead for a while.
    await rig.waitForOpen(0);
    expect(rig.target.servedBy).toEqual([0, 2]);
    rig.passTime(61_000);
    expect(getBody(await rig.send())).toBe("own");
    await rig.waitForOpen(1);
  });

  it("are discarded when the operating system has a byte that this process has not read", async () => {
    const rig = await start();
    await rig.sendFirst();
    // Continues in the event loop's poll phase, which does not see the byte any more.
    await Fs.stat(".");
    rig.target.sockets[1]?.write(CROSSED);
    expect(getBody(await rig.send())).toBe("own");
    expect(rig.target.servedBy).toEqual([0, 2]);
  });

  it("are replaced when the target has closed them, so that no request breaks on them", async () => {
    for (const isReset of [false, true]) {
      const rig = await start();
      await rig.sendFirst();
      const [, waiting] = rig.target.sockets;
      if (isReset) waiting?.resetAndDestroy();
      else waiting?.end();
      expect(getBody(await rig.send())).toBe("own");
      expect(rig.target.servedBy).toEqual([0, 2]);
    }
  });

  it("never give a caller the 408 that a target sends for having waited", async () => {
    const rig = await start((n) => n === 1 ? TIMED_OUT : OWN);
    await rig.sendFirst();
    expect((await rig.send()).kind).toBe("broke");
  });

  it("are not used when they are old, also after a pause of the process", async () => {
    const rig = await start();
    await rig.sendFirst();
    rig.passTime(2_000);
    expect(getBody(await rig.send())).toBe("own");
    expect(rig.target.servedBy).toEqual([0, 2]);
  });

  it("are closed when they are old, so that idle targets hold none", async () => {
    const rig = await start();
    await rig.sendFirst();
    rig.passTime(2_000);
    await rig.waitForOpen(0);
  });

  it("are closed when the target may get no new work, so that its drain does not wait for them", async () => {
    const rig = await start();
    await rig.sendFirst();
    rig.setLimit(0);
    await rig.waitForOpen(0);
  });

  it("are closed with a request that is cancelled before it leaves on them", async () => {
    const rig = await start();
    await rig.sendFirst();
    const abort = new AbortController();
    const sending = rig.send(abort.signal);
    abort.abort();
    expect((await sending).kind).toBe("not-sent");
    await rig.waitForOpen(0);
    expect(rig.target.servedBy).toEqual([0]);
  });

  it("are all closed at the end, those that are not open yet included", async () => {
    const rig = await start();
    await Promise.all([rig.send(), rig.send()]);
    await rig.waitForOpen(2);
    rig.setLimit(4);
    rig.preconnector.open(rig.target.address, () => 4);
    expect(rig.preconnector.getWaiting()).toBe(3);
    await rig.exchanger.close();
    await rig.waitForOpen(0);
    expect(getBody(await rig.send())).toBe("own");
    await rig.waitForOpen(0);
  });

  it("are not used for requests whose repetition does harm", async () => {
    const target = await startTarget();
    const instance = await RequestPath.startTestInstance("a", [target.address]);
    ends.push(instance.close, target.stop);
    const send = async (method: string, path: string) => {
      const res = await fetch(`http://${instance.address}/s/booking${path}`, {
        method,
        headers: {
          "anvilroute-key": RequestPath.KEY,
          "idempotency-key": instance.issueTicket(),
        },
      });
      expect(await res.text()).toBe("own");
    };
    await send("GET", "/bikes");
    await Wait.waitFor(() => target.getOpen() === 1, 2_000, "one that waits");
    await send("POST", "/bikes");
    await send("POST", "/bookings");
    await send("GET", "/bikes");
    expect(target.servedBy).toEqual([0, 2, 3, 1]);
  });
});
