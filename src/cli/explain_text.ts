/** Formats the explanation of a request as text. */
import * as BurnText from "../burn/text.ts";
import type * as ExplainTypes from "../gateway/explain_types.ts";

/** What each rule says. An instance of another build may name a rule that is missing here. */
const RULE_TEXTS: Readonly<Record<ExplainTypes.Rule, string>> = {
  "key-required": "the route needs a key, and no account was given",
  "no-target-reached": "the instance reaches no target",
  "within-limit": "the account has a token, or no limit",
  "no-token-here": "the account has no token at this instance",
  "account-limit": "the account's part of its limit is used up",
  "no-candidate": "no usable target in the home regions",
  "all-paused": "all candidates are paused",
  "outside-working-sets":
    "the candidates are overloaded and the affinity key is not among those that they serve",
  "all-full": "all candidates are full or have reached their send rate",
  "wait-bound": "the wait would be too long at all candidates",
  "deadline": "the response would come after the deadline",
  "warm-up": "a request that makes the affinity key cached is running there",
  "only-shedding": "all candidates with room shed many requests",
  "lowest-cost": "the lowest cost of the candidates with room",
};

const HEADINGS = [
  "rank",
  "target",
  "region",
  "verdict",
  "state",
  "busy/slots",
  "report",
  "cached",
  "wait/bound ms",
  "expected ms",
  "cost ms",
];
/** Columns of text, which are aligned to the left. */
const TEXT_COLUMNS = 5;

/** Formats a decision without its rule and delays. */
export function formatDecision(decision: ExplainTypes.Decision): string {
  switch (decision.kind) {
    case "admit":
      return "admitted";
    case "ask":
      return `admitted if ${decision.instance} grants a token`;
    case "relay":
      return "passed on to another instance";
    case "send":
      return `sent to ${decision.target}`;
    case "wait":
      return `waits for a request at ${decision.target}`;
    case "reject":
      return `rejected with E${decision.code} ${decision.name}`;
    default:
      // An instance of a newer build may decide in other ways.
      return String((decision as { readonly kind: unknown }).kind);
  }
}

function formatWithRule(decision: ExplainTypes.Decision): string {
  const { kind, rule } = decision;
  const details = [formatDecision(decision)];
  if (kind === "reject") {
    details.push(`status ${decision.status}`);
    if (decision.retryAfterMs !== undefined) {
      details.push(`Retry-After ${(decision.retryAfterMs / 1_000).toFixed(3)}`);
    }
  }
  if (kind === "wait") details.push(`at most ${decision.maxMs} ms`);
  return `${details.join(", ")} (${rule}: ${
    RULE_TEXTS[rule] ?? "unknown rule"
  })`;
}

function formatAge(ms: number | undefined): string | undefined {
  return ms === undefined ? undefined : `${(ms / 1_000).toFixed(1)} s`;
}

function formatReport(candidate: ExplainTypes.CandidateView): string {
  const own = formatAge(candidate.reportAgeMs);
  if (own !== undefined) return own;
  const peers = formatAge(candidate.peerReportAgeMs);
  return peers === undefined ? "none" : `${peers} (peer)`;
}

function formatState({ isCold, pause }: ExplainTypes.CandidateView): string {
  if (pause === undefined) return isCold ? "cold" : "warm";
  const reason = pause.reason === "failures"
    ? `${pause.failures} failures`
    : "wants nothing";
  return `paused ${formatAge(pause.leftMs)}: ${reason}`;
}

function formatCandidate(
  candidate: ExplainTypes.CandidateView,
): readonly string[] {
  return [
    String(candidate.rank),
    candidate.target,
    candidate.region,
    candidate.verdict,
    formatState(candidate),
    `${Math.round(candidate.outstanding * 10) / 10}/${candidate.slots}`,
    formatReport(candidate),
    `${Math.round(candidate.cacheHitChance * 100)}%`,
    `${candidate.queueWaitMs}/${candidate.waitBoundMs}`,
    String(candidate.expectedMs),
    String(candidate.costMs ?? "none"),
  ];
}

function formatService(view: ExplainTypes.ServiceView): readonly string[] {
  const { candidates, decision, eligibleTargets, profile, service } = view;
  const admitted = view.admittedShare < 1
    ? [
      `    overloaded: ${
        Math.round(view.admittedShare * 100)
      }% of such requests` +
      " are admitted",
    ]
    : [];
  const rows = [HEADINGS, ...candidates.map(formatCandidate)];
  return [
    `  service ${service}: ${Math.round(view.share * 100)}% of the route, ` +
    `${eligibleTargets} usable targets, priority ${profile.priority}, ` +
    `cached ${profile.cacheHitMs} ms, not cached ${profile.cacheMissMs} ms`,
    ...(candidates.length === 0
      ? []
      : BurnText.formatColumns(rows, TEXT_COLUMNS).map((row) => `    ${row}`)),
    ...admitted,
    `    ${formatWithRule(decision)}`,
  ];
}

function formatAccount(
  account: NonNullable<ExplainTypes.Explanation["account"]>,
): string {
  const { burst, coordinator, domainRatePerS, name, ratePerS } = account;
  if (ratePerS <= 0) return `  account ${name}: no limit`;
  const share = `${Math.round(account.domainShare * 1_000) / 10}%`;
  const rate = domainRatePerS === undefined
    ? ""
    : `, ${Math.round(domainRatePerS * 10) / 10}/s`;
  return `  account ${name}: ${ratePerS}/s, burst ${burst}; ` +
    `this domain ${share}${rate}; tokens here ` +
    `${Math.round(account.tokens * 10) / 10}; coordinator ${coordinator}`;
}

/** Formats an explanation as lines. */
export function formatExplanation(
  explanation: ExplainTypes.Explanation,
): readonly string[] {
  const { account, affinityKey, homeRegions, route } = explanation;
  const regions = homeRegions === "all" ? "all" : homeRegions.join(" ");
  return [
    `as seen by instance ${explanation.instance} ` +
    `(${explanation.instanceState}, configuration ${explanation.configVersion}):`,
    `  ${explanation.method} ${explanation.host}${explanation.path}`,
    `  route ${route.name} (${route.pathPrefix}), ` +
    `${route.isRepeatable ? "may" : "must not"} run twice, ` +
    `timeout ${route.timeoutMs} ms, home regions: ${regions}`,
    ...(account === undefined ? [] : [formatAccount(account)]),
    explanation.isSpread
      ? "  no affinity key: the request's id would choose other candidates"
      : `  affinity key ${affinityKey}`,
    `  ${formatWithRule(explanation.admission)}`,
    ...(explanation.canOpenConnections
      ? []
      : ["  the instance can open no new connections to targets"]),
    ...explanation.services.flatMap(formatService),
  ];
}
