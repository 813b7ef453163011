/** Peer networks of gateway instances in one process, without sockets or delays. */
import * as Results from "ts-results-es";
import type * as Contracts from "../../src/contracts.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Types from "../../src/types.ts";

/** A network in which instances reach each other unless a test disconnects them. */
export interface GatewayNet {
  createPeers(self: Types.InstanceId): Contracts.PeerNet;
  /** Makes the instance unable to send and receive until `heal`. */
  cut(id: Types.InstanceId): void;
  heal(id: Types.InstanceId): void;
  /** Number of messages and calls sent so far between connected instances. */
  countMessages(): number;
}

/** Creates a network without instances. Messages are delivered at once as JSON copies. */
export function createGatewayNet(): GatewayNet {
  const handlers = new Map<
    Types.InstanceId,
    Map<string, Contracts.RpcHandler>
  >();
  const cutIds = new Set<Types.InstanceId>();
  let messageCount = 0;

  function tryGetHandler(
    sender: Types.InstanceId,
    receiver: Types.InstanceId,
    method: string,
  ): Contracts.RpcHandler | undefined {
    if (cutIds.has(sender) || cutIds.has(receiver)) return undefined;
    messageCount++;
    return handlers.get(receiver)?.get(method);
  }

  function copyAsJson(value: unknown): unknown {
    return JSON.parse(JSON.stringify(value ?? null));
  }

  return {
    createPeers(self) {
      const localHandlers = new Map<string, Contracts.RpcHandler>();
      handlers.set(self, localHandlers);
      const notify: Contracts.PeerNet["notify"] = (ids, method, params) => {
        for (const id of ids) {
          tryGetHandler(self, id, method)?.(copyAsJson(params), self);
        }
      };
      return {
        self,
        incarnation: "1",
        getMembers: () => [],
        tryGetMember: () => undefined,
        async call<T>(id: string, method: string, params: unknown) {
          const handler = tryGetHandler(self, id, method);
          if (handler === undefined) {
            return ResultCodes.fail("peerUnreachable", id);
          }
          return Results.Ok(
            copyAsJson(await handler(copyAsJson(params), self)) as T,
          );
        },
        notify,
        notifyAll: (method, params) =>
          notify(
            [...handlers.keys()].filter((id) => id !== self),
            method,
            params,
          ),
        handle: (method, handler) => void localHandlers.set(method, handler),
        onHeartbeat: () => {},
        addPeerAddresses: () => {},
      };
    },
    cut: (id) => void cutIds.add(id),
    heal: (id) => void cutIds.delete(id),
    countMessages: () => messageCount,
  };
}
