/** Assertions on the program's own invariants. */

/** Default case of an exhaustive switch; throws when a case is not handled. */
export function assertNever(value: never): never {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`);
}

/** Throws when an invariant of the program is violated. */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(`assertion failed: ${message}`);
}
