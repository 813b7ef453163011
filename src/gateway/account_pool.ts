/**
 * Client accounts' limits within a failure domain. Load pattern: an account with
 * a few requests a second whose callers are spread over dozens of instances, so
 * that a division among these would leave each with less than one request.
 *
 * One instance of the domain, its keeper, holds the domain's share of each
 * account (`quota.ts`); the others take from it what they need, a little ahead.
 * While the keeper does not answer, an instance has a small reserve of its own;
 * another one becomes keeper when it can't be reached any more.
 * A keeper spends only the part of the share that belongs to those instances that
 * name it, so two keepers of a split domain do not spend it twice.
 */
import type * as Clock from "../clock.ts";
import type * as PeerContracts from "../contracts.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";
import type * as Quota from "./quota.ts";
import type * as GatewayTypes from "./types.ts";

const TAKE_METHOD = "gateway.take";
const RANK_KEY = "account-keeper";
/** A round trip within a domain takes about a millisecond; a busy keeper some more. */
const TAKE_TIMEOUT_MS = 100;
/** Advice to a caller whose keeper did not answer; it is replaced when it stays silent. */
const SILENT_RETRY_MS = 500;
/** Requests are taken ahead for about this time of an account's callers. */
const AHEAD_MS = 250;
/** Most that is taken ahead, so that no instance keeps from others what it may not need. */
const MAX_AHEAD = 8;
/** What was taken ahead and not used is dropped after this time. */
const KEEP_MS = 1_000;
/**
 * Size of the reserves of all the domain's instances, as a part of the domain's
 * share; limits may be exceeded by 10% and some requests.
 */
const RESERVE_PART = 0.12;
/** A naming older than this is no evidence any more. */
const NAMED_MS = 2_500;

/** An instance of the own domain that may be the keeper. */
export interface CoordinatorCandidate {
  readonly id: Types.InstanceId;
  /** Processor share; the largest are preferred. */
  readonly capacity: number;
}

/** Accounts of the domain, as an instance uses them. */
export interface AccountPool {
  setConfig(config: GatewayTypes.RouteConfig): void;
  /** Takes one request of the account's share; otherwise the ms after which there may be one. */
  acquire(account: GatewayTypes.AccountSpec): Promise<Quota.AcquireResult>;
  /** Returns what a request took that did not run. */
  refund(account: GatewayTypes.AccountSpec): void;
  /** The instance that this one takes from. */
  getCoordinator(): Types.InstanceId;
  /** A member of the domain names its keeper. */
  recordCoordinatorVote(from: Types.InstanceId, keeper: Types.InstanceId): void;
}

interface Naming {
  readonly keeper: Types.InstanceId;
  readonly atMs: number;
  /** Before, the keeper that was named until then may still spend. */
  readonly countsFromMs: number;
}

interface Wallet {
  tokens: number;
  takenAtMs: number;
  /** Requests since the keeper last heard of them. */
  asked: number;
  /** Requests a second here, as a moving average. */
  demand: number;
  updatedAtMs: number;
  reserve: number;
}

const DEMAND_TIME_CONSTANT_MS = 1_500;

/** The instance that keeps the domain's accounts: a large one, the same for all who see the same. */
export function chooseCoordinator(
  candidates: readonly CoordinatorCandidate[],
): Types.InstanceId | undefined {
  const most = Math.max(...candidates.map((one) => one.capacity));
  const largest = candidates.filter((one) => one.capacity === most);
  return Rendezvous.rank(RANK_KEY, largest.map(({ id }) => id))[0];
}

