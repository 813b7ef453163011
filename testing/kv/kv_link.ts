/** The link between one instance and one target, as a TCP proxy that tests can partition. */
import * as Net from "node:net";

/** What a partition does to the link. New connections are refused in each of them. */
export type Partition =
  /** Nothing passes on open connections. */
  | "hanging"
  /** Open connections are reset. */
  | "reset"
  /** Open connections live on. */
  | "refusing";

/** A running link. */
export interface KvLink {
  readonly address: string;
  partition(how: Partition): Promise<void>;
  heal(): Promise<void>;
  close(): Promise<void>;
}

/** Starts a link to the target's address. */
export async function startKvLink(target: string): Promise<KvLink> {
  const [host, port] = target.split(":");
  const pairs = new Set<readonly [Net.Socket, Net.Socket]>();
  const server = Net.createServer((near) => {
    const far = Net.connect({ host, port: Number(port), noDelay: true });
    const pair = [near, far] as const;
    pairs.add(pair);
    near.pipe(far);
    far.pipe(near);
    const end = () => {
      pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    for (const socket of pair) socket.on("error", end).on("close", end);
  });

  function listen(listenPort: number): Promise<void> {
    return new Promise((done) =>
      void server.listen(listenPort, "127.0.0.1", done)
    );
  }
  function stopListening(): Promise<void> {
    if (!server.listening) return Promise.resolve();
    // The callback comes only after open connections have ended.
    return new Promise((done) => {
      server.close();
      setImmediate(done);
    });
  }
  await listen(0);
  const { port: ownPort } = server.address() as Net.AddressInfo;

  function resetAll(): void {
    for (const [near, far] of pairs) {
      near.resetAndDestroy();
      far.destroy();
    }
  }

  return {
    address: `127.0.0.1:${ownPort}`,
    async partition(how) {
      await stopListening();
      if (how === "reset") resetAll();
      if (how !== "hanging") return;
      for (const [near, far] of pairs) {
        near.unpipe(far).pause();
        far.unpipe(near).pause();
      }
    },
    async heal() {
      resetAll();
      await listen(ownPort);
    },
    async close() {
      resetAll();
      await stopListening();
    },
  };
}
