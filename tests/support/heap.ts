/** Measures the memory that this process uses after a garbage collection. */
import * as V8 from "node:v8";
import * as Vm from "node:vm";

V8.setFlagsFromString("--expose-gc");
const collectGarbage = Vm.runInNewContext("gc") as () => void;

/** Returns the bytes of the heap and of buffers that are still referenced. */
export function getUsedBytes(): number {
  collectGarbage();
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
