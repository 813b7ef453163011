import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as Bucket from "../src/budget/bucket.ts";
import * as AllocationPlan from "../src/budget/allocation_plan.ts";
import * as Tables from "../testing/fakes/budget_tables.ts";
import * as Excess from "../testing/fakes/excess.ts";

const SEED = Number(process.env.ANVILROUTE_SEED ?? Date.now() % 1e9);
const ROUNDING = 1e-6;
const LOAN_MS = 2_000;

describe("Bucket", () => {
  it("a bucket never lets refunds, loans or transferred shares add tokens to any window", () => {
    const op = FastCheck.record({
      kind: FastCheck.constantFrom(
        ...["acquire", "acquire", "lend", "settle", "refund", "move"],
      ),
      waitMs: FastCheck.constantFrom(0, 0, 1, 120, 700, 1_999, 2_600),
      tokens: FastCheck.constantFrom(0.5, 1, 1, 3),
      isExact: FastCheck.boolean(),
      pick: FastCheck.nat(),
    });
    const input = FastCheck.record({
      rate: FastCheck.constantFrom(0.5, 2, 10),
      burst: FastCheck.constantFrom(1, 2.5, 6),
      ops: FastCheck.array(op, { minLength: 5, maxLength: 60 }),
    });
    FastCheck.assert(
      FastCheck.property(input, ({ rate, burst, ops }) => {
        const half = { rate: rate / 2, burst: burst / 2 };
        const buckets = [Bucket.createBucket(0), Bucket.createBucket(0)];
        const full = { level: half.burst, lent: 0, lentUntilMs: 0 };
        for (const bucket of buckets) bucket.addShare(half, full, 0);
        const admissions: Excess.Admission[] = [];
        const refundable: {
          admission: Excess.Admission;
          bucket: Bucket.Bucket;
        }[] = [];
        const loans: { tokens: number; untilMs: number }[] = [];
        let now = 0;
        for (const { kind, waitMs, tokens, isExact, pick } of ops) {
          now += waitMs;
          const bucket = buckets[pick % 2]!;
          const otherBucket = buckets[1 - (pick % 2)]!;
          if (kind === "acquire" && bucket.tryAcquire(tokens, now)) {
            const admission = { atMs: now, tokens, isRefunded: false };
            admissions.push(admission);
            refundable.push({ admission, bucket });
          } else if (kind === "lend") {
            if (bucket.tryLend(tokens, now + LOAN_MS, now)) {
              loans.push({ tokens, untilMs: now + LOAN_MS });
            }
            // Loans are spent as late as possible, which is the worst case for a window.
            for (const loan of loans.splice(0)) {
              const atMs = Math.max(now, loan.untilMs - 1);
              admissions.push({ atMs, tokens: loan.tokens, isRefunded: false });
            }
          } else if (kind === "settle") {
            const untilMs = now + LOAN_MS;
            if (bucket.tryLend(tokens, untilMs, now)) {
              // The borrower spends the loan at once and reports it, half of it twice.
              admissions.push({ atMs: now, tokens, isRefunded: false });
              bucket.settleLoan(tokens, untilMs, now);
              bucket.settleLoan(tokens / 2, untilMs, now);
            }
          } else if (kind === "refund" && refundable.length > 0) {
            const [acquired] = refundable.splice(pick % refundable.length, 1);
            acquired!.admission.isRefunded = true;
            const acquiredAtMs = isExact ? acquired!.admission.atMs : undefined;
            acquired!.bucket.refund(
              acquired!.admission.tokens,
              now,
              acquiredAtMs,
            );
          } else if (kind === "move") {
            // Half of the limits and tokens of the bucket move to the other one.
            const { rate: r, burst: b } = bucket.getLimits();
            const moved = { rate: r / 2, burst: b / 2 };
            otherBucket.addShare(moved, bucket.removeShare(moved, now), now);
          }
        }
        const excess = Excess.getMaxExcess(admissions, [{
          fromMs: 0,
          rate,
          burst,
        }]);
        expect(excess).toBeLessThan(ROUNDING);
      }),
      { seed: SEED, numRuns: 3_000 },
    );
    console.log(`seed=${SEED}`);
  });

  it("a refund returns the tokens of a request that did not run", () => {
    const bucket = Bucket.createBucket(0);
    const limits = { rate: 1, burst: 3 };
    bucket.addShare(limits, { level: 3, lent: 0, lentUntilMs: 0 }, 0);
    expect(bucket.tryAcquire(3, 0)).toBe(true);
    expect(bucket.tryAcquire(1, 0)).toBe(false);
    expect(bucket.refund(2, 100)).toBe(2);
    expect(bucket.getLevel(100)).toBeCloseTo(2.1);
    expect(bucket.refund(1, 100, 0)).toBeCloseTo(0.9);
  });
});

