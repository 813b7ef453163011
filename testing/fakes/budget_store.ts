/** A store with versions and leases. A test can make it unreachable or hold its calls back. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../../src/contracts.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Network from "./budget_network.ts";
import * as BudgetInstance from "./budget_instance.ts";
import type * as ManualTime from "./manual_time.ts";

type Failure = ResultCodes.Failure;
/** Name of the store in the network of the fleet. */
const STORE = "store";

/** Creates an empty, reachable store. Calls time out after 1 s. */
export function createStore(
  time: ManualTime.Time,
  network: Network.Network,
) {
  const records = new Map<
    string,
    { value: string; version: number; leaseId: string | undefined }
  >();
  const leases = new Map<string, { expiresAtMs: number; ttlMs: number }>();
  const callCounts = new Map<string, number>();
  const gates = new Map<string, ReturnType<typeof BudgetInstance.createGate>>();
  let lastVersion = 0;
  let isReachable = true;

  function expireLeases(): void {
    for (const [id, lease] of leases) {
      if (lease.expiresAtMs > time.nowMs()) continue;
      leases.delete(id);
      for (const [key, record] of records) {
        if (record.leaseId === id) records.delete(key);
      }
    }
  }

  async function callStore<T>(
    instance: BudgetInstance.Instance,
    name: string,
    operation: () => Result<T, Failure>,
  ): Promise<Result<T, Failure>> {
    const callName = `${instance.id} ${name}`;
    const runOperation = async () => {
      await network.transmit(instance.id, STORE, 2);
      callCounts.set(callName, (callCounts.get(callName) ?? 0) + 1);
      await gates.get(callName)?.promise;
      if (!isReachable) return BudgetInstance.NEVER;
      expireLeases();
      const result = operation();
      await network.transmit(STORE, instance.id, 2);
      return result;
    };
    const timeout = time.sleep(1_000).then(() =>
      ResultCodes.fail("storeUnreachable")
    );
    const result = await Promise.race([runOperation(), timeout]);
    await BudgetInstance.waitUntilRunning(instance);
    return result;
  }

  function createClient(
    getInstance: () => BudgetInstance.Instance,
  ): Contracts.PlatformClient {
    const call = <T>(operation: () => Result<T, Failure>, name = "read") =>
      callStore(getInstance(), name, operation);
    const unused = () => Promise.resolve(ResultCodes.fail("internal"));
    const read = (key: string): Contracts.StoreEntry | undefined => {
      const record = records.get(key);
      return record && { key, value: record.value, version: record.version };
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
          records.set(key, { value, version: ++lastVersion, leaseId });
          return Ok(lastVersion);
        }, "cas"),
      remove: unused,
      watch: unused,
      grantLease: (ttlMs) =>
        call(() => {
          const id = `lease-${++lastVersion}`;
          leases.set(id, { expiresAtMs: time.nowMs() + ttlMs, ttlMs });
          return Ok(id);
        }),
      renewLease: (id) =>
        call(() => {
          const lease = leases.get(id);
          if (lease === undefined) return ResultCodes.fail("leaseLapsed");
          lease.expiresAtMs = time.nowMs() + lease.ttlMs;
          return Ok(undefined);
        }, "renew"),
      releaseLease: (id) =>
        call(() => {
          const lease = leases.get(id);
          if (lease !== undefined) lease.expiresAtMs = -Infinity;
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
    setReachable: (value: boolean) => void (isReachable = value),
    /**
     * Makes the calls of one kind ("cas", "renew" or "read") of an instance wait at the
     * store until `releaseCalls`. The result counts these calls from now on.
     */
    holdCalls: (id: string, name: string) => {
      gates.set(`${id} ${name}`, BudgetInstance.createGate());
      const previousCount = callCounts.get(`${id} ${name}`) ?? 0;
      return () => (callCounts.get(`${id} ${name}`) ?? 0) - previousCount;
    },
    releaseCalls(): void {
      const closedGates = [...gates.values()];
      gates.clear();
      for (const gate of closedGates) gate.open();
    },
  };
}
