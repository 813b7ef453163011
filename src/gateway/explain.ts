/**
 * Explains where a request would go now, and why, without sending it: it calls the
 * functions that decide about requests and changes nothing that they depend on. It
 * takes no token, does not advance the split and records nothing at targets. Only
 * caches of computed values (rankings) may be filled.
 *
 * What depends on the request itself is left out: its body (poison requests,
 * memory) and its id, by which requests without an affinity key are spread.
 */
import * as Debug from "../debug.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as AccountPool from "./account_pool.ts";
import * as Choice from "./choice.ts";
import * as EligibleTargets from "./eligible_targets.ts";
import * as ExplainTypes from "./explain_types.ts";
import * as Overload from "./overload.ts";
import * as PendingRequest from "./pending_request.ts";
import * as Placement from "./placement.ts";
import * as Rejection from "./rejection.ts";
import * as Routes from "./routes.ts";
import * as Sender from "./sender.ts";
import type * as GatewayTypes from "./types.ts";

/** Names listed in an error, so that it stays readable. */
const MAX_LISTED = 12;

/** Dependencies of the explanation: those of the request path, and this instance. */
export interface ExplainOptions {
  readonly deps: PendingRequest.ForwarderDeps;
  readonly self: Types.InstanceId;
  readonly getMemberState: () => Types.MemberState;
}

/** Answers the queries of the operators' tool. */
export type Explain = (params: unknown) => ExplainTypes.Answer;

