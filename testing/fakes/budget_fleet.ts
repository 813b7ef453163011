/**
 * Instances with budgets that a test can kill and pause. They run on manual time,
 * over a network with lost, delayed and duplicated messages and a store with
 * leases. All random decisions come from one seed.
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
import * as BudgetInstance from "./budget_instance.ts";
import * as Store from "./budget_store.ts";
import * as ManualTime from "./manual_time.ts";

type Failure = ResultCodes.Failure;

/** Options of a fleet. Durations and `onSilentPeer` have the meaning of the settings of the same name. */
export interface FleetOptions {
  readonly seed: number;
  readonly noise: Network.Noise;
  readonly ttlMs?: number;
  readonly renewMs?: number;
  readonly stalenessLimitMs?: number;
  readonly onSilentPeer?: "suspend" | "keep";
}

/** Creates a fleet without instances; `addInstance` starts one, or a new incarnation of one. */
export function createFleet(opts: FleetOptions) {
  const time = ManualTime.createTime();
  const random = Random.createRandom(opts.seed);
  const network = Network.createNetwork(time, random, opts.noise);
  const store = Store.createStore(time, network);
  const instances = new Map<string, BudgetInstance.Instance>();
  const log = Log.createLogger("error");
  let incarnationCount = 0;

  async function deliver(
    receiverId: string,
    method: string,
    params: unknown,
    senderId: string,
  ): Promise<unknown> {
    const receiver = instances.get(receiverId);
    if (receiver === undefined) return BudgetInstance.NEVER;
    await BudgetInstance.waitUntilRunning(receiver);
    const handler = receiver.handlers.get(method);
    if (handler === undefined) throw new Error(`no ${method}`);
    // The copy keeps later changes of the sender's objects from the receiver, as a real connection does.
    const copy = JSON.parse(JSON.stringify(params));
    const result = await handler(copy, senderId);
    await BudgetInstance.waitUntilRunning(receiver);
    return JSON.parse(JSON.stringify(result));
  }

  function createPeers(
    id: string,
    incarnation: string,
    getInstance: () => BudgetInstance.Instance,
  ): Contracts.PeerNet {
    const getMembers = () =>
      [...getInstance().heartbeats.values()].map(
        ({ heartbeat, receivedAtMs }) => {
          const ageMs = time.nowMs() - receivedAtMs;
          return { heartbeat, ageMs, isReachable: ageMs < 3_000 };
        },
      );
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
        const instance = getInstance();
        const callPeer = async (): Promise<Result<T, Failure>> => {
          await network.transmit(instance.id, id, 5);
          if (instances.get(id)?.isDead) {
            return ResultCodes.fail("peerUnreachable", Dial.REFUSED_DETAIL);
          }
          const isDuplicated = network.drawDuplicate();
          if (isDuplicated) {
            void deliver(id, method, params, instance.id).catch(() => {});
          }
          try {
            const value = await deliver(id, method, params, instance.id);
            await network.transmit(id, instance.id, 5);
            return Ok(value as T);
          } catch (err) {
            return ResultCodes.fail("peerError", String(err));
          }
        };
        const timeout = time.sleep(timeoutMs).then(() =>
          ResultCodes.fail("peerTimeout")
        );
        const result = await Promise.race([callPeer(), timeout]);
        await BudgetInstance.waitUntilRunning(instance);
        return result;
      },
      notifyAll: () => {},
      notify: () => {},
      handle: (method, handler) =>
        void getInstance().handlers.set(method, handler),
      onHeartbeat: () => {},
      addPeerAddresses: () => {},
    };
  }

  function sendHeartbeats(instance: BudgetInstance.Instance): void {
    const { id, domain, incarnation, state, table, budgets } = instance;
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
      capacity: 0,
      shards: budgets.getShards(),
      callerAddress: "",
      peerAddress: "",
      isStranded: false,
    };
    for (const peer of instances.values()) {
      if (peer === instance) continue;
      void network.transmit(id, peer.id, 5).then(async () => {
        await BudgetInstance.waitUntilRunning(peer);
        peer.heartbeats.set(id, { heartbeat, receivedAtMs: time.nowMs() });
      });
    }
  }

  function addInstance(
    id: string,
    domain: string,
    table: Types.Table,
  ): BudgetInstance.Instance {
    const incarnation = `${id}.${++incarnationCount}`;
    const getInstance = () => instance;
    const every = (
      _name: string,
      intervalMs: number,
      task: () => Promise<void> | void,
    ) => {
      void (async () => {
        for (;;) {
          await task();
          await time.sleep(intervalMs);
          await BudgetInstance.waitUntilRunning(instance);
        }
      })();
    };
    // `createBudgets` registers handlers, so the map must exist before the instance is complete.
    const handlers = new Map<string, Contracts.RpcHandler>();
    const instance = {
      id,
      domain,
      incarnation,
      handlers,
    } as unknown as BudgetInstance.Instance;
    instance.heartbeats = new Map();
    instance.state = "live";
    instance.isDead = false;
    instance.table = table;
    instance.pauseGate = undefined;
    instance.budgets = Budgets.createBudgets({
      self: id,
      incarnation,
      domain,
      region: table.domains.get(domain) ?? "",
      platform: store.createClient(getInstance),
      peers: createPeers(id, incarnation, getInstance),
      supervisor: { name: id, every } as unknown as Supervisor.Supervisor,
      log,
      clock: time,
      random,
      sleep: (ms) =>
        time.sleep(ms).then(() => BudgetInstance.waitUntilRunning(instance)),
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
    instances.set(id, instance);
    instance.budgets.setTable(table);
    void instance.budgets.start();
    every("heartbeat", 1_000, () => sendHeartbeats(instance));
    return instance;
  }

  return {
    time,
    random,
    instances,
    records: store.records,
    addInstance,
    get: (id: string) => instances.get(id)!,
    setNoise: network.setNoise,
    setStoreReachable: store.setReachable,
    cut: network.cut,
    heal: network.heal,
    kill: (id: string) => void (instances.get(id)!.isDead = true),
    pause: (id: string) =>
      void (instances.get(id)!.pauseGate ??= BudgetInstance.createGate()),
    holdCalls: store.holdCalls,
    releaseCalls: store.releaseCalls,
    resume(id: string): void {
      const instance = instances.get(id)!;
      const { pauseGate } = instance;
      instance.pauseGate = undefined;
      pauseGate?.open();
    },
    canRun: (id: string) => {
      const instance = instances.get(id);
      return instance !== undefined && !instance.isDead &&
        instance.pauseGate === undefined;
    },
    setTable(id: string, table: Types.Table): void {
      Object.assign(instances.get(id)!, { table }).budgets.setTable(table);
    },
  };
}

/** Instances and the functions by which a test controls them. */
export type Fleet = ReturnType<typeof createFleet>;
