import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Rig from "../support/gateway_rig.ts";

const MB = 1_000_000;
/** Three tenths of it are for bodies. */
const MEMORY_BYTES = 40 * MB;
const BODY_BYTES = 5 * MB;
/** Bodies that fit into the memory at once. */
const FITTING = 2;

describe("large bodies at once", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const release of cleanups.splice(0).reverse()) await release();
  });

  /** Sends the head of an order and half of its body. */
  function beginOrder(address: string, id: string) {
    const [host, port] = address.split(":");
    const socket = Net.connect({ host, port: Number(port) });
    let received = "";
    socket.on("data", (chunk) => received += chunk.toString("latin1"));
    socket.on("error", () => {});
    cleanups.push(() => socket.destroy());
    socket.write(
      `POST /order/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\n` +
        `authorization: Bearer k1\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(BODY_BYTES / 2, "x"));
    return {
      getReceived: () => received,
      sendRest: () => void socket.write(Buffer.alloc(BODY_BYTES / 2, "x")),
    };
  }

  // Guards against a process that ends by its memory, with the orders of other callers in it.
  it("are rejected as not run beyond the memory for them, while others are served", async () => {
    const fleet = await Rig.startFleet(
      (release) => void cleanups.push(release),
      {
        memoryBytes: MEMORY_BYTES,
        config: Rig.formatConfig(1, { maxBodyBytes: 8 * MB }),
      },
    );
    const orders = ["a", "b", "c", "d"].map((id) =>
      beginOrder(fleet.front, `large-${id}`)
    );
    const countRejected = () =>
      orders.filter(({ getReceived }) =>
        /^HTTP\/1\.1 503 [^]*anvilroute-code: 135\r\n[^]*retry-after: /i.test(
          getReceived(),
        )
      ).length;
    await Rig.until(
      "what does not fit is rejected",
      () => countRejected() === orders.length - FITTING,
    );
    expect((await Rig.send(fleet.front, "/order/y")).status).toBe(200);
    for (const { sendRest } of orders) sendRest();
    await Rig.until(
      "the others are served",
      () =>
        orders.filter(({ getReceived }) =>
          getReceived().startsWith("HTTP/1.1 200 ")
        ).length === FITTING,
    );
    expect(countRejected()).toBe(orders.length - FITTING);
    const ran = fleet.targets.flatMap((target) => target.ran);
    expect(ran.filter((id) => id.startsWith("large-"))).toHaveLength(FITTING);
    const next = beginOrder(fleet.front, "large-next");
    next.sendRest();
    await Rig.until(
      "the memory is free again",
      () => next.getReceived().startsWith("HTTP/1.1 200 "),
    );
  });
});
