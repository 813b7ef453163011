/**
 * Small fakes for the budget tests: manual time, a store with leases, a peer
 * network with losses, delays and duplicates, and instances that can be killed
 * and paused. Everything random comes from one seed.
 */
import { Ok, type Result } from "ts-results-es";
import * as Budgets from "../../src/budget/budgets.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as Log from "../../src/log.ts";
import * as Dial from "../../src/peer/dial.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Supervisor from "../../src/supervisor.ts";
import type * as Types from "../../src/types.ts";

type Failure = ResultCodes.Failure;
const NEVER = new Promise<never>(() => {});
const STORE = "store";

export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Manual time; `advance` runs due timers in order and drains promises after each. */
export function createTime() {
  let now = 1_000;
  let order = 0;
  let timers: { at: number; order: number; fn: () => void }[] = [];
  const settle = () => new Promise<void>((done) => setImmediate(done));
  return {
    nowMs: () => now,
    wallMs: () => now,
    sleep: (ms: number) =>
      new Promise<void>((fn) => {
        timers.push({ at: now + Math.max(0, ms), order: order++, fn });
      }),
    async advance(ms: number): Promise<void> {
      const end = now + ms;
      await settle();
      for (;;) {
        let at = Infinity;
        for (const timer of timers) at = Math.min(at, timer.at);
        if (at > end) break;
        now = Math.max(now, at);
        const due = timers.filter((timer) => timer.at <= at);
        timers = timers.filter((timer) => timer.at > at);
        due.sort((a, b) => a.order - b.order).forEach((timer) => timer.fn());
        await settle();
      }
      now = end;
    },
  };
}

export type Time = ReturnType<typeof createTime>;

/** Share of messages that are lost, delayed for seconds, or delivered twice. */
export interface Noise {
  readonly loss: number;
  readonly late: number;
  readonly twice: number;
}

interface Member {
  readonly heartbeat: Types.Heartbeat;
  readonly atMs: number;
}

/** One run of one instance. */
export interface Node {
  readonly id: string;
  readonly domain: string;
  readonly incarnation: string;
  budgets: Budgets.Budgets;
  heard: Map<string, Member>;
  readonly handlers: Map<string, Contracts.RpcHandler>;
  state: Types.MemberState;
  isDead: boolean;
  table: Types.Table;
  resume:
    | { readonly promise: Promise<void>; readonly fn: () => void }
    | undefined;
}

export interface FleetOptions {
  readonly seed: number;
  readonly noise: Noise;
  readonly ttlMs?: number;
  readonly renewMs?: number;
  readonly stalenessLimitMs?: number;
  readonly onSilentPeer?: "suspend" | "keep";
}

/** Table with one service "s"; `cells` gives rate and burst by account for each region. */
export function createTable(
  revision: number,
  regions: Readonly<Record<string, readonly string[]>>,
  cells: Readonly<Record<string, Types.AccountCell>>,
  capRps = 1_000,
): Types.Table {
  const names = Object.entries(regions);
  const rows = names.map(([region, domains]) => ({
    service: "s",
    region,
    domains,
    weight: 100,
    capRps,
    shiftPctPerS: 10,
    linkMbps: 100,
    accounts: new Map(Object.entries(cells)),
  }));
  const domains = names.flatMap(([region, list]) =>
    list.map((domain) => [domain, region] as const)
  );
  return {
    revision,
    services: new Map([["s", {
      service: "s",
      once: [],
      open: [],
      deadlineMs: 3_000,
      rows,
    }]]),
    accounts: Object.keys(cells),
    domains: new Map(domains),
  };
}

function createGate() {
  let fn = () => {};
  const promise = new Promise<void>((done) => (fn = done));
  return { promise, fn };
}

