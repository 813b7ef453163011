/** A store with versions and leases, whose calls can be cut, held and timed out. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../../src/contracts.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Network from "./budget_network.ts";
import * as Node from "./budget_node.ts";
import type * as ManualTime from "./manual_time.ts";

type Failure = ResultCodes.Failure;
/** Name of the store on the network. */
const STORE = "store";

/** Creates an empty store that answers. */
export function createStore(
  time: ManualTime.Time,
  network: Network.Network,
) {
  const records = new Map<
    string,
    { value: string; version: number; leaseId: string | undefined }
  >();
  const leases = new Map<string, { untilMs: number; ttlMs: number }>();
  const calls = new Map<string, number>();
  const held = new Map<string, ReturnType<typeof Node.createGate>>();
  let writes = 0;
  let isStoreUp = true;

  function expireLeases(): void {
    for (const [id, lease] of leases) {
      if (lease.untilMs > time.nowMs()) continue;
      leases.delete(id);
      for (const [key, rec] of records) {
        if (rec.leaseId === id) records.delete(key);
      }
    }
  }

  async function callStore<T>(
    node: Node.Node,
    name: string,
    op: () => Result<T, Failure>,
  ): Promise<Result<T, Failure>> {
    const call = `${node.id} ${name}`;
    const work = async () => {
      await network.travel(node.id, STORE, 2);
      calls.set(call, (calls.get(call) ?? 0) + 1);
      await held.get(call)?.promise;
      if (!isStoreUp) return Node.NEVER;
      expireLeases();
      const result = op();
      await network.travel(STORE, node.id, 2);
      return result;
    };
    const timeout = time.sleep(1_000).then(() =>
      ResultCodes.fail("storeUnreachable")
    );
    const result = await Promise.race([work(), timeout]);
    await Node.enter(node);
    return result;
  }

  function createClient(
    getNode: () => Node.Node,
  ): Contracts.PlatformClient {
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
      getLastResponseAtMs: () => undefined,
      isFailing: () => false,
    };
  }

  return {
    records,
    createClient,
    setUp: (isUp: boolean) => void (isStoreUp = isUp),
    /** Calls of that name ("cas", "renew") wait at the store until `release`; gives their count so far. */
    hold: (id: string, name: string) => {
      held.set(`${id} ${name}`, Node.createGate());
      const before = calls.get(`${id} ${name}`) ?? 0;
      return () => (calls.get(`${id} ${name}`) ?? 0) - before;
    },
    release(): void {
      const gates = [...held.values()];
      held.clear();
      for (const gate of gates) gate.fn();
    },
  };
}
