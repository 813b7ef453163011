import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as Clock from "../src/clock.ts";
import type * as Exchange from "../src/platform/exchange.ts";
import * as Writes from "../src/platform/writes.ts";
import * as Store from "../testing/platform/store.ts";

const KEY = "k";

/** What happens to one call, and what another client does before it. */
interface Step {
  /** Late copies of earlier calls arrive first. */
  readonly deliver?: boolean;
  readonly other: "nothing" | "overwrite" | "remove";
  readonly fate: "answered" | "lost-after" | "lost-before" | "late" | "unsent";
}

const step: fc.Arbitrary<Step> = fc.record({
  deliver: fc.boolean(),
  other: fc.constantFrom<Step["other"]>(
    ...(["nothing", "nothing", "nothing", "overwrite", "remove"] as const),
  ),
  fate: fc.constantFrom<Step["fate"]>(
    ...(["answered", "lost-after", "lost-before", "late", "unsent"] as const),
  ),
});

const LOST = { kind: "lost", detail: "lost" } as const;
const UNSENT = { kind: "not-sent", detail: "refused" } as const;

/** The link between the writer under test and a store that others use, too. */
function createWorld(steps: readonly Step[], isPresent: boolean) {
  const store = Store.createStore(Clock.systemClock);
  const created = { key: KEY, expectedVersion: 0, value: "0", writeId: "0" };
  if (isPresent) store.cas(created);
  const applied: number[] = [];
  let late: (() => void)[] = [];
  let calls = 0;
  let removed = 0;

  function answer(call: Exchange.Call): Exchange.CallOutcome {
    const current = store.tryGet(KEY);
    if (call.method === "GET") {
      return current === undefined
        ? refused(404, { code: "absent" })
        : { kind: "answered", status: 200, body: { entry: current } };
    }
    if (call.method === "DELETE") {
      const done = store.remove(KEY, Number(call.query?.["expectedVersion"]));
      if (done === "removed") removed++;
      if (done === "conflict") return refused(409, { code: "conflict" });
      return done === "absent"
        ? refused(404, { code: "absent" })
        : { kind: "answered", status: 200, body: {} };
    }
    const write = { key: KEY, ...call.body } as unknown as Store.Write;
    const done = store.cas(write);
    if (done.kind !== "written") return refused(409, { current });
    applied.push(done.version);
    return { kind: "answered", status: 200, body: { version: done.version } };
  }

  function act(other: Step["other"]): void {
    const { version = 0 } = store.tryGet(KEY) ?? {};
    const writeId = `other-${calls}`;
    if (other === "overwrite") {
      store.cas({ key: KEY, expectedVersion: version, value: "x", writeId });
    }
    if (other === "remove") store.remove(KEY, version);
  }

  function deliverLate(): void {
    for (const deliver of late) deliver();
    late = [];
  }

  const exchange: Exchange.Exchange = {
    send(call, signal) {
      if (signal.aborted) return Promise.resolve(UNSENT);
      const { deliver, other, fate } = steps[calls++] ??
        { other: "nothing", fate: "answered" };
      if (deliver === true) deliverLate();
      act(other);
      if (fate === "unsent") return Promise.resolve(UNSENT);
      if (fate === "lost-before") return Promise.resolve(LOST);
      if (fate === "late") late.push(() => void answer(call));
      if (fate === "late") return Promise.resolve(LOST);
      const reply = answer(call);
      return Promise.resolve(fate === "answered" ? reply : LOST);
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

function refused(status: number, error: object): Exchange.CallOutcome {
  return { kind: "answered", status, body: { error } };
}

/** Ends the retries of reading back; the store itself answers at once. */
const LIMIT_MS = 130;

const NEVER_APPLIED = ["store-conflict", "store-unreachable"];

const steps = fc.array(step, { maxLength: 6 });

async function checkCas(
  script: readonly Step[],
  isPresent: boolean,
): Promise<void> {
  const world = createWorld(script, isPresent);
  const expectedVersion = world.store.tryGet(KEY)?.version ?? 0;
  const res = await Writes.performCas(
    world.exchange,
    { key: KEY, expectedVersion, value: "own", writeId: "own" },
    LIMIT_MS / 2,
    AbortSignal.timeout(LIMIT_MS),
  );
  const atEnd = [...world.getApplied()];
  if (res.isOk()) expect(atEnd).toEqual([res.unwrap()]);
  world.deliverLate();
  if (res.isOk()) expect(world.getApplied()).toEqual(atEnd);
  expect(world.getApplied().length).toBeLessThanOrEqual(1);
  const code = res.isErr() ? res.error.code.name : "ok";
  if (NEVER_APPLIED.includes(code)) expect(world.getApplied()).toEqual([]);
}

async function checkRemove(script: readonly Step[]): Promise<void> {
  const world = createWorld(script, true);
  const version = world.store.tryGet(KEY)?.version ?? 0;
  const res = await Writes.performRemove(
    world.exchange,
    KEY,
    version,
    AbortSignal.timeout(LIMIT_MS),
  );
  const isGone = world.store.tryGet(KEY)?.version !== version;
  if (res.isOk()) expect(isGone).toBe(true);
  world.deliverLate();
  const code = res.isErr() ? res.error.code.name : "ok";
  if (NEVER_APPLIED.includes(code)) expect(world.getRemoved()).toBe(0);
}

/** Cases that run at the same time: most of their time is waiting. */
const batches = fc.array(fc.tuple(steps, fc.boolean()), {
  minLength: 40,
  maxLength: 40,
});

describe("settling of lost answers", () => {
  it("guards against a write that takes effect twice, or otherwise than reported", async () => {
    await fc.assert(
      fc.asyncProperty(batches, async (batch) => {
        await Promise.all(batch.map(([script, has]) => checkCas(script, has)));
      }),
      { numRuns: 25 },
    );
  });

  it("guards against a removal that is reported otherwise than it was", async () => {
    await fc.assert(
      fc.asyncProperty(batches, async (batch) => {
        await Promise.all(batch.map(([script]) => checkRemove(script)));
      }),
      { numRuns: 25 },
    );
  });

  it.each([true, false])(
    "guards against giving up although a resent write settles it (late copy first: %s)",
    async (deliver) => {
      const world = createWorld([
        { other: "nothing", fate: "late" },
        { other: "nothing", fate: "answered" },
        { deliver, other: "nothing", fate: "answered" },
      ], true);
      const { version = 0 } = world.store.tryGet(KEY) ?? {};
      const res = await Writes.performCas(
        world.exchange,
        { key: KEY, expectedVersion: version, value: "own", writeId: "own" },
        LIMIT_MS / 2,
        AbortSignal.timeout(LIMIT_MS),
      );
      expect(res.unwrap()).toBe(world.store.tryGet(KEY)?.version);
      expect(world.getCalls()).toBe(3);
    },
  );

  it("guards against a conflict reported when a late copy took effect and was overwritten", async () => {
    const script: readonly Step[] = [
      { other: "nothing", fate: "late" },
      { other: "nothing", fate: "answered" },
      { deliver: true, other: "overwrite", fate: "answered" },
    ];
    const signal = AbortSignal.timeout(LIMIT_MS);
    const written = createWorld(script, true);
    const expectedVersion = written.store.tryGet(KEY)?.version ?? 0;
    const write = { key: KEY, expectedVersion, value: "own", writeId: "own" };
    const wrote = await Writes.performCas(
      written.exchange,
      write,
      LIMIT_MS / 2,
      signal,
    );
    expect(written.getApplied()).toHaveLength(1);
    expect(wrote.unwrapErr().code.name).toBe("store-write-unknown");
    const removed = createWorld(script, true);
    const { version = 0 } = removed.store.tryGet(KEY) ?? {};
    const gone = await Writes.performRemove(
      removed.exchange,
      KEY,
      version,
      signal,
    );
    expect(removed.getRemoved()).toBe(1);
    expect(gone.unwrapErr().code.name).toBe("store-write-unknown");
  });
});
