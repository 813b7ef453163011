import * as Http from "node:http";
import * as Net from "node:net";
import * as Stream from "node:stream";
import * as StreamConsumers from "node:stream/consumers";
import { afterEach, describe, expect, it } from "vitest";
import * as Body from "../src/forward/body.ts";
import * as MemoryBudget from "../src/memory_budget.ts";
import * as ResultCodes from "../src/result_codes.ts";
import * as Fakes from "../testing/fakes/request_path.ts";
import * as Requests from "../testing/fakes/requests.ts";

const BODY_BYTES = 200_000;

describe("memory for request bodies", () => {
  const { signal } = new AbortController();

  function createLimits(memoryBytes: number): Body.BodyLimits {
    return {
      maxBytes: 1_000_000,
      bufferBytes: 256 * 1024,
      memory: MemoryBudget.createMemoryBudget(memoryBytes),
    };
  }

  /** Creates a request whose body has the declared length, or is chunked; the test sends the data. */
  function createRequest(length?: number) {
    const data = new Stream.PassThrough();
    const headers = length === undefined
      ? { "transfer-encoding": "chunked" }
      : { "content-length": String(length) };
    const req = Object.assign(data, { headers });
    return { data, req: req as unknown as Http.IncomingMessage };
  }

  // Guards against a process that ends by its memory, with the requests of all callers in it.
  it("is given up for a body that does not fit, and free when its request has ended", async () => {
    const limits = createLimits(2.5 * 2 * BODY_BYTES);
    const requests = [1, 2, 3].map(() => createRequest(BODY_BYTES));
    const received = requests.map(({ req }) =>
      Body.readBody(req, limits, signal)
    );
    const rejected = await received[2]!;
    expect(rejected.isErr() && rejected.error.code).toBe(
      ResultCodes.codes.memoryFull,
    );
    for (const { data } of requests) data.end(Buffer.alloc(BODY_BYTES, "x"));
    const kept = await Promise.all(received.slice(0, 2));
    expect(limits.memory.getBytes()).toBe(2 * BODY_BYTES);
    for (const result of kept) result.unwrap().release();
    expect(limits.memory.getBytes()).toBe(0);
  });

  // Guards against a request that is sent with an empty body, as its memory was given up after its end was read.
  it("is not taken for that of a complete body once it was given up", async () => {
    const limits = createLimits(3 * BODY_BYTES);
    const other = limits.memory.open(() => {});
    other.keep();
    const results = [
      { done: false, value: Buffer.alloc(BODY_BYTES, "x") },
      { done: true, value: undefined },
    ];
    const next = () => {
      const result = results.shift();
      if (result?.done === true) {
        // Runs after the result was passed on and before the reader goes on.
        queueMicrotask(() => queueMicrotask(() => other.set(2.5 * BODY_BYTES)));
      }
      return Promise.resolve(result);
    };
    const req = {
      headers: { "transfer-encoding": "chunked" },
      [Symbol.asyncIterator]: () => ({ next }),
    } as unknown as Http.IncomingMessage;
    const received = await Body.readBody(req, limits, signal);
    expect(received.isErr() && received.error.code).toBe(
      ResultCodes.codes.memoryFull,
    );
  });

  it("holds a body until all that uses it has settled", async () => {
    const limits = createLimits(10 * BODY_BYTES);
    const { data, req } = createRequest();
    data.end(Buffer.alloc(BODY_BYTES, "x"));
    const { body, keepUntil, release } =
      (await Body.readBody(req, limits, signal)).unwrap();
    let finishUse = () => {};
    keepUntil(new Promise<void>((resolve) => finishUse = resolve));
    release();
    const getLength = () => body.kind === "whole" ? body.data.length : 0;
    expect(limits.memory.getBytes()).toBe(BODY_BYTES);
    expect(getLength()).toBe(BODY_BYTES);
    finishUse();
    await expect.poll(limits.memory.getBytes).toBe(0);
    expect(getLength()).toBe(0);
  });

  it("is free after a body that its caller cuts off", async () => {
    const limits = createLimits(10 * BODY_BYTES);
    const { data, req } = createRequest(BODY_BYTES);
    const received = Body.readBody(req, limits, signal);
    data.write(Buffer.alloc(BODY_BYTES / 2, "x"));
    data.destroy(new Error("aborted"));
    await expect(received).rejects.toThrow("aborted");
    expect(limits.memory.getBytes()).toBe(0);
  });
});

describe("the body of an at-most-once request", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0).toReversed()) await cleanup();
  });

  async function startTarget(handle: Http.RequestListener): Promise<string> {
    const server = Http.createServer(handle);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    cleanups.push(() => void server.close());
    const { port } = server.address() as Net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  // Guards against a run that goes on after its caller left, with a body that was released with the caller's request.
  it("reaches the target whole when the caller disconnects before it is sent", async () => {
    let shed: (() => void) | undefined;
    let sentBytes: number | undefined;
    const first = await startTarget((req, res) => {
      req.resume();
      shed = () => {
        res.writeHead(503, { "target-outcome": "not-run" });
        res.end();
      };
    });
    const second = await startTarget(async (req, res) => {
      sentBytes = (await StreamConsumers.buffer(req)).length;
      res.end();
    });
    const instance = await Fakes.startTestInstance("a1", [first, second]);
    cleanups.push(instance.close);
    const abort = new AbortController();
    const pending = Requests.sendBooking(
      instance.address,
      instance.issueTicket(),
      {
        headers: { "transfer-encoding": "chunked" },
        body: Buffer.alloc(BODY_BYTES, "x"),
        signal: abort.signal,
      },
    );
    await expect.poll(() => shed).toBeDefined();
    abort.abort();
    await expect(pending).rejects.toThrow();
    await expect.poll(() => instance.records.length).toBe(1);
    shed?.();
    await expect.poll(() => sentBytes).toBe(BODY_BYTES);
    await expect.poll(instance.deps.limits.memory.getBytes).toBe(0);
  });
});
