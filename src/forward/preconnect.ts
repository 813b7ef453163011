/**
 * Connections to targets, opened ahead of requests that may use them. Promise:
 * each carries one exchange, and none on which anything has happened since it
 * was opened; at most as many wait at a target as its limit says.
 *
 * What breaks it: a target that answers or closes an unused connection while
 * the request is on its way there. Such a target gets no connection ahead for a
 * while, and only requests that may be repeated use them.
 */
import type * as Net from "node:net";
import * as Undici from "undici";
import * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Well below the time in which servers give up on a connection without a
 * request (5 s and more), and below the 3 s in which a target's state is known.
 */
const MAX_AGE_MS = 2_000;
const SWEEP_MS = 250;
/** Bounds requests that are lost because a target closes unused connections early. */
const PAUSE_MS = 60_000;
/** Of all targets together, against a shortage of file descriptors. */
const MAX_WAITING = 512;

type Connector = Undici.buildConnector.connector;

/** Opens connections. */
export interface Preconnector {
  /** Opens a connection for one exchange. */
  readonly connect: Connector;
  /** Gives a connection that waits at the target, or opens one; `onGiven` tells of the former. */
  createConnect(address: Types.Address, onGiven: () => void): Connector;
  /** Opens a connection ahead unless `getLimit` of them wait; the limit is asked again while they wait. */
  open(address: Types.Address, getLimit: () => number): void;
  /** Number of connections that wait or are being opened. */
  getWaiting(): number;
  close(): void;
}

/** What to create. */
export interface PreconnectorOptions {
  /** Source IP of connections. */
  readonly localAddress?: string | undefined;
  readonly clock?: Clock.Clock;
}

/** A connection that waits for its request. */
interface Waiting {
  readonly socket: Net.Socket;
  readonly openedAtMs: number;
  readonly unwatch: () => void;
}

interface Target {
  getLimit: () => number;
  pausedUntilMs: number;
  readonly opening: Set<Net.Socket>;
  /** Oldest first. */
  readonly waiting: Waiting[];
}

/** Calls `onEvent` at the first event on the connection, whatever it is. */
function watch(socket: Net.Socket, onEvent: () => void): () => void {
  // Listening to "readable" also makes Node read, without which no event comes.
  const names = ["readable", "end", "close", "error"] as const;
  for (const name of names) socket.on(name, onEvent);
  return () => names.forEach((name) => void socket.off(name, onEvent));
}

function destroy(socket: Net.Socket): void {
  socket.on("error", () => {}).destroy();
}

/** Creates one without connections. */
export function createPreconnector(opts: PreconnectorOptions): Preconnector {
  const clock = opts.clock ?? Clock.systemClock;
  const connect = Undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const targets = new Map<Types.Address, Target>();
  let isClosed = false;

  const sweeper = setInterval(sweep, SWEEP_MS);
  sweeper.unref();

  function getWaiting(): number {
    let count = 0;
    for (const { opening, waiting } of targets.values()) {
      count += opening.size + waiting.length;
    }
    return count;
  }

  function discard({ socket, unwatch }: Waiting): void {
    unwatch();
    destroy(socket);
  }

  function isOld({ openedAtMs }: Waiting): boolean {
    return clock.nowMs() - openedAtMs >= MAX_AGE_MS;
  }

  /** Closes what is old or over the limit, which is 0 for a target that is leaving. */
  function sweep(): void {
    for (const [address, target] of targets) {
      const { opening, waiting } = target;
      const limit = target.getLimit();
      while (waiting[0] !== undefined) {
        if (!isOld(waiting[0]) && waiting.length <= limit) break;
        discard(waiting.shift()!);
      }
      const isIdle = opening.size + waiting.length === 0;
      if (isIdle && clock.nowMs() >= target.pausedUntilMs) {
        targets.delete(address);
      }
    }
  }

  function pause(target: Target): void {
    target.pausedUntilMs = clock.nowMs() + PAUSE_MS;
    for (const one of target.waiting.splice(0)) discard(one);
  }

  function keep(target: Target, socket: Net.Socket): void {
    const unwatch = watch(socket, () => {
      const at = target.waiting.findIndex((one) => one.socket === socket);
      if (at >= 0) target.waiting.splice(at, 1);
      unwatch();
      destroy(socket);
      pause(target);
    });
    target.waiting.push({ socket, unwatch, openedAtMs: clock.nowMs() });
  }

  function getTarget(address: Types.Address, getLimit: () => number): Target {
    const known = targets.get(address);
    if (known !== undefined) {
      known.getLimit = getLimit;
      return known;
    }
    const target: Target = {
      getLimit,
      pausedUntilMs: -Infinity,
      opening: new Set(),
      waiting: [],
    };
    targets.set(address, target);
    return target;
  }

  function open(address: Types.Address, getLimit: () => number): void {
    if (isClosed || getWaiting() >= MAX_WAITING) return;
    const target = getTarget(address, getLimit);
    if (clock.nowMs() < target.pausedUntilMs) return;
    const { opening, waiting } = target;
    if (opening.size + waiting.length >= getLimit()) return;
    const { hostname, port, host, protocol } = new URL(`http://${address}`);
    const { localAddress } = opts;
    // An IPv6 address is bracketed in a URL and nowhere else.
    const ip = hostname.replace(/^\[|\]$/g, "");
    const params = { hostname: ip, port, host, protocol, localAddress };
    // The types leave out that the connection is returned before it is open.
    const socket = connect(
      params as unknown as Undici.buildConnector.Options,
      (...[err]) => {
        opening.delete(socket);
        if (err !== null) pause(target);
        else if (isClosed || getLimit() === 0) destroy(socket);
        else keep(target, socket);
      },
    ) as unknown as Net.Socket;
    opening.add(socket);
  }

  /** The newest one that waits; the others are the first to grow old. */
  function tryTake(address: Types.Address): Waiting | undefined {
    const waiting = targets.get(address)?.waiting ?? [];
    for (;;) {
      const one = waiting.pop();
      if (one === undefined || !isOld(one)) return one;
      discard(one);
    }
  }

  function createConnect(
    address: Types.Address,
    onGiven: () => void,
  ): Connector {
    return (params, callback) => {
      const taken = tryTake(address);
      if (taken === undefined) return connect(params, callback);
      const give = () => {
        if (taken.socket.destroyed) return connect(params, callback);
        onGiven();
        callback(null, taken.socket);
        taken.unwatch();
      };
      // What the operating system has already received shows after the event
      // loop's next poll, which lies between two immediates.
      setImmediate(() => setImmediate(give));
    };
  }

  return {
    connect,
    createConnect,
    open,
    getWaiting,
    close() {
      isClosed = true;
      clearInterval(sweeper);
      for (const { opening, waiting } of targets.values()) {
        for (const socket of opening) destroy(socket);
        for (const one of waiting.splice(0)) discard(one);
      }
      targets.clear();
    },
  };
}
