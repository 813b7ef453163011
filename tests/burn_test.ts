import * as Fs from "node:fs";
import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as Baseline from "./support/baseline.ts";
import * as Classify from "../src/burn/classify.ts";
import * as Html from "../src/burn/html.ts";
import * as Report from "../src/burn/report.ts";
import * as Snapshot from "../src/burn/snapshot.ts";
import * as Text from "../src/burn/text.ts";
import type * as Contracts from "../src/contracts.ts";
import * as LatencyEncoding from "../src/metrics/latency_encoding.ts";
import * as Metrics from "../src/metrics/metrics.ts";
import * as Table from "../src/table/table.ts";

const START_MS = 1_800_000_000_000;
const table = Table.parseTable(
  Fs.readFileSync("examples/tende/table.csv", "utf8"),
  4,
).unwrap();

function createTestMetrics(instance: string) {
  let nowWallMs = START_MS;
  const clock = { nowMs: () => nowWallMs - START_MS, wallMs: () => nowWallMs };
  const metrics = Metrics.createMetrics({
    clock,
    instance,
    encodeLatency: LatencyEncoding.encodeHistogram,
  });
  const record = (
    account: string,
    count: number,
    overrides: Partial<Contracts.RequestRecord> = {},
  ) => {
    for (let i = 0; i < count; i++) {
      metrics.record({
        service: "order",
        account,
        status: 200,
        codeNumber: 0,
        outcome: "answered",
        latencyMs: 10 + i % 10,
        ...overrides,
      });
    }
  };
  const snapshot = () =>
    Snapshot.tryReadSnapshot(
      JSON.parse(JSON.stringify(metrics.getBurnSnapshot())),
    )!;
  return {
    metrics,
    record,
    snapshot,
    advance: (ms: number) => void (nowWallMs += ms),
  };
}

const REJECTED = { outcome: "not-run", codeNumber: 120, status: 429 } as const;

function getReport(
  instances: readonly ReturnType<typeof createTestMetrics>[],
): Report.BurnReport {
  return Report.createReport({
    table,
    objectives: Report.DEFAULT_OBJECTIVES,
    snapshots: instances.map((metrics) => metrics.snapshot()),
    missing: [{ instance: "c1", reason: "E201 peer-unreachable" }],
    nowWallMs: START_MS,
  });
}

/**
 * Records 20 minutes at two instances: a large account exceeds its rate at both,
 * and a small account (shepherd-rossi) is rejected within its rate at one of them.
 */
function recordTwoInstances() {
  const [a, b] = [createTestMetrics("a1"), createTestMetrics("b1")];
  for (let minute = 0; minute < 20; minute++) {
    for (const source of [a, b]) {
      source.record("outfitters-milano", 2400);
      source.record("outfitters-milano", 3000, REJECTED);
      source.record("public", 100);
      source.record("shepherd-rossi", 4, { latencyMs: 4000 });
    }
    if (minute >= 10) b.record("shepherd-rossi", 2, REJECTED);
    a.advance(60_000);
    b.advance(60_000);
  }
  a.record("alpine-club", 1, { outcome: "unknown", codeNumber: 116 });
  a.record("alpine-club", 999);
  a.record("alpine-club", 5, { ...REJECTED, codeNumber: 110, status: 428 });
  return [a, b];
}

