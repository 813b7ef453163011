/**
 * Bounds the garbage of the heap by its live data. V8 chooses when to collect the old
 * generation from the memory of the machine, which others share; objects of requests
 * that waited for a target or their client are garbage there.
 */
import * as V8 from "node:v8";

/** Growth of the old generation from one collection to the next, percent of what lives. */
const MAX_GARBAGE_PERCENT = 100;

/** Lets the old generation at most double between collections; call before the first allocations of size. */
export function limitGarbage(): void {
  V8.setFlagsFromString(`--heap-growing-percent=${MAX_GARBAGE_PERCENT}`);
}