/** Creates the function that answers queries. */
export function createExplain(opts: ExplainOptions): Explain {
  const { deps, self } = opts;
  const { clock, state, targetLimits } = deps;
  // Checking a target's rate limit accrues its tokens; the explanation only looks.
  const sender = Sender.createSender({
    ...deps,
    targetLimits: { ...targetLimits, canSend: targetLimits.peekCanSend },
  });

  function explainCandidate(
    candidate: Choice.Candidate,
    profile: Choice.RequestProfile,
    chosen: Choice.Candidate | undefined,
    isHeld: boolean,
  ): ExplainTypes.CandidateView {
    const { entry, region } = candidate.target;
    const load = deps.loads.tryGetKnowledge(entry.id);
    return {
      target: entry.id,
      region,
      domain: entry.domain,
      rank: candidate.rank,
      verdict: candidate === chosen
        ? "chosen"
        : getVerdict(candidate, profile, isHeld),
      slots: entry.slots,
      outstanding: candidate.outstanding,
      ownInFlight: load?.inFlight ?? 0,
      report: load?.report,
      reportAgeMs: round(load?.reportAgeMs),
      peerReportAgeMs: round(load?.peerReportAgeMs),
      isCold: candidate.isCold,
      pause: candidate.isPaused ? getPause(entry) : undefined,
      shedShare: candidate.shedShare,
      cacheHitChance: candidate.cacheHitChance,
      warmupRemainingMs: round(candidate.warmupRemainingMs),
      roundTripMs: round(candidate.roundTripMs)!,
      queueWaitMs: round(Choice.getQueueWaitMs(candidate, profile))!,
      waitBoundMs: round(Choice.getWaitBoundMs(candidate, profile))!,
      expectedMs: round(Choice.getExpectedResponseMs(candidate, profile))!,
      costMs: round(Choice.getCostMs(candidate, profile)),
    };
  }

  function getPause(entry: GatewayTypes.TargetEntry): ExplainTypes.PauseView {
    const statement = deps.statements.tryGet(entry);
    if (statement?.kind === "wants-nothing") {
      const leftMs = statement.untilMs - clock.nowMs();
      return { reason: "wants-nothing", leftMs: Math.round(leftMs) };
    }
    const load = deps.loads.tryGetKnowledge(entry.id);
    return {
      reason: "failures",
      failures: load?.failures ?? 0,
      leftMs: Math.round(load?.pauseLeftMs ?? 0),
    };
  }

  /** Explains the request as one for the service. */
  function explainService(
    { service, weight }: GatewayTypes.RouteBackend,
    facts: Omit<PendingRequest.RequestFacts, "service">,
  ): ExplainTypes.ServiceView {
    const { account, route } = facts;
    const request = { ...facts, service };
    const eligible = EligibleTargets.getEligibleTargets(
      state,
      service,
      route,
      account,
    );
    const totalWeight = route.backends.reduce(
      (sum, backend) => sum + Math.max(0, backend.weight),
      0,
    );
    // In the order of the forwarder, whose admission under overload is by chance:
    // the choice is that of an admitted request.
    const profile = sender.getProfile(request);
    const candidates = sender.getCandidates(request);
    const shares = deps.overload.getShares(
      PendingRequest.getOverloadRequest(deps, request),
      candidates,
      profile,
    );
    const admitted = candidates.filter((_, i) => shares[i]! > 0);
    const usableShares = shares.filter((_, i) =>
      Overload.isUsable(candidates[i]!)
    );
    const { choice, rule } = Choice.decide(admitted, profile);
    const chosen = choice.kind === "reject" ? undefined : choice.candidate;
    return {
      service,
      share: totalWeight > 0 ? Math.max(0, weight) / totalWeight : 0,
      eligibleTargets: eligible.targets.length,
      profile: {
        priority: profile.priority,
        deadlineMs: round(profile.deadlineMs)!,
        targetLatencyMs: profile.targetLatencyMs,
        cacheHitMs: round(profile.cacheHitMs)!,
        cacheMissMs: round(profile.cacheMissMs)!,
      },
      admittedShare: usableShares.length === 0
        ? 1
        : Math.min(1, Math.max(...usableShares)),
      candidates: candidates.map((candidate) =>
        explainCandidate(
          candidate,
          profile,
          chosen,
          !admitted.includes(candidate),
        )
      ),
      decision: formatChoice(choice, rule, candidates),
    };
  }

  function formatChoice(
    choice: Choice.Choice,
    rule: Choice.Rule,
    candidates: readonly Choice.Candidate[],
  ): ExplainTypes.Decision {
    switch (choice.kind) {
      case "reject":
        if (choice.reason === "no-target" && deps.reach.isLimited()) {
          return { kind: "relay", rule };
        }
        return formatRejection(
          sender.createRejection(choice, candidates),
          rule,
        );
      case "wait": {
        const { id } = choice.candidate.target.entry;
        return { kind: "wait", target: id, maxMs: round(choice.maxMs)!, rule };
      }
      case "send":
        return { kind: "send", target: choice.candidate.target.entry.id, rule };
      default:
        return Debug.assertNever(choice);
    }
  }

  /** Decides what comes before the choice of a target, in the order of the intake. */
  function explainAdmission(
    route: GatewayTypes.Route,
    account: GatewayTypes.AccountSpec | undefined,
    limit: AccountPool.AccountView | undefined,
  ): ExplainTypes.Decision {
    if (account === undefined && !route.isKeyOptional) {
      const rejection = Rejection.createRejection("keyMissing", "not-run");
      return formatRejection(rejection, "key-required");
    }
    // An instance without targets relays the request before it takes a token.
    if (deps.reach.isStranded()) {
      return { kind: "relay", rule: "no-target-reached" };
    }
    if (limit === undefined || limit.result === "acquired") {
      return { kind: "admit", rule: "within-limit" };
    }
    if (limit.result === "asks-coordinator") {
      return {
        kind: "ask",
        instance: limit.coordinator,
        rule: "no-token-here",
      };
    }
    const rejection = Rejection.createRejection(
      "accountLimit",
      "not-run",
      limit.result.retryAfterMs,
    );
    return formatRejection(rejection, "account-limit");
  }

  return (params) => {
    const query = ExplainTypes.tryReadQuery(params);
    if (query === undefined) {
      return fail("badRequest", "a query has host, path and short texts");
    }
    const config = state.getConfig();
    if (config === undefined) return fail("configUnknown", "");
    const host = Routes.getHostName(query.host);
    const route = Routes.tryFindRoute(config, query.host, query.path);
    if (route === undefined) {
      const routes = config.routesByHost.get(host);
      const known = routes?.map(({ pathPrefix }) => pathPrefix) ??
        [...config.routesByHost.keys()];
      const unknown = routes === undefined ? "host" : "path";
      return fail("noSuchRoute", `unknown ${unknown}; ${list(known)}`);
    }
    const account = query.account === undefined
      ? undefined
      : config.accounts.get(query.account);
    if (account === undefined && query.account !== undefined) {
      // The name is not repeated: it may be a key that was given by mistake.
      return fail("noSuchAccount", list([...config.accounts.keys()]));
    }
    const limit = account === undefined
      ? undefined
      : deps.accounts.peek(account);
    const admission = explainAdmission(route, account, limit);
    const affinityKey = query.keyObject ?? Placement.createSpreadKey("");
    const facts = {
      account,
      affinityKey,
      deadlineAtMs: clock.nowMs() + route.timeoutMs,
      route,
      triedTargets: new Set<Types.TargetId>(),
    };
    return {
      kind: "explanation",
      instance: self,
      instanceState: opts.getMemberState(),
      configVersion: config.version,
      method: query.method,
      host,
      path: query.path.split("?")[0]!,
      route: {
        name: route.name,
        pathPrefix: route.pathPrefix,
        isRepeatable: route.isRepeatable,
        timeoutMs: route.timeoutMs,
        maxTargets: route.maxTargets,
      },
      homeRegions: EligibleTargets.getHomeRegions(route, account) ?? "all",
      account: account === undefined || limit === undefined ? undefined : {
        name: account.name,
        ratePerS: account.ratePerS,
        burst: account.burst,
        coordinator: limit.coordinator,
        domainShare: limit.domainShare,
        domainRatePerS: limit.ratePerS,
        tokens: limit.tokens,
      },
      affinityKey,
      isSpread: query.keyObject === undefined,
      canOpenConnections: !deps.reach.isLimited(),
      admission,
      services: route.backends.map((backend) => explainService(backend, facts)),
    };
  };
}

