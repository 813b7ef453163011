/** RPC methods for peers and the operators' tool that read from several modules. */
import type * as Budgets from "../budget/budgets.ts";
import type * as Context from "../admission/context.ts";
import type * as Contracts from "../contracts.ts";
import type * as Steering from "../steering/steering.ts";
import type * as Types from "../types.ts";
import type * as HeartbeatState from "./heartbeat.ts";

/** Modules from which the methods read. */
export interface RpcSources {
  readonly deps: Context.Deps;
  readonly heartbeat: HeartbeatState.HeartbeatState;
  readonly steering: Steering.RampedSteering;
  readonly budgets: Budgets.Budgets;
  readonly metrics: Contracts.Metrics;
  readonly peers: Contracts.PeerNet;
}

/** A budget in the responses of `status` and `explain`. */
interface BudgetView extends Contracts.BudgetAllocation {
  readonly key: Contracts.BudgetKey;
}

function getBudgetKeys(
  rules: Types.ServiceRules,
  account?: Types.Account,
): readonly Contracts.BudgetKey[] {
  const { service, rows } = rules;
  const accounts = account === undefined
    ? new Set(rows.flatMap((row) => [...row.accounts.keys()]))
    : new Set([account]);
  return [
    ...[...accounts].map((accountName) => `acct/${service}/${accountName}`),
    ...rows.map((row) => `cap/${service}/${row.region}`),
    ...rows.map((row) => `link/${service}/${row.region}/in`),
    ...rows.map((row) => `link/${service}/${row.region}/out`),
  ];
}

function getBudgetViews(
  budgets: Contracts.Budgets,
  keys: readonly Contracts.BudgetKey[],
): readonly BudgetView[] {
  return keys.map((key) => ({ key, ...budgets.getAllocation(key) }));
}

function getStatus(sources: RpcSources): unknown {
  const { deps, heartbeat, budgets } = sources;
  const table = deps.config.getTable();
  const allRules = [...table?.services.values() ?? []];
  return {
    ...heartbeat.get(),
    budgetsValid: budgets.isValid(),
    budgetMode: budgets.getMode(),
    keysCurrent: deps.freshness.isCurrent(),
    members: sources.peers.getMembers().map((member) => ({
      ...member.heartbeat,
      ageMs: Math.round(member.ageMs),
      isReachable: member.isReachable,
    })),
    targets: deps.targets.list(),
    budgets: allRules.flatMap((serviceRules) =>
      getBudgetViews(budgets, getBudgetKeys(serviceRules))
    ),
    ledger: deps.ledger.getSize(),
  };
}

/** Parameters of `explain`. */
interface ExplainParams {
  readonly service: Types.Service;
  readonly account: Types.Account;
}

/**
 * Describes how this instance would handle a request from its own region now. The
 * tool queries an instance in the caller's region.
 */
function explain(sources: RpcSources, params: ExplainParams): unknown {
  const { deps, budgets, steering } = sources;
  const rules = deps.config.getTable()?.services.get(params.service);
  if (rules === undefined) {
    const knownServices = [...deps.config.getTable()?.services.keys() ?? []];
    throw new Error(
      `no service ${params.service} in the table; known: ${
        knownServices.join(", ")
      }`,
    );
  }
  const accounts = new Set(
    rules.rows.flatMap((row) => [...row.accounts.keys()]),
  );
  if (!accounts.has(params.account)) {
    throw new Error(
      `no account ${params.account} at ${params.service}; known: ${
        [...accounts].join(", ")
      }`,
    );
  }
  const weights = steering.getEffectiveWeights(params.service);
  const targets = deps.targets.list()
    .filter((target) => target.service === params.service);
  return {
    instance: sources.peers.self,
    region: deps.region,
    keysCurrent: deps.freshness.isCurrent(),
    budgetsValid: budgets.isValid(),
    regions: rules.rows.map((row) => ({
      region: row.region,
      tableWeight: row.weight,
      shareOfCallersPct: weights.get(row.region),
      usableTargets: targets.filter((target) =>
        target.region === row.region &&
        (target.state === "usable" || target.state === "cold")
      ).length,
      hasUsable: deps.targets.hasUsable(params.service, row.region),
    })),
    budgets: getBudgetViews(budgets, getBudgetKeys(rules, params.account)),
    queueLength: deps.queue.getLength(params.service),
  };
}

/** Registers the methods `status`, `explain`, `report.burn` and `steering.ramp`. */
export function registerMethods(sources: RpcSources): void {
  const { peers } = sources;
  peers.handle("status", () => getStatus(sources));
  peers.handle(
    "explain",
    (params) => explain(sources, params as ExplainParams),
  );
  peers.handle("report.burn", () => sources.metrics.getBurnSnapshot());
  peers.handle("steering.ramp", () => sources.steering.exportRamp());
}
