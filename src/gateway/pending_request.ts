/** A request on its way through the gateway, and what the request path needs. */
import type * as Http from "node:http";
import type * as Clock from "../clock.ts";
import type * as ProductContracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as AccountPool from "./account_pool.ts";
import type * as Attempt from "./attempt.ts";
import type * as Cancellation from "./cancellation.ts";
import type * as ColdStart from "./cold_start.ts";
import type * as ReadDelay from "./read_delay.ts";
import type * as Placement from "./placement.ts";
import type * as RequestLog from "./request_log.ts";
import type * as Split from "./split.ts";
import type * as StateModule from "./state.ts";
import type * as TargetLoad from "./target_load.ts";
import type * as Timings from "./timings.ts";
import type * as GatewayTypes from "./types.ts";
import type * as Warmup from "./warmup.ts";
import type * as CacheState from "./cache_state.ts";
import type * as WorkingSet from "./working_set.ts";

/** What the request path needs. */
export interface ForwarderDeps {
  readonly state: StateModule.State;
  readonly dialect: GatewayTypes.HeaderDialect;
  readonly attempts: Attempt.Attempts;
  readonly placement: Placement.Placement;
  readonly loads: TargetLoad.TargetLoads;
  readonly coldStarts: ColdStart.ColdStarts;
  readonly timings: Timings.Timings;
  readonly cacheState: CacheState.CacheState;
  readonly warmups: Warmup.Warmups;
  readonly accounts: AccountPool.AccountPool;
  readonly splits: Split.Splits;
  readonly retries: ProductContracts.RetryBudget;
  readonly poison: ProductContracts.Poison;
  readonly metrics: ProductContracts.Metrics;
  readonly log: RequestLog.RequestLog;
  readonly clock: Clock.Clock;
  readonly readDelay: ReadDelay.ReadDelay;
  readonly workingSets: WorkingSet.WorkingSets;
  /** Requests a second that a cold target of the service may get, from all instances. */
  readonly getColdRate: (service: Types.Service) => number;
}

/** A request on its way. */
export interface PendingRequest {
  readonly req: Http.IncomingMessage;
  readonly res: Http.ServerResponse;
  readonly fields: GatewayTypes.CallerFields;
  readonly route: GatewayTypes.Route;
  readonly account: GatewayTypes.AccountSpec | undefined;
  readonly version: number;
  readonly startedAtMs: number;
  /** Monotonic ms at which the answer must leave. */
  readonly deadlineAtMs: number;
  readonly body: Buffer | undefined;
  readonly service: Types.Service;
  readonly affinityKey: string;
  readonly fingerprint: string;
  readonly cancellation: Cancellation.Cancellation;
  readonly triedTargets: Set<Types.TargetId>;
  /** A target may have run it. */
  mayHaveRun: boolean;
  sendCount: number;
}

/** Rank of urgency; 0 is the most urgent. */
export function getPriority({ account, route }: PendingRequest): number {
  return account?.priority ?? route.priority;
}
