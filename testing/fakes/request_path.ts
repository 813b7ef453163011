/** Fake modules for tests of the request path, and an instance that uses them. */
import * as Crypto from "node:crypto";
import { Ok } from "ts-results-es";
import * as Admission from "../../src/admission/admission.ts";
import type * as Context from "../../src/admission/context.ts";
import type * as Placement from "../../src/admission/placement.ts";
import * as Clock from "../../src/clock.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as Servers from "../../src/daemon/servers.ts";
import * as Link from "../../src/forward/link.ts";
import * as Exchange from "../../src/forward/exchange.ts";
import * as Log from "../../src/log.ts";
import * as MemoryBudget from "../../src/memory_budget.ts";
import * as Handover from "../../src/once/handover.ts";
import * as Relay from "../../src/once/relay.ts";
import * as Tickets from "../../src/once/tickets.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import * as Table from "../../src/table/table.ts";
import type * as Types from "../../src/types.ts";

/** Secret shared by the instances of a test. */
export const SECRET = "a-secret-for-tests-only";
/** Plaintext key of account `club`. */
export const CLUB_KEY = "club-0123456789abcdefghijklmnop";
/** Plaintext key of account `hut`. */
export const HUT_KEY = "hut-0123456789abcdefghijklmnopq";

const CSV =
  `service,region,domains,weight,cap_rps,shift_pct_per_s,link_mbps,once,open,deadline_ms,rate:club,burst:club,rate:hut,burst:hut
booking,uusimaa,uusimaa-1 uusimaa-2,100,500,5,100,POST /bookings,/fleet,1500,50,50,50,50
`;

/** A logger that writes nothing. */
export const quietLog = Log.createLogger("error", {}, () => {});

/** Returns the digest of a key as it is stored in the keys record. */
export function computeDigest(key: string): string {
  return Crypto.createHash("sha256").update(key).digest("hex");
}

/** Creates budgets that count acquired tokens by key and admit up to `limit` of each, by default without limit. */
export function createFakeBudgets(): Contracts.Budgets & {
  readonly acquiredTokens: Map<string, number>;
  limit: number;
} {
  const acquiredTokens = new Map<string, number>();
  const fake = {
    acquiredTokens,
    limit: Infinity,
    tryAcquire(key: string, tokens: number) {
      const acquired = acquiredTokens.get(key) ?? 0;
      if (acquired + tokens > fake.limit) return false;
      acquiredTokens.set(key, acquired + tokens);
      return true;
    },
    acquire(key: string, tokens: number) {
      return Promise.resolve(
        fake.tryAcquire(key, tokens)
          ? Ok(undefined)
          : ResultCodes.fail("accountLimit"),
      );
    },
    reacquire: () => true,
    refund(key: string, tokens: number) {
      acquiredTokens.set(key, (acquiredTokens.get(key) ?? 0) - tokens);
    },
    getAllocation: () => ({ tokens: 1, rate: 1, burst: 1 }),
    isScarce: () => false,
    getWaitMs: () => 1_000,
    setTable: () => {},
    isValid: () => true,
    getShards: () => [0],
  };
  return fake;
}

/** Creates targets that are chosen in the given order, each with an unlimited number of slots. `verdicts` records the results. */
export function createFakeTargets(
  addresses: readonly Types.Address[],
): Contracts.Targets & { readonly verdicts: string[] } {
  const verdicts: string[] = [];
  const targetViews = addresses.map((address, i): Contracts.TargetView => ({
    id: `t${i + 1}`,
    service: "booking",
    domain: "uusimaa-1",
    region: "uusimaa",
    address,
    slots: 4,
    state: "usable",
    inFlight: 0,
    reportedInUse: 0,
  }));
  return {
    verdicts,
    tryAcquire(_service, _region, exclude) {
      const target = targetViews.find((view) => exclude?.has(view.id) !== true);
      return target && {
        target,
        release: (verdict) => verdicts.push(`${target.id}:${verdict.kind}`),
        markLeaving: () => verdicts.push(`${target.id}:leaving`),
        getOwnedSlots: () => target.slots,
      };
    },
    hasUsable: () => targetViews.length > 0,
    onSlotFree: () => {},
    list: () => targetViews,
    setInstances: () => {},
  };
}

