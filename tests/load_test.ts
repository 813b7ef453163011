import * as Http from "node:http";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as LoadHarness from "../testing/harness/load.ts";
import * as Process from "../testing/harness/process.ts";
import * as HttpJson from "../testing/http_json.ts";
import * as Load from "../testing/load/load.ts";
import type * as Plan from "../testing/load/plan.ts";

const SLOW_MS = 300;

let server: Http.Server;
let address: string;

function serve(req: Http.IncomingMessage, res: Http.ServerResponse): void {
  switch (req.url) {
    case "/refused":
      res.setHeader("Anvilroute-Outcome", "not-run");
      res.setHeader("Anvilroute-Code", "120");
      res.writeHead(429).end();
      return;
    case "/slow":
      setTimeout(() => res.end("slow"), SLOW_MS);
      return;
    case "/truncated":
      res.writeHead(200, { "content-length": 100 });
      res.write("x", () => res.destroy());
      return;
    case "/silent":
      return;
    default:
      res.end(req.url);
  }
}

beforeAll(async () => {
  server = Http.createServer(serve);
  address = await HttpJson.listen(server, "127.0.0.1:0");
});

afterAll(async () => {
  await Process.killAll();
  server.closeAllConnections();
  server.close();
});

function plan(
  path: string,
  arrivals: Plan.Arrivals,
  more: Partial<Plan.LoadPlan> & { readonly maxInFlight?: number } = {},
): Plan.LoadPlan {
  const { maxInFlight = 1_000, ...rest } = more;
  const request = { method: "GET", path } as const;
  return {
    callers: [
      { name: path, addresses: [address], arrivals, request, maxInFlight },
    ],
    durationMs: 10_000,
    maxRequests: 20,
    timeoutMs: 2_000,
    ...rest,
  };
}

const CLOSED = { kind: "closed", concurrency: 4 } as const;

describe("load generator", () => {
  it("guards against answers counted under the wrong status, outcome or code", async () => {
    const { total } = await Load.runLoad(plan("/refused", CLOSED));
    expect(total).toMatchObject({
      sent: 20,
      answered: 20,
      byStatus: { 429: 20 },
      byOutcome: { "not-run": 20 },
      byCode: { 120: 20 },
      byError: {},
      goodLatency: { count: 0 },
    });
  });

  it("guards against broken and late answers counted as answers", async () => {
    const limits = { maxRequests: 4, timeoutMs: 200 };
    const truncated = await Load.runLoad(plan("/truncated", CLOSED, limits));
    expect(truncated.total).toMatchObject({ sent: 4, answered: 0 });
    const silent = await Load.runLoad(plan("/silent", CLOSED, limits));
    expect(silent.total.byError).toEqual({ timeout: 4 });
  });

  it("guards against a latency that leaves out the wait for the generator", async () => {
    const arrivals = {
      kind: "open",
      ratePerS: 1_000,
      spacing: "even",
    } as const;
    const run = Load.runLoad(plan("/fast", arrivals));
    const blockedUntil = performance.now() + 200;
    while (performance.now() < blockedUntil);
    const { total } = await run;
    expect(total.latency.max).toBeGreaterThanOrEqual(170);
  });

  it("guards against an open loop that waits for answers, and against one without bound", async () => {
    const arrivals = {
      kind: "open",
      ratePerS: 500,
      spacing: "poisson",
    } as const;
    const { total } = await Load.runLoad(
      plan("/slow", arrivals, { maxInFlight: 15 }),
    );
    expect(total).toMatchObject({ sent: 15, skipped: 5, maxInFlight: 15 });
    expect(total.latency.p50).toBeGreaterThanOrEqual(SLOW_MS - 5);
  });

  it("guards against hooks that get another request's answer", async () => {
    const pairs: [number, string][] = [];
    await Load.runLoad(plan("/", CLOSED), {
      makeRequest: (_, n) => ({ method: "GET", path: `/${n}` }),
      onAnswer: ({ n, body }) => pairs.push([n, body]),
    });
    expect(pairs.map(([, body]) => body)).toEqual(
      pairs.map(([n]) => `/${n}`),
    );
    expect(new Set(pairs.map(([n]) => n)).size).toBe(20);
  });

  it("guards against a process that loses its report, at its end or when ended early", async () => {
    const whole = await LoadHarness.startLoad(plan("/fast", CLOSED));
    expect((await whole.report).total.byStatus).toEqual({ 200: 20 });
    const arrivals = { kind: "open", ratePerS: 100, spacing: "even" } as const;
    const long = { durationMs: 60_000, maxRequests: 1e6 };
    const early = await LoadHarness.startLoad(plan("/fast", arrivals, long));
    early.end();
    const { total, elapsedMs } = await early.report;
    expect(elapsedMs).toBeLessThan(30_000);
    expect(total.answered).toBe(total.sent);
  });
});
