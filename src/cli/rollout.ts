/** Pushes a stored record to all instances and waits until the record is in force there. */
import type { Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Debug from "../debug.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";

/** Parameters of `config.push`; an instance applies a record that is newer than its current one. */
export interface ConfigPush {
  readonly key: "table" | "keys";
  readonly revision: number;
  readonly record?: Types.TableRecord | Types.KeysRecord;
  /** Digests of withdrawn keys, which instances reject before the record that lists them arrives. */
  readonly withdrawn?: readonly string[];
}

/** Whether and when a revision came into force at one instance; `afterMs` counts from the confirmed write. */
export type Activation =
  | { readonly kind: "in-force"; readonly id: string; readonly afterMs: number }
  /** The instance was leaving and has shut down. */
  | { readonly kind: "left"; readonly id: string }
  | { readonly kind: "missing"; readonly id: string; readonly reason: string };

/** Fields of the `status` response that the rollout reads. */
export interface Revisions {
  readonly tableRevision: number;
  readonly keysRevision: number;
}

const POLL_INTERVAL_MS = 100;

/** The record to push and the revision to wait for. */
export interface Rollout {
  readonly push: ConfigPush;
  readonly revisionField: keyof Revisions;
  readonly revision: number;
  /** Monotonic time in ms at which the store confirmed the write. */
  readonly storedAtMs: number;
  readonly waitMs: number;
}

/** Pushes the record, polls `status` of each instance, and prints each activation when it is observed. */
export async function rollOut(
  ctx: Context.Context,
  rollout: Rollout,
): Promise<readonly Activation[]> {
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) {
    const reason = ResultCodes.formatFailure(fleet.error);
    ctx.out.notice(
      `the instances take it from the store; not confirmed: ${reason}`,
    );
    return [{ kind: "missing", id: "all", reason }];
  }
  for (const { address, failure } of fleet.value.unresponsive) {
    ctx.out.notice(
      `${address} does not answer: ${ResultCodes.formatFailure(failure)}`,
    );
  }
  await Fleet.callAll(ctx, fleet.value, "config.push", rollout.push);
  const { instances } = fleet.value;
  let finishedCount = 0;
  return Promise.all(instances.map(async (instance) => {
    const activation = await waitUntilInForce(ctx, instance, rollout);
    finishedCount++;
    ctx.out.line(formatActivation(activation));
    ctx.out.progress(`${finishedCount} of ${instances.length} instances`);
    return activation;
  }));
}

async function waitUntilInForce(
  ctx: Context.Context,
  instance: Fleet.Instance,
  rollout: Rollout,
): Promise<Activation> {
  const { clock } = ctx.deps;
  const { id } = instance;
  const { timeoutMs } = ctx.settings;
  let reason = "";
  while (clock.nowMs() - rollout.storedAtMs < rollout.waitMs) {
    const status = await ctx.getPeer(instance.address)
      .call<Revisions>("status", {}, timeoutMs);
    const afterMs = clock.nowMs() - rollout.storedAtMs;
    const revision = status.map((revisions) =>
      revisions[rollout.revisionField]
    );
    if (revision.isOk() && revision.value >= rollout.revision) {
      return { kind: "in-force", id, afterMs };
    }
    reason = formatReason(revision, rollout);
    const hasShutDown = revision.isErr() && instance.state === "leaving";
    if (hasShutDown) return { kind: "left", id };
    await ctx.deps.sleep(POLL_INTERVAL_MS);
  }
  return { kind: "missing", id, reason };
}

function formatReason(
  revision: Result<number, ResultCodes.Failure>,
  rollout: Rollout,
): string {
  if (revision.isErr()) return ResultCodes.formatFailure(revision.error);
  return `still at revision ${revision.value} of ${rollout.revision}`;
}

/** Formats the activation at one instance as a line. */
export function formatActivation(activation: Activation): string {
  switch (activation.kind) {
    case "in-force":
      return `${activation.id}: in force after ${
        (activation.afterMs / 1000).toFixed(1)
      } s`;
    case "left":
      return `${activation.id}: has left`;
    case "missing":
      return `${activation.id}: NOT CONFIRMED: ${activation.reason}`;
    default:
      return Debug.assertNever(activation);
  }
}

/** Returns `partial` when an instance did not confirm the revision. */
export function getExitCode(
  activations: readonly Activation[],
): Context.ExitCode {
  const isMissing = activations.some((activation) =>
    activation.kind === "missing"
  );
  return isMissing ? Context.EXIT.partial : Context.EXIT.ok;
}
