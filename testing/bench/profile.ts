/** Assigns the samples of a CPU profile to parts of the program. */

interface CallFrame {
  readonly functionName: string;
  readonly url: string;
}

interface ProfileNode {
  readonly id: number;
  readonly callFrame: CallFrame;
  readonly children?: readonly number[];
}

/** A profile as the inspector returns it. */
export interface Profile {
  readonly nodes: readonly ProfileNode[];
  /** Id of the node that ran, for each sample. */
  readonly samples: readonly number[];
  /** Time before each sample, us. */
  readonly timeDeltas: readonly number[];
}

/** Parts of the program, with the files whose functions belong to them. */
const PARTS: readonly { readonly name: string; readonly files: RegExp }[] = [
  {
    name: "client connections",
    files:
      /src\/(connection_|gated_connection|body_discards|http_connections|caller_end)/,
  },
  {
    name: "response guard",
    files: /src\/(response_guard|response_head|overhead_guard)/,
  },
  { name: "load reports", files: /gateway\/(load_exchange|target_load)/ },
  {
    name: "admission",
    files:
      /gateway\/(intake|body|routes|account_pool|quota|rejection|responder|read_barrier|servers)/,
  },
  {
    name: "choice of targets",
    files:
      /gateway\/(choice|sender|forwarder|placement|overload|cold_start|eligible_targets|working_set|cache_state|split|target_limits|target_statements|region_plan|warmup)|src\/rendezvous/,
  },
  {
    name: "target connections",
    files:
      /gateway\/(connections|attempt|exchange|target_reach|timings)|platform\/headers/,
  },
  { name: "HTTP client", files: /node_modules\/undici/ },
  {
    name: "store reader",
    files:
      /gateway\/(feed|state|items|item_sync|readers|store_contact|control|restore_guard|revision|membership)|\/platform\//,
  },
  {
    name: "peers",
    files:
      /src\/peer\/|gateway\/(status_gossip|topology|member_list|domain_view|fleet_view|relay)/,
  },
  { name: "log and metrics", files: /src\/(log|metrics)|gateway\/request_log/ },
  { name: "other modules", files: /\/(src|node_modules)\// },
];
const HTTP_SERVER = "HTTP server";
const COLLECTOR = "garbage collector";
const TIMERS = "timers";
const RUNTIME = "runtime";

/** Names of all parts, in the order of the tables. */
export const partNames: readonly string[] = [
  ...PARTS.map(({ name }) => name),
  HTTP_SERVER,
  COLLECTOR,
  TIMERS,
  RUNTIME,
];

/** Processor time of each part, us. */
export type PartTimes = ReadonlyMap<string, number>;

function tryGetOwnPart({ functionName, url }: CallFrame): string | undefined {
  if (functionName === "(garbage collector)") return COLLECTOR;
  // The parser runs beneath the gate of client connections, or directly beneath the socket.
  const isParser = url === "" && functionName === "execute";
  if (isParser || url.startsWith("node:_http_")) return HTTP_SERVER;
  return PARTS.find(({ files }) => files.test(url))?.name;
}

/** Assigns the time of each function to its part; a function of the runtime counts to the part that called it. */
export function getPartTimes(
  { nodes, samples, timeDeltas }: Profile,
): PartTimes {
  const parents = new Map<number, ProfileNode>();
  for (const node of nodes) {
    for (const child of node.children ?? []) parents.set(child, node);
  }
  const nodeById = new Map(nodes.map((node) => [node.id, node]));

  function getPart(id: number): string | undefined {
    let isTimer = false;
    for (
      let node = nodeById.get(id);
      node !== undefined;
      node = parents.get(node.id)
    ) {
      if (node.callFrame.functionName === "(idle)") return undefined;
      const part = tryGetOwnPart(node.callFrame);
      if (part !== undefined) return part;
      isTimer ||= node.callFrame.url === "node:internal/timers";
    }
    return isTimer ? TIMERS : RUNTIME;
  }

  const partById = new Map(nodes.map(({ id }) => [id, getPart(id)]));
  const times = new Map(partNames.map((name) => [name, 0]));
  samples.forEach((id, index) => {
    const part = partById.get(id);
    if (part === undefined) return;
    times.set(part, (times.get(part) ?? 0) + (timeDeltas[index] ?? 0));
  });
  return times;
}
