/**
 * Entries of a service that wait, by account, with the order of the accounts'
 * turns. Promise: adding, removing and passing the turn on take constant time,
 * and an account without entries takes no memory.
 */
import type * as Results from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import type * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as LinkedList from "./linked_list.ts";
import * as ServiceRate from "./service_rate.ts";

/** An entry that waits. */
export interface Waiting<T> {
  readonly entry: Contracts.QueueEntry;
  readonly tryStart: () => T | undefined;
  /** Monotonic ms after which a start would be useless. */
  readonly startByMs: number;
  settle(result: Results.Result<T, ResultCodes.Failure>): void;
  reject(err: unknown): void;
}

/** Entries of one account, in order of arrival. */
export interface AccountQueue<T> {
  readonly account: Types.Account;
  readonly entries: LinkedList.LinkedList<Waiting<T>>;
  turn: LinkedList.Node<AccountQueue<T>> | undefined;
}

/** Entries of one service. */
export interface ServiceQueue<T> {
  readonly accounts: Map<Types.Account, AccountQueue<T>>;
  /** Accounts with entries; the first has waited longest for its turn. */
  readonly turns: LinkedList.LinkedList<AccountQueue<T>>;
  readonly rate: ServiceRate.ServiceRate;
  length: number;
  /** Where the next wake goes on when the last one did not see all accounts. */
  cursor: LinkedList.Node<AccountQueue<T>> | undefined;
  isWaking: boolean;
  isWakeWanted: boolean;
}

/** Creates an empty queue. */
export function createServiceQueue<T>(
  getServiceMs: () => number,
): ServiceQueue<T> {
  return {
    accounts: new Map(),
    turns: LinkedList.createLinkedList(),
    rate: ServiceRate.createServiceRate(getServiceMs),
    length: 0,
    cursor: undefined,
    isWaking: false,
    isWakeWanted: false,
  };
}

function getAccountQueue<T>(
  queue: ServiceQueue<T>,
  account: Types.Account,
): AccountQueue<T> {
  const known = queue.accounts.get(account);
  if (known !== undefined) return known;
  const entries = LinkedList.createLinkedList<Waiting<T>>();
  const created = { account, entries, turn: undefined };
  queue.accounts.set(account, created);
  return created;
}

function endTurn<T>(
  queue: ServiceQueue<T>,
  accountQueue: AccountQueue<T>,
): void {
  const { turn } = accountQueue;
  if (turn === undefined) return;
  if (queue.cursor === turn) queue.cursor = turn.next;
  queue.turns.remove(turn);
  accountQueue.turn = undefined;
}

/** Adds an entry at the end of its account's queue. */
export function append<T>(
  queue: ServiceQueue<T>,
  waiting: Waiting<T>,
): LinkedList.Node<Waiting<T>> {
  const accountQueue = getAccountQueue(queue, waiting.entry.account);
  const node = accountQueue.entries.append(waiting);
  accountQueue.turn ??= queue.turns.append(accountQueue);
  queue.length++;
  return node;
}

/** Removes an entry; does nothing when it was removed before. */
export function remove<T>(
  queue: ServiceQueue<T>,
  account: Types.Account,
  node: LinkedList.Node<Waiting<T>>,
): void {
  const accountQueue = queue.accounts.get(account);
  if (accountQueue === undefined || !node.isLinked) return;
  accountQueue.entries.remove(node);
  queue.length--;
  if (accountQueue.entries.size > 0) return;
  endTurn(queue, accountQueue);
  queue.accounts.delete(account);
}

/** Moves an account that had its turn behind the others. */
export function passTurn<T>(
  queue: ServiceQueue<T>,
  accountQueue: AccountQueue<T>,
): void {
  if (accountQueue.turn === undefined) return;
  endTurn(queue, accountQueue);
  accountQueue.turn = queue.turns.append(accountQueue);
}
