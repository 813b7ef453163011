import * as Http from "node:http";
import type * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as Store from "../../platform/store.ts";

const MB = 1024 * 1024;
const PART = "x".repeat(64 * 1024);
const neverAborted = new AbortController().signal;

/** Writes to the response as fast as it is read, until its connection closes; returns the bytes so far. */
function writeEndlessly(res: Http.ServerResponse): () => number {
  let sentBytes = 0;
  const send = () => {
    do sentBytes += PART.length; while (!res.destroyed && res.write(PART));
  };
  res.on("drain", send);
  send();
  return () => sentBytes;
}

describe("responses of the store", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const release of cleanups.splice(0).reverse()) await release();
  });

  async function startStore(listener: Http.RequestListener) {
    const server = Http.createServer(listener);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    cleanups.push(() => {
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as Net.AddressInfo;
    const store = Store.createStore(`127.0.0.1:${port}`, "127.0.0.1");
    cleanups.push(store.close);
    return store;
  }

  // Guards against memory that a faulty store, or a stranger at its address, takes from requests.
  it("are given up if they have no end, with bounded memory", async () => {
    let getSentBytes = () => 0;
    const store = await startStore((_req, res) => {
      getSentBytes = writeEndlessly(res);
    });
    expect((await store.readAll("s/")).isErr()).toBe(true);
    expect(getSentBytes()).toBeLessThan(24 * MB);
  });

  it("are given up if their pages have no end", async () => {
    const value = Buffer.alloc(MB, "v").toString("base64");
    let pages = 0;
    const store = await startStore((_req, res) => {
      pages++;
      const items = [{ key: `s/${pages}`, value, rev: pages }];
      res.end(JSON.stringify({ asOf: 1, hasMore: true, items }));
    });
    expect((await store.readAll("s/")).isErr()).toBe(true);
    expect(pages).toBeLessThan(50);
  });

  // Guards against a watch that is repeated without end, because its response stays too long.
  it("count as lost history if a watch reports more than a response may hold", async () => {
    const value = Buffer.alloc(MB, "v").toString("base64");
    const events = Array.from(
      { length: 12 },
      (_, i) => ({ key: `s/${i}`, value, rev: i + 1 }),
    );
    const store = await startStore((_req, res) =>
      res.end(JSON.stringify({ asOf: 12, events }))
    );
    const watched = await store.watch("s/", 1, 1, neverAborted);
    expect(watched.unwrap().kind).toBe("history-gone");
  });
});
