/**
 * Doubly linked list. Promise: appending and removing take constant time, also
 * in the middle; a `Set` does not, because reading its first member skips the
 * places of removed ones.
 */

/** A place in a list; `value` stays readable after removal. */
export interface Node<V> {
  readonly value: V;
  readonly next: Node<V> | undefined;
  readonly isLinked: boolean;
}

/** List in order of appending. */
export interface LinkedList<V> {
  readonly first: Node<V> | undefined;
  readonly size: number;
  append(value: V): Node<V>;
  /** Does nothing when the node was removed before. */
  remove(node: Node<V>): void;
}

interface MutableNode<V> {
  readonly value: V;
  prev: MutableNode<V> | undefined;
  next: MutableNode<V> | undefined;
  isLinked: boolean;
}

/** Creates an empty list. */
export function createLinkedList<V>(): LinkedList<V> {
  let first: MutableNode<V> | undefined;
  let last: MutableNode<V> | undefined;
  let size = 0;

  function append(value: V): Node<V> {
    const node: MutableNode<V> = {
      value,
      prev: last,
      next: undefined,
      isLinked: true,
    };
    if (last === undefined) first = node;
    else last.next = node;
    last = node;
    size++;
    return node;
  }

  function remove(removed: Node<V>): void {
    const node = removed as MutableNode<V>;
    if (!node.isLinked) return;
    if (node.prev === undefined) first = node.next;
    else node.prev.next = node.next;
    if (node.next === undefined) last = node.prev;
    else node.next.prev = node.prev;
    node.isLinked = false;
    size--;
  }

  return {
    get first() {
      return first;
    },
    get size() {
      return size;
    },
    append,
    remove,
  };
}
