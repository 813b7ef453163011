/**
 * Fair queue over client accounts, one per service: deficit round robin with a
 * quantum of one request. Guarantees: among accounts with queued entries, no
 * account gets more than one start more than another, whatever their rates; no
 * entry starts after its deadline or cancellation; every operation takes
 * constant time.
 *
 * Limitation: the queue is not fair between requests of very different cost,
 * because every request counts as one.
 */
import * as Results from "ts-results-es";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as LinkedList from "./linked_list.ts";
import * as AccountQueues from "./account_queues.ts";

/** A pass over the accounts ends after this many in a row whose first entry cannot start. */
const MAX_BLOCKED_PER_WAKE = 16;

/** Options of `createFairQueue`. */
export interface FairQueueOptions {
  readonly clock: Clock.Clock;
  /** Maximum number of queued entries per account and service; an account at this limit does not affect the others. */
  readonly maxPerAccount: number;
  /** Recent mean time in ms from the start of a request to its end; 0 when unknown. */
  readonly getServiceTimeMs: (service: Types.Service) => number;
}

/** Creates the queues of all services. */
export function createFairQueue<T>(
  opts: FairQueueOptions,
): Contracts.FairQueue<T> {
  const { clock } = opts;
  const services = new Map<Types.Service, AccountQueues.ServiceQueue<T>>();

  function getQueue(service: Types.Service): AccountQueues.ServiceQueue<T> {
    const existing = services.get(service);
    if (existing !== undefined) return existing;
    const getServiceTimeMs = () => opts.getServiceTimeMs(service);
    const created = AccountQueues.createServiceQueue<T>(getServiceTimeMs);
    services.set(service, created);
    return created;
  }

  /** Returns the latest monotonic ms at which an entry can start so that its request still ends before the deadline. */
  function getStartByMs(entry: Contracts.QueueEntry, now: number): number {
    const remainingMs = entry.deadlineAtMs - now;
    const serviceMs = opts.getServiceTimeMs(entry.service);
    // Without the bound, a service time close to the deadline would reject every request.
    return entry.deadlineAtMs - Math.min(serviceMs, remainingMs / 2);
  }

  /** Estimates an upper bound in ms for the wait of a new entry; 0 while the rate of starts is unknown. */
  function estimateWaitMs(
    queue: AccountQueues.ServiceQueue<T>,
    entriesAhead: number,
    now: number,
  ): number {
    const intervalMs = queue.rate.tryGetIntervalMs(now);
    if (intervalMs === undefined) return 0;
    const accountCount = queue.rotation.size + (entriesAhead === 0 ? 1 : 0);
    const startsNeeded = (entriesAhead + 1) * accountCount;
    return Math.min(startsNeeded, queue.length + 1) * intervalMs;
  }

  function rejectQueueFull(detail: string): Results.Err<ResultCodes.Failure> {
    return ResultCodes.fail("queueFull", detail);
  }

  /** Rejects the entries at the head of an account's queue that can no longer start before their deadline. */
  function rejectExpired(
    queue: AccountQueues.ServiceQueue<T>,
    accountQueue: AccountQueues.AccountQueue<T>,
    now: number,
  ): void {
    for (;;) {
      const node = accountQueue.entries.first;
      if (node === undefined || now < node.value.startByMs) return;
      AccountQueues.remove(queue, accountQueue.account, node);
      node.value.settle(rejectQueueFull("waited until its deadline"));
    }
  }

  /** Tries to start an entry; an exception in `tryStart` removes and rejects only this entry. */
  function tryStartNode(
    queue: AccountQueues.ServiceQueue<T>,
    account: Types.Account,
    node: LinkedList.Node<AccountQueues.WaitingEntry<T>>,
  ): T | undefined {
    try {
      return node.value.tryStart();
    } catch (err) {
      AccountQueues.remove(queue, account, node);
      node.value.reject(err);
      return undefined;
    }
  }

  /** Tries to start the first entry of an account; false when it cannot start now. */
  function tryStartFirst(
    queue: AccountQueues.ServiceQueue<T>,
    accountQueue: AccountQueues.AccountQueue<T>,
  ): boolean {
    const now = clock.nowMs();
    rejectExpired(queue, accountQueue, now);
    const node = accountQueue.entries.first;
    if (node === undefined) return true;
    const value = tryStartNode(queue, accountQueue.account, node);
    if (value === undefined) return !node.isLinked;
    queue.rate.recordStart(now);
    AccountQueues.remove(queue, accountQueue.account, node);
    AccountQueues.moveToRotationEnd(queue, accountQueue);
    node.value.settle(Results.Ok(value));
    return true;
  }

  /**
   * Starts entries in round-robin order, beginning with the account that has
   * waited longest, until the first entries of all visited accounts are blocked.
   * A blocked account stays ahead of the accounts that started an entry.
   */
  function startEntries(queue: AccountQueues.ServiceQueue<T>): void {
    const { rotation } = queue;
    let accountNode = queue.cursor ?? rotation.first;
    let blockedCount = 0;
    while (accountNode !== undefined) {
      const next: typeof accountNode | undefined = accountNode.next;
      const isStarted = tryStartFirst(queue, accountNode.value);
      blockedCount = isStarted ? 0 : blockedCount + 1;
      accountNode = next?.isLinked ? next : rotation.first;
      if (blockedCount >= Math.min(MAX_BLOCKED_PER_WAKE, rotation.size)) break;
    }
    queue.cursor = rotation.size > MAX_BLOCKED_PER_WAKE
      ? accountNode
      : undefined;
  }

  function wake(service: Types.Service): void {
    const queue = services.get(service);
    if (queue === undefined || queue.length === 0) return;
    queue.isWakePending = true;
    // A start may free a slot, which wakes the queue again during this call.
    if (queue.isWaking) return;
    queue.isWaking = true;
    try {
      while (queue.isWakePending) {
        queue.isWakePending = false;
        startEntries(queue);
      }
    } finally {
      queue.isWaking = false;
    }
  }

  /** Appends an entry to the queue; it is removed and rejected at `startByMs` or when its signal aborts. */
  function enqueue(
    queue: AccountQueues.ServiceQueue<T>,
    entry: Contracts.QueueEntry,
    tryStart: () => T | undefined,
    startByMs: number,
  ): Promise<Results.Result<T, ResultCodes.Failure>> {
    return new Promise((resolve, rejectPromise) => {
      let timer: NodeJS.Timeout | undefined;
      const cleanUp = () => {
        clearTimeout(timer);
        entry.signal.removeEventListener("abort", onAbort);
      };
      const settle = (result: Results.Result<T, ResultCodes.Failure>) => {
        cleanUp();
        resolve(result);
      };
      const reject = (err: unknown) => {
        cleanUp();
        rejectPromise(err);
      };
      const waitingEntry = { entry, tryStart, startByMs, settle, reject };
      const node = AccountQueues.append(queue, waitingEntry);
      const cancel = (detail: string) => {
        AccountQueues.remove(queue, entry.account, node);
        settle(rejectQueueFull(detail));
      };
      const onAbort = () => cancel("cancelled by the caller");
      const onTimer = () => {
        const remainingMs = startByMs - clock.nowMs();
        if (remainingMs <= 0) return cancel("waited until its deadline");
        timer = setTimeout(onTimer, Math.ceil(remainingMs));
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
    const rejectNow = (detail: string) =>
      Promise.resolve(rejectQueueFull(detail));
    if (signal.aborted) return rejectNow("cancelled by the caller");
    if (now >= deadlineAtMs) return rejectNow("came after its deadline");
    if (queue.length === 0) {
      const value = tryStart();
      if (value !== undefined) return Promise.resolve(Results.Ok(value));
      queue.rate.beginBusyPeriod(now);
    }
    const entriesAhead = queue.accounts.get(account)?.entries.size ?? 0;
    if (entriesAhead >= opts.maxPerAccount) {
      return rejectNow("the account's queue is full");
    }
    const startByMs = getStartByMs(entry, now);
    if (now + estimateWaitMs(queue, entriesAhead, now) > startByMs) {
      return rejectNow("the wait is longer than the deadline");
    }
    const result = enqueue(queue, entry, tryStart, startByMs);
    // This entry may be able to start in another region than the entries before it.
    if (entriesAhead === 0 && queue.length > 1) wake(service);
    return result;
  }

  return {
    wait,
    wake,
    getLength: (service) => services.get(service)?.length ?? 0,
  };
}
