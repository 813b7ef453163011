/** Crowds of clients that send raw bytes over many connections at once. */
import * as Net from "node:net";
import * as Clock from "../../src/clock.ts";

/** A client whose writes have been stuck for this time waits for the server. */
const STUCK_MS = 1_000;
const POLL_MS = 50;
/** Connections opened in one step; more at once only fill the server's accept queue. */
const CONNECT_BATCH = 50;
const CONNECT_PAUSE_MS = 10;

/** What a crowd sends and how. */
export interface CrowdOptions {
  readonly address: string;
  readonly count: number;
  /** Parts that the client with this index writes, each after the previous one was taken. */
  readonly createParts: (index: number) => Iterable<string | Buffer>;
  /** True if the clients read what they receive. */
  readonly isReading: boolean;
  /** Time between two parts, ms; 0 by default. */
  readonly pauseMs?: number;
}

/** A crowd that has begun to send. */
export interface Crowd {
  /** Resolves when each client has sent everything, was closed or is stuck; at the latest after `limitMs`. */
  settle(limitMs: number): Promise<void>;
  /** Connections that are open. */
  countOpen(): number;
  /** Closes all connections. */
  close(): void;
}

/** Starts a crowd; the clients never end their connections. */
export function startCrowd(opts: CrowdOptions): Crowd {
  const [host, port] = opts.address.split(":");
  const sockets = new Set<Net.Socket>();
  let pending = opts.count;
  let isClosed = false;
  let progressedAtMs = performance.now();

  async function runClient(index: number): Promise<void> {
    await Clock.sleep(Math.floor(index / CONNECT_BATCH) * CONNECT_PAUSE_MS);
    if (isClosed) return;
    const socket = Net.connect({ host, port: Number(port), noDelay: true });
    sockets.add(socket);
    const closed = new Promise<void>((resolve) =>
      socket.once("close", () => {
        sockets.delete(socket);
        resolve();
      })
    );
    socket.on("error", () => {});
    if (opts.isReading) socket.resume();
    else socket.pause();
    for (const part of opts.createParts(index)) {
      if (socket.destroyed) break;
      const taken = new Promise<void>((resolve) =>
        socket.write(part, () => resolve())
      );
      await Promise.race([taken, closed]);
      progressedAtMs = performance.now();
      if (opts.pauseMs !== undefined) await Clock.sleep(opts.pauseMs);
    }
    pending--;
  }

  for (let i = 0; i < opts.count; i++) void runClient(i);
  return {
    async settle(limitMs) {
      const untilMs = performance.now() + limitMs;
      progressedAtMs = performance.now();
      while (pending > 0 && performance.now() < untilMs) {
        if (performance.now() - progressedAtMs > STUCK_MS) return;
        await Clock.sleep(POLL_MS);
      }
    },
    countOpen: () => sockets.size,
    close() {
      isClosed = true;
      for (const socket of sockets) socket.destroy();
    },
  };
}