describe("the burn report", () => {
  it("lists the worst-served account first regardless of its size; otherwise operators would overlook small accounts", () => {
    const report = getReport(recordTwoInstances());
    expect(report.rows.map((row) => row.account)).toEqual([
      "shepherd-rossi",
      "alpine-club",
      "outfitters-milano",
      "public",
    ]);
    const shepherdRow = report.rows[0]!;
    expect(shepherdRow.totals.wrongful).toBe(20);
    expect(shepherdRow.isFast && shepherdRow.isSlow).toBe(true);
    Baseline.expectBaseline("burn_report.txt", Text.formatText(report));
  });

  it("sums the instances before it classifies rejections; each instance alone stays within the limit and its rejections would count as wrongful", () => {
    const [a, b] = [createTestMetrics("a1"), createTestMetrics("b1")];
    // shepherd-rossi: rate 4/s and burst 20, so at most 60 requests in one window.
    for (const source of [a, b]) source.record("shepherd-rossi", 30);
    for (const source of [a, b]) source.record("shepherd-rossi", 10, REJECTED);
    const [row] = getReport([a, b]).rows;
    expect(row?.totals).toMatchObject({ rightful: 20, wrongful: 0 });
  });

  it("counts rejections for invalid requests separately, because no limit would have admitted these requests", () => {
    const row = getReport(recordTwoInstances()).rows[1]!;
    expect(row.totals).toMatchObject({ callerFaults: 5, wrongful: 0, bad: 1 });
  });

  it("does not grant the full burst again in each window; otherwise rejections of an account above its rate would count as wrongful", () => {
    const window = (number: number, answered: number, refused: number) => ({
      number,
      answered,
      ran: 0,
      unknown: 0,
      cancelled: 0,
      refused: new Map([[120, refused]]),
    });
    const limit = { rate: 10, burst: 50 };
    const steady = [window(1, 150, 500), window(2, 100, 500)];
    const verdicts = Classify.classifyWindows(steady, limit);
    expect(verdicts.map((verdict) => verdict.wrongful)).toEqual([0, 0]);
    // Ten idle seconds refill the whole burst of 50 tokens.
    const laterVerdicts = Classify.classifyWindows([
      ...steady,
      window(4, 100, 80),
    ], limit);
    expect(laterVerdicts[2]?.wrongful).toBe(50);
  });

  it("never classifies more rejections as wrongful than a token bucket with the rate and burst would have admitted", () => {
    const windowArbitrary = FastCheck.tuple(
      FastCheck.integer({ min: 0, max: 3 }),
      FastCheck.nat(300),
      FastCheck.nat(300),
    );
    const limit = { rate: 10, burst: 50 };
    FastCheck.assert(
      FastCheck.property(FastCheck.array(windowArbitrary), (steps) => {
        let number = 0;
        const windows = steps.map(([gapWindows, answered, refused]) => {
          number += gapWindows + 1;
          const noOtherOutcomes = { ran: 0, unknown: 0, cancelled: 0 };
          const refusedByCode = new Map([[120, refused]]);
          return {
            ...noOtherOutcomes,
            number,
            answered,
            refused: refusedByCode,
          };
        });
        const verdicts = Classify.classifyWindows(windows, limit);
        windows.forEach((window, i) => {
          const { wrongful, rightful } = verdicts[i]!;
          expect(wrongful + rightful).toBe(window.refused.get(120));
          if (wrongful === 0) return;
          const available = limit.burst + limit.rate * 10 - window.answered;
          expect(wrongful).toBeLessThanOrEqual(available);
        });
        const sum = verdicts.reduce(
          (total, verdict) => total + verdict.wrongful,
          0,
        );
        const elapsedS = (number - (windows[0]?.number ?? 0) + 1) * 10;
        expect(sum).toBeLessThanOrEqual(limit.burst + limit.rate * elapsedS);
      }),
    );
  });

  it("formats one page that loads no other resources and escapes names that callers choose; otherwise a caller could inject scripts", () => {
    const a = createTestMetrics("a1");
    a.record("<script>", 1);
    const html = Html.formatHtml(getReport([a]));
    expect(html).not.toMatch(/<script|src=|href=|url\(|@import/);
    expect(html).toContain("&lt;script&gt;");
    expect(html).toContain("<svg");
  });

  it("labels the scale and time of each plot and every column of the table", () => {
    const a = createTestMetrics("a1");
    a.record("alpine-club", 7);
    a.record("alpine-club", 5, REJECTED);
    a.advance(240_000);
    const html = Html.formatHtml(getReport([a]));
    expect(html).toContain("Requests per 10 s, last 5 minutes");
    expect(html).toContain("requests per 10 s, at most 20");
    const times = [...html.matchAll(/<span>(\d\d:\d\d:\d\d)<\/span>/g)];
    expect(times).toHaveLength(3);
    expect(html).toContain("refused order alpine-club: E120 5");
    const [, head = "", body = ""] =
      /<thead>(.*)<\/thead><tbody>\n(.*)\n<\/tbody>/.exec(html) ?? [];
    const single = head.match(/<th [^>]*rowspan/g) ?? [];
    const rates = head.match(/<th>/g) ?? [];
    const cells = body.match(/<td/g) ?? [];
    expect(cells.length).toBe(single.length + rates.length);
  });

  it("rejects a malformed snapshot; otherwise the report would contain wrong numbers", () => {
    const validSnapshot = createTestMetrics("a1").snapshot();
    expect(Snapshot.tryReadSnapshot({ ...validSnapshot, series: [1] }))
      .toBeUndefined();
    expect(Snapshot.tryReadSnapshot(undefined)).toBeUndefined();
  });
});

describe("the metrics of an instance", () => {
  it("keep the windows of one hour and drop older ones, so that memory is bounded", () => {
    const a = createTestMetrics("a1");
    a.record("alpine-club", 1);
    a.advance(3_599_000);
    expect(a.snapshot().series[0]?.windows.length).toBe(1);
    a.advance(12_000);
    expect(a.snapshot().series[0]?.windows.length).toBe(0);
  });

  it("limit the largest snapshot to a peer message of 2 MB; otherwise the report would fail", () => {
    const a = createTestMetrics("a1");
    const recordWindow = (window: number) => {
      for (let account = 0; account < 100; account++) {
        const name = `account-${account}`;
        for (let i = 0; i < 3; i++) {
          // Spreads latencies over five decades, which makes the histograms compress badly.
          const spread = (window * 37 + account * 11 + i * 17) % 100;
          const latencyMs = 10 ** (spread / 20);
          a.record(name, 1, { latencyMs });
        }
        a.record(name, 3, REJECTED);
        a.record(name, 1, { ...REJECTED, codeNumber: 123 });
      }
      a.advance(10_000);
    };
    for (let i = 0; i < 400; i++) recordWindow(i);
    const snapshot = a.snapshot();
    expect(snapshot.series.length).toBe(33);
    const bytes = JSON.stringify(snapshot).length;
    console.log(`largest snapshot: ${bytes} bytes`);
    expect(bytes).toBeLessThan(2_000_000);
  });

  it("escape labels in the Prometheus text; otherwise a quote in a label would break the whole scrape", () => {
    const a = createTestMetrics("a1");
    a.record('odd"name\n', 2);
    a.metrics.count("peer-reconnects", 3);
    a.metrics.gauge("queue.length", 7);
    const text = a.metrics.formatText();
    expect(text).toContain("anvilroute_peer_reconnects_total 3\n");
    expect(text).toContain("anvilroute_queue_length 7\n");
    expect(text).toContain('account="odd\\"name\\n",outcome="answered"');
    expect(text).toMatch(/quantile="0.99"} 0\.01\d+\n/);
    expect(text).toContain("anvilroute_latency_seconds_count{");
  });
});
