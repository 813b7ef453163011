/** State of an instance in a fake fleet, from its start until it is killed. */
import type * as Budgets from "../../src/budget/budgets.ts";
import type * as Contracts from "../../src/contracts.ts";
import type * as Types from "../../src/types.ts";

/** Never resolves. Stands for the result of a lost message or of a killed process. */
export const NEVER = new Promise<never>(() => {});

interface ReceivedHeartbeat {
  readonly heartbeat: Types.Heartbeat;
  readonly receivedAtMs: number;
}

/** An instance of one incarnation. A restart creates another object. */
export interface Instance {
  readonly id: string;
  readonly domain: string;
  readonly incarnation: string;
  budgets: Budgets.Budgets;
  /** Last heartbeat of each peer. */
  heartbeats: Map<string, ReceivedHeartbeat>;
  readonly handlers: Map<string, Contracts.RpcHandler>;
  state: Types.MemberState;
  isDead: boolean;
  table: Types.Table;
  /** Opens when the instance resumes; undefined unless it is paused. */
  pauseGate:
    | { readonly promise: Promise<void>; readonly open: () => void }
    | undefined;
}

/** Creates a promise and the function `open` that resolves it. */
export function createGate() {
  let open = () => {};
  const promise = new Promise<void>((resolve) => (open = resolve));
  return { promise, open };
}

/** Waits while the instance is paused. Never resolves if it was killed. */
export async function waitUntilRunning(instance: Instance): Promise<void> {
  while (instance.pauseGate !== undefined) await instance.pauseGate.promise;
  if (instance.isDead) return NEVER;
}
