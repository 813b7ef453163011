import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as Clock from "../src/clock.ts";
import type * as Exchange from "../src/platform/exchange.ts";
import * as Writes from "../src/platform/writes.ts";
import * as Store from "../testing/platform/store.ts";

const KEY = "k";

/** Delivery of one call, and the write that another client makes before it. */
interface Step {
  /** True when late copies of earlier calls arrive before this call. */
  readonly deliver?: boolean;
  readonly otherWrite: "nothing" | "overwrite" | "remove";
  readonly delivery:
    | "answered"
    | "lost-after"
    | "lost-before"
    | "late"
    | "unsent";
}

const step: fc.Arbitrary<Step> = fc.record({
  deliver: fc.boolean(),
  otherWrite: fc.constantFrom<Step["otherWrite"]>(
    ...(["nothing", "nothing", "nothing", "overwrite", "remove"] as const),
  ),
  delivery: fc.constantFrom<Step["delivery"]>(
    ...(["answered", "lost-after", "lost-before", "late", "unsent"] as const),
  ),
});

const LOST = { kind: "lost", detail: "lost" } as const;
const UNSENT = { kind: "not-sent", detail: "refused" } as const;

/** Creates the link between the writer under test and a store that other clients use, too. */
function createStoreLink(steps: readonly Step[], isPresent: boolean) {
  const store = Store.createStore(Clock.systemClock);
  const created = { key: KEY, expectedVersion: 0, value: "0", writeId: "0" };
  if (isPresent) store.cas(created);
  const applied: number[] = [];
  let lateCalls: (() => void)[] = [];
  let calls = 0;
  let removed = 0;

  function execute(call: Exchange.Call): Exchange.CallOutcome {
    const current = store.tryGet(KEY);
    if (call.method === "GET") {
      return current === undefined
        ? rejectCall(404, { code: "absent" })
        : { kind: "answered", status: 200, body: { entry: current } };
    }
    if (call.method === "DELETE") {
      const result = store.remove(KEY, Number(call.query?.["expectedVersion"]));
      if (result === "removed") removed++;
      if (result === "conflict") return rejectCall(409, { code: "conflict" });
      return result === "absent"
        ? rejectCall(404, { code: "absent" })
        : { kind: "answered", status: 200, body: {} };
    }
    const write = { key: KEY, ...call.body } as unknown as Store.Write;
    const result = store.cas(write);
    if (result.kind !== "written") return rejectCall(409, { current });
    applied.push(result.version);
    return { kind: "answered", status: 200, body: { version: result.version } };
  }

  function runOtherClient(otherWrite: Step["otherWrite"]): void {
    const { version = 0 } = store.tryGet(KEY) ?? {};
    const writeId = `other-${calls}`;
    if (otherWrite === "overwrite") {
      store.cas({ key: KEY, expectedVersion: version, value: "x", writeId });
    }
    if (otherWrite === "remove") store.remove(KEY, version);
  }

  function deliverLate(): void {
    for (const deliver of lateCalls) deliver();
    lateCalls = [];
  }

  const exchange: Exchange.Exchange = {
    send(call, signal) {
      if (signal.aborted) return Promise.resolve(UNSENT);
      const { deliver, otherWrite, delivery } = steps[calls++] ??
        { otherWrite: "nothing", delivery: "answered" };
      if (deliver === true) deliverLate();
      runOtherClient(otherWrite);
      if (delivery === "unsent") return Promise.resolve(UNSENT);
      if (delivery === "lost-before") return Promise.resolve(LOST);
      if (delivery === "late") lateCalls.push(() => void execute(call));
      if (delivery === "late") return Promise.resolve(LOST);
      const outcome = execute(call);
      return Promise.resolve(delivery === "answered" ? outcome : LOST);
    },
    getLastResponseAtMs: () => undefined,
    isFailing: () => false,
    close: () => Promise.resolve(),
  };
  return {
    exchange,
    store,
    deliverLate,
    getApplied: () => applied,
    getRemoved: () => removed,
    getCalls: () => calls,
  };
}

function rejectCall(
  status: number,
  error: object,
): Exchange.CallOutcome {
  return { kind: "answered", status, body: { error } };
}

/** Time limit that ends the read-back retries; the store itself responds at once. */
const TIME_LIMIT_MS = 130;

const NEVER_APPLIED = ["store-conflict", "store-unreachable"];

const steps = fc.array(step, { maxLength: 6 });

