/** Finds the instances through the given peers and calls all of them. */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Context from "./context.ts";

/** One instance as the peers know it. */
export interface Instance {
  readonly id: Types.InstanceId;
  readonly address: Types.Address;
  readonly region: Types.Region;
  readonly state: Types.MemberState;
  /** False when no asked peer hears it. */
  readonly isHeard: boolean;
}

/** All instances that the asked peers know, in order of their names. */
export interface Fleet {
  readonly instances: readonly Instance[];
  /** Given addresses that did not answer. */
  readonly silent: readonly {
    readonly address: Types.Address;
    readonly failure: ResultCodes.Failure;
  }[];
}

/** What one instance answered, and how long it took. */
export interface Answer<T> {
  readonly instance: Instance;
  readonly result: Result<T, ResultCodes.Failure>;
  /** Milliseconds since the call. */
  readonly tookMs: number;
}

interface ListedMember {
  readonly heartbeat: Pick<
    Types.Heartbeat,
    "id" | "region" | "state" | "peerAddress"
  >;
  readonly isReachable: boolean;
}

function isListed(value: unknown): value is ListedMember {
  const member = value as Partial<ListedMember> | undefined;
  const heartbeat = member?.heartbeat as Partial<Types.Heartbeat> | undefined;
  return typeof heartbeat?.id === "string" &&
    typeof heartbeat.peerAddress === "string" &&
    typeof heartbeat.region === "string" &&
    typeof heartbeat.state === "string";
}

/** Asks every given peer for its members; fails when none answers. */
export async function discover(
  ctx: Context.Context,
): Promise<Result<Fleet, ResultCodes.Failure>> {
  const { peers, secret, timeoutMs } = ctx.settings;
  if (peers.length === 0 || secret === undefined) {
    return ResultCodes.fail(
      "toolUsage",
      "instances are needed: --peer ADDR and --secret-file FILE, or peers.*",
    );
  }
  const answers = await Promise.all(peers.map(async (address) => ({
    address,
    result: await ctx.getPeer(address)
      .call<unknown>("members.list", {}, timeoutMs),
  })));
  const instances = new Map<string, Instance>();
  const silent: Fleet["silent"][number][] = [];
  for (const { address, result } of answers) {
    if (result.isErr()) silent.push({ address, failure: result.error });
    else addMembers(instances, result.value);
  }
  if (instances.size === 0) return failSilent(silent);
  const sorted = [...instances.values()]
    .sort((a, b) => a.id.localeCompare(b.id));
  return Ok({ instances: sorted, silent });
}

/** The failure when no given peer answered: a refused secret is no matter of the network. */
function failSilent(silent: Fleet["silent"]) {
  const { peerAuth, peerUnreachable } = ResultCodes.codes;
  if (silent.every(({ failure }) => failure.code === peerAuth)) {
    const addresses = silent.map(({ address }) => address);
    return ResultCodes.fail("peerAuth", addresses.join(", "));
  }
  const parts = silent.map(({ address, failure }) => {
    const isPlain = failure.code === peerUnreachable && failure.detail !== "";
    const why = isPlain ? failure.detail : ResultCodes.formatFailure(failure);
    return `${address}: ${why}`;
  });
  return ResultCodes.fail("peerUnreachable", parts.join("; "));
}

function addMembers(instances: Map<string, Instance>, raw: unknown): void {
  for (const member of Array.isArray(raw) ? raw.filter(isListed) : []) {
    const { id, region, state, peerAddress } = member.heartbeat;
    const before = instances.get(id);
    // Of several views, one that hears the instance has its newest address.
    if (before?.isHeard === true && !member.isReachable) continue;
    const isHeard = member.isReachable;
    instances.set(id, { id, address: peerAddress, region, state, isHeard });
  }
}

/** Calls every instance at the same time. */
export function callAll<T>(
  ctx: Context.Context,
  fleet: Fleet,
  method: string,
  params: unknown,
): Promise<readonly Answer<T>[]> {
  const { clock } = ctx.deps;
  const startMs = clock.nowMs();
  return Promise.all(fleet.instances.map(async (instance) => {
    const result = await ctx.getPeer(instance.address)
      .call<T>(method, params, ctx.settings.timeoutMs);
    return { instance, result, tookMs: clock.nowMs() - startMs };
  }));
}

/** A leaving instance that no longer answers has ended as planned. */
export function hasLeft(answer: Answer<unknown>): boolean {
  return answer.instance.state === "leaving" && answer.result.isErr();
}
