/**
 * Queued entries of a service by account, and the round-robin rotation of the
 * accounts. Guarantees: adding an entry, removing one and moving an account to
 * the end of the rotation take constant time, and an account without entries
 * uses no memory.
 */
import type * as Results from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import type * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as LinkedList from "./linked_list.ts";
import * as ServiceRate from "./service_rate.ts";

/** A queued entry. */
export interface WaitingEntry<T> {
  readonly entry: Contracts.QueueEntry;
  readonly tryStart: () => T | undefined;
  /** Monotonic ms after which the request could not end before its deadline. */
  readonly startByMs: number;
  settle(result: Results.Result<T, ResultCodes.Failure>): void;
  reject(err: unknown): void;
}

/** Queued entries of one account, in order of arrival. */
export interface AccountQueue<T> {
  readonly account: Types.Account;
  readonly entries: LinkedList.LinkedList<WaitingEntry<T>>;
  /** Node of the account in the rotation; undefined while it is not in it. */
  rotationNode: LinkedList.Node<AccountQueue<T>> | undefined;
}

/** Queued entries of one service. */
export interface ServiceQueue<T> {
  readonly accounts: Map<Types.Account, AccountQueue<T>>;
  /** Accounts with queued entries in round-robin order; the first one has waited longest. */
  readonly rotation: LinkedList.LinkedList<AccountQueue<T>>;
  /** Rate at which entries of this queue start. */
  readonly rate: ServiceRate.ServiceRate;
  /** Number of queued entries. */
  length: number;
  /** Node at which the next wake continues when the last one did not visit all accounts. */
  cursor: LinkedList.Node<AccountQueue<T>> | undefined;
  /** True while a wake runs. */
  isWaking: boolean;
  /** True when a further pass over the accounts is needed. */
  isWakePending: boolean;
}

/** Creates an empty queue. */
export function createServiceQueue<T>(
  getServiceTimeMs: () => number,
): ServiceQueue<T> {
  return {
    accounts: new Map(),
    rotation: LinkedList.createLinkedList(),
    rate: ServiceRate.createServiceRate(getServiceTimeMs),
    length: 0,
    cursor: undefined,
    isWaking: false,
    isWakePending: false,
  };
}

function getAccountQueue<T>(
  queue: ServiceQueue<T>,
  account: Types.Account,
): AccountQueue<T> {
  const existing = queue.accounts.get(account);
  if (existing !== undefined) return existing;
  const entries = LinkedList.createLinkedList<WaitingEntry<T>>();
  const created = { account, entries, rotationNode: undefined };
  queue.accounts.set(account, created);
  return created;
}

function removeFromRotation<T>(
  queue: ServiceQueue<T>,
  accountQueue: AccountQueue<T>,
): void {
  const { rotationNode } = accountQueue;
  if (rotationNode === undefined) return;
  if (queue.cursor === rotationNode) queue.cursor = rotationNode.next;
  queue.rotation.remove(rotationNode);
  accountQueue.rotationNode = undefined;
}

/** Adds an entry at the end of its account's queue. */
export function append<T>(
  queue: ServiceQueue<T>,
  waitingEntry: WaitingEntry<T>,
): LinkedList.Node<WaitingEntry<T>> {
  const accountQueue = getAccountQueue(queue, waitingEntry.entry.account);
  const node = accountQueue.entries.append(waitingEntry);
  accountQueue.rotationNode ??= queue.rotation.append(accountQueue);
  queue.length++;
  return node;
}

/** Removes an entry; does nothing when it is already removed. */
export function remove<T>(
  queue: ServiceQueue<T>,
  account: Types.Account,
  node: LinkedList.Node<WaitingEntry<T>>,
): void {
  const accountQueue = queue.accounts.get(account);
  if (accountQueue === undefined || !node.isLinked) return;
  accountQueue.entries.remove(node);
  queue.length--;
  if (accountQueue.entries.size > 0) return;
  removeFromRotation(queue, accountQueue);
  queue.accounts.delete(account);
}

/** Moves an account that started an entry to the end of the rotation. */
export function moveToRotationEnd<T>(
  queue: ServiceQueue<T>,
  accountQueue: AccountQueue<T>,
): void {
  if (accountQueue.rotationNode === undefined) return;
  removeFromRotation(queue, accountQueue);
  accountQueue.rotationNode = queue.rotation.append(accountQueue);
}
