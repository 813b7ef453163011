import * as ChildProcess from "node:child_process";
import * as Path from "node:path";
import * as Url from "node:url";
import * as Util from "node:util";
import { describe, expect, it } from "vitest";

const execFile = Util.promisify(ChildProcess.execFile);

const MB = 1_000_000;
const OBJECT_BYTES = 1_000;
const LIVE_OBJECTS = 20_000;
const LIVE_BYTES = LIVE_OBJECTS * OBJECT_BYTES;
const heapModule = Url.pathToFileURL(Path.resolve("dist/src/daemon/heap.js"));

/** Keeps the newest objects as requests in progress do, and prints the highest use of the old generation after its first collection. */
const program = `
  import * as V8 from "node:v8";
  import * as Heap from "${heapModule}";
  Heap.limitGarbage();
  const live = [];
  let hasCollected = false;
  let lastBytes = 0;
  let peakBytes = 0;
  for (let i = 0; i < ${LIVE_OBJECTS * 20}; i++) {
    live[i % ${LIVE_OBJECTS}] = new Array(${OBJECT_BYTES / 8}).fill(i);
    if (i % 50 !== 0) continue;
    await new Promise(setImmediate);
    const spaces = V8.getHeapSpaceStatistics();
    const space = spaces.find((space) => space.space_name === "old_space");
    const bytes = space.space_used_size;
    if (bytes < lastBytes - ${8 * MB}) hasCollected = true;
    if (hasCollected) peakBytes = Math.max(peakBytes, bytes);
    lastBytes = bytes;
  }
  console.log(peakBytes);
`;

describe("the heap of a daemon", () => {
  // Guards against a process that outgrows its machine by objects that nobody refers to any more.
  it("holds no more garbage than data, a little more while it collects", async () => {
    const args = ["--input-type=module", "--eval", program];
    const { stdout } = await execFile(process.execPath, args);
    const peakBytes = Number(stdout);
    expect(peakBytes).toBeGreaterThan(LIVE_BYTES);
    expect(peakBytes).toBeLessThan(LIVE_BYTES * 3.5);
  });
});
