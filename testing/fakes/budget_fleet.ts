/**
 * Instances for the budget tests that can be killed and paused, on manual time,
 * a network with losses, delays and duplicates, and a store with leases.
 * Everything random comes from one seed.
 */
import { Ok, type Result } from "ts-results-es";
import * as Budgets from "../../src/budget/budgets.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as Log from "../../src/log.ts";
import * as Dial from "../../src/peer/dial.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Supervisor from "../../src/supervisor.ts";
import type * as Types from "../../src/types.ts";
import * as Random from "../load/random.ts";
import * as Network from "./budget_network.ts";
import * as Node from "./budget_node.ts";
import * as Store from "./budget_store.ts";
import * as ManualTime from "./manual_time.ts";

type Failure = ResultCodes.Failure;

/** What a fleet is started with; durations as the settings name them. */
export interface FleetOptions {
  readonly seed: number;
  readonly noise: Network.Noise;
  readonly ttlMs?: number;
  readonly renewMs?: number;
  readonly stalenessLimitMs?: number;
  readonly onSilentPeer?: "suspend" | "keep";
}

/** Creates a fleet without instances. */
export function createFleet(opts: FleetOptions) {
  const time = ManualTime.createTime();
  const random = Random.createRandom(opts.seed);
  const network = Network.createNetwork(time, random, opts.noise);
  const store = Store.createStore(time, network);
  const nodes = new Map<string, Node.Node>();
  const log = Log.createLogger("error");
  let runs = 0;

  async function deliver(
    to: string,
    method: string,
    params: unknown,
    from: string,
  ): Promise<unknown> {
    const target = nodes.get(to);
    if (target === undefined) return Node.NEVER;
    await Node.enter(target);
    const handler = target.handlers.get(method);
    if (handler === undefined) throw new Error(`no ${method}`);
    // As on a wire: later changes of the sender's objects do not show.
    const copy = JSON.parse(JSON.stringify(params));
    const result = await handler(copy, from);
    await Node.enter(target);
    return JSON.parse(JSON.stringify(result));
  }

  function createPeers(
    id: string,
    incarnation: string,
    getNode: () => Node.Node,
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
          await network.travel(node.id, id, 5);
          if (nodes.get(id)?.isDead) {
            return ResultCodes.fail("peerUnreachable", Dial.REFUSED_DETAIL);
          }
          const isTwice = network.isTwice();
          if (isTwice) {
            void deliver(id, method, params, node.id).catch(() => {});
          }
          try {
            const value = await deliver(id, method, params, node.id);
            await network.travel(id, node.id, 5);
            return Ok(value as T);
          } catch (err) {
            return ResultCodes.fail("peerError", String(err));
          }
        };
        const timeout = time.sleep(timeoutMs).then(() =>
          ResultCodes.fail("peerTimeout")
        );
        const result = await Promise.race([work(), timeout]);
        await Node.enter(node);
        return result;
      },
      notifyAll: () => {},
      notify: () => {},
      handle: (method, fn) => void getNode().handlers.set(method, fn),
      onHeartbeat: () => {},
      addPeerAddresses: () => {},
    };
  }

  function sendHeartbeats(node: Node.Node): void {
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
      void network.travel(id, other.id, 5).then(async () => {
        await Node.enter(other);
        other.heard.set(id, { heartbeat, atMs: time.nowMs() });
      });
    }
  }

  function addNode(id: string, domain: string, table: Types.Table): Node.Node {
    const incarnation = `${id}.${++runs}`;
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
          await Node.enter(node);
        }
      })();
    };
    // The budgets register handlers while they are created.
    const handlers = new Map<string, Contracts.RpcHandler>();
    const node = { id, domain, incarnation, handlers } as unknown as Node.Node;
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
      platform: store.createClient(getNode),
      peers: createPeers(id, incarnation, getNode),
      supervisor: { name: id, every } as unknown as Supervisor.Supervisor,
      log,
      clock: time,
      random,
      sleep: (ms) => time.sleep(ms).then(() => Node.enter(node)),
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
    records: store.records,
    addNode,
    get: (id: string) => nodes.get(id)!,
    setNoise: network.setNoise,
    setStoreUp: store.setUp,
    cut: network.cut,
    heal: network.heal,
    kill: (id: string) => void (nodes.get(id)!.isDead = true),
    pause: (id: string) => void (nodes.get(id)!.resume ??= Node.createGate()),
    hold: store.hold,
    release: store.release,
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

/** Instances and what a test does to them. */
export type Fleet = ReturnType<typeof createFleet>;
