/**
 * Feeds the target directory. Two instances of a domain read the platform's
 * list; the others, and those cut off from the platform, take it from a peer.
 */
import * as Crypto from "node:crypto";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
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
  /** Left out by a peer that has no list yet. */
  readonly ageMs?: number;
  readonly digest: string;
  /** Left out when the asking peer has the same list. */
  readonly instances?: readonly Types.PlatformInstance[];
}

/**
 * Reads a peer's answer. A list without an age must not pass for a new one: an
 * instance that has just started would empty the directories of its peers.
 */
function tryReadPeerList(
  value: unknown,
): (PeerList & { readonly ageMs: number }) | undefined {
  if (!Json.isObject(value)) return undefined;
  const { ageMs, instances } = value;
  const isGood = typeof ageMs === "number" && ageMs >= 0 &&
    ageMs <= MAX_LIST_AGE_MS &&
    (instances === undefined || Array.isArray(instances));
  return isGood
    ? value as unknown as PeerList & { readonly ageMs: number }
    : undefined;
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
  let digest = "";
  let listAtMs = -Infinity;
  let isPlatformAnswering = true;
  let isReading = false;

  function take(instances: readonly Types.PlatformInstance[], atMs: number) {
    if (atMs <= listAtMs) return;
    list = instances;
    digest = getDigest(instances);
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
    isReading = true;
    const read = await platform.listInstances();
    isReading = false;
    isPlatformAnswering = read.isOk();
    if (read.isErr()) return false;
    take(read.value, sentAtMs);
    return true;
  }

  /**
   * Peers that read the platform come first, the own domain's before others.
   * Each instance has its own order of its domain's readers, as one of them
   * would otherwise answer all 35 others of a large domain.
   */
  function getAskedPeers(): readonly Types.InstanceId[] {
    const reachable = peers.getMembers().filter((one) => one.isReachable)
      .map((one) => one.heartbeat);
    const near = reachable.filter((one) => one.domain === opts.domain)
      .map((one) => one.id);
    const far = reachable.filter((one) => one.domain !== opts.domain)
      .map((one) => one.id);
    const ranked = Rendezvous.rank("instance-list", near);
    const ownKey = `instance-list/${peers.self}`;
    return [
      ...Rendezvous.rank(ownKey, ranked.slice(0, READERS_PER_DOMAIN)),
      ...ranked.slice(READERS_PER_DOMAIN),
      ...Rendezvous.rank(ownKey, far),
    ].slice(0, PEERS_ASKED);
  }

  async function tryReadPeer(id: Types.InstanceId): Promise<boolean> {
    const askedAtMs = clock.nowMs();
    const reply = await peers.call<unknown>(
      id,
      "targets.list",
      { digest },
      PEER_TIMEOUT_MS,
    );
    const found = reply.isOk() ? tryReadPeerList(reply.value) : undefined;
    if (found === undefined) return false;
    take(found.instances ?? list, askedAtMs - found.ageMs);
    return true;
  }

  async function readPeers(): Promise<void> {
    for (const id of getAskedPeers()) {
      if (await tryReadPeer(id)) return;
    }
  }

  /**
   * While the platform does not answer, its read goes on beside the peers': a
   * silent one takes its whole time-out, and with a peer's own interval on top a
   * leaving target would get work for longer than the 3 s that are allowed.
   */
  async function refresh(): Promise<void> {
    if (isReader()) {
      if (isPlatformAnswering && await readPlatform()) return;
      if (!isPlatformAnswering && !isReading) void readPlatform();
    }
    await readPeers();
  }

  peers.handle("targets.list", (params): PeerList => {
    // JSON has no infinite age; it would arrive as null.
    if (listAtMs === -Infinity) return { digest };
    const ageMs = clock.nowMs() - listAtMs;
    const isSame = (params as { digest?: unknown } | null)?.digest === digest;
    return isSame ? { ageMs, digest } : { ageMs, digest, instances: list };
  });
  await refresh();
  opts.supervisor.every("target-list", POLL_INTERVAL_MS, refresh);
}

/** Lets peers compare lists without sending them. */
function getDigest(instances: readonly Types.PlatformInstance[]): string {
  return Crypto.createHash("sha256").update(JSON.stringify(instances))
    .digest("base64url");
}
