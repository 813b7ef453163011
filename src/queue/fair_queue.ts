/**
 * Fair queue over client accounts, one per service: deficit round robin with a
 * quantum of one request. Promise: of accounts that wait, none gets more than
 * one start more than another, whatever their rates; no entry starts after its
 * deadline or cancellation; every operation takes constant time.
 *
 * What breaks fairness: requests of very different cost, because each counts
 * as one.
 */
import * as Results from "ts-results-es";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as LinkedList from "./linked_list.ts";
import * as Turns from "./turns.ts";

/** Accounts whose first entry cannot start that one wake looks at. */
const MAX_BLOCKED_PER_WAKE = 16;

/** What a fair queue needs. */
export interface FairQueueOptions {
  readonly clock: Clock.Clock;
  /** Waiting entries per account and service; a full account refuses only itself. */
  readonly maxPerAccount: number;
  /** Recent mean time in ms that a started request takes; 0 when unknown. */
  readonly getServiceTimeMs: (service: Types.Service) => number;
}

/** Creates the queues of all services. */
export function createFairQueue<T>(
  opts: FairQueueOptions,
): Contracts.FairQueue<T> {
  const { clock } = opts;
  const services = new Map<Types.Service, Turns.ServiceQueue<T>>();

  function getQueue(service: Types.Service): Turns.ServiceQueue<T> {
    const known = services.get(service);
    if (known !== undefined) return known;
    const getServiceMs = () => opts.getServiceTimeMs(service);
    const created = Turns.createServiceQueue<T>(getServiceMs);
    services.set(service, created);
    return created;
  }

  /** Time within which an entry has to start so that its request can still end. */
  function getStartByMs(entry: Contracts.QueueEntry, now: number): number {
    const remainingMs = entry.deadlineAtMs - now;
    const serviceMs = opts.getServiceTimeMs(entry.service);
    // A service time near the deadline must not refuse everything.
    return entry.deadlineAtMs - Math.min(serviceMs, remainingMs / 2);
  }

  /** Upper bound of the wait of a new entry; 0 while the rate is unknown. */
  function estimateWaitMs(
    queue: Turns.ServiceQueue<T>,
    ahead: number,
    now: number,
  ): number {
    const intervalMs = queue.rate.tryGetIntervalMs(now);
    if (intervalMs === undefined) return 0;
    const accounts = queue.turns.size + (ahead === 0 ? 1 : 0);
    const rounds = (ahead + 1) * accounts;
    return Math.min(rounds, queue.length + 1) * intervalMs;
  }

  function refuse(detail: string): Results.Err<ResultCodes.Failure> {
    return ResultCodes.fail("queueFull", detail);
  }

  /** Refuses the first entries of an account whose time is over. */
  function dropExpired(
    queue: Turns.ServiceQueue<T>,
    accountQueue: Turns.AccountQueue<T>,
    now: number,
  ): void {
    for (;;) {
      const node = accountQueue.entries.first;
      if (node === undefined || now < node.value.startByMs) return;
      Turns.remove(queue, accountQueue.account, node);
      node.value.settle(refuse("waited until its deadline"));
    }
  }

  /** Starts an entry; one that throws is removed and fails alone. */
  function tryStartNode(
    queue: Turns.ServiceQueue<T>,
    account: Types.Account,
    node: LinkedList.Node<Turns.Waiting<T>>,
  ): T | undefined {
    try {
      return node.value.tryStart();
    } catch (err) {
      Turns.remove(queue, account, node);
      node.value.reject(err);
      return undefined;
    }
  }

  /** Tries the first entry of an account; false when it cannot start now. */
  function tryStartFirst(
    queue: Turns.ServiceQueue<T>,
    accountQueue: Turns.AccountQueue<T>,
  ): boolean {
    const now = clock.nowMs();
    dropExpired(queue, accountQueue, now);
    const node = accountQueue.entries.first;
    if (node === undefined) return true;
    const value = tryStartNode(queue, accountQueue.account, node);
    if (value === undefined) return !node.isLinked;
    queue.rate.countStart(now);
    Turns.remove(queue, accountQueue.account, node);
    Turns.passTurn(queue, accountQueue);
    node.value.settle(Results.Ok(value));
    return true;
  }

  /**
   * Goes round the accounts, from the one that waited longest, until all that it
   * sees are blocked. A blocked account keeps its place before those that start.
   */
  function pass(queue: Turns.ServiceQueue<T>): void {
    const { turns } = queue;
    let turn = queue.cursor ?? turns.first;
    let blocked = 0;
    while (turn !== undefined) {
      const next: typeof turn | undefined = turn.next;
      const isStarted = tryStartFirst(queue, turn.value);
      blocked = isStarted ? 0 : blocked + 1;
      turn = next?.isLinked ? next : turns.first;
      if (blocked >= Math.min(MAX_BLOCKED_PER_WAKE, turns.size)) break;
    }
    queue.cursor = turns.size > MAX_BLOCKED_PER_WAKE ? turn : undefined;
  }

  function wake(service: Types.Service): void {
    const queue = services.get(service);
    if (queue === undefined || queue.length === 0) return;
    queue.isWakeWanted = true;
    // A start may free a slot and wake the queue again.
    if (queue.isWaking) return;
    queue.isWaking = true;
    try {
      while (queue.isWakeWanted) {
        queue.isWakeWanted = false;
        pass(queue);
      }
    } finally {
      queue.isWaking = false;
    }
  }

  /** Waits in the queue; the deadline and the signal remove the entry. */
  function enqueue(
    queue: Turns.ServiceQueue<T>,
    entry: Contracts.QueueEntry,
    tryStart: () => T | undefined,
    startByMs: number,
  ): Promise<Results.Result<T, ResultCodes.Failure>> {
    return new Promise((resolve, fail) => {
      let timer: NodeJS.Timeout | undefined;
      const end = () => {
        clearTimeout(timer);
        entry.signal.removeEventListener("abort", onAbort);
      };
      const settle = (result: Results.Result<T, ResultCodes.Failure>) => {
        end();
        resolve(result);
      };
      const reject = (err: unknown) => {
        end();
        fail(err);
      };
      const waiting = { entry, tryStart, startByMs, settle, reject };
      const node = Turns.append(queue, waiting);
      const giveUp = (detail: string) => {
        Turns.remove(queue, entry.account, node);
        settle(refuse(detail));
      };
      const onAbort = () => giveUp("cancelled by the caller");
      const onTimer = () => {
        const leftMs = startByMs - clock.nowMs();
        if (leftMs <= 0) return giveUp("waited until its deadline");
        timer = setTimeout(onTimer, Math.ceil(leftMs));
      };
      entry.signal.addEventListener("abort", onAbort, { once: true });
      onTimer();
    });
  }

  function wait(
    entry: Contracts.QueueEntry,
    tryStart: () => T | undefined,
  ): Promise<Results.Result<T, ResultCodes.Failure>> {
    const { service, account, deadlineAtMs, signal } = entry;
    const now = clock.nowMs();
    const queue = getQueue(service);
    const giveUp = (detail: string) => Promise.resolve(refuse(detail));
    if (signal.aborted) return giveUp("cancelled by the caller");
    if (now >= deadlineAtMs) return giveUp("came after its deadline");
    if (queue.length === 0) {
      const value = tryStart();
      if (value !== undefined) return Promise.resolve(Results.Ok(value));
      queue.rate.beginBusy(now);
    }
    const ahead = queue.accounts.get(account)?.entries.size ?? 0;
    if (ahead >= opts.maxPerAccount) {
      return giveUp("the account's queue is full");
    }
    const startByMs = getStartByMs(entry, now);
    if (now + estimateWaitMs(queue, ahead, now) > startByMs) {
      return giveUp("the wait is longer than the deadline");
    }
    const result = enqueue(queue, entry, tryStart, startByMs);
    // Other entries may wait for another region than this one.
    if (ahead === 0 && queue.length > 1) wake(service);
    return result;
  }

  return {
    wait,
    wake,
    getLength: (service) => services.get(service)?.length ?? 0,
  };
}
