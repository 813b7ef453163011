import { describe, expect, it } from "vitest";
import * as Client from "../../src/peer/client.ts";
import * as AccountPool from "../../src/gateway/account_pool.ts";
import * as CacheState from "../../src/gateway/cache_state.ts";
import * as Choice from "../../src/gateway/choice.ts";
import * as ColdStart from "../../src/gateway/cold_start.ts";
import * as Explain from "../../src/gateway/explain.ts";
import * as ExplainMethod from "../../src/gateway/explain_method.ts";
import type * as ExplainTypes from "../../src/gateway/explain_types.ts";
import * as Overload from "../../src/gateway/overload.ts";
import type * as PendingRequest from "../../src/gateway/pending_request.ts";
import * as Placement from "../../src/gateway/placement.ts";
import * as Quota from "../../src/gateway/quota.ts";
import * as Split from "../../src/gateway/split.ts";
import * as State from "../../src/gateway/state.ts";
import * as TargetLimits from "../../src/gateway/target_limits.ts";
import * as TargetLoad from "../../src/gateway/target_load.ts";
import * as TargetStatements from "../../src/gateway/target_statements.ts";
import * as Timings from "../../src/gateway/timings.ts";
import * as Warmup from "../../src/gateway/warmup.ts";
import * as WorkingSet from "../../src/gateway/working_set.ts";
import * as RetryBudget from "../../src/retry/retry_budget.ts";
import * as Log from "../../src/log.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";
import * as GatewayNet from "../../testing/fakes/gateway_net.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const QUERY = {
  host: "shop.example",
  path: "/read/17?token=key-hut",
  account: "hut",
  keyObject: "17",
};
const TARGETS = ["t0", "t1", "t2", "t3"];

/** The state of an instance `a1` of four targets, and its explanations; `coordinator` has the account's tokens. */
function createInstance(
  coordinator = "a1",
  reach = { isLimited: false, isStranded: false },
) {
  const clock = ManualTime.createTime();
  const log = Log.createLogger("error", {}, () => {});
  const state = State.createState({
    clock,
    log,
    regionOfDomain: new Map([["north-a", "north"]]),
  });
  const account = Data.createAccount({ ratePerS: 4, burst: 8 });
  const route = Data.createRoute({
    backends: [{ service: "orders", weight: 75 }, { service: "b", weight: 25 }],
  });
  const config = Data.createConfig(7, [account], [route]);
  state.apply({ kind: "config", config });
  for (const id of TARGETS) {
    state.apply({ kind: "target", entry: Data.createEntry(id) });
  }
  const getFleetPosition = () => ({
    domain: "north-a",
    domains: ["north-a"],
    self: "a1",
    members: ["a1", coordinator],
  });
  const quota = Quota.createQuota({
    clock,
    getDomainCount: () => 1,
    getReportMs: () => 1_000,
    slack: 20,
  });
  const accounts = AccountPool.createAccountPool({
    quota,
    peers: GatewayNet.createGatewayNet().createPeers("a1"),
    getCandidates: () => [{ id: coordinator, capacity: 1 }],
    getMembers: () => ["a1"],
    getFleetCount: () => 1,
    slack: 20,
    random: () => 0.5,
    clock,
  });
  accounts.setConfig(config);
  // The parts that send are left out: a call of one would fail the test.
  const deps = {
    clock,
    state,
    accounts,
    cacheState: CacheState.createCacheState(clock),
    coldStarts: ColdStart.createColdStarts({ clock, getFleetPosition }),
    getColdRatePerS: () => 15,
    loads: TargetLoad.createTargetLoads(clock),
    overload: Overload.createOverload({ clock, random: () => 0.5 }),
    placement: Placement.createPlacement({
      origin: "north",
      demand: new Map([["north", 1]]),
    }),
    reach: {
      isLimited: () => reach.isLimited,
      isStranded: () => reach.isStranded,
    },
    retryBudget: RetryBudget.createRetryBudget({ clock }),
    splits: Split.createSplits("a1"),
    statements: TargetStatements.createTargetStatements(clock, log),
    targetLimits: TargetLimits.createTargetLimits({ clock, getFleetPosition }),
    timings: Timings.createTimings(),
    warmups: Warmup.createWarmups(clock),
    workingSets: WorkingSet.createWorkingSets(clock),
  } as unknown as PendingRequest.ForwarderDeps;
  const explain = Explain.createExplain({
    deps,
    self: "a1",
    getMemberState: () => "live",
  });
  return { account, clock, deps, explain, quota, route };
}