export function createFleet(opts: FleetOptions) {
  const time = createTime();
  const random = createRandom(opts.seed);
  const nodes = new Map<string, Node>();
  const cuts = new Set<string>();
  const records = new Map<
    string,
    { value: string; version: number; leaseId: string | undefined }
  >();
  const leases = new Map<string, { untilMs: number; ttlMs: number }>();
  const log = Log.createLogger("error");
  const calls = new Map<string, number>();
  const held = new Map<string, ReturnType<typeof createGate>>();
  let writes = 0;
  let isStoreUp = true;
  let noise = opts.noise;
  let stored = 0;

  function expireLeases(): void {
    for (const [id, lease] of leases) {
      if (lease.untilMs > time.nowMs()) continue;
      leases.delete(id);
      for (const [key, rec] of records) {
        if (rec.leaseId === id) records.delete(key);
      }
    }
  }

  /** One way of a message; never resolves when it is lost. */
  async function travel(from: string, to: string, ms: number): Promise<void> {
    const isCut = () =>
      cuts.has(`${from}>${to}`) || cuts.has(`${from}>*`) || cuts.has(`*>${to}`);
    if (isCut() || random() < noise.loss) return NEVER;
    const lateMs = random() < noise.late ? random() * 4_000 : 0;
    await time.sleep(ms * (0.5 + random()) + lateMs);
    if (isCut() && lateMs === 0) return NEVER;
  }

  /** Holds everything that a paused process would do; never resolves for a dead one. */
  async function enter(node: Node): Promise<void> {
    while (node.resume !== undefined) await node.resume.promise;
    if (node.isDead) return NEVER;
  }

  async function callStore<T>(
    node: Node,
    name: string,
    op: () => Result<T, Failure>,
  ): Promise<Result<T, Failure>> {
    const call = `${node.id} ${name}`;
    const work = async () => {
      await travel(node.id, STORE, 2);
      calls.set(call, (calls.get(call) ?? 0) + 1);
      await held.get(call)?.promise;
      if (!isStoreUp) return NEVER;
      expireLeases();
      const result = op();
      await travel(STORE, node.id, 2);
      return result;
    };
    const timeout = time.sleep(1_000).then(() =>
      ResultCodes.fail("storeUnreachable")
    );
    const result = await Promise.race([work(), timeout]);
    await enter(node);
    return result;
  }

  function createPlatform(getNode: () => Node): Contracts.PlatformClient {
    const call = <T>(op: () => Result<T, Failure>, name = "read") =>
      callStore(getNode(), name, op);
    const unused = () => Promise.resolve(ResultCodes.fail("internal"));
    const read = (key: string): Contracts.StoreEntry | undefined => {
      const rec = records.get(key);
      return rec && { key, value: rec.value, version: rec.version };
    };
    const list = (prefix: string) =>
      [...records.keys()].filter((key) => key.startsWith(prefix)).sort()
        .map((key) => read(key)!);
    return {
      get: (key) => call(() => Ok(read(key))),
      list: (prefix) => call(() => Ok(list(prefix))),
      cas: (key, expected, value, { leaseId }) =>
        call(() => {
          if ((records.get(key)?.version ?? 0) !== expected) {
            return ResultCodes.fail("storeConflict");
          }
          if (leaseId !== undefined && !leases.has(leaseId)) {
            return ResultCodes.fail("leaseLapsed");
          }
          records.set(key, { value, version: ++writes, leaseId });
          return Ok(writes);
        }, "cas"),
      remove: unused,
      watch: unused,
      grantLease: (ttlMs) =>
        call(() => {
          const id = `lease-${++writes}`;
          leases.set(id, { untilMs: time.nowMs() + ttlMs, ttlMs });
          return Ok(id);
        }),
      renewLease: (id) =>
        call(() => {
          const lease = leases.get(id);
          if (lease === undefined) return ResultCodes.fail("leaseLapsed");
          lease.untilMs = time.nowMs() + lease.ttlMs;
          return Ok(undefined);
        }, "renew"),
      releaseLease: (id) =>
        call(() => {
          const lease = leases.get(id);
          if (lease !== undefined) lease.untilMs = -Infinity;
          expireLeases();
          return Ok(undefined);
        }),
      listInstances: unused,
      getLastAnsweredAtMs: () => undefined,
      isFailing: () => false,
    };
  }

  async function deliver(
    to: string,
    method: string,
    params: unknown,
    from: string,
  ): Promise<unknown> {
    const target = nodes.get(to);
    if (target === undefined) return NEVER;
    await enter(target);
    const handler = target.handlers.get(method);
    if (handler === undefined) throw new Error(`no ${method}`);
    // As on a wire: later changes of the sender's objects do not show.
    const copy = JSON.parse(JSON.stringify(params));
    const result = await handler(copy, from);
    await enter(target);
    return JSON.parse(JSON.stringify(result));
  }

  function createPeers(
    id: string,
    incarnation: string,
    getNode: () => Node,
  ): Contracts.PeerNet {
    const getMembers = () =>
      [...getNode().heard.values()].map(({ heartbeat, atMs }) => {
        const ageMs = time.nowMs() - atMs;
        return { heartbeat, ageMs, isReachable: ageMs < 3_000 };
      });
    return {
      self: id,
      incarnation,
      getMembers,
      tryGetMember: (id) =>
        getMembers().find((member) => member.heartbeat.id === id),
      async call<T>(
        id: string,
        method: string,
        params: unknown,
        timeoutMs: number,
      ): Promise<Result<T, Failure>> {
        const node = getNode();
        const work = async (): Promise<Result<T, Failure>> => {
          await travel(node.id, id, 5);
          if (nodes.get(id)?.isDead) {
            return ResultCodes.fail("peerUnreachable", Dial.REFUSED);
          }
          const isTwice = random() < noise.twice;
          if (isTwice) {
            void deliver(id, method, params, node.id).catch(() => {});
          }
          try {
            const value = await deliver(id, method, params, node.id);
            await travel(id, node.id, 5);
            return Ok(value as T);
          } catch (err) {
            return ResultCodes.fail("peerError", String(err));
          }
        };
        const timeout = time.sleep(timeoutMs).then(() =>
          ResultCodes.fail("peerTimeout")
        );
        const result = await Promise.race([work(), timeout]);
        await enter(node);
        return result;
      },
      notifyAll: () => {},
      handle: (method, fn) => void getNode().handlers.set(method, fn),
      onHeartbeat: () => {},
      addPeerAddresses: () => {},
    };
  }

  function sendHeartbeats(node: Node): void {
    const { id, domain, incarnation, state, table, budgets } = node;
    const heartbeat: Types.Heartbeat = {
      id,
      incarnation,
      domain,
      region: table.domains.get(domain) ?? "",
      state,
      tableRevision: table.revision,
      isTableSettled: budgets.isTableSettled(table.revision),
      keysRevision: 0,
      storeSeenMsAgo: 0,
      isStoreFailing: false,
      relayedStoreSeenMsAgo: 0,
      load: 0,
      shards: budgets.getShards(),
      callerAddress: "",
      peerAddress: "",
    };
    for (const other of nodes.values()) {
      if (other === node) continue;
      void travel(id, other.id, 5).then(async () => {
        await enter(other);
        other.heard.set(id, { heartbeat, atMs: time.nowMs() });
      });
    }
  }

  function addNode(id: string, domain: string, table: Types.Table): Node {
    const incarnation = `${id}.${++stored}`;
    const getNode = () => node;
    const every = (
      _name: string,
      ms: number,
      fn: () => Promise<void> | void,
    ) => {
      void (async () => {
        for (;;) {
          await fn();
          await time.sleep(ms);
          await enter(node);
        }
      })();
    };
    // The budgets register handlers while they are created.
    const handlers = new Map<string, Contracts.RpcHandler>();
    const node = { id, domain, incarnation, handlers } as unknown as Node;
    node.heard = new Map();
    node.state = "live";
    node.isDead = false;
    node.table = table;
    node.resume = undefined;
    node.budgets = Budgets.createBudgets({
      self: id,
      incarnation,
      domain,
      region: table.domains.get(domain) ?? "",
      platform: createPlatform(getNode),
      peers: createPeers(id, incarnation, getNode),
      supervisor: { name: id, every } as unknown as Supervisor.Supervisor,
      log,
      clock: time,
      random,
      sleep: (ms) => time.sleep(ms).then(() => enter(node)),
      cfg: {
        lease: {
          ttlMs: opts.ttlMs ?? 10_000,
          renewMs: opts.renewMs ?? 3_000,
          onSilentPeer: opts.onSilentPeer ?? "suspend",
        },
        keys: {
          stalenessLimitMs: opts.stalenessLimitMs ?? 4_000,
          whenIsolated: "refuse",
        },
        platform: { address: "127.0.0.1:1", timeoutMs: 1_000 },
      },
    });
    nodes.set(id, node);
    node.budgets.setTable(table);
    void node.budgets.start();
    every("heartbeat", 1_000, () => sendHeartbeats(node));
    return node;
  }

  return {
    time,
    random,
    nodes,
    records,
    addNode,
    get: (id: string) => nodes.get(id)!,
    setNoise: (next: Noise) => void (noise = next),
    setStoreUp: (isUp: boolean) => void (isStoreUp = isUp),
    /** Cuts one way; "store" and "*" are names too. */
    cut: (from: string, to: string) => void cuts.add(`${from}>${to}`),
    heal: () => cuts.clear(),
    kill: (id: string) => void (nodes.get(id)!.isDead = true),
    pause: (id: string) => void (nodes.get(id)!.resume ??= createGate()),
    /** Calls of that name ("cas", "renew") wait at the store until `release`; gives their count so far. */
    hold: (id: string, name: string) => {
      held.set(`${id} ${name}`, createGate());
      const before = calls.get(`${id} ${name}`) ?? 0;
      return () => (calls.get(`${id} ${name}`) ?? 0) - before;
    },
    release(): void {
      const gates = [...held.values()];
      held.clear();
      for (const gate of gates) gate.fn();
    },
    resume(id: string): void {
      const node = nodes.get(id)!;
      const { resume } = node;
      node.resume = undefined;
      resume?.fn();
    },
    canRun: (id: string) => {
      const node = nodes.get(id);
      return node !== undefined && !node.isDead && node.resume === undefined;
    },
    setTable(id: string, table: Types.Table): void {
      Object.assign(nodes.get(id)!, { table }).budgets.setTable(table);
    },
  };
}

