/**
 * Doubly linked list. Guarantee: appending and removing take constant time, also
 * in the middle. A `Set` does not offer this, because reading its first member
 * has to skip the slots of removed members.
 */

/** A node of a list; `value` stays readable after the node is removed. */
export interface Node<V> {
  readonly value: V;
  readonly next: Node<V> | undefined;
  readonly isLinked: boolean;
}

/** A list in the order in which values were appended. */
export interface LinkedList<V> {
  readonly first: Node<V> | undefined;
  readonly size: number;
  append(value: V): Node<V>;
  /** Removes a node; does nothing when it is already removed. */
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

  function remove(nodeToRemove: Node<V>): void {
    const node = nodeToRemove as MutableNode<V>;
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
