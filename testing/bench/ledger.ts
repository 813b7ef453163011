/**
 * Cost of the ledger of tickets at three sizes: memory and claims a second.
 * The baseline is the smallest ledger.
 */
import * as Clock from "../../src/clock.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as Ledger from "../../src/once/ledger.ts";
import * as Memory from "./memory.ts";
import type * as Report from "./report.ts";

const SIZES = [1_000, 10_000, 50_000] as const;
/** An order's answer. */
const ANSWER_BYTES = 200;
/** Ids of tickets with names of middling length, and a SHA-256 in hex. */
const TICKET_ID_CHARS = 90;
const FINGERPRINT_CHARS = 64;
/** The setting's default, `limits.ledger_bytes`, and the node's limit of section 1.6. */
const LEDGER_BYTES = 16 * 1024 * 1024;
const MAX_MB = 32;

/** Flat text of the given length that differs for each `i`, as real ids are not built from parts that are kept. */
function createText(i: number, length: number): string {
  return Buffer.from(String(i).padStart(length, "0")).toString("latin1");
}

function createTicket(i: number) {
  return {
    id: createText(i, TICKET_ID_CHARS),
    issuer: "entry-1",
    incarnation: "incarnation-1",
    account: "bench",
    service: "order",
    expiresAtMs: Date.now() + 600_000,
    isExpired: false,
  };
}

function createAnswer(): Contracts.StoredResponse {
  return {
    status: 200,
    headers: [["content-type", "application/json"]],
    body: new Uint8Array(ANSWER_BYTES),
  };
}

/** Ledgers of all sizes: one that is freed during a later measurement would lower its figure. */
const kept: Ledger.LocalLedger[] = [];

async function measure(report: Report.Report, count: number): Promise<number> {
  const before = Memory.getUsedBytes();
  const ledger = Ledger.createLocalLedger({
    maxEntries: count,
    maxBytes: LEDGER_BYTES,
    clock: Clock.systemClock,
  });
  kept.push(ledger);
  const { signal } = new AbortController();
  const from = process.cpuUsage();
  for (let i = 0; i < count; i++) {
    const claim = await ledger.claim(
      createTicket(i),
      createText(i, FINGERPRINT_CHARS),
      signal,
    );
    if (claim.kind === "run") claim.run.markRan(createAnswer(), 200);
  }
  const cpu = process.cpuUsage(from);
  const memory = Memory.getUsedBytes() - before;
  const sweptAtMs = performance.now();
  ledger.sweep();
  const sweepMs = performance.now() - sweptAtMs;
  report.line({
    entries: ledger.getSize().entries,
    countedBytes: ledger.getSize().bytes,
    memoryMb: (memory / 1e6).toFixed(2),
    bytesPerEntry: Math.round(memory / ledger.getSize().entries),
    cpuUsPerClaim: ((cpu.user + cpu.system) / count).toFixed(1),
    sweepMs: sweepMs.toFixed(2),
  });
  return memory / 1e6;
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  let memoryMb = 0;
  for (const size of SIZES) memoryMb = await measure(report, size);
  report.figure({
    figure: "memory_of_full_ledger",
    value: memoryMb,
    unit: "MB",
    bound: MAX_MB,
    limit: "at-most",
  });
}
