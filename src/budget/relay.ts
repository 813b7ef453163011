/** Renewal of a lease through a peer, for instances that can't reach the store. */
import type * as Contracts from "../contracts.ts";
import * as Dial from "../peer/dial.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Messages from "./messages.ts";
import * as StoreHealth from "./store_health.ts";

/**
 * Result of a relayed renewal; "unresponsive" without a response, "ended" when
 * the peer's process has ended.
 */
export type RelayVerdict =
  | Messages.RelayResponse["kind"]
  | "unresponsive"
  | "ended";

/**
 * Requests the renewal of a lease from a peer. `endedPeers` collects peers whose
 * address refused the connection; they count as ended even after the peer network
 * has removed them.
 */
export async function renewVia(
  peers: Contracts.PeerNet,
  id: Types.InstanceId,
  leaseId: string,
  timeoutMs: number,
  endedPeers: Set<Types.InstanceId>,
): Promise<RelayVerdict> {
  const params: Messages.RelayRequest = { leaseId };
  const method = Messages.METHODS.relay;
  const result = await peers.call<Messages.RelayResponse>(
    id,
    method,
    params,
    timeoutMs,
  );
  if (result.isErr()) {
    if (isConnectionRefused(result.error)) endedPeers.add(id);
    else if (peers.tryGetMember(id) !== undefined) endedPeers.delete(id);
    return endedPeers.has(id) ? "ended" : "unresponsive";
  }
  endedPeers.delete(id);
  const kind = result.value?.kind;
  return kind === "renewed" || kind === "lapsed" || kind === "unreachable"
    ? kind
    : "unresponsive";
}

/** True when the peer's address refused the connection, which shows that its process has ended. */
function isConnectionRefused(failure: ResultCodes.Failure): boolean {
  return failure.code.number === ResultCodes.codes.peerUnreachable.number &&
    failure.detail === Dial.REFUSED_DETAIL;
}

/** Renews the leases of peers that can't reach the store themselves. */
export function handleRelay(
  peers: Contracts.PeerNet,
  platform: Contracts.PlatformClient,
  health: StoreHealth.StoreHealth,
): void {
  peers.handle(
    Messages.METHODS.relay,
    async (params): Promise<Messages.RelayResponse> => {
      const req = Messages.tryReadRelay(params);
      if (req === undefined) throw new Error("malformed lease.relay");
      if (req.leaseId === "") {
        // A sender without a lease only queries whether the store is reachable.
        const probe = await health.track(platform.get("table"));
        return { kind: probe.isOk() ? "lapsed" : "unreachable" };
      }
      const result = await health.track(platform.renewLease(req.leaseId));
      if (result.isOk()) return { kind: "renewed" };
      const isReached = StoreHealth.isStoreResponse(result.error);
      return { kind: isReached ? "lapsed" : "unreachable" };
    },
  );
}