const cell = FastCheck.record({
  rate: FastCheck.double({ min: 0, max: 5_000, noNaN: true }),
  burst: FastCheck.constantFrom(4, 500).chain((max) =>
    FastCheck.double({ min: 0, max, noNaN: true })
  ),
});

describe("AllocationPlan", () => {
  it("the shares of a key never add up to more or less than its limit", () => {
    const input = FastCheck.record({
      sizes: FastCheck.array(FastCheck.integer({ min: 1, max: 4 }), {
        minLength: 1,
        maxLength: 6,
      }),
      cell,
      capRps: FastCheck.integer({ min: 0, max: 90_000 }),
    });
    const toMicros = (tokens: number) =>
      Math.round(tokens * AllocationPlan.MICROS_PER_TOKEN);
    FastCheck.assert(
      FastCheck.property(input, ({ sizes, cell, capRps }) => {
        const regions = Object.fromEntries(
          sizes.map((size, r) => [
            `r${r}`,
            Array.from({ length: size }, (_, d) => `r${r}-${d}`),
          ]),
        );
        const table = Tables.createTable(1, regions, { x: cell }, capRps);
        const plan = AllocationPlan.createAllocationPlan(table);
        const domains = [...table.domains.keys()];
        for (const key of plan.keys) {
          const limit = plan.getLimit(key);
          let rate = 0;
          let burst = 0;
          for (const domain of domains) {
            let shardsWithShare = 0;
            for (let n = 0; n < AllocationPlan.SHARDS_PER_DOMAIN; n++) {
              const share = plan.getShardShare(domain, n, key);
              rate += toMicros(share.rate);
              burst += toMicros(share.burst);
              if (share.burst > 0 || share.rate > 0) shardsWithShare++;
            }
            const domainBurst = plan.getDomainShare(domain, key).burst;
            const maxShards = Math.max(
              1,
              Math.min(8, Math.floor(domainBurst + 1e-9)),
            );
            expect(shardsWithShare).toBeLessThanOrEqual(maxShards);
            // A fraction of a token admits no request.
            const isFraction = key === "acct/s/x" && domainBurst > 0 &&
              domainBurst < 1 - 1e-5;
            expect(isFraction && cell.burst >= 1, `${key} ${domainBurst}`).toBe(
              false,
            );
          }
          expect(rate, key).toBe(toMicros(limit.rate));
          expect(burst, key).toBe(toMicros(limit.burst));
        }
        const acct = plan.getLimit("acct/s/x");
        expect(toMicros(acct.rate)).toBe(toMicros(cell.rate) * sizes.length);
        expect(toMicros(acct.burst)).toBe(toMicros(cell.burst) * sizes.length);
        const cap = plan.getLimit("cap/s/r0");
        expect(Math.floor(cap.rate + cap.burst)).toBeLessThanOrEqual(capRps);
        if (sizes.length > 1) {
          const link = plan.getLimit("link/s/r0/in");
          expect(link.rate + link.burst).toBeLessThanOrEqual(100 * 125_000);
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it("a region's domains get 70% of its cap, and each shard a whole token where possible", () => {
    const regions = { r0: ["p", "q"], r1: ["t"] };
    const table = Tables.createTable(
      1,
      regions,
      { x: { rate: 10, burst: 10 } },
      200,
    );
    const plan = AllocationPlan.createAllocationPlan(table);
    expect(plan.getLimit("cap/s/r0")).toEqual({ rate: 170, burst: 20 });
    expect(plan.getDomainShare("p", "cap/s/r0").rate).toBeCloseTo(59.5);
    expect(plan.getDomainShare("t", "cap/s/r0").rate).toBeCloseTo(51);
    const shares = Array.from(
      { length: 8 },
      (_, n) => plan.getShardShare("p", n, "acct/s/x").burst,
    );
    expect(shares.filter((burst) => burst === 1)).toHaveLength(5);
    expect(shares.filter((burst) => burst === 0)).toHaveLength(3);
  });

  it("a shard number that does not exist gets no share, whichever number a peer sends", () => {
    const cells = { x: { rate: 10, burst: 10 } };
    const plan = AllocationPlan.createAllocationPlan(
      Tables.createTable(1, { r0: ["p"] }, cells, 200),
    );
    const unknown = [8, 9, 32, -1, 2.5];
    expect(plan.getShardsShare("p", unknown, "acct/s/x"))
      .toEqual({ rate: 0, burst: 0 });
    expect(plan.getShardsShare("p", [0, 1, 2, 3, 4, 5, 6, 7], "acct/s/x"))
      .toEqual(plan.getLimit("acct/s/x"));
  });
});
