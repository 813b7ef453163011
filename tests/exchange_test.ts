import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Exchange from "../src/forward/exchange.ts";

const BODY = "x".repeat(2_000);

describe("an answer on a connection that its target closes", () => {
  let server: Net.Server | undefined;
  afterEach(() => void server?.close());

  /** Answers each connection with `head` and the body, and closes it in the same write. */
  async function startTarget(head: string): Promise<string> {
    server = Net.createServer((socket) => {
      socket.on("error", () => {});
      socket.once(
        "data",
        () => socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${BODY}`),
      );
    });
    await new Promise<void>((done) => server?.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${(server?.address() as Net.AddressInfo).port}`;
  }

  const length = `content-length: ${BODY.length}\r\n`;
  const cases = [
    ["of known length", `${length}connection: close\r\n`],
    ["that ends with the connection", ""],
  ] as const;
  for (const [name, head] of cases) {
    it(`${name} is whole and does not end the process while a link holds it back`, async () => {
      const address = await startTarget(head);
      const exchanger = Exchange.createExchanger({ bufferBytes: 256 * 1024 });
      const sink = { start: () => {}, write: () => Promise.resolve() };
      const held = async () =>
        await new Promise<void>((done) => setTimeout(done, 5));
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
              exchanger.exchange(req, sink, AbortSignal.timeout(3_000), held),
          ),
        );
        const whole = results.filter((one) =>
          one.kind === "answer" && one.answer.body.toString() === BODY
        );
        expect(whole.length).toBe(20);
      }
      await exchanger.close();
    });
  }
});
