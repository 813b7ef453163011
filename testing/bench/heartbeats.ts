/** Traffic and CPU of heartbeats between light peers in one process. */
import * as Clock from "../../src/clock.ts";
import * as Log from "../../src/log.ts";
import * as Mesh from "../../src/peer/mesh.ts";
import * as Net from "../../src/peer/net.ts";
import * as Supervisor from "../../src/supervisor.ts";
import type * as Types from "../../src/types.ts";
import type * as Report from "./report.ts";

const SIZES = [4, 16, 64] as const;
const DOMAINS = 6;
/** Section 1.6. */
const DESIGN_NODES = 620;
const DESIGN_DOMAINS = 17;
const SAMPLES = 5;
const SAMPLE_MS = 1_000;
/** Connecting and the first rounds of discovery are not measured. */
const SETTLE_TIMEOUT_MS = 6_000;
const SETTLE_MS = 3_000;
/** Section 1.6: control traffic and processor time of a node. */
const MAX_BYTES_PER_S = 8_000;
const MAX_CPU_PERCENT = 2.9;

interface LightPeer {
  readonly net: Net.Net;
  readonly address: Types.Address;
  readonly supervisor: Supervisor.Supervisor;
}

async function startPeer(
  index: number,
  seeds: readonly Types.Address[],
  log: Log.Logger,
): Promise<LightPeer> {
  const id = `entry-${index}`;
  const domain = `region-${index % DOMAINS}`;
  const supervisor = Supervisor.createSupervisor(id, log);
  let peerAddress = "127.0.0.1:0";
  const net = Net.createPeerNet({
    self: id,
    incarnation: `${id}-0123456789abcdef`,
    domain,
    listen: "127.0.0.1:0",
    seeds,
    secret: "bench-secret-0123456789",
    // Ages and load change with each heartbeat, as in a running instance.
    getHeartbeat: () => ({
      id,
      incarnation: `${id}-0123456789abcdef`,
      domain,
      region: domain,
      state: "live",
      tableRevision: 12,
      isTableSettled: false,
      keysRevision: 7,
      storeSeenMsAgo: Math.random() * 3_000,
      isStoreFailing: false,
      relayedStoreSeenMsAgo: Math.random() * 1_500,
      load: Math.random(),
      capacity: 0,
      shards: [index % 8],
      callerAddress: "10.0.0.1:8080",
      peerAddress,
      isStranded: false,
    }),
    supervisor,
    log,
    clock: Clock.systemClock,
  });
  peerAddress = await net.listen();
  return { net, address: peerAddress, supervisor };
}

async function waitConnected(peers: readonly LightPeer[]): Promise<void> {
  const deadline = performance.now() + SETTLE_TIMEOUT_MS;
  const isSettled = () =>
    peers.every(({ net }) =>
      net.getMembers().filter((m) => m.isReachable).length === peers.length - 1
    );
  while (!isSettled() && performance.now() < deadline) {
    await Clock.sleep(50);
  }
  await Clock.sleep(SETTLE_MS);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Bytes per second sent by all peers together, one value per sample. */
async function sampleBytes(
  peers: readonly LightPeer[],
): Promise<readonly number[]> {
  const getBytes = () => sum(peers.map(({ net }) => net.getBytes().sent));
  const samples: number[] = [];
  for (let i = 0; i < SAMPLES; i++) {
    const startedAt = performance.now();
    const before = getBytes();
    await Clock.sleep(SAMPLE_MS);
    const seconds = (performance.now() - startedAt) / 1_000;
    samples.push((getBytes() - before) / seconds);
  }
  return samples;
}

interface Cost {
  readonly bytesPerS: number;
  readonly cpuPercent: number;
}

/** Measures one size, prints one line, and returns the cost of one peer. */
async function measure(report: Report.Report, size: number): Promise<Cost> {
  const log = Log.createLogger("error", { bench: "heartbeats" });
  const first = await startPeer(0, [], log);
  const peers = [first];
  for (let i = 1; i < size; i++) {
    peers.push(await startPeer(i, [first.address], log));
  }
  await waitConnected(peers);
  const startedAt = performance.now();
  const cpuBefore = process.cpuUsage();
  const samples = await sampleBytes(peers);
  const seconds = (performance.now() - startedAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const cpuSeconds = (cpu.user + cpu.system) / 1e6;
  const connections = sum(peers.map(({ net }) => net.getConnectedCount()));
  const reachable = sum(
    peers.map(({ net }) =>
      net.getMembers().filter((m) => m.isReachable).length
    ),
  );
  // The least sample has no answer of `members.list`, which come rarely.
  const heartbeatsPerS = Math.min(...samples);
  const cost = {
    bytesPerS: sum(samples) / SAMPLES / size,
    cpuPercent: cpuSeconds / seconds / size * 100,
  };
  report.line({
    peers: size,
    seconds: seconds.toFixed(1),
    connectionsPerPeer: (connections / size).toFixed(1),
    reachablePerPeer: (reachable / size).toFixed(1),
    meanSentBytesPerSPerPeer: cost.bytesPerS.toFixed(0),
    leastSentBytesPerSPerPeer: (heartbeatsPerS / size).toFixed(0),
    leastSentBytesPerSPerConnection: (heartbeatsPerS / connections).toFixed(1),
    cpuPercentPerPeer: cost.cpuPercent.toFixed(3),
    rssMb: (process.memoryUsage().rss / 1e6).toFixed(0),
  });
  await Promise.all(peers.map(({ supervisor }) => supervisor.stop()));
  return cost;
}

/** Prints the connections of a node at the size to design for, by the mesh's own choice. */
function printDesignMesh(report: Report.Report): void {
  const members = Array.from({ length: DESIGN_NODES }, (_, i) => ({
    id: `entry-${i}`,
    domain: `domain-${i % DESIGN_DOMAINS}`,
    capacity: 0,
    isUsable: true,
  }));
  const links = new Map(members.map((one) => [one.id, new Set<string>()]));
  for (const one of members) {
    for (const other of Mesh.selectPeers(one, members)) {
      links.get(one.id)?.add(other);
      links.get(other)?.add(one.id);
    }
  }
  const counts = [...links.values()].map((one) => one.size);
  report.line({
    nodes: DESIGN_NODES,
    domains: DESIGN_DOMAINS,
    meanConnectionsPerNode: (sum(counts) / counts.length).toFixed(1),
    maxConnectionsPerNode: Math.max(...counts),
  });
}

/** Runs the bench: one line per fleet size; the smallest is the baseline. */
export async function run(report: Report.Report): Promise<void> {
  let cost: Cost = { bytesPerS: 0, cpuPercent: 0 };
  for (const size of SIZES) cost = await measure(report, size);
  printDesignMesh(report);
  report.figure({
    figure: "cpu_per_peer_of_64",
    value: cost.cpuPercent,
    unit: "percent",
    bound: MAX_CPU_PERCENT,
    limit: "at-most",
  });
  report.figure({
    figure: "sent_bytes_per_peer_of_64",
    value: cost.bytesPerS,
    unit: "B/s",
    bound: MAX_BYTES_PER_S,
    limit: "at-most",
  });
}
