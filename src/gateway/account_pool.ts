/**
 * Rate limits of client accounts within a failure domain. Load pattern: an account
 * with a few requests per second whose callers are spread over dozens of
 * instances, so that an even split would leave each instance less than one request.
 *
 * One instance of the domain, the coordinator, has the domain's share of each
 * account's limit (`quota.ts`). The other instances acquire tokens from it and
 * prefetch a few. While the coordinator does not respond, an instance uses a small
 * local reserve; when it is unreachable, another instance becomes coordinator.
 *
 * Each instance votes for the coordinator that it uses. A coordinator spends only
 * the fraction of the domain's share that corresponds to its votes, so two
 * coordinators of a partitioned domain do not spend the same share twice.
 */
import type * as Clock from "../clock.ts";
import type * as PeerContracts from "../contracts.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";
import type * as Quota from "./quota.ts";
import type * as GatewayTypes from "./types.ts";

const ACQUIRE_METHOD = "gateway.take";
const RANK_KEY = "account-keeper";
/** A round trip within a domain takes about 1 ms, and longer when the coordinator is busy. */
const ACQUIRE_TIMEOUT_MS = 100;
/** Retry delay for a caller while the coordinator does not respond; an unresponsive coordinator is replaced. */
const NO_RESPONSE_RETRY_MS = 500;
/** Prefetched tokens cover about this time of an account's local demand. */
const PREFETCH_MS = 250;
/** Most prefetched tokens, so that no instance withholds tokens that others need. */
const MAX_PREFETCH_TOKENS = 8;
/** Unused prefetched tokens expire after this time. */
const PREFETCH_EXPIRY_MS = 1_000;
/**
 * Size of the reserves of all instances of the domain together, as a fraction of
 * the domain's share. Limits may be exceeded by 10% and some requests.
 */
const RESERVE_FRACTION = 0.12;
/** Reserves of all instances of the fleet together, as a fraction of the slack by which a limit may be exceeded. */
const RESERVE_SLACK_FRACTION = 0.4;
/** A vote older than this no longer counts. */
const VOTE_EXPIRY_MS = 2_500;

/** An instance of the local domain that may be the coordinator. */
export interface CoordinatorCandidate {
  readonly id: Types.InstanceId;
  /** Processor share; the largest instances are preferred. */
  readonly capacity: number;
}

/** Accounts of the local domain, as one instance uses them. */
export interface AccountPool {
  setConfig(config: GatewayTypes.RouteConfig): void;
  /** Acquires one token of the account's share, or returns the delay after which a retry may succeed. */
  acquire(account: GatewayTypes.AccountSpec): Promise<Quota.AcquireResult>;
  /** Refunds the token of a request that did not run. */
  refund(account: GatewayTypes.AccountSpec): void;
  /** The account's requests of all domains relative to its limit; undefined if the coordinator hasn't reported it lately. */
  tryGetUsage(account: GatewayTypes.AccountSpec): number | undefined;
  /** What `acquire` would find; changes nothing. */
  peek(account: GatewayTypes.AccountSpec): AccountView;
  /** The instance from which this instance acquires tokens. */
  getCoordinator(): Types.InstanceId;
  /** Records which coordinator a member of the domain uses. */
  recordCoordinatorVote(
    voter: Types.InstanceId,
    coordinator: Types.InstanceId,
  ): void;
}

/** Age up to which the usage that a coordinator reported is used, ms; the demand is averaged over half of that. */
const USAGE_VALID_MS = 3_000;
/** An account's limit as one instance knows it. */
export interface AccountView {
  /** The instance that has the domain's share. */
  readonly coordinator: Types.InstanceId;
  /** The domain's share of the limit, 0 to 1. */
  readonly domainShare: number;
  /** Tokens that this instance may spend without asking. */
  readonly tokens: number;
  /** Requests per second that the coordinator may admit; undefined at other instances. */
  readonly ratePerS: number | undefined;
  /** The result; another instance than the coordinator asks it when it has no token. */
  readonly result: Quota.AcquireResult | "asks-coordinator";
}

interface CoordinatorVote {
  readonly coordinator: Types.InstanceId;
  readonly atMs: number;
  /** The vote counts from this time on: the previous coordinator may spend until then. */
  readonly effectiveAtMs: number;
}

