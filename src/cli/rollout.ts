/** Pushes a stored record to all instances and waits until it is in force. */
import type { Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Debug from "../debug.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";

/** What `config.push` carries; an instance applies a record that is newer than its own. */
export interface ConfigPush {
  readonly key: "table" | "keys";
  readonly revision: number;
  readonly record?: Types.TableRecord | Types.KeysRecord;
  /** Digests to refuse from now on, before the record that names them. */
  readonly withdrawn?: readonly string[];
}

/** When a revision came into force at one instance. */
export type Arrival =
  | { readonly kind: "in-force"; readonly id: string; readonly afterMs: number }
  /** It was leaving and has ended. */
  | { readonly kind: "left"; readonly id: string }
  | { readonly kind: "missing"; readonly id: string; readonly reason: string };

/** The part of the `status` answer that the rollout reads. */
export interface Revisions {
  readonly tableRevision: number;
  readonly keysRevision: number;
}

const POLL_INTERVAL_MS = 100;

/** What to wait for. */
export interface Rollout {
  readonly push: ConfigPush;
  readonly field: keyof Revisions;
  readonly revision: number;
  /** Monotonic ms at which the store confirmed the write. */
  readonly storedAtMs: number;
  readonly waitMs: number;
}

/** Pushes, polls each instance's `status`, and prints each arrival as it is seen. */
export async function rollOut(
  ctx: Context.Context,
  rollout: Rollout,
): Promise<readonly Arrival[]> {
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) {
    const reason = ResultCodes.formatFailure(fleet.error);
    ctx.out.note(
      `the instances take it from the store; not confirmed: ${reason}`,
    );
    return [{ kind: "missing", id: "all", reason }];
  }
  for (const { address, failure } of fleet.value.silent) {
    ctx.out.note(
      `${address} does not answer: ${ResultCodes.formatFailure(failure)}`,
    );
  }
  await Fleet.callAll(ctx, fleet.value, "config.push", rollout.push);
  const { instances } = fleet.value;
  let done = 0;
  return Promise.all(instances.map(async (instance) => {
    const arrival = await waitFor(ctx, instance, rollout);
    done++;
    ctx.out.line(formatArrival(arrival));
    ctx.out.progress(`${done} of ${instances.length} instances`);
    return arrival;
  }));
}

async function waitFor(
  ctx: Context.Context,
  instance: Fleet.Instance,
  rollout: Rollout,
): Promise<Arrival> {
  const { clock } = ctx.deps;
  const { id } = instance;
  const { timeoutMs } = ctx.settings;
  let reason = "";
  while (clock.nowMs() - rollout.storedAtMs < rollout.waitMs) {
    const status = await ctx.getPeer(instance.address)
      .call<Revisions>("status", {}, timeoutMs);
    const afterMs = clock.nowMs() - rollout.storedAtMs;
    const found = status.map((one) => one[rollout.field]);
    if (found.isOk() && found.value >= rollout.revision) {
      return { kind: "in-force", id, afterMs };
    }
    reason = describe(found, rollout);
    const hasLeft = found.isErr() && instance.state === "leaving";
    if (hasLeft) return { kind: "left", id };
    await ctx.deps.sleep(POLL_INTERVAL_MS);
  }
  return { kind: "missing", id, reason };
}

function describe(
  found: Result<number, ResultCodes.Failure>,
  rollout: Rollout,
): string {
  if (found.isErr()) return ResultCodes.formatFailure(found.error);
  return `still at revision ${found.value} of ${rollout.revision}`;
}

/** One line about one instance. */
export function formatArrival(arrival: Arrival): string {
  switch (arrival.kind) {
    case "in-force":
      return `${arrival.id}: in force after ${
        (arrival.afterMs / 1000).toFixed(1)
      } s`;
    case "left":
      return `${arrival.id}: has left`;
    case "missing":
      return `${arrival.id}: NOT CONFIRMED: ${arrival.reason}`;
    default:
      return Debug.assertNever(arrival);
  }
}

/** `partial` when an instance did not confirm. */
export function getExit(arrivals: readonly Arrival[]): Context.ExitCode {
  const isMissing = arrivals.some((one) => one.kind === "missing");
  return isMissing ? Context.EXIT.partial : Context.EXIT.ok;
}