/** Creates the pool of the instance's domain and starts to answer its other instances. */
export function createAccountPool(opts: {
  readonly quota: Quota.Quota;
  readonly peers: PeerContracts.PeerNet;
  /** Live instances of the domain, this one included. */
  readonly getCandidates: () => readonly CoordinatorCandidate[];
  /** Instances of the domain that may still spend, this one included. */
  readonly getMembers: () => readonly Types.InstanceId[];
  readonly clock: Clock.Clock;
}): AccountPool {
  const { clock, peers, quota } = opts;
  const { self } = peers;
  const wallets = new Map<Types.Account, Wallet>();
  const namings = new Map<Types.InstanceId, Naming>();
  const pending = new Map<Types.Account, Promise<void>>();
  let chosen: {
    readonly among: readonly CoordinatorCandidate[];
    readonly keeper: Types.InstanceId;
  } = { among: [], keeper: self };

  function getKeeper(): Types.InstanceId {
    const candidates = opts.getCandidates();
    if (candidates !== chosen.among) {
      chosen = {
        among: candidates,
        keeper: chooseCoordinator(candidates) ?? self,
      };
    }
    if (chosen.keeper !== self) noteNaming(self, chosen.keeper);
    return chosen.keeper;
  }

  /** Part of the domain's share that belongs to the instances that name this one. */
  function getNamedPart(): number {
    const now = clock.nowMs();
    noteNaming(self, self);
    let named = 0;
    for (const [id, { atMs, countsFromMs, keeper }] of namings) {
      if (now - atMs > NAMED_MS) namings.delete(id);
      else if (keeper === self && now >= countsFromMs) named++;
    }
    const members = Math.max(1, opts.getMembers().length);
    return Math.min(1, named / members);
  }

  function noteNaming(from: Types.InstanceId, keeper: Types.InstanceId): void {
    const now = clock.nowMs();
    const before = namings.get(from);
    const isSame = before?.keeper === keeper;
    // Who has kept its accounts itself knows that it spends no more for itself.
    const mayOverlap = before !== undefined && !isSame &&
      before.keeper !== from && opts.getMembers().includes(before.keeper);
    namings.set(from, {
      keeper,
      atMs: now,
      countsFromMs: isSame
        ? before.countsFromMs
        : mayOverlap
        ? now + NAMED_MS
        : now,
    });
  }

  function getWallet(account: GatewayTypes.AccountSpec): Wallet {
    const known = wallets.get(account.name);
    if (known !== undefined) return known;
    const created: Wallet = {
      tokens: 0,
      takenAtMs: -Infinity,
      asked: 0,
      demand: 0,
      updatedAtMs: clock.nowMs(),
      reserve: 1,
    };
    wallets.set(account.name, created);
    return created;
  }

  function refresh(account: GatewayTypes.AccountSpec, wallet: Wallet): void {
    const now = clock.nowMs();
    const elapsedMs = now - wallet.updatedAtMs;
    if (elapsedMs <= 0) return;
    wallet.updatedAtMs = now;
    wallet.demand *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
    const ratePerS = account.ratePerS * quota.getShare(account.name) *
      RESERVE_PART / Math.max(1, opts.getMembers().length);
    wallet.reserve = Math.min(1, wallet.reserve + ratePerS * elapsedMs / 1_000);
    if (now - wallet.takenAtMs > KEEP_MS) wallet.tokens = 0;
  }

  async function fetch(
    keeper: Types.InstanceId,
    account: GatewayTypes.AccountSpec,
    wallet: Wallet,
  ): Promise<number> {
    const ahead = Math.floor(wallet.demand * AHEAD_MS / 1_000);
    const { asked } = wallet;
    wallet.asked = 0;
    const reply = await peers.call<unknown>(
      keeper,
      TAKE_METHOD,
      [account.name, asked, 1 + Math.min(ahead, MAX_AHEAD)],
      TAKE_TIMEOUT_MS,
    );
    const answer = reply.isOk() ? tryReadAnswer(reply.value) : undefined;
    if (answer === undefined) {
      wallet.asked += asked;
      return 0;
    }
    wallet.tokens += answer.tokens;
    wallet.takenAtMs = clock.nowMs();
    return answer.retryAfterMs;
  }

  function takeReserve(wallet: Wallet): boolean {
    if (wallet.reserve < 1) return false;
    wallet.reserve--;
    return true;
  }

  /** As the keeper: the account's requests in this domain. */
  function takeOwn(account: GatewayTypes.AccountSpec): Quota.AcquireResult {
    quota.setSpendableShare(getNamedPart());
    return quota.acquire(account, 1);
  }

  async function takeFromKeeper(
    account: GatewayTypes.AccountSpec,
    keeper: Types.InstanceId,
  ): Promise<Quota.AcquireResult> {
    const wallet = getWallet(account);
    refresh(account, wallet);
    wallet.asked++;
    wallet.demand += 1_000 / DEMAND_TIME_CONSTANT_MS;
    if (wallet.tokens >= 1) {
      wallet.tokens--;
      return "taken";
    }
    // One call at a time for an account: others wait for what it brings.
    await pending.get(account.name);
    if (wallet.tokens >= 1) {
      wallet.tokens--;
      return "taken";
    }
    let retryAfterMs = 0;
    const call = fetch(keeper, account, wallet).then((ms) => {
      retryAfterMs = ms;
    });
    pending.set(account.name, call);
    await call;
    if (pending.get(account.name) === call) pending.delete(account.name);
    if (wallet.tokens >= 1) {
      wallet.tokens--;
      return "taken";
    }
    if (retryAfterMs > 0) return { retryAfterMs };
    if (getKeeper() === self) return takeOwn(account);
    return takeReserve(wallet) ? "taken" : { retryAfterMs: SILENT_RETRY_MS };
  }

  function answerTake(params: unknown, from: Types.InstanceId): unknown {
    if (!Array.isArray(params)) return [0, SILENT_RETRY_MS];
    noteNaming(from, self);
    const [name, asked, wanted] = params;
    quota.setSpendableShare(getNamedPart());
    const taken = quota.acquireFor(String(name), Number(asked), Number(wanted));
    return [taken.tokens, Math.round(taken.retryAfterMs)];
  }
  peers.handle(TAKE_METHOD, answerTake);

  return {
    setConfig(config) {
      quota.setConfig(config);
      for (const name of wallets.keys()) {
        if (!config.accounts.has(name)) wallets.delete(name);
      }
    },
    acquire(account) {
      if (account.ratePerS <= 0) return Promise.resolve("taken");
      const keeper = getKeeper();
      if (keeper === self) return Promise.resolve(takeOwn(account));
      return takeFromKeeper(account, keeper);
    },
    refund(account) {
      if (getKeeper() === self) return quota.refund(account.name);
      const wallet = getWallet(account);
      wallet.tokens++;
      wallet.takenAtMs = clock.nowMs();
    },
    getCoordinator: getKeeper,
    recordCoordinatorVote: noteNaming,
  };
}

function tryReadAnswer(
  raw: unknown,
): { readonly tokens: number; readonly retryAfterMs: number } | undefined {
  if (!Array.isArray(raw)) return undefined;
  const [tokens, retryAfterMs] = raw;
  const isGood = typeof tokens === "number" && tokens >= 0 &&
    typeof retryAfterMs === "number" && retryAfterMs >= 0;
  return isGood ? { tokens, retryAfterMs } : undefined;
}
