/** One run of an instance in a fake fleet: it can be paused and it can die. */
import type * as Budgets from "../../src/budget/budgets.ts";
import type * as Contracts from "../../src/contracts.ts";
import type * as Types from "../../src/types.ts";

/** Waits on it never end: a lost message, or a dead process. */
export const NEVER = new Promise<never>(() => {});

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

/** A promise and the function that resolves it. */
export function createGate() {
  let fn = () => {};
  const promise = new Promise<void>((done) => (fn = done));
  return { promise, fn };
}

/** Holds everything that a paused process would do; never resolves for a dead one. */
export async function enter(node: Node): Promise<void> {
  while (node.resume !== undefined) await node.resume.promise;
  if (node.isDead) return NEVER;
}
