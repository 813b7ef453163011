/**
 * Keeps the target directory up to date. Two instances of each domain read the
 * instance list from the platform. The other instances, and those that can't reach
 * the platform, request it from a peer.
 */
import * as Crypto from "node:crypto";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import * as Responses from "../platform/responses.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Supervisor from "../supervisor.ts";
import * as Registration from "../targets/registration.ts";
import type * as Types from "../types.ts";

const POLL_INTERVAL_MS = 1_000;
const READERS_PER_DOMAIN = 2;
const PEER_TIMEOUT_MS = 500;
/** An older list does not show which targets are leaving now. */
const MAX_LIST_AGE_MS = 10_000;
const MAX_PEERS_QUERIED = 3;

/** Response to `targets.list`. */
interface PeerList {
  /** Absent when the peer has no list yet. */
  readonly ageMs?: number;
  readonly digest: string;
  /** Absent when the requesting instance has the same list. */
  readonly instances?: readonly Types.PlatformInstance[];
}

/**
 * Checks a peer's response; undefined when it is malformed or its list too old. A
 * list without an age must not count as new: an instance that has just started
 * would empty the directories of its peers.
 */
function tryReadPeerList(
  value: unknown,
): (PeerList & { readonly ageMs: number }) | undefined {
  if (!Json.isObject(value)) return undefined;
  const { ageMs, digest } = value;
  const isRecent = typeof ageMs === "number" && ageMs >= 0 &&
    ageMs <= MAX_LIST_AGE_MS;
  if (!isRecent || typeof digest !== "string") return undefined;
  if (value.instances === undefined) return { ageMs, digest };
  const instances = Responses.tryParseInstances(value.instances);
  return instances === undefined ? undefined : { ageMs, digest, instances };
}

/** Dependencies of the directory. */
export interface DirectoryOptions {
  readonly domain: Types.Domain;
  readonly platform: Contracts.PlatformClient;
  readonly peers: Contracts.PeerNet;
  readonly targets: Contracts.Targets;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}

/** Starts to update `targets` periodically; resolves after the first attempt. */
export async function startDirectory(opts: DirectoryOptions): Promise<void> {
  const { platform, peers, targets, clock } = opts;
  let list: readonly Types.PlatformInstance[] = [];
  let digest = "";
  /** Time at which the request for the list was sent. */
  let listAtMs = -Infinity;
  let isPlatformResponding = true;
  let isPlatformReadPending = false;

  /** What is wrong with each odd registration of the current list, by id. */
  let faults: ReadonlyMap<Types.TargetId, string> = new Map();

  /** Returns the registrations that name usable targets; logs each other one once. */
  function omitOdd(
    instances: readonly Types.PlatformInstance[],
  ): readonly Types.PlatformInstance[] {
    const found = new Map<Types.TargetId, string>();
    for (const instance of instances) {
      const fault = Registration.tryGetFault(instance);
      if (fault === undefined) continue;
      found.set(instance.id, fault);
      if (faults.get(instance.id) === fault) continue;
      opts.log.warn("registration-unreadable", { id: instance.id, fault });
    }
    faults = found;
    return instances.filter(({ id }) => !found.has(id));
  }

  function acceptList(
    instances: readonly Types.PlatformInstance[],
    sentAtMs: number,
  ) {
    if (sentAtMs <= listAtMs) return;
    list = omitOdd(instances);
    digest = getDigest(list);
    listAtMs = sentAtMs;
    targets.setInstances(list);
  }

  function isPlatformReader(): boolean {
    const ids = peers.getMembers()
      .filter((member) =>
        member.isReachable && member.heartbeat.domain === opts.domain
      )
      .map((member) => member.heartbeat.id);
    const rankedIds = Rendezvous.rank("instance-list", [peers.self, ...ids]);
    return rankedIds.indexOf(peers.self) < READERS_PER_DOMAIN;
  }

  async function readPlatform(): Promise<boolean> {
    const sentAtMs = clock.nowMs();
    isPlatformReadPending = true;
    const response = await platform.listInstances();
    isPlatformReadPending = false;
    isPlatformResponding = response.isOk();
    if (response.isErr()) return false;
    acceptList(response.value, sentAtMs);
    return true;
  }

  /**
   * Orders peers: the local domain's platform readers, the other local peers, then
   * remote peers. Each instance orders its domain's readers differently; otherwise
   * one reader would respond to all 35 other instances of a large domain.
   */
  function getPeersToQuery(): readonly Types.InstanceId[] {
    const reachablePeers = peers.getMembers().filter((member) =>
      member.isReachable
    )
      .map((member) => member.heartbeat);
    const localIds = reachablePeers.filter((peer) =>
      peer.domain === opts.domain
    )
      .map((peer) => peer.id);
    const remoteIds = reachablePeers.filter((peer) =>
      peer.domain !== opts.domain
    )
      .map((peer) => peer.id);
    const rankedLocalIds = Rendezvous.rank("instance-list", localIds);
    const instanceKey = `instance-list/${peers.self}`;
    return [
      ...Rendezvous.rank(
        instanceKey,
        rankedLocalIds.slice(0, READERS_PER_DOMAIN),
      ),
      ...rankedLocalIds.slice(READERS_PER_DOMAIN),
      ...Rendezvous.rank(instanceKey, remoteIds),
    ].slice(0, MAX_PEERS_QUERIED);
  }

  async function tryReadPeer(id: Types.InstanceId): Promise<boolean> {
    const sentAtMs = clock.nowMs();
    const response = await peers.call<unknown>(
      id,
      "targets.list",
      { digest },
      PEER_TIMEOUT_MS,
    );
    const peerList = response.isOk()
      ? tryReadPeerList(response.value)
      : undefined;
    if (peerList === undefined) return false;
    acceptList(peerList.instances ?? list, sentAtMs - peerList.ageMs);
    return true;
  }

  async function readPeers(): Promise<void> {
    for (const id of getPeersToQuery()) {
      if (await tryReadPeer(id)) return;
    }
  }

  /**
   * While the platform does not respond, it is read in parallel with the peers. A
   * read from an unresponsive platform takes its full timeout. If the peers were
   * read only afterwards, their own poll interval would be added, and a leaving
   * target would receive requests for longer than the 3 s that are allowed.
   */
  async function refresh(): Promise<void> {
    if (isPlatformReader()) {
      if (isPlatformResponding && await readPlatform()) return;
      if (!isPlatformResponding && !isPlatformReadPending) void readPlatform();
    }
    await readPeers();
  }

  peers.handle("targets.list", (params): PeerList => {
    // JSON has no Infinity: an infinite age would arrive as null.
    if (listAtMs === -Infinity) return { digest };
    const ageMs = clock.nowMs() - listAtMs;
    const hasSameList =
      (params as { digest?: unknown } | null)?.digest === digest;
    return hasSameList ? { ageMs, digest } : { ageMs, digest, instances: list };
  });
  await refresh();
  opts.supervisor.every("target-list", POLL_INTERVAL_MS, refresh);
}

/** Hashes a list, so that peers can compare lists without sending them. */
function getDigest(instances: readonly Types.PlatformInstance[]): string {
  return Crypto.createHash("sha256").update(JSON.stringify(instances))
    .digest("base64url");
}
