/** Processor time, memory and bytes of a process that a bench started, from Linux' /proc. */
import * as Fs from "node:fs";

/** USER_HZ, fixed on Linux. */
const TICKS_PER_S = 100;
const STAT_UTIME = 11;
const STAT_STIME = 12;

/** What a process has used since its start. */
export interface Usage {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly rssMb: number;
  /** Bytes of all reads and writes, sockets included. */
  readonly readBytes: number;
  readonly writtenBytes: number;
  /** Times that the main thread went to wait. */
  readonly waits: number;
}

/** Use between two readings. */
export interface UsageRate {
  readonly seconds: number;
  /** 100 is one core. */
  readonly cpuPercent: number;
  readonly rssMb: number;
  readonly readBytesPerS: number;
  readonly writtenBytesPerS: number;
  /** Wake-ups of the main thread; unlike processor time they hardly depend on other load. */
  readonly wakeupsPerS: number;
}

function getNumber(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s*(\\d+)`, "m").exec(text)?.[1] ?? 0);
}

/** Reads the use of the process; throws when it has ended. */
export function readUsage(pid: number): Usage {
  const stat = Fs.readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name in brackets may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[STAT_UTIME]) + Number(fields[STAT_STIME]);
  const status = Fs.readFileSync(`/proc/${pid}/status`, "utf8");
  const io = Fs.readFileSync(`/proc/${pid}/io`, "utf8");
  return {
    atMs: performance.now(),
    cpuMs: ticks * 1_000 / TICKS_PER_S,
    rssMb: getNumber(status, "VmRSS") * 1_024 / 1e6,
    readBytes: getNumber(io, "rchar"),
    writtenBytes: getNumber(io, "wchar"),
    waits: getNumber(status, "voluntary_ctxt_switches"),
  };
}

/** Rates between two readings of one process. */
export function getRate(from: Usage, to: Usage): UsageRate {
  const seconds = (to.atMs - from.atMs) / 1_000;
  return {
    seconds,
    cpuPercent: (to.cpuMs - from.cpuMs) / seconds / 10,
    rssMb: to.rssMb,
    readBytesPerS: (to.readBytes - from.readBytes) / seconds,
    writtenBytesPerS: (to.writtenBytes - from.writtenBytes) / seconds,
    wakeupsPerS: (to.waits - from.waits) / seconds,
  };
}