/** Creates a queue that starts an entry at once or rejects it. */
export function createFakeQueue(): Contracts.FairQueue<Placement.Placement> {
  return {
    wait(_entry, tryStart) {
      const placement = tryStart();
      return Promise.resolve(
        placement === undefined ? ResultCodes.fail("queueFull") : Ok(placement),
      );
    },
    wake: () => {},
    getLength: () => 0,
  };
}

/** Creates the keys of the accounts `club` and `hut`; a test can withdraw digests. */
export function createFakeKeys(): Contracts.Keys & {
  readonly withdrawn: Set<string>;
} {
  const accounts = new Map([
    [computeDigest(CLUB_KEY), "club"],
    [computeDigest(HUT_KEY), "hut"],
  ]);
  const withdrawn = new Set<string>();
  function checkDigest(digest: string) {
    const account = accounts.get(digest);
    if (withdrawn.has(digest)) return ResultCodes.fail("keyWithdrawn");
    return account === undefined ? ResultCodes.fail("keyUnknown") : Ok(account);
  }
  return {
    withdrawn,
    setRecord: () => true,
    addWithdrawn: (digests) =>
      digests.forEach((digest) => withdrawn.add(digest)),
    authenticate(key) {
      if (key === undefined) return ResultCodes.fail("keyMissing");
      const digest = computeDigest(key);
      return checkDigest(digest).map((account) => ({ account, digest }));
    },
    checkDigest,
    isKnownKey: (key) => accounts.has(computeDigest(key)),
  };
}

/** Peer networks that call each other directly. Calls from and to `cutInstances` fail. */
export interface FakeNet {
  createPeer(id: string, getCallerAddress: () => string): Contracts.PeerNet;
  readonly cutInstances: Set<string>;
}

/** Creates a network without instances. */
export function createFakeNet(): FakeNet {
  const peers = new Map<
    string,
    {
      handlers: Map<string, Contracts.RpcHandler>;
      getCallerAddress: () => string;
    }
  >();
  const cutInstances = new Set<string>();
  function getMember(id: string): Types.Member | undefined {
    const peer = peers.get(id);
    if (peer === undefined) return undefined;
    const heartbeat = {
      id,
      incarnation: "i1",
      domain: "uusimaa-1",
      region: "uusimaa",
      state: "live",
      callerAddress: peer.getCallerAddress(),
    } as Types.Heartbeat;
    return { heartbeat, ageMs: 0, isReachable: !cutInstances.has(id) };
  }
  function createPeer(
    self: string,
    getCallerAddress: () => string,
  ): Contracts.PeerNet {
    const handlers = new Map<string, Contracts.RpcHandler>();
    peers.set(self, { handlers, getCallerAddress });
    async function call(id: string, method: string, params: unknown) {
      const handler = peers.get(id)?.handlers.get(method);
      if (
        handler === undefined || cutInstances.has(id) || cutInstances.has(self)
      ) {
        return ResultCodes.fail("peerUnreachable");
      }
      try {
        return Ok(await handler(JSON.parse(JSON.stringify(params)), self));
      } catch (err) {
        return ResultCodes.fail("peerError", String(err));
      }
    }
    return {
      self,
      incarnation: "i1",
      getMembers: () =>
        [...peers.keys()].filter((id) => id !== self)
          .flatMap((id) => getMember(id) ?? []),
      tryGetMember: getMember,
      call: call as Contracts.PeerNet["call"],
      notifyAll(method, params) {
        for (const id of peers.keys()) {
          if (id !== self) void call(id, method, params);
        }
      },
      notify(ids, method, params) {
        for (const id of ids) void call(id, method, params);
      },
      handle: (method, handler) => void handlers.set(method, handler),
      onHeartbeat: () => {},
      addPeerAddresses: () => {},
    };
  }
  return { createPeer, cutInstances };
}

