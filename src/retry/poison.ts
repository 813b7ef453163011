/**
 * Detects and blocks poison requests, which crash the targets that run them.
 * Guarantee: a fingerprint that was in flight when the connections to two
 * different targets were lost, observed by any instances, is blocked at all
 * reachable instances for 5 minutes. A response from a target clears the
 * fingerprint, because popular requests are in flight on every target that fails.
 *
 * Targets of a region that fail together would get a popular request blocked
 * before its next response. Therefore a connection loss counts as explained when
 * the same fingerprint had a response in the last seconds and the request was
 * sent before the first connection loss since that response. Explained losses
 * alone do not block; an unexplained loss blocks together with them. As a result,
 * a request to which no target responds, or that is sent again after its first
 * connection loss, reaches at most two targets.
 *
 * Callers report losses that the target did not survive, as far as they can tell: a
 * process that ends closes all its connections (`src/gateway/sender.ts`).
 *
 * Limitations: a partitioned instance receives the reports of other instances
 * only when it pulls them from a peer; a poison request whose body changes each
 * time has a new fingerprint each time; a request that becomes harmful after a
 * response, while several copies are in flight, crashes the targets of all copies.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as Reports from "./poison_reports.ts";

const BLOCK_MS = 5 * 60_000;
/** Time after the last connection loss in which a suspicion is kept; covers callers that retry every few minutes. */
const SUSPICION_TTL_MS = 10 * 60_000;
const TARGETS_TO_BLOCK = 2;
/** Time for which a response explains connection losses; an older response says little about the request now. */
const RESPONSE_EVIDENCE_MS = 2_000;
/** Suspicions use about 3 MB at this number. */
const MAX_FINGERPRINTS = 10_000;
/** Maximum number of targets kept per suspicion; more targets add no information. */
const MAX_SUSPECTED_TARGETS = 4;
const METHOD = "poison.report";
const PULL_TIMEOUT_MS = 1_000;
/** Longest wait of a failed request until other instances confirm its block: several times the round trip between regions (110 ms). */
const CONFIRM_TIMEOUT_MS = 400;
/** Up to this number of peers all instances are connected; in larger fleets reports are forwarded. */
const MAX_FULL_MESH_PEERS = 23;

/**
 * Selects the instances that receive connection losses in a fleet that is not a
 * full mesh. Load pattern: while responses are lost, there are dozens of
 * connection losses per second, nearly all of them harmless. Sent to every
 * instance, as blocks are, they used all processor time of a large fleet.
 */
export interface ReportRoute {
  /** Returns the instance of the local domain that collects the reports of a fingerprint. */
  getCollector(fingerprint: string): Types.InstanceId;
  /** Returns one connected instance of each remote domain. */
  getRemoteDomainPeers(fingerprint: string): readonly Types.InstanceId[];
}

/** Options of `createPoison`. */
export interface PoisonOptions {
  readonly clock: Clock.Clock;
  readonly peers?: Contracts.PeerNet;
  /** For fleets that are not a full mesh; without it every report is sent to every instance. */
  readonly route?: ReportRoute;
  readonly log: Log.Logger;
}

/** Poison requests, with the number of suspicions for tests. */
export interface InspectablePoison extends Contracts.Poison {
  getSize(): number;
}

interface Suspicion {
  readonly targets: Set<Types.TargetId>;
  /** Monotonic ms of the first connection loss since the last response. */
  readonly firstLossAtMs: number;
  /** False while responses explain every connection loss. */
  isUnexplained: boolean;
  /** Monotonic ms of the last connection loss. */
  lastLossAtMs: number;
  /** Monotonic ms; `-Infinity` when never blocked. */
  blockedUntilMs: number;
}

function createSuspicion(nowMs: number): Suspicion {
  return {
    targets: new Set(),
    firstLossAtMs: nowMs,
    isUnexplained: false,
    lastLossAtMs: nowMs,
    blockedUntilMs: -Infinity,
  };
}

