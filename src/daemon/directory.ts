/**
 * Feeds the target directory. Two instances of a domain read the platform's
 * list; the others, and those cut off from the platform, take it from a peer.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";

const POLL_INTERVAL_MS = 1_000;
const READERS_PER_DOMAIN = 2;
const PEER_TIMEOUT_MS = 500;
/** An older list says nothing about leaving targets any more. */
const MAX_LIST_AGE_MS = 10_000;
const PEERS_ASKED = 3;

interface PeerList {
  readonly ageMs: number;
  readonly instances: readonly Types.PlatformInstance[];
}

/** What the directory needs. */
export interface DirectoryOptions {
  readonly domain: Types.Domain;
  readonly platform: Contracts.PlatformClient;
  readonly peers: Contracts.PeerNet;
  readonly targets: Contracts.Targets;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
}

/** Starts feeding; resolves after the first attempt. */
export async function startDirectory(opts: DirectoryOptions): Promise<void> {
  const { platform, peers, targets, clock } = opts;
  let list: readonly Types.PlatformInstance[] = [];
  let listAtMs = -Infinity;

  function take(instances: readonly Types.PlatformInstance[], atMs: number) {
    if (atMs <= listAtMs) return;
    list = instances;
    listAtMs = atMs;
    targets.setInstances(instances);
  }

  function isReader(): boolean {
    const ids = peers.getMembers()
      .filter((one) => one.isReachable && one.heartbeat.domain === opts.domain)
      .map((one) => one.heartbeat.id);
    const ranked = Rendezvous.rank("instance-list", [peers.self, ...ids]);
    return ranked.indexOf(peers.self) < READERS_PER_DOMAIN;
  }

  async function readPlatform(): Promise<boolean> {
    const sentAtMs = clock.nowMs();
    const read = await platform.listInstances();
    if (read.isErr()) return false;
    take(read.value, sentAtMs);
    return true;
  }

  function getAskedPeers(): readonly Types.InstanceId[] {
    const reachable = peers.getMembers().filter((one) => one.isReachable);
    const near = (one: Types.Member) => one.heartbeat.domain === opts.domain;
    return reachable.toSorted((a, b) => Number(near(b)) - Number(near(a)))
      .slice(0, PEERS_ASKED).map((one) => one.heartbeat.id);
  }

  async function readPeers(): Promise<void> {
    const askedAtMs = clock.nowMs();
    const replies = await Promise.all(
      getAskedPeers().map((id) =>
        peers.call<PeerList>(id, "targets.list", {}, PEER_TIMEOUT_MS)
      ),
    );
    for (const reply of replies) {
      if (reply.isErr() || reply.value.ageMs > MAX_LIST_AGE_MS) continue;
      take(reply.value.instances, askedAtMs - reply.value.ageMs);
    }
  }

  async function refresh(): Promise<void> {
    if (isReader() && await readPlatform()) return;
    await readPeers();
  }

  peers.handle("targets.list", (): PeerList => {
    return { ageMs: clock.nowMs() - listAtMs, instances: list };
  });
  await refresh();
  opts.supervisor.every("target-list", POLL_INTERVAL_MS, refresh);
}