/** The request path of an instance with a real listener and fake modules. */
export interface TestInstance {
  readonly address: Types.Address;
  readonly deps: Context.Deps;
  readonly budgets: ReturnType<typeof createFakeBudgets>;
  readonly targets: ReturnType<typeof createFakeTargets>;
  readonly keys: ReturnType<typeof createFakeKeys>;
  /** Fingerprints that the fake poison detector blocks. */
  readonly blockedFingerprints: Set<string>;
  /** Targets whose connection was lost during a request, once for each loss. */
  readonly connectionLosses: string[];
  readonly records: Contracts.RequestRecord[];
  issueTicket(account?: string): string;
  close(): Promise<void>;
}

/** Starts an instance with the region and domain of the test table on a free loopback port. */
export async function startTestInstance(
  id: string,
  targetAddresses: readonly Types.Address[],
  net: FakeNet = createFakeNet(),
): Promise<TestInstance> {
  let address = "";
  const table = Table.parseTable(CSV, 1).unwrap();
  const budgets = createFakeBudgets();
  const targets = createFakeTargets(targetAddresses);
  const keys = createFakeKeys();
  const blockedFingerprints = new Set<string>();
  const connectionLosses: string[] = [];
  const records: Contracts.RequestRecord[] = [];
  const peers = net.createPeer(id, () => address);
  const clock = Clock.systemClock;
  const exchanger = Exchange.createExchanger({ bufferBytes: 256 * 1024 });
  const deps: Context.Deps = {
    region: "uusimaa",
    config: {
      getTable: () => table,
      getKeysRecord: () => ({
        revision: 1,
        record: { writeId: "w", accounts: {}, withdrawn: [] },
      }),
      onTable: () => {},
      onKeys: () => {},
    },
    freshness: { isCurrent: () => true, getAgeMs: () => 0 },
    keys,
    budgets,
    steering: {
      setTable: () => {},
      chooseRegions: () => ["uusimaa"],
      getEffectiveWeights: () => new Map(),
    },
    targets,
    queue: createFakeQueue(),
    tickets: Tickets.createTickets({
      self: id,
      incarnation: "i1",
      secret: SECRET,
      ttlMs: 60_000,
      clock,
    }),
    ledger: Handover.createLedger({
      maxEntries: 100,
      maxBytes: 100_000,
      clock,
      peers,
      log: quietLog,
    }),
    poison: {
      reportResponse: () => {},
      isBlocked: (fingerprint) => blockedFingerprints.has(fingerprint),
      reportConnectionLoss: (_fingerprint, target) =>
        void connectionLosses.push(target),
      confirmBlock: () => Promise.resolve(),
    },
    retryBudget: { recordRequest: () => {}, tryAcquireRetry: () => true },
    responseSizes: Link.createResponseSizes(),
    peers,
    exchanger,
    relay: Relay.createRelaySigner(SECRET, clock),
    metrics: {
      record: (rec) => void records.push(rec),
      count: () => {},
      gauge: () => {},
      formatText: () => "",
      getBurnSnapshot: () => ({}),
    },
    clock,
    log: quietLog,
    limits: {
      maxBytes: 8 * 1024 * 1024,
      bufferBytes: 256 * 1024,
      memory: MemoryBudget.createMemoryBudget(64 * 1024 * 1024),
    },
    findRoute: Table.findRoute,
  };
  const listener = await Servers.startCallerListener(
    "127.0.0.1:0",
    {
      lookup: (_req, res) => void res.end("{}"),
      service: Admission.createAdmission(deps),
    },
    quietLog,
  );
  address = listener.address;
  return {
    address,
    deps,
    budgets,
    targets,
    keys,
    blockedFingerprints,
    connectionLosses,
    records,
    issueTicket: (account = "club") =>
      deps.tickets.issue(account, "booking", 1)[0] ?? "",
    async close() {
      await exchanger.close();
      await listener.close();
    },
  };
}
