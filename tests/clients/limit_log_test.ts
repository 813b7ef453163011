import { describe, expect, it } from "vitest";
import * as Net from "node:net";
import * as LimitLog from "../../src/limit_log.ts";

const socket = {
  remoteAddress: "192.0.2.7",
  remotePort: 4_242,
} as Net.Socket;

describe("the log of exceeded limits", () => {
  // Guards against a crowd that fills the log, and against events that neither the counter nor a line has.
  it("counts each event, and writes at most 5 lines per limit in 10 s with the number of those left out", () => {
    let nowMs = 0;
    const counts = new Map<string, number>();
    const lines: Parameters<LimitLog.ReportExceeded>[0][] = [];
    const log = LimitLog.createLimitLog({
      count: (limit) => void counts.set(limit, (counts.get(limit) ?? 0) + 1),
      report: (event) => void lines.push(event),
      nowMs: () => nowMs,
    });
    for (let i = 0; i < 100; i++) log.record(socket, "body-rate");
    const line = { address: "192.0.2.7:4242", suppressed: 0 };
    const first = Array(5).fill({ limit: "body-rate", ...line });
    expect(lines).toEqual(first);
    log.record(socket, "head-time");
    expect(lines.at(-1)).toEqual({ limit: "head-time", ...line });
    nowMs = 10_001;
    log.record(socket, "body-rate");
    expect(lines.at(-1)?.suppressed).toBe(95);
    expect(lines).toHaveLength(7);
    expect([...counts]).toEqual([["body-rate", 101], ["head-time", 1]]);
  });
});
