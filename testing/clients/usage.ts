/** What a process uses, from the kernel's figures. */
import * as Fs from "node:fs";

const SAMPLE_MS = 20;
const BYTES_PER_KB = 1_024;

/** Highest figures of a process since the watch began. */
export interface UsageWatch {
  /** Highest resident memory since the process began, bytes; undefined when it has ended. */
  getPeakBytes(): number | undefined;
  /** Highest number of open descriptors seen. */
  getPeakDescriptors(): number;
  stop(): void;
}

/** Watches a process. */
export function watchUsage(pid: number): UsageWatch {
  let descriptors = 0;
  const timer = setInterval(() => {
    try {
      const count = Fs.readdirSync(`/proc/${pid}/fd`).length;
      descriptors = Math.max(descriptors, count);
    } catch {
      // The process has ended.
    }
  }, SAMPLE_MS);
  return {
    getPeakBytes() {
      try {
        const status = Fs.readFileSync(`/proc/${pid}/status`, "utf8");
        const match = /^VmHWM:\s+(\d+) kB$/m.exec(status);
        return match === null ? undefined : Number(match[1]) * BYTES_PER_KB;
      } catch {
        return undefined;
      }
    },
    getPeakDescriptors: () => descriptors,
    stop: () => clearInterval(timer),
  };
}
