/** Renewal of a lease through a peer, for instances that can't reach the store. */
import type * as Contracts from "../contracts.ts";
import * as Dial from "../peer/dial.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Messages from "./messages.ts";
import * as StoreHealth from "./store_health.ts";

/** A peer's answer; silent when none came, gone when its process has ended. */
export type RelayVerdict = Messages.RelayAnswer["kind"] | "silent" | "gone";

/**
 * Asks a peer to renew a lease. `ended` collects peers whose address refused
 * connections: they stay gone after the peer net has forgotten them.
 */
export async function relayVia(
  peers: Contracts.PeerNet,
  id: Types.InstanceId,
  leaseId: string,
  timeoutMs: number,
  ended: Set<Types.InstanceId>,
): Promise<RelayVerdict> {
  const params: Messages.RelayRequest = { leaseId };
  const method = Messages.METHODS.relay;
  const result = await peers.call<Messages.RelayAnswer>(
    id,
    method,
    params,
    timeoutMs,
  );
  if (result.isErr()) {
    if (isRefused(result.error)) ended.add(id);
    else if (peers.tryGetMember(id) !== undefined) ended.delete(id);
    return ended.has(id) ? "gone" : "silent";
  }
  ended.delete(id);
  const kind = result.value?.kind;
  return kind === "renewed" || kind === "lapsed" || kind === "unreachable"
    ? kind
    : "silent";
}

/** True when the peer's address refused the connection, so that its process has ended. */
function isRefused(failure: ResultCodes.Failure): boolean {
  return failure.code.number === ResultCodes.codes.peerUnreachable.number &&
    failure.detail === Dial.REFUSED;
}

/** Renews the leases of peers that can't reach the store themselves. */
export function handleRelay(
  peers: Contracts.PeerNet,
  platform: Contracts.PlatformClient,
  health: StoreHealth.StoreHealth,
): void {
  peers.handle(
    Messages.METHODS.relay,
    async (params): Promise<Messages.RelayAnswer> => {
      const req = Messages.tryReadRelay(params);
      if (req === undefined) throw new Error("malformed lease.relay");
      if (req.leaseId === "") {
        // Without a lease the peer asks only whether the store is reached.
        const probe = await health.track(platform.get("table"));
        return { kind: probe.isOk() ? "lapsed" : "unreachable" };
      }
      const result = await health.track(platform.renewLease(req.leaseId));
      if (result.isOk()) return { kind: "renewed" };
      const isReached = StoreHealth.isAnswer(result.error);
      return { kind: isReached ? "lapsed" : "unreachable" };
    },
  );
}
