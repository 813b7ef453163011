/** Asking a peer which shards it holds, and answering that. */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Messages from "./messages.ts";

/** The peer's answer on these shards; undefined when none came. */
export async function askHeld(
  peers: Contracts.PeerNet,
  id: Types.InstanceId,
  domain: Types.Domain,
  shards: readonly number[],
  timeoutMs: number,
): Promise<Messages.ConfirmAnswer | undefined> {
  const params: Messages.ConfirmRequest = { domain, shards };
  const method = Messages.METHODS.confirm;
  const result = await peers.call(id, method, params, timeoutMs);
  return result.isOk()
    ? Messages.tryReadConfirmAnswer(result.value)
    : undefined;
}

/** What an answer says of this instance. */
export interface ConfirmState {
  readonly isActive: (shard: number) => boolean;
  readonly isValid: () => boolean;
  readonly isReady: () => boolean;
}

/** Handles `shards.confirm`. */
export function handleConfirm(
  peers: Contracts.PeerNet,
  domain: Types.Domain,
  state: ConfirmState,
): void {
  peers.handle(
    Messages.METHODS.confirm,
    (params): Messages.ConfirmAnswer => {
      const req = Messages.tryReadConfirm(params);
      if (req === undefined) throw new Error("malformed shards.confirm");
      const isSame = req.domain === domain;
      return {
        held: req.shards.filter((shard) => isSame && state.isActive(shard)),
        isValid: state.isValid(),
        canReceive: state.isReady(),
      };
    },
  );
}
