/** Dependencies that the lease and the ownership of shards share. */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as StoreHealth from "./store_health.ts";

/** One incarnation of an instance, and its access to the store and to its peers. */
export interface InstanceDeps {
  readonly self: Types.InstanceId;
  readonly incarnation: string;
  readonly domain: Types.Domain;
  readonly platform: Contracts.PlatformClient;
  readonly health: StoreHealth.StoreHealth;
  readonly peers: Contracts.PeerNet;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}