interface LocalBucket {
  tokens: number;
  acquiredAtMs: number;
  /** Requests that were not yet reported to the coordinator. */
  unreportedRequests: number;
  /** Requests per second at this instance, as a moving average. */
  demand: number;
  updatedAtMs: number;
  /** The account's usage in the coordinator's last response. */
  usage: number | undefined;
  usageAtMs: number;
  /** Tokens, or the probability of one token, that may be spent without the coordinator. */
  reserve: number;
}

const DEMAND_TIME_CONSTANT_MS = 1_500;

/** Chooses one of the largest candidates; instances that see the same candidates choose the same coordinator. */
export function chooseCoordinator(
  candidates: readonly CoordinatorCandidate[],
): Types.InstanceId | undefined {
  const maxCapacity = Math.max(
    ...candidates.map((candidate) => candidate.capacity),
  );
  const largest = candidates.filter((candidate) =>
    candidate.capacity === maxCapacity
  );
  return Rendezvous.rank(RANK_KEY, largest.map(({ id }) => id))[0];
}

/** Creates the pool of the local domain and starts to respond to the domain's other instances. */
export function createAccountPool(opts: {
  readonly quota: Quota.Quota;
  readonly peers: PeerContracts.PeerNet;
  /** Live instances of the domain, including this instance. */
  readonly getCandidates: () => readonly CoordinatorCandidate[];
  /** Instances of the domain that may still spend tokens, including this instance. */
  readonly getMembers: () => readonly Types.InstanceId[];
  /** Number of instances in all domains. */
  readonly getFleetCount: () => number;
  /** Requests by which an account may exceed its limit in a window. */
  readonly slack: number;
  /** Returns a number from 0 up to 1. */
  readonly random?: () => number;
  readonly clock: Clock.Clock;
}): AccountPool {
  const { clock, peers, quota, random = Math.random } = opts;
  const { self } = peers;
  const localBuckets = new Map<Types.Account, LocalBucket>();
  const votes = new Map<Types.InstanceId, CoordinatorVote>();
  const calls = new Map<Types.Account, Promise<void>>();
  let selection: {
    readonly candidates: readonly CoordinatorCandidate[];
    readonly coordinator: Types.InstanceId;
  } = { candidates: [], coordinator: self };

  /** Selects the coordinator without voting for it. */
  function selectCoordinator(): Types.InstanceId {
    const candidates = opts.getCandidates();
    if (candidates !== selection.candidates) {
      selection = {
        candidates,
        coordinator: chooseCoordinator(candidates) ?? self,
      };
    }
    return selection.coordinator;
  }

  function getCoordinator(): Types.InstanceId {
    selectCoordinator();
    if (selection.coordinator !== self) recordVote(self, selection.coordinator);
    return selection.coordinator;
  }

  /** Fraction of the domain's instances that vote for this instance, if it votes for itself. */
  function computeVoteShare(): number {
    const now = clock.nowMs();
    const own = createVote(self, self);
    let voteCount = now >= own.effectiveAtMs ? 1 : 0;
    for (const [id, { atMs, effectiveAtMs, coordinator }] of votes) {
      if (id === self || now - atMs > VOTE_EXPIRY_MS) continue;
      if (coordinator === self && now >= effectiveAtMs) voteCount++;
    }
    const memberCount = Math.max(1, opts.getMembers().length);
    return Math.min(1, voteCount / memberCount);
  }

  /** Votes for this instance and returns the fraction of the domain's instances that do. */
  function getVoteShare(): number {
    recordVote(self, self);
    for (const [id, { atMs }] of votes) {
      if (clock.nowMs() - atMs > VOTE_EXPIRY_MS) votes.delete(id);
    }
    return computeVoteShare();
  }

  function recordVote(
    voter: Types.InstanceId,
    coordinator: Types.InstanceId,
  ): void {
    votes.set(voter, createVote(voter, coordinator));
  }

  function createVote(
    voter: Types.InstanceId,
    coordinator: Types.InstanceId,
  ): CoordinatorVote {
    const now = clock.nowMs();
    const previous = votes.get(voter);
    const isUnchanged = previous?.coordinator === coordinator;
    // An instance that was its own coordinator has itself stopped spending.
    const mayOverlap = previous !== undefined && !isUnchanged &&
      previous.coordinator !== voter &&
      opts.getMembers().includes(previous.coordinator);
    return {
      coordinator,
      atMs: now,
      effectiveAtMs: isUnchanged
        ? previous.effectiveAtMs
        : mayOverlap
        ? now + VOTE_EXPIRY_MS
        : now,
    };
  }

  /** Most tokens in the reserve of one instance; less than one in a large fleet. */
  function getMaxReserve(): number {
    const fleetReserve = opts.slack * RESERVE_SLACK_FRACTION;
    return Math.min(1, fleetReserve / Math.max(1, opts.getFleetCount()));
  }

  function getLocalBucket(account: GatewayTypes.AccountSpec): LocalBucket {
    const existing = localBuckets.get(account.name);
    if (existing !== undefined) return existing;
    const created: LocalBucket = {
      tokens: 0,
      acquiredAtMs: -Infinity,
      unreportedRequests: 0,
      demand: 0,
      updatedAtMs: clock.nowMs(),
      usage: undefined,
      usageAtMs: -Infinity,
      reserve: getMaxReserve(),
    };
    localBuckets.set(account.name, created);
    return created;
  }

  function updateBucket(
    account: GatewayTypes.AccountSpec,
    bucket: LocalBucket,
  ): void {
    const now = clock.nowMs();
    const elapsedMs = now - bucket.updatedAtMs;
    if (elapsedMs <= 0) return;
    bucket.updatedAtMs = now;
    bucket.demand *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
    const ratePerS = account.ratePerS * quota.getShare(account.name) *
      RESERVE_FRACTION / Math.max(1, opts.getMembers().length);
    bucket.reserve = Math.min(
      getMaxReserve(),
      bucket.reserve + ratePerS * elapsedMs / 1_000,
    );
    if (now - bucket.acquiredAtMs > PREFETCH_EXPIRY_MS) bucket.tokens = 0;
  }

  async function requestTokens(
    coordinator: Types.InstanceId,
    account: GatewayTypes.AccountSpec,
    bucket: LocalBucket,
  ): Promise<number> {
    const prefetchTokens = Math.floor(bucket.demand * PREFETCH_MS / 1_000);
    const { unreportedRequests } = bucket;
    bucket.unreportedRequests = 0;
    const result = await peers.call<unknown>(
      coordinator,
      ACQUIRE_METHOD,
      [
        account.name,
        unreportedRequests,
        1 + Math.min(prefetchTokens, MAX_PREFETCH_TOKENS),
      ],
      ACQUIRE_TIMEOUT_MS,
    );
    const granted = result.isOk() ? tryReadGrant(result.value) : undefined;
    if (granted === undefined) {
      bucket.unreportedRequests += unreportedRequests;
      return 0;
    }
    bucket.tokens += granted.tokens;
    bucket.acquiredAtMs = clock.nowMs();
    bucket.usage = granted.usage;
    bucket.usageAtMs = clock.nowMs();
    return granted.retryAfterMs;
  }

  /** Spends the reserve. A part of a token is spent with its probability, so that the instances of a large fleet together spend their reserves and no more. */
  function tryAcquireReserve(bucket: LocalBucket): boolean {
    const isAcquired = random() < bucket.reserve;
    bucket.reserve = Math.max(0, bucket.reserve - 1);
    return isAcquired;
  }

  /** Acquires a token from the domain's share when this instance is the coordinator. */
  function acquireLocal(
    account: GatewayTypes.AccountSpec,
  ): Quota.AcquireResult {
    quota.setSpendableShare(getVoteShare());
    return quota.acquire(account, 1);
  }

  async function acquireFromCoordinator(
    account: GatewayTypes.AccountSpec,
    coordinator: Types.InstanceId,
  ): Promise<Quota.AcquireResult> {
    const bucket = getLocalBucket(account);
    updateBucket(account, bucket);
    bucket.unreportedRequests++;
    bucket.demand += 1_000 / DEMAND_TIME_CONSTANT_MS;
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      return "acquired";
    }
    // One call at a time per account: other requests wait for its tokens.
    await calls.get(account.name);
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      return "acquired";
    }
    let retryAfterMs = 0;
    const call = requestTokens(coordinator, account, bucket).then((ms) => {
      retryAfterMs = ms;
    });
    calls.set(account.name, call);
    await call;
    if (calls.get(account.name) === call) calls.delete(account.name);
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      return "acquired";
    }
    if (retryAfterMs > 0) return { retryAfterMs };
    if (getCoordinator() === self) return acquireLocal(account);
    return tryAcquireReserve(bucket)
      ? "acquired"
      : { retryAfterMs: NO_RESPONSE_RETRY_MS };
  }

  function peek(account: GatewayTypes.AccountSpec): AccountView {
    const coordinator = selectCoordinator();
    const domainShare = quota.getShare(account.name);
    const isLimited = account.ratePerS > 0;
    if (coordinator === self) {
      const view = quota.tryPeek(account.name, computeVoteShare());
      const isAcquired = !isLimited || view === undefined || view.tokens >= 1;
      return {
        coordinator,
        domainShare,
        tokens: view?.tokens ?? 0,
        ratePerS: view?.ratePerS,
        result: isAcquired ? "acquired" : { retryAfterMs: view.retryAfterMs },
      };
    }
    const bucket = localBuckets.get(account.name);
    const isFresh = bucket !== undefined &&
      clock.nowMs() - bucket.acquiredAtMs <= PREFETCH_EXPIRY_MS;
    const tokens = isFresh ? bucket.tokens : 0;
    const hasToken = !isLimited || tokens >= 1;
    const result = hasToken ? "acquired" : "asks-coordinator";
    return { coordinator, domainShare, tokens, ratePerS: undefined, result };
  }

  function handleAcquire(
    params: unknown,
    requester: Types.InstanceId,
  ): unknown {
    if (!Array.isArray(params)) return [0, NO_RESPONSE_RETRY_MS];
    recordVote(requester, self);
    const [account, newRequests, maxTokens] = params;
    quota.setSpendableShare(getVoteShare());
    const granted = quota.acquireFor(
      String(account),
      Number(newRequests),
      Number(maxTokens),
    );
    const usage = quota.tryGetUsage(String(account));
    // Older builds ignore the third element.
    return [
      granted.tokens,
      Math.round(granted.retryAfterMs),
      usage === undefined ? null : Math.round(usage * 100) / 100,
    ];
  }
  peers.handle(ACQUIRE_METHOD, handleAcquire);

  return {
    setConfig(config) {
      quota.setConfig(config);
      for (const name of localBuckets.keys()) {
        if (!config.accounts.has(name)) localBuckets.delete(name);
      }
    },
    acquire(account) {
      if (account.ratePerS <= 0) return Promise.resolve("acquired");
      const coordinator = getCoordinator();
      if (coordinator === self) return Promise.resolve(acquireLocal(account));
      return acquireFromCoordinator(account, coordinator);
    },
    refund(account) {
      if (getCoordinator() === self) return quota.refund(account.name);
      const bucket = getLocalBucket(account);
      bucket.tokens++;
      bucket.acquiredAtMs = clock.nowMs();
    },
    tryGetUsage(account) {
      if (account.ratePerS <= 0) return undefined;
      if (getCoordinator() === self) return quota.tryGetUsage(account.name);
      const bucket = localBuckets.get(account.name);
      if (bucket === undefined) return undefined;
      const isFresh = clock.nowMs() - bucket.usageAtMs <= USAGE_VALID_MS;
      return isFresh ? bucket.usage : undefined;
    },
    peek,
    getCoordinator,
    recordCoordinatorVote: recordVote,
  };
}

interface Grant extends Quota.GrantedTokens {
  /** The account's usage; undefined from older builds, and for an account without a limit. */
  readonly usage: number | undefined;
}

function tryReadGrant(raw: unknown): Grant | undefined {
  if (!Array.isArray(raw)) return undefined;
  const [tokens, retryAfterMs, rawUsage] = raw;
  const isValid = typeof tokens === "number" && tokens >= 0 &&
    typeof retryAfterMs === "number" && retryAfterMs >= 0;
  if (!isValid) return undefined;
  const isUsageValid = typeof rawUsage === "number" &&
    Number.isFinite(rawUsage) && rawUsage >= 0;
  return { tokens, retryAfterMs, usage: isUsageValid ? rawUsage : undefined };
}
