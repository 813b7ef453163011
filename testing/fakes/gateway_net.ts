/** Peer nets of gateway instances in one process, under simulated time. */
import * as Results from "ts-results-es";
import type * as Contracts from "../../src/contracts.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Types from "../../src/types.ts";

/** Instances that reach each other unless they are cut off. */
export interface GatewayNet {
  createPeers(self: Types.InstanceId): Contracts.PeerNet;
  /** From now on the instance neither sends nor receives. */
  cut(id: Types.InstanceId): void;
  heal(id: Types.InstanceId): void;
  /** Messages and calls so far. */
  countMessages(): number;
}

/** Creates an empty net; what is sent arrives at once, as JSON does. */
export function createGatewayNet(): GatewayNet {
  const handlers = new Map<
    Types.InstanceId,
    Map<string, Contracts.RpcHandler>
  >();
  const isCut = new Set<Types.InstanceId>();
  let messages = 0;

  function tryGetHandler(
    from: Types.InstanceId,
    to: Types.InstanceId,
    method: string,
  ): Contracts.RpcHandler | undefined {
    if (isCut.has(from) || isCut.has(to)) return undefined;
    messages++;
    return handlers.get(to)?.get(method);
  }

  function copy(value: unknown): unknown {
    return JSON.parse(JSON.stringify(value ?? null));
  }

  return {
    createPeers(self) {
      const own = new Map<string, Contracts.RpcHandler>();
      handlers.set(self, own);
      const notify: Contracts.PeerNet["notify"] = (ids, method, params) => {
        for (const id of ids) {
          tryGetHandler(self, id, method)?.(copy(params), self);
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
          return Results.Ok(copy(await handler(copy(params), self)) as T);
        },
        notify,
        notifyAll: (method, params) =>
          notify(
            [...handlers.keys()].filter((id) => id !== self),
            method,
            params,
          ),
        handle: (method, fn) => void own.set(method, fn),
        onHeartbeat: () => {},
        addPeerAddresses: () => {},
      };
    },
    cut: (id) => void isCut.add(id),
    heal: (id) => void isCut.delete(id),
    countMessages: () => messages,
  };
}
