/** Memory in use after a collection, so that differences show what a structure holds. */
import * as V8 from "node:v8";
import * as Vm from "node:vm";

V8.setFlagsFromString("--expose-gc");
const collect = Vm.runInNewContext("gc") as () => void;

/** Bytes of the heap and of buffers outside it. */
export function getUsedBytes(): number {
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