export type Fleet = ReturnType<typeof createFleet>;

/** One admitted request; `isRefunded` once it turned out not to run. */
export interface Admission {
  readonly atMs: number;
  readonly tokens: number;
  isRefunded: boolean;
}

/** A limit in force from a time on. */
export interface TimedLimit {
  readonly fromMs: number;
  readonly rate: number;
  readonly burst: number;
}

/**
 * The most tokens by which any window exceeds burst + rate x t; at most 0 when
 * the limit holds. A bucket that starts full and may not go below 0 says the
 * same as the bound over every window.
 */
export function findExcess(
  admissions: readonly Admission[],
  limits: readonly TimedLimit[],
): number {
  const ran = admissions.filter((one) => !one.isRefunded)
    .toSorted((a, b) => a.atMs - b.atMs);
  let index = 0;
  let limit = limits[0]!;
  let level = limit.burst;
  let atMs = -Infinity;
  let excess = 0;
  const refillTo = (ms: number) => {
    const more = atMs === -Infinity ? 0 : (limit.rate * (ms - atMs)) / 1000;
    level = Math.min(limit.burst, level + more);
    atMs = ms;
  };
  for (const one of ran) {
    while (
      limits[index + 1] !== undefined && limits[index + 1]!.fromMs <= one.atMs
    ) {
      const old = limit;
      refillTo(limits[index + 1]!.fromMs);
      limit = limits[++index]!;
      level = Math.min(
        limit.burst,
        level + Math.max(0, limit.burst - old.burst),
      );
    }
    refillTo(one.atMs);
    level -= one.tokens;
    excess = Math.max(excess, -level);
  }
  return excess;
}
