/** Queries a peer for the shards that it holds, and handles such queries. */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Messages from "./messages.ts";

/** Queries which of `shards` a peer holds; undefined when no valid response came. */
export async function queryHeldShards(
  peers: Contracts.PeerNet,
  id: Types.InstanceId,
  domain: Types.Domain,
  shards: readonly number[],
  timeoutMs: number,
): Promise<Messages.ConfirmResponse | undefined> {
  const params: Messages.ConfirmRequest = { domain, shards };
  const method = Messages.METHODS.confirm;
  const result = await peers.call(id, method, params, timeoutMs);
  return result.isOk()
    ? Messages.tryReadConfirmResponse(result.value)
    : undefined;
}

/** State of this instance that a response reports. */
export interface ConfirmState {
  readonly isActive: (shard: number) => boolean;
  readonly isValid: () => boolean;
  readonly canReceive: () => boolean;
}

/** Handles `shards.confirm`. */
export function handleConfirm(
  peers: Contracts.PeerNet,
  domain: Types.Domain,
  state: ConfirmState,
): void {
  peers.handle(
    Messages.METHODS.confirm,
    (params): Messages.ConfirmResponse => {
      const req = Messages.tryReadConfirm(params);
      if (req === undefined) throw new Error("malformed shards.confirm");
      const isSameDomain = req.domain === domain;
      return {
        held: req.shards.filter((shard) =>
          isSameDomain && state.isActive(shard)
        ),
        isValid: state.isValid(),
        canReceive: state.canReceive(),
      };
    },
  );
}
