/** Finds all instances through the configured peer addresses and calls them. */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Context from "./context.ts";

/** One instance as listed by its peers. */
export interface Instance {
  readonly id: Types.InstanceId;
  readonly address: Types.Address;
  readonly region: Types.Region;
  readonly state: Types.MemberState;
  /** False when none of the queried peers can reach the instance. */
  readonly isReachable: boolean;
}

/** All instances that the queried peers know, sorted by id. */
export interface Fleet {
  readonly instances: readonly Instance[];
  /** Configured addresses that did not respond. */
  readonly unresponsive: readonly {
    readonly address: Types.Address;
    readonly failure: ResultCodes.Failure;
  }[];
}

/** Response of one instance to a call. */
export interface InstanceResponse<T> {
  readonly instance: Instance;
  readonly result: Result<T, ResultCodes.Failure>;
  /** Milliseconds from the call to its response or failure. */
  readonly elapsedMs: number;
}

interface ListedMember {
  readonly heartbeat: Pick<
    Types.Heartbeat,
    "id" | "region" | "state" | "peerAddress"
  >;
  readonly isReachable: boolean;
}

function isListedMember(value: unknown): value is ListedMember {
  const member = value as Partial<ListedMember> | undefined;
  const heartbeat = member?.heartbeat as Partial<Types.Heartbeat> | undefined;
  return typeof heartbeat?.id === "string" &&
    typeof heartbeat.peerAddress === "string" &&
    typeof heartbeat.region === "string" &&
    typeof heartbeat.state === "string";
}

/** Queries every configured peer for its member list; fails when none responds. */
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
  const responses = await Promise.all(peers.map(async (address) => ({
    address,
    result: await ctx.getPeer(address)
      .call<unknown>("members.list", {}, timeoutMs),
  })));
  const instances = new Map<string, Instance>();
  const unresponsive: Fleet["unresponsive"][number][] = [];
  for (const { address, result } of responses) {
    if (result.isErr()) unresponsive.push({ address, failure: result.error });
    else addMembers(instances, result.value);
  }
  if (instances.size === 0) return failUnreachable(unresponsive);
  const sorted = [...instances.values()]
    .sort((a, b) => a.id.localeCompare(b.id));
  return Ok({ instances: sorted, unresponsive });
}

/** Creates the failure for the case that no peer responded; `peerAuth` when every peer rejected the secret. */
function failUnreachable(unresponsive: Fleet["unresponsive"]) {
  const { peerAuth, peerUnreachable } = ResultCodes.codes;
  if (unresponsive.every(({ failure }) => failure.code === peerAuth)) {
    const addresses = unresponsive.map(({ address }) => address);
    return ResultCodes.fail("peerAuth", addresses.join(", "));
  }
  const reasons = unresponsive.map(({ address, failure }) => {
    const hasDetail = failure.code === peerUnreachable && failure.detail !== "";
    const reason = hasDetail
      ? failure.detail
      : ResultCodes.formatFailure(failure);
    return `${address}: ${reason}`;
  });
  return ResultCodes.fail("peerUnreachable", reasons.join("; "));
}

function addMembers(instances: Map<string, Instance>, raw: unknown): void {
  for (const member of Array.isArray(raw) ? raw.filter(isListedMember) : []) {
    const { id, region, state, peerAddress } = member.heartbeat;
    const existing = instances.get(id);
    // Peers may list different addresses; a peer that can reach the instance lists the newest one.
    if (existing?.isReachable === true && !member.isReachable) continue;
    const isReachable = member.isReachable;
    instances.set(id, { id, address: peerAddress, region, state, isReachable });
  }
}

/** Calls all instances concurrently and waits for every response or failure. */
export function callAll<T>(
  ctx: Context.Context,
  fleet: Fleet,
  method: string,
  params: unknown,
): Promise<readonly InstanceResponse<T>[]> {
  const { clock } = ctx.deps;
  const startMs = clock.nowMs();
  return Promise.all(fleet.instances.map(async (instance) => {
    const result = await ctx.getPeer(instance.address)
      .call<T>(method, params, ctx.settings.timeoutMs);
    return { instance, result, elapsedMs: clock.nowMs() - startMs };
  }));
}

/** Returns true for an instance that was leaving and no longer responds: it has shut down as planned. */
export function hasShutDown(response: InstanceResponse<unknown>): boolean {
  return response.instance.state === "leaving" && response.result.isErr();
}