/** Why the candidate was not chosen, in the order in which the choice checks it. */
function getVerdict(
  candidate: Choice.Candidate,
  profile: Choice.RequestProfile,
  isHeld: boolean,
): ExplainTypes.Verdict {
  if (candidate.isPaused) return "paused";
  if (isHeld) return "service-overloaded";
  if (candidate.isExcluded) return "outside-working-set";
  if (candidate.isRateLimitReached) return "rate-limit-reached";
  if (Choice.isFull(candidate)) return "full";
  if (!Choice.isWithinWaitBound(candidate, profile)) return "over-wait-bound";
  if (candidate.shedShare >= Choice.MAX_SHED_SHARE) return "sheds";
  return "available";
}

function formatRejection(
  { code, retryAfterMs, status }: Rejection.Rejection,
  rule: ExplainTypes.Rule,
): ExplainTypes.Decision {
  return {
    kind: "reject",
    code: ResultCodes.codes[code].number,
    name: ResultCodes.codes[code].name,
    status,
    retryAfterMs: round(retryAfterMs),
    rule,
  };
}

function fail(
  code: ExplainTypes.ErrorCode,
  detail: string,
): ExplainTypes.Answer {
  return { kind: "error", code, detail };
}

function list(names: readonly string[]): string {
  const listed = names.slice(0, MAX_LISTED).join(", ");
  const omitted = names.length - MAX_LISTED;
  return `known: ${listed}${omitted > 0 ? ` and ${omitted} more` : ""}`;
}

/** Rounds to tenths; undefined for an infinite value, which JSON can't express. */
function round(value: number | undefined): number | undefined {
  const isFinite = value !== undefined && Number.isFinite(value);
  return isFinite ? Math.round(value * 10) / 10 : undefined;
}