/** Creates an empty list. With `peers`, it shares reports and pulls those of the first peer that sends a heartbeat. */
export function createPoison(opts: PoisonOptions): InspectablePoison {
  const { clock, peers, log } = opts;
  /** By fingerprint, in order of the last report, oldest first. */
  const suspicions = new Map<string, Suspicion>();
  /** Monotonic ms of the last response at this instance by fingerprint, oldest first. */
  const lastResponses = new Map<string, number>();
  let hasPulled = false;

  function evict(): void {
    for (const [fingerprint, suspicion] of suspicions) {
      const now = clock.nowMs();
      const isExpired = now - suspicion.lastLossAtMs > SUSPICION_TTL_MS;
      if (!isExpired && suspicions.size <= MAX_FINGERPRINTS) return;
      suspicions.delete(fingerprint);
    }
  }

  /** Adds connection losses to a suspicion and blocks the request when they suffice; returns false when they add no evidence. */
  function addEvidence(
    fingerprint: string,
    targets: readonly Types.TargetId[],
    blockMs: number,
    isExplained: boolean,
  ): boolean {
    const now = clock.nowMs();
    const existing = suspicions.get(fingerprint);
    const isNew = existing === undefined ||
      now - existing.lastLossAtMs > SUSPICION_TTL_MS;
    const suspicion: Suspicion = isNew ? createSuspicion(now) : existing;
    const targetsBefore = suspicion.targets.size;
    const wasUnexplained = suspicion.isUnexplained;
    if (!isExplained) suspicion.isUnexplained = true;
    for (const target of targets) {
      if (suspicion.targets.size < MAX_SUSPECTED_TARGETS) {
        suspicion.targets.add(target);
      }
    }
    suspicion.lastLossAtMs = now;
    suspicions.delete(fingerprint);
    suspicions.set(fingerprint, suspicion);
    const hasNewEvidence = suspicion.targets.size > targetsBefore ||
      suspicion.isUnexplained !== wasUnexplained;
    evict();
    const hasEnoughTargets = suspicion.targets.size >= TARGETS_TO_BLOCK;
    if (!hasEnoughTargets || !suspicion.isUnexplained) return hasNewEvidence;
    const wasBlocked = suspicion.blockedUntilMs > now;
    suspicion.blockedUntilMs = Math.max(
      suspicion.blockedUntilMs,
      now + blockMs,
    );
    if (wasBlocked || blockMs === 0) return hasNewEvidence;
    const targetIds = [...suspicion.targets].join(",");
    log.warn("poison-blocked", { fingerprint, targets: targetIds });
    return true;
  }

  function isBlocked(fingerprint: string): boolean {
    const suspicion = suspicions.get(fingerprint);
    return suspicion !== undefined && clock.nowMs() < suspicion.blockedUntilMs;
  }

  function recordResponse(fingerprint: string): void {
    lastResponses.delete(fingerprint);
    lastResponses.set(fingerprint, clock.nowMs());
    if (lastResponses.size <= MAX_FINGERPRINTS) return;
    for (const oldest of lastResponses.keys()) {
      lastResponses.delete(oldest);
      return;
    }
  }

  /** True when a recent response was the last known outcome at the time the request was sent. */
  function isExplained(fingerprint: string, sentAtMs: number): boolean {
    const respondedAtMs = lastResponses.get(fingerprint) ?? -Infinity;
    if (clock.nowMs() - respondedAtMs > RESPONSE_EVIDENCE_MS) return false;
    const suspicion = suspicions.get(fingerprint);
    return suspicion === undefined || sentAtMs <= suspicion.firstLossAtMs;
  }

  function clearSuspicion(fingerprint: string): boolean {
    const wasBlocked = isBlocked(fingerprint);
    const wasSuspected = suspicions.delete(fingerprint);
    if (wasBlocked) log.info("poison-cleared", { fingerprint });
    return wasSuspected;
  }

  function isFullMesh(): boolean {
    return (peers?.getMembers().length ?? 0) <= MAX_FULL_MESH_PEERS;
  }

  function sendAll(message: Reports.Message): void {
    peers?.notifyAll(METHOD, message);
  }

  /** Sends a message about a block to all peers, any other message only to the collector of its fingerprint. */
  function sendReport(
    message: Reports.Message,
    isBlock: boolean,
  ): void {
    const { route } = opts;
    if (route === undefined || isBlock || isFullMesh()) return sendAll(message);
    if (message.kind === "pull") return;
    const collector = route.getCollector(message.fingerprint);
    if (collector !== peers?.self) {
      return peers?.notify([collector], METHOD, message);
    }
    notifyRemoteDomains(message);
  }

  /** Sends a local report to the collectors of the remote domains, by way of connected instances there. */
  function notifyRemoteDomains(message: Reports.Message): void {
    const isLocal = message.kind === "broke" && message.isFromOutside !== true;
    if (!isLocal || opts.route === undefined) return;
    const remoteMessage = { ...message, isFromOutside: true };
    const ids = opts.route.getRemoteDomainPeers(message.fingerprint);
    peers?.notify(ids, METHOD, remoteMessage);
  }

  function hasBlockEvidence(fingerprint: string): boolean {
    const suspicion = suspicions.get(fingerprint);
    return suspicion !== undefined && suspicion.isUnexplained &&
      suspicion.targets.size >= TARGETS_TO_BLOCK;
  }

  function handleConnectionLoss(message: Reports.ConnectionLossReport): void {
    const { fingerprint, targets, isExplained } = message;
    const blockMs = message.blockMs ?? BLOCK_MS;
    const hasNewEvidence = addEvidence(
      fingerprint,
      targets,
      blockMs,
      isExplained === true,
    );
    if (!hasNewEvidence || isFullMesh()) return;
    if (opts.route === undefined) return sendAll(message);
    if (!hasBlockEvidence(fingerprint)) return sendReport(message, false);
    const suspicion = suspicions.get(fingerprint);
    sendAll({ ...message, targets: [...suspicion?.targets ?? targets] });
  }

  function handleMessage(message: Reports.Message): void {
    switch (message.kind) {
      case "broke":
        return handleConnectionLoss(message);
      case "answered": {
        const wasBlocked = isBlocked(message.fingerprint);
        const wasSuspected = clearSuspicion(message.fingerprint);
        if (wasSuspected && !isFullMesh()) sendReport(message, wasBlocked);
        return;
      }
      case "pull":
        return;
      default:
        Debug.assertNever(message);
    }
  }

  /** Returns the blocks and suspicions that fit into one message, for a peer that has just started. */
  function getReports(): readonly Reports.ConnectionLossReport[] {
    const now = clock.nowMs();
    const reports = [...suspicions].map(([fingerprint, suspicion]) => ({
      kind: "broke" as const,
      fingerprint,
      targets: [...suspicion.targets],
      blockMs: Math.max(0, suspicion.blockedUntilMs - now),
      isExplained: !suspicion.isUnexplained,
    }));
    return Reports.selectForMessage(reports);
  }

  async function pull(peer: Types.InstanceId): Promise<void> {
    if (hasPulled || peers === undefined) return;
    hasPulled = true;
    const params = { kind: "pull" };
    const response = await peers.call<unknown>(
      peer,
      METHOD,
      params,
      PULL_TIMEOUT_MS,
    );
    if (response.isErr() || !Array.isArray(response.value)) {
      hasPulled = false;
      return;
    }
    let discarded = 0;
    for (const item of response.value.slice(0, MAX_FINGERPRINTS)) {
      const message = Reports.tryParse(item);
      if (message?.kind === "broke") handleMessage(message);
      else discarded++;
    }
    if (discarded > 0) {
      log.warn("poison-reports-discarded", { peer, discarded });
    }
  }

  peers?.handle(METHOD, (params) => {
    const message = Reports.tryParse(params);
    if (message === undefined) throw new TypeError("malformed poison.report");
    if (message.kind === "pull") return getReports();
    handleMessage(message);
    return true;
  });
  peers?.onHeartbeat((heartbeat) => void pull(heartbeat.id));

  async function confirmBlock(fingerprint: string): Promise<void> {
    const suspicion = suspicions.get(fingerprint);
    if (peers === undefined || suspicion === undefined) return;
    if (!isBlocked(fingerprint) || !isFullMesh()) return;
    const report: Reports.ConnectionLossReport = {
      kind: "broke",
      fingerprint,
      targets: [...suspicion.targets],
      blockMs: suspicion.blockedUntilMs - clock.nowMs(),
    };
    const reachable = peers.getMembers().filter((member) => member.isReachable);
    await Promise.all(
      reachable.map(({ heartbeat }) =>
        peers.call(heartbeat.id, METHOD, report, CONFIRM_TIMEOUT_MS)
      ),
    );
  }

  return {
    isBlocked,
    confirmBlock,
    reportConnectionLoss(fingerprint, targetId, sentAtMs = clock.nowMs()) {
      const target = Reports.getReportedTarget(targetId);
      const isLossExplained = isExplained(fingerprint, sentAtMs);
      const hasNewEvidence = addEvidence(
        fingerprint,
        [target],
        BLOCK_MS,
        isLossExplained,
      );
      if (!hasNewEvidence) return;
      const suspicion = suspicions.get(fingerprint);
      const report: Reports.ConnectionLossReport = {
        kind: "broke",
        fingerprint,
        targets: [...suspicion?.targets ?? [target]],
        blockMs: BLOCK_MS,
        isExplained: suspicion?.isUnexplained !== true,
      };
      sendReport(report, hasBlockEvidence(fingerprint));
    },
    reportResponse(fingerprint) {
      recordResponse(fingerprint);
      const wasBlocked = isBlocked(fingerprint);
      if (!clearSuspicion(fingerprint)) return;
      sendReport({ kind: "answered", fingerprint }, wasBlocked);
    },
    getSize: () => suspicions.size,
  };
}
