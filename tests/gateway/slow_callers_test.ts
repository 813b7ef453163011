import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Heap from "../support/heap.ts";
import * as Rig from "../support/gateway_rig.ts";

const MB = 1_000_000;
/** A fifth of it is for responses. */
const MEMORY_BYTES = 200 * MB;
const BODY_BYTES = 16 * MB;
const CALLERS = 12;

describe("callers that do not read their responses", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const release of cleanups.splice(0).reverse()) await release();
  });

  /** Sends a request and reads nothing. */
  function sendWithoutReading(address: string, index: number): Net.Socket {
    const [host, port] = address.split(":");
    const socket = Net.connect({ host, port: Number(port) });
    socket.on("error", () => {}).pause();
    socket.write(
      `GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: slow-${index}\r\n` +
        `authorization: Bearer k1\r\ncookie: X-Affinity-Key=${index}\r\n\r\n`,
    );
    cleanups.push(() => socket.destroy());
    return socket;
  }

  // Guards against a process that runs out of memory, with the requests of all other callers in it.
  it("hold the memory for responses at most, while others are served", async () => {
    const fleet = await Rig.startFleet(
      (release) => void cleanups.push(release),
      { memoryBytes: MEMORY_BYTES },
    );
    for (const target of fleet.targets) target.setBodyBytes(BODY_BYTES);
    const before = Heap.getUsedBytes();
    const countEnded = () =>
      fleet.instances[0]!.lines.filter((line) =>
        /event=(?:answered|refused) id=slow-/.test(line)
      ).length;
    for (let i = 0; i < CALLERS; i++) {
      sendWithoutReading(fleet.front, i);
      await Rig.until("the request has ended", () => countEnded() > i);
    }
    expect(Heap.getUsedBytes() - before).toBeLessThan(
      MEMORY_BYTES * 0.2 + BODY_BYTES,
    );
    for (const target of fleet.targets) target.setBodyBytes(100);
    const response = await Rig.send(fleet.front, "/read/y");
    expect(response.status).toBe(200);
  });
});
