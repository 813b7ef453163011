import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Exchange from "../src/forward/exchange.ts";

const BODY = "x".repeat(2_000);

describe("a response on a connection that its target closes", () => {
  let server: Net.Server | undefined;
  afterEach(() => void server?.close());

  /** Responds to each connection with `head` and the body, and closes it in the same write. */
  async function startTarget(head: string): Promise<string> {
    server = Net.createServer((socket) => {
      socket.on("error", () => {});
      socket.once(
        "data",
        () => socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${BODY}`),
      );
    });
    await new Promise<void>((resolve) =>
      server?.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(server?.address() as Net.AddressInfo).port}`;
  }

  const lengthHeader = `content-length: ${BODY.length}\r\n`;
  const cases = [
    ["with a known length", `${lengthHeader}connection: close\r\n`],
    ["without a length", ""],
  ] as const;
  for (const [name, head] of cases) {
    it(`${name} arrives completely and does not crash the process while a link budget delays it`, async () => {
      const address = await startTarget(head);
      const exchanger = Exchange.createExchanger({ bufferBytes: 256 * 1024 });
      const sink = { start: () => {}, write: () => Promise.resolve() };
      const throttle = async () =>
        await new Promise<void>((resolve) => setTimeout(resolve, 5));
      for (const isRead of [true, false]) {
        const req = {
          address,
          method: "GET",
          path: "/",
          headers: [["host", address]] as const,
          body: { kind: "none" } as const,
          isRead,
        };
        const results = await Promise.all(
          Array.from(
            { length: 20 },
            () =>
              exchanger.exchange(
                req,
                sink,
                AbortSignal.timeout(3_000),
                throttle,
              ),
          ),
        );
        const complete = results.filter((result) =>
          result.kind === "response" &&
          result.response.body.toString() === BODY
        );
        expect(complete.length).toBe(20);
      }
      await exchanger.close();
    });
  }
});
