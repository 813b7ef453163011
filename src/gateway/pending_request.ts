/** A caller request in progress, and the dependencies of the request path. */
import type * as Http from "node:http";
import type * as Clock from "../clock.ts";
import type * as ProductContracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as AccountPool from "./account_pool.ts";
import type * as Attempt from "./attempt.ts";
import type * as Cancellation from "./cancellation.ts";
import type * as ColdStart from "./cold_start.ts";
import type * as ReadBarrier from "./read_barrier.ts";
import type * as Overload from "./overload.ts";
import type * as Placement from "./placement.ts";
import type * as Relay from "./relay.ts";
import type * as RequestLog from "./request_log.ts";
import type * as MemoryBudget from "../memory_budget.ts";
import type * as Split from "./split.ts";
import type * as StateModule from "./state.ts";
import type * as TargetLimits from "./target_limits.ts";
import type * as LoadExchange from "./load_exchange.ts";
import type * as TargetLoad from "./target_load.ts";
import type * as TargetStatements from "./target_statements.ts";
import type * as TargetReach from "./target_reach.ts";
import type * as Timings from "./timings.ts";
import type * as GatewayTypes from "./types.ts";
import type * as Warmup from "./warmup.ts";
import type * as CacheState from "./cache_state.ts";
import type * as WorkingSet from "./working_set.ts";

/** Dependencies of the request path. */
export interface ForwarderDeps {
  readonly state: StateModule.State;
  readonly dialect: GatewayTypes.HeaderDialect;
  readonly attempts: Attempt.Attempts;
  readonly reach: Pick<TargetReach.TargetReach, "isLimited" | "isStranded">;
  readonly relay: Relay.Relay;
  readonly placement: Placement.Placement;
  readonly loads: TargetLoad.TargetLoads;
  readonly loadExchange: Pick<LoadExchange.LoadExchange, "recordReport">;
  readonly targetLimits: TargetLimits.TargetLimits;
  readonly statements: TargetStatements.TargetStatements;
  readonly coldStarts: ColdStart.ColdStarts;
  readonly timings: Timings.Timings;
  readonly cacheState: CacheState.CacheState;
  readonly warmups: Warmup.Warmups;
  readonly accounts: AccountPool.AccountPool;
  readonly splits: Split.Splits;
  readonly retryBudget: ProductContracts.RetryBudget;
  readonly poison: ProductContracts.Poison;
  readonly responseMemory: MemoryBudget.MemoryBudget;
  readonly bodyMemory: MemoryBudget.MemoryBudget;
  readonly metrics: ProductContracts.Metrics;
  readonly log: RequestLog.RequestLog;
  readonly clock: Clock.Clock;
  readonly readBarrier: ReadBarrier.ReadBarrier;
  readonly workingSets: WorkingSet.WorkingSets;
  readonly overload: Overload.Overload;
  /** Requests per second that a cold target of the service may receive from all instances together. */
  readonly getColdRatePerS: (service: Types.Service) => number;
}

/** A request that has no response yet. */
export interface PendingRequest {
  readonly req: Http.IncomingMessage;
  readonly res: Http.ServerResponse;
  readonly callerFields: GatewayTypes.CallerFields;
  readonly route: GatewayTypes.Route;
  readonly account: GatewayTypes.AccountSpec | undefined;
  /** Version of the configuration under which the request was admitted. */
  readonly configVersion: number;
  /** Monotonic ms at which the request headers were read. */
  readonly startedAtMs: number;
  /** Monotonic ms by which the response must leave this instance. */
  readonly deadlineAtMs: number;
  readonly body: Buffer | undefined;
  readonly service: Types.Service;
  /** Affinity key of the caller, or one derived from the request id that spreads requests. */
  readonly affinityKey: string;
  /** Identifies equal requests of an account, for the detection of poison requests. */
  readonly fingerprint: string;
  readonly cancellation: Cancellation.Cancellation;
  /** Targets to which the request was sent, or to which a connection failed. */
  readonly triedTargets: Set<Types.TargetId>;
  /** True while the request holds a token of its account's limit. */
  isAdmitted: boolean;
  /** True if a target may have run the request. */
  mayHaveRun: boolean;
  /** Sends so far, without failed connection attempts. */
  sendCount: number;
}

/** What the choice of a target depends on. */
export type RequestFacts = Pick<
  PendingRequest,
  | "account"
  | "affinityKey"
  | "deadlineAtMs"
  | "route"
  | "service"
  | "triedTargets"
>;

/** Returns the priority of the account, or else of the route; 0 is the most urgent. */
export function getPriority(
  { account, route }: Pick<PendingRequest, "account" | "route">,
): number {
  return account?.priority ?? route.priority;
}

/** Returns what the admission under overload depends on. */
export function getOverloadRequest(
  { accounts }: Pick<ForwarderDeps, "accounts">,
  { account, route, service }: RequestFacts,
): Overload.OverloadRequest {
  const usage = account === undefined
    ? undefined
    : accounts.tryGetUsage(account);
  return { service, timeoutMs: route.timeoutMs, usage };
}