type Instance = ReturnType<typeof createInstance>;

const OVERLOAD_PROFILE: Choice.RequestProfile = {
  deadlineMs: 2_000,
  targetLatencyMs: 400,
  priority: 0,
  cacheHitMs: 144,
  cacheMissMs: 480,
  missCostMs: 336,
};

function getExplanation(
  { explain }: Instance,
  query: unknown = QUERY,
): ExplainTypes.Explanation {
  const answer = explain(query);
  if (answer.kind === "error") throw new Error(answer.detail);
  return answer;
}

/** Uses what decides about requests for a while and returns all results; `disturb` is called between the uses. */
async function recordDecisions(
  instance: Instance,
  disturb: () => void,
): Promise<readonly unknown[]> {
  const { account, clock, deps, quota, route } = instance;
  const trace: unknown[] = [];
  deps.targetLimits.recordResponse("t0", 3);
  for (let i = 0; i < 120; i++) {
    await clock.advance(37);
    disturb();
    const id = TARGETS[i % TARGETS.length]!;
    trace.push(await deps.accounts.acquire(account));
    disturb();
    trace.push(deps.splits.chooseService(route));
    deps.retryBudget.recordRequest("orders");
    trace.push(deps.retryBudget.tryAcquireRetry("orders"));
    deps.workingSets.recordAdmission("t1", i % 10 === 0);
    trace.push(deps.workingSets.has("17", "t1"));
    const canSend = deps.targetLimits.canSend("t0");
    if (canSend) deps.targetLimits.recordSend("t0");
    trace.push(canSend, deps.coldStarts.canSend("t2", 15));
    deps.coldStarts.recordSend("t2");
    deps.loads.start(id);
    disturb();
    const outcomes = ["answered", "shed", "broke", "unreachable"] as const;
    deps.loads.end(id, outcomes[i % 7] ?? "answered");
    trace.push(deps.loads.getOutstanding(id), deps.loads.isPaused(id));
    trace.push(deps.warmups.tryGetRemainingMs("17", id));
    const load = { running: 4, waiting: i % 40, slots: 4 };
    deps.overload.recordReport("orders", id, load, OVERLOAD_PROFILE);
    trace.push(deps.overload.isOverloaded("orders"));
    if (i % 20 === 0) trace.push(quota.getDemands());
  }
  return trace;
}