async function checkCas(
  script: readonly Step[],
  isPresent: boolean,
): Promise<void> {
  const link = createStoreLink(script, isPresent);
  const expectedVersion = link.store.tryGet(KEY)?.version ?? 0;
  const res = await Writes.performCas(
    link.exchange,
    { key: KEY, expectedVersion, value: "own", writeId: "own" },
    TIME_LIMIT_MS / 2,
    AbortSignal.timeout(TIME_LIMIT_MS),
  );
  const appliedAtEnd = [...link.getApplied()];
  if (res.isOk()) expect(appliedAtEnd).toEqual([res.unwrap()]);
  link.deliverLate();
  if (res.isOk()) expect(link.getApplied()).toEqual(appliedAtEnd);
  expect(link.getApplied().length).toBeLessThanOrEqual(1);
  const code = res.isErr() ? res.error.code.name : "ok";
  if (NEVER_APPLIED.includes(code)) expect(link.getApplied()).toEqual([]);
}

async function checkRemove(script: readonly Step[]): Promise<void> {
  const link = createStoreLink(script, true);
  const version = link.store.tryGet(KEY)?.version ?? 0;
  const res = await Writes.performRemove(
    link.exchange,
    KEY,
    version,
    AbortSignal.timeout(TIME_LIMIT_MS),
  );
  const isRemoved = link.store.tryGet(KEY)?.version !== version;
  if (res.isOk()) expect(isRemoved).toBe(true);
  link.deliverLate();
  const code = res.isErr() ? res.error.code.name : "ok";
  if (NEVER_APPLIED.includes(code)) expect(link.getRemoved()).toBe(0);
}

/** Cases of a batch run concurrently, because they mostly wait. */
const batches = fc.array(fc.tuple(steps, fc.boolean()), {
  minLength: 40,
  maxLength: 40,
});

describe("store write with lost responses", () => {
  it("takes effect at most once and as reported", async () => {
    await fc.assert(
      fc.asyncProperty(batches, async (batch) => {
        await Promise.all(
          batch.map(([script, isPresent]) => checkCas(script, isPresent)),
        );
      }),
      { numRuns: 25 },
    );
  });

  it("reports a removal as it took effect", async () => {
    await fc.assert(
      fc.asyncProperty(batches, async (batch) => {
        await Promise.all(batch.map(([script]) => checkRemove(script)));
      }),
      { numRuns: 25 },
    );
  });

  it.each([true, false])(
    "succeeds when resending it shows the outcome (late copy first: %s)",
    async (deliver) => {
      const link = createStoreLink([
        { otherWrite: "nothing", delivery: "late" },
        { otherWrite: "nothing", delivery: "answered" },
        { deliver, otherWrite: "nothing", delivery: "answered" },
      ], true);
      const { version = 0 } = link.store.tryGet(KEY) ?? {};
      const res = await Writes.performCas(
        link.exchange,
        { key: KEY, expectedVersion: version, value: "own", writeId: "own" },
        TIME_LIMIT_MS / 2,
        AbortSignal.timeout(TIME_LIMIT_MS),
      );
      expect(res.unwrap()).toBe(link.store.tryGet(KEY)?.version);
      expect(link.getCalls()).toBe(3);
    },
  );

  it("has an unknown outcome when a late copy took effect and was overwritten", async () => {
    const script: readonly Step[] = [
      { otherWrite: "nothing", delivery: "late" },
      { otherWrite: "nothing", delivery: "answered" },
      { deliver: true, otherWrite: "overwrite", delivery: "answered" },
    ];
    const signal = AbortSignal.timeout(TIME_LIMIT_MS);
    const writeLink = createStoreLink(script, true);
    const expectedVersion = writeLink.store.tryGet(KEY)?.version ?? 0;
    const write = { key: KEY, expectedVersion, value: "own", writeId: "own" };
    const writeResult = await Writes.performCas(
      writeLink.exchange,
      write,
      TIME_LIMIT_MS / 2,
      signal,
    );
    expect(writeLink.getApplied()).toHaveLength(1);
    expect(writeResult.unwrapErr().code.name).toBe("store-write-unknown");
    const removeLink = createStoreLink(script, true);
    const { version = 0 } = removeLink.store.tryGet(KEY) ?? {};
    const removeResult = await Writes.performRemove(
      removeLink.exchange,
      KEY,
      version,
      signal,
    );
    expect(removeLink.getRemoved()).toBe(1);
    expect(removeResult.unwrapErr().code.name).toBe("store-write-unknown");
  });
});
