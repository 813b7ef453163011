/** Learns of members that are not connected, by asking connected ones. */
import type * as Clock from "../clock.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Connection from "./connection.ts";
import * as Mesh from "./mesh.ts";

const CHECK_MS = 250;
const CALL_TIMEOUT_MS = 3_000;
/** Rounds right after the start; later ones are for changes that heartbeats missed. */
const FIRST_ROUNDS = 3;
const FIRST_ROUND_INTERVAL_MS = 1_000;
const ROUND_INTERVAL_MS = 30_000;
/**
 * In a large fleet an answer has some 200 KB, which each two minutes takes
 * 1.7 KB/s of the 8 KB/s that a node may use.
 */
const LARGE_ROUND_INTERVAL_MS = 120_000;

/** Starts the periodic `members.list` calls. */
export function start(args: {
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly getConnections: () => readonly Connection.Connection[];
  readonly getMemberCount: () => number;
  readonly takeList: (raw: unknown, askedAtMs: number) => void;
}): void {
  const { clock } = args;
  let rounds = 0;
  let nextAtMs = 0;

  function getIntervalMs(): number {
    if (rounds < FIRST_ROUNDS) return FIRST_ROUND_INTERVAL_MS;
    const isLarge = args.getMemberCount() > Mesh.FULL_MESH_MEMBERS;
    return isLarge ? LARGE_ROUND_INTERVAL_MS : ROUND_INTERVAL_MS;
  }

  async function ask(): Promise<void> {
    if (clock.nowMs() < nextAtMs) return;
    const connections = args.getConnections();
    const conn = connections[Math.floor(Math.random() * connections.length)];
    if (conn === undefined) return;
    const askedAtMs = clock.nowMs();
    const list = await conn.call("members.list", {}, CALL_TIMEOUT_MS);
    if (list.isOk()) {
      rounds++;
      args.takeList(list.value, askedAtMs);
    }
    nextAtMs = clock.nowMs() + getIntervalMs() * (0.5 + Math.random());
  }

  args.supervisor.every("peer-discovery", CHECK_MS, ask);
}