describe("an explanation", () => {
  // Guards against a query that takes a token, moves a split or a budget, or otherwise changes later decisions.
  it.each(["a1", "a2"])(
    "changes no later decision when %s has the account's tokens",
    async (coordinator) => {
      const undisturbed = await recordDecisions(
        createInstance(coordinator),
        () => {},
      );
      const instance = createInstance(coordinator);
      const disturbed = await recordDecisions(instance, () => {
        for (let i = 0; i < 5; i++) {
          getExplanation(instance, { ...QUERY, keyObject: `object ${i}` });
        }
      });
      expect(disturbed).toEqual(undisturbed);
    },
  );

  it("names route, account, shares, and the candidates in order with what is known of each", async () => {
    const instance = createInstance();
    const { deps, clock } = instance;
    deps.loads.start("t1");
    deps.loads.recordReport("t1", { running: 9, waiting: 4, slots: 9 });
    deps.loads.end("t3", "unreachable");
    await clock.advance(120);
    const explanation = getExplanation(instance);
    expect(explanation).toMatchObject({
      configVersion: 7,
      path: "/read/17",
      route: { name: "r-read" },
      account: { name: "hut", ratePerS: 4, coordinator: "a1" },
      admission: { kind: "admit", rule: "within-limit" },
    });
    const [orders, other] = explanation.services;
    expect(orders).toMatchObject({ service: "orders", share: 0.75 });
    expect(other).toMatchObject({
      share: 0.25,
      candidates: [],
      decision: { kind: "reject", code: 124, rule: "no-candidate" },
    });
    const { candidates, decision } = orders!;
    expect(candidates.map(({ rank }) => rank)).toEqual([0, 1, 2, 3]);
    expect(candidates.map(({ target }) => target).toSorted()).toEqual(TARGETS);
    const byTarget = new Map(candidates.map((view) => [view.target, view]));
    expect(byTarget.get("t1")).toMatchObject({
      outstanding: 13,
      ownInFlight: 1,
      reportAgeMs: 120,
      report: { waiting: 4 },
    });
    expect(byTarget.get("t3")).toMatchObject({
      verdict: "paused",
      pause: { reason: "failures", failures: 1, leftMs: 280 },
    });
    expect(decision).toMatchObject({ kind: "send", rule: "lowest-cost" });
    const chosen = candidates.filter(({ verdict }) => verdict === "chosen");
    expect(decision).toMatchObject({ target: chosen[0]!.target });
  });

  it("names the rejection, its delay and its rule when the account's tokens are used up", async () => {
    const instance = createInstance();
    let acquired: Quota.AcquireResult = "acquired";
    while (acquired === "acquired") {
      acquired = await instance.deps.accounts.acquire(instance.account);
    }
    const { admission } = getExplanation(instance);
    expect(admission).toMatchObject({
      kind: "reject",
      code: 120,
      status: 429,
      rule: "account-limit",
    });
    if (admission.kind !== "reject") return;
    expect(admission.retryAfterMs).toBeCloseTo(acquired.retryAfterMs, 0);
  });

  it("says that another instance decides when this one has no token and is not the coordinator", () => {
    expect(getExplanation(createInstance("a2")).admission).toEqual({
      kind: "ask",
      instance: "a2",
      rule: "no-token-here",
    });
  });

  it("names the delay that targets ask for when all candidates want nothing", () => {
    const instance = createInstance();
    for (const id of TARGETS) {
      instance.deps.statements.recordResponse(
        { id, startedAtMs: 1 },
        { isLeaving: false, refusalMs: 2_000 },
      );
    }
    const { candidates, decision } = getExplanation(instance).services[0]!;
    expect(candidates.map(({ pause }) => pause?.reason))
      .toEqual(Array(4).fill("wants-nothing"));
    expect(decision).toMatchObject({
      kind: "reject",
      code: 124,
      rule: "all-paused",
    });
    if (decision.kind !== "reject") return;
    expect(decision.retryAfterMs).toBeGreaterThanOrEqual(2_000);
  });

  it("says that an instance passes the request on when it reaches no target or can open no connection", () => {
    const stranded = { isLimited: false, isStranded: true };
    const { admission } = getExplanation(createInstance("a1", stranded));
    expect(admission).toEqual({ kind: "relay", rule: "no-target-reached" });
    const limited = createInstance("a1", {
      isLimited: true,
      isStranded: false,
    });
    const explanation = getExplanation(limited);
    expect(explanation.canOpenConnections).toBe(false);
    const [orders, other] = explanation.services;
    expect(orders!.decision.kind).toBe("send");
    expect(other!.decision).toEqual({ kind: "relay", rule: "no-candidate" });
  });

  it("says that the route needs a key when no account is named", () => {
    const { account: _, ...query } = QUERY;
    expect(getExplanation(createInstance(), query).admission)
      .toMatchObject({ kind: "reject", code: 101, rule: "key-required" });
  });

  it.each([
    [{ ...QUERY, host: "other" }, "noSuchRoute"],
    [{ ...QUERY, path: "/none" }, "noSuchRoute"],
    [{ ...QUERY, account: "key-hut" }, "noSuchAccount"],
    [{ ...QUERY, path: 3 }, "badRequest"],
    [{ ...QUERY, keyObject: "k".repeat(5_000) }, "badRequest"],
    [undefined, "badRequest"],
    [[], "badRequest"],
  ])(
    "answers %j with the error %s and repeats no key",
    (query, code) => {
      const answer = createInstance().explain(query);
      expect(answer).toMatchObject({ kind: "error", code });
      expect(JSON.stringify(answer)).not.toContain("key-hut");
    },
  );

  // Guards against an answer that leaves out the admission under overload.
  it("states the share of admitted requests and the targets that a key may not spill to", () => {
    const instance = createInstance();
    Object.assign(instance.deps.accounts, { tryGetUsage: () => 1 });
    expect(getExplanation(instance).services[0]!.admittedShare).toBe(1);
    for (let i = 0; i < 50; i++) {
      const load = { running: 4, waiting: 20, slots: 4 };
      const id = TARGETS[i % TARGETS.length]!;
      instance.deps.overload.recordReport("orders", id, load, OVERLOAD_PROFILE);
    }
    const [service] = getExplanation(instance).services;
    expect(service!.admittedShare).toBeLessThan(1);
    const verdicts = service!.candidates.map(({ verdict }) => verdict);
    expect(verdicts.slice(1)).toContain("service-overloaded");
    expect(verdicts[0]).not.toBe("service-overloaded");
  });

  it("contains no key, also when one is given in the query string", () => {
    const explanation = getExplanation(createInstance());
    expect(JSON.stringify(explanation)).not.toContain("key-hut");
  });
});

