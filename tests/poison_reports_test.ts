import type * as Http from "node:http";
import * as Stream from "node:stream";
import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as Context from "../src/admission/context.ts";
import * as Body from "../src/forward/body.ts";
import * as Path from "../src/forward/path.ts";
import * as MemoryBudget from "../src/memory_budget.ts";
import * as Connection from "../src/peer/connection.ts";
import * as Fingerprint from "../src/retry/fingerprint.ts";
import * as Reports from "../src/retry/poison_reports.ts";

/** Longest head of a request that the largest limit of the platform allows. */
const MAX_FIELD_CHARS = 20_000;
const field = FastCheck.option(
  FastCheck.string({ maxLength: MAX_FIELD_CHARS, size: "max" }),
  { nil: undefined },
);

describe("fingerprints of requests", () => {
  // Guards against memory that callers determine: instances keep 10,000 fingerprints.
  it("have one length, whatever a caller sends", () => {
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(field, { maxLength: 5 }),
        FastCheck.uint8Array({ maxLength: 2_000 }),
        (fields, body) => {
          const fingerprint = Fingerprint.createFingerprint(
            fields,
            Buffer.from(body),
          );
          expect(fingerprint).toHaveLength(Fingerprint.FINGERPRINT_LENGTH);
        },
      ),
    );
  });

  // Guards against a caller whose request is taken for that of another account.
  it("differ if text moves from one field to the next, or into the body", () => {
    const body = Buffer.from("b");
    const fingerprints = [
      Fingerprint.createFingerprint(["hut", "GET", "/x", "17"], undefined),
      Fingerprint.createFingerprint(["hut GET", "", "/x", "17"], undefined),
      Fingerprint.createFingerprint(["hut", "GET", "/x 17", ""], undefined),
      Fingerprint.createFingerprint(["hut", "GET", "/x", undefined], undefined),
      Fingerprint.createFingerprint(["hut", "GET", "/x", ""], undefined),
      Fingerprint.createFingerprint(
        ["hut", "GET", "/x", "undefined"],
        undefined,
      ),
      Fingerprint.createFingerprint(["hut", "GET", "/x", "17"], body),
      Fingerprint.createFingerprint(["hut", "GET", "/x", "17b"], undefined),
      Fingerprint.createFingerprint(["hut", "GET", '/x","17'], undefined),
      Fingerprint.createFingerprint([undefined, "GET", "/x", "17"], undefined),
    ];
    expect(new Set(fingerprints).size).toBe(fingerprints.length);
  });
});

describe("fingerprints of requests with a streamed body", () => {
  const memory = MemoryBudget.createMemoryBudget(100_000);
  const limits = { bufferBytes: 1_000, maxBytes: 10_000, memory };
  const { signal } = new AbortController();

  /** Returns the fingerprint of a request whose body arrives in these chunks. */
  async function getFingerprint(chunks: readonly Buffer[]): Promise<string> {
    const req = Object.assign(Stream.Readable.from(chunks), {
      headers: { "transfer-encoding": "chunked" },
    }) as unknown as Http.IncomingMessage;
    const { body } = (await Body.readBody(req, limits, signal)).unwrap();
    expect(body.kind).toBe("stream");
    const route = Path.parsePath("/s/bookings/holds").unwrap();
    return Context.getFingerprint("hut", "POST", route, body, limits);
  }

  // Guards against a crashing request that has another name each time it is sent, as its packets differ.
  it("do not depend on the packets in which the body arrives", async () => {
    const content = Buffer.from("order".repeat(500));
    const first = await getFingerprint([content]);
    const second = await getFingerprint([
      content.subarray(0, 900),
      content.subarray(900, 1_300),
      content.subarray(1_300),
    ]);
    expect(second).toBe(first);
    const other = Buffer.concat([Buffer.from("another"), content]);
    expect(await getFingerprint([other])).not.toBe(first);
  });
});

describe("reports of connection losses", () => {
  const createReport = (index: number, targets: readonly string[]) => ({
    kind: "broke" as const,
    fingerprint: Fingerprint.createFingerprint([String(index)], undefined),
    targets: targets.map(Reports.getReportedTarget),
    blockMs: index % 2 === 0 ? 60_000 : 0,
    isExplained: false,
    isFromOutside: true,
  });

  // Guards against a bound that receivers check and senders do not keep.
  it("are accepted by every receiver, whatever request and targets they are about", () => {
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(field, { maxLength: 5 }),
        // The store's keys, which contain the ids, have up to 200 bytes.
        FastCheck.array(FastCheck.string({ minLength: 1, maxLength: 200 }), {
          maxLength: 4,
        }),
        (fields, targets) => {
          const report = {
            ...createReport(0, targets),
            fingerprint: Fingerprint.createFingerprint(fields, undefined),
          };
          const received = JSON.parse(JSON.stringify(report));
          expect(Reports.tryParse(received)).toEqual(report);
        },
      ),
    );
  });

  // Guards against a started instance that never learns of the blocks, because the response exceeds a line.
  it("fit into one message, the blocked requests and then the newest first", () => {
    const longIds = Array.from(
      { length: 4 },
      (_, i) => `${i}`.padEnd(128, "\u00e4"),
    );
    const reports = Array.from(
      { length: 10_000 },
      (_, index) => createReport(index, longIds),
    );
    const selected = Reports.selectForMessage(reports);
    expect(Connection.formatNotification("reports", selected)).toBeDefined();
    expect(selected.length).toBeGreaterThan(1_000);
    const isNewestBlocked = selected.every(({ blockMs = 0 }) => blockMs > 0);
    expect(isNewestBlocked).toBe(true);
    expect(selected.at(-1)).toBe(reports.at(-2));
    expect(Reports.selectForMessage(reports.slice(0, 10))).toEqual(
      reports.slice(0, 10),
    );
  });
});
