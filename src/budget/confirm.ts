/** Asking a peer which shards it holds. */
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