describe("the rule of a choice", () => {
  const profile: Choice.RequestProfile = {
    deadlineMs: 2_000,
    targetLatencyMs: 400,
    priority: 0,
    cacheHitMs: 144,
    cacheMissMs: 480,
    missCostMs: 336,
  };
  const [target] = Data.createTargets("t", 1, "north");
  const candidate: Choice.Candidate = {
    target: target!,
    rank: 0,
    isPaused: false,
    isCold: false,
    isRateLimitReached: false,
    isExcluded: false,
    outstanding: 0,
    shedShare: 0,
    roundTripMs: 1,
    cacheHitChance: 1,
    warmupRemainingMs: undefined,
  };

  it.each([
    [{}, "lowest-cost"],
    [{ isPaused: true }, "all-paused"],
    [{ isExcluded: true }, "outside-working-sets"],
    [{ isRateLimitReached: true }, "all-full"],
    [{ outstanding: 36 }, "all-full"],
    [{ outstanding: 30 }, "wait-bound"],
    [{ shedShare: 0.5 }, "only-shedding"],
    [{ roundTripMs: 1_900, outstanding: 0 }, "deadline"],
    [{ cacheHitChance: 0, warmupRemainingMs: 80 }, "warm-up"],
  ])("for %j is %s", (overrides, rule) => {
    const candidates = [{ ...candidate, ...overrides }];
    const decision = Choice.decide(candidates, profile);
    expect(decision.rule).toBe(rule);
    expect(Choice.chooseCandidate(candidates, profile)).toEqual(
      decision.choice,
    );
  });
});

describe("explanations of instances on loopback", () => {
  const addCleanup = Cleanups.createCleanups();

  // Guards against an explanation that differs from what the instance does.
  it("name the target that then gets the request, and the tool is let in with the peers' secret", async () => {
    const fleet = await Rig.startFleet(addCleanup, { targets: 4 });
    const client = Client.createPeerClient({
      address: fleet.front.replace(/:\d+$/, ":7220"),
      secret: fleet.kv.get("anvilroute/peer-secret")!,
      id: "anvilroutectl",
    });
    addCleanup(client.close);
    // What an instance of a build without the method answers.
    const unknown = await client.call("gateway.none", QUERY, 2_000);
    expect(unknown.isErr() && unknown.error.code.number).toBe(203);
    const malformed = await client.call(ExplainMethod.METHOD, [3], 2_000);
    expect(malformed.unwrap()).toMatchObject({ code: "badRequest" });
    const { lines } = fleet.instances[0]!;
    expect(lines.join("\n")).toContain("explain-malformed");
    for (let i = 0; i < 12; i++) {
      const keyObject = `object-${i}`;
      const answer = await client.call<ExplainTypes.Answer>(
        ExplainMethod.METHOD,
        { ...QUERY, path: "/read/x", keyObject },
        2_000,
      );
      const explanation = answer.unwrap();
      if (explanation.kind === "error") throw new Error(explanation.detail);
      const { decision } = explanation.services[0]!;
      const ranBefore = fleet.targets.map(({ ran }) => ran.length);
      await Rig.send(fleet.front, "/read/x", {
        headers: { cookie: `X-Affinity-Key=${keyObject}` },
      });
      const served = fleet.targets.filter(({ ran }, index) =>
        ran.length > ranBefore[index]!
      );
      expect(served.map(({ id }) => id)).toEqual([
        decision.kind === "send" ? decision.target : undefined,
      ]);
    }
  });
});
