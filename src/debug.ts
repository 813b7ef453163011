/** Assertions about the program itself. */

/** Ends an exhaustive switch; throws when a case was forgotten. */
export function assertNever(value: never): never {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`);
}

/** Throws when a condition that the program guarantees does not hold. */
export function assert(cond: boolean, message: string): asserts cond {
  if (!cond) throw new Error(`assertion failed: ${message}`);
}
