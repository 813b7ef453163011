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
 *
 * Statements about a fingerprint are ordered by stamps (`poison_evidence.ts`), so
 * that each is forwarded once; `docs/design/poison_reports.md`.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as EvidenceModule from "./poison_evidence.ts";
import * as Reports from "./poison_reports.ts";

const BLOCK_MS = 5 * 60_000;
/** Time for which a response explains connection losses; an older response says little about the request now. */
const RESPONSE_EVIDENCE_MS = 2_000;
const MAX_FINGERPRINTS = 10_000;
const METHOD = "poison.report";
const PULL_TIMEOUT_MS = 1_000;
/** Longest wait of a failed request until other instances confirm its block: several times the round trip between regions (110 ms). */
const CONFIRM_TIMEOUT_MS = 400;
/** Up to this number of peers all instances are connected; in larger fleets reports are forwarded. */
const MAX_FULL_MESH_PEERS = 23;
/**
 * Time after a clear in which connection losses without stamps are ignored.
 * Earlier builds send them; within this time, several times what a message takes
 * through the fleet, they may be older than the clear.
 */
const UNORDERED_HOLD_MS = 2_000;

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
  /** Counts blocks, clears, and reports that were forwarded or already known. */
  readonly metrics?: Pick<Contracts.Metrics, "count">;
}

/** Poison requests, with the number of suspicions for tests. */
export interface InspectablePoison extends Contracts.Poison {
  getSize(): number;
}

/** Creates an empty list. With `peers`, it shares reports and pulls those of the first peer that sends a heartbeat. */
export function createPoison(opts: PoisonOptions): InspectablePoison {
  const { clock, peers, log } = opts;
  const evidence = EvidenceModule.createEvidence(clock);
  /** Monotonic ms of the last response at this instance by fingerprint, oldest first. */
  const lastResponses = new Map<string, number>();
  let hasPulled = false;
  let hasLoggedStamps = false;

  function count(name: string): void {
    opts.metrics?.count(name);
  }

  /** Adds connection losses and blocks the request when they suffice; returns false when they add no evidence. */
  function addLosses(
    fingerprint: string,
    losses: EvidenceModule.Losses,
    blockMs: number,
  ): boolean {
    const effect = evidence.addLosses(fingerprint, losses, blockMs);
    if (effect.isNewlyBlocked) {
      const { targets } = evidence.getSuspicion(fingerprint) ?? losses;
      const targetIds = [...targets.keys()].join(",");
      log.warn("poison-blocked", { fingerprint, targets: targetIds });
      count("poison-blocked");
    }
    return effect.isNew;
  }

  function addClear(
    fingerprint: string,
    stamp: number,
    isFleetWide: boolean,
  ): EvidenceModule.ClearEffect {
    const effect = evidence.addClear(fingerprint, stamp, isFleetWide);
    if (effect.isBlockLifted) {
      log.info("poison-cleared", { fingerprint });
      count("poison-cleared");
    }
    return effect;
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
    const suspicion = evidence.getSuspicion(fingerprint);
    return suspicion === undefined || sentAtMs <= suspicion.firstLossAtMs;
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

  /** Sends what remains of a suspicion after a clear, as receivers that had part of it have dropped theirs. */
  function repeatRemaining(
    fingerprint: string,
    remaining: EvidenceModule.Suspicion | undefined,
  ): void {
    if (remaining === undefined) return;
    const blockMs = Math.max(0, remaining.blockedUntilMs - clock.nowMs());
    const report = Reports.createReport(fingerprint, remaining, blockMs);
    sendReport(report, evidence.hasBlockEvidence(fingerprint));
  }

  /** True if a message without stamp may be older than the clear that is known. */
  function isHeld(fingerprint: string): boolean {
    const clear = evidence.getClear(fingerprint);
    return clear !== undefined &&
      clock.nowMs() - clear.atMs < UNORDERED_HOLD_MS;
  }

  /**
   * Returns the losses of a report. Those of an earlier build get the lowest stamp
   * that is in force here, so that each clear that is still on its way applies.
   */
  function getLosses(
    report: Reports.ConnectionLossReport,
  ): EvidenceModule.Losses | undefined {
    const losses = Reports.getStampedLosses(report);
    if (losses !== undefined) return losses;
    const { fingerprint, targets, isExplained } = report;
    if (isHeld(fingerprint)) return undefined;
    const stamp = (evidence.getClear(fingerprint)?.stamp ?? 0) + 1;
    return {
      targets: new Map(targets.map((target) => [target, stamp])),
      unexplainedStamp: isExplained === true ? 0 : stamp,
    };
  }

  function handleConnectionLoss(message: Reports.ConnectionLossReport): void {
    const { fingerprint } = message;
    const blockMs = message.blockMs ?? BLOCK_MS;
    const losses = getLosses(message);
    if (losses === undefined || !addLosses(fingerprint, losses, blockMs)) {
      return count("poison-reports-known");
    }
    if (isFullMesh()) return;
    count("poison-reports-forwarded");
    const isBlock = evidence.hasBlockEvidence(fingerprint);
    const known = isBlock ? evidence.getSuspicion(fingerprint) : undefined;
    const report = Reports.createReport(fingerprint, known ?? losses, blockMs);
    const isFromOutside = message.isFromOutside === true;
    sendReport({ ...report, isFromOutside }, isBlock);
  }

  /**
   * Returns the stamp of a clear; undefined when it is already known. Instances
   * that know the same losses give a clear of an earlier build the same stamp.
   */
  function getClearStamp(message: Reports.ClearReport): number | undefined {
    const { fingerprint, stamp } = message;
    if (stamp !== undefined) return stamp;
    const suspicion = evidence.getSuspicion(fingerprint);
    if (suspicion !== undefined) return EvidenceModule.getLastStamp(suspicion);
    if (isHeld(fingerprint)) return undefined;
    return evidence.createClearStamp(fingerprint);
  }

  function handleClear(message: Reports.ClearReport): void {
    const { fingerprint } = message;
    const stamp = getClearStamp(message);
    if (stamp === undefined) return count("poison-reports-known");
    const isFleetWide = message.isFleetWide === true ||
      evidence.isBlocked(fingerprint);
    const wasSuspected = evidence.getSuspicion(fingerprint) !== undefined;
    const { isNew, remaining } = addClear(fingerprint, stamp, isFleetWide);
    if (!isNew) return count("poison-reports-known");
    // A clear of an earlier build that arrives before the losses is remembered only.
    const isForwarded = message.stamp !== undefined || wasSuspected;
    if (isFullMesh() || !isForwarded) return;
    count("poison-reports-forwarded");
    sendReport({ ...message, stamp, isFleetWide }, isFleetWide);
    repeatRemaining(fingerprint, remaining);
  }

  function handleMessage(message: Reports.Message): void {
    switch (message.kind) {
      case "broke":
        return handleConnectionLoss(message);
      case "answered":
        return handleClear(message);
      case "pull":
        return;
      default:
        Debug.assertNever(message);
    }
  }

  /** Returns the blocks and suspicions that fit into one message, for a peer that has just started; clears take what is left. */
  function getReports(withClears: boolean): readonly Reports.Statement[] {
    const now = clock.nowMs();
    const losses = [...evidence.getSuspicions()].map(
      ([fingerprint, suspicion]) => {
        const blockMs = Math.max(0, suspicion.blockedUntilMs - now);
        return Reports.createReport(fingerprint, suspicion, blockMs);
      },
    );
    if (!withClears) return Reports.selectForMessage(losses);
    const clears = [...evidence.getClears()].map(
      ([fingerprint, { stamp, isFleetWide }]) =>
        ({ kind: "answered", fingerprint, stamp, isFleetWide }) as const,
    );
    return Reports.selectForMessage([...clears, ...losses]);
  }

  /** Applies a pulled statement; clears are known to the fleet and not forwarded. Returns false if it is malformed. */
  function handlePulled(item: unknown): boolean {
    const message = Reports.tryParse(item);
    if (message?.kind === "broke") {
      handleConnectionLoss(message);
      return true;
    }
    if (message?.kind !== "answered" || message.stamp === undefined) {
      return false;
    }
    const { fingerprint, stamp, isFleetWide } = message;
    addClear(fingerprint, stamp, isFleetWide === true);
    return true;
  }

  async function pull(peer: Types.InstanceId): Promise<void> {
    if (hasPulled || peers === undefined) return;
    hasPulled = true;
    const params: Reports.Message = { kind: "pull", withClears: true };
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
    for (const item of response.value.slice(0, 2 * MAX_FINGERPRINTS)) {
      if (!handlePulled(item)) discarded++;
    }
    if (discarded > 0) {
      log.warn("poison-reports-discarded", { peer, discarded });
    }
  }

  peers?.handle(METHOD, (params, peer) => {
    const message = Reports.tryParse(params);
    if (message === undefined) throw new TypeError("malformed poison.report");
    if (!hasLoggedStamps && Reports.hasMalformedStamps(params, message)) {
      hasLoggedStamps = true;
      log.warn("poison-stamps-malformed", { peer });
    }
    if (message.kind === "pull") return getReports(message.withClears === true);
    handleMessage(message);
    return true;
  });
  peers?.onHeartbeat((heartbeat) => void pull(heartbeat.id));

  async function confirmBlock(fingerprint: string): Promise<void> {
    const suspicion = evidence.getSuspicion(fingerprint);
    if (peers === undefined || suspicion === undefined) return;
    if (!evidence.isBlocked(fingerprint) || !isFullMesh()) return;
    const blockMs = suspicion.blockedUntilMs - clock.nowMs();
    const report = Reports.createReport(fingerprint, suspicion, blockMs);
    const reachable = peers.getMembers().filter((member) => member.isReachable);
    await Promise.all(
      reachable.map(({ heartbeat }) =>
        peers.call(heartbeat.id, METHOD, report, CONFIRM_TIMEOUT_MS)
      ),
    );
  }

  return {
    isBlocked: evidence.isBlocked,
    confirmBlock,
    reportConnectionLoss(fingerprint, targetId, sentAtMs = clock.nowMs()) {
      const target = Reports.getReportedTarget(targetId);
      const stamp = evidence.createLossStamp(fingerprint);
      const losses = {
        targets: new Map([[target, stamp]]),
        unexplainedStamp: isExplained(fingerprint, sentAtMs) ? 0 : stamp,
      };
      if (!addLosses(fingerprint, losses, BLOCK_MS)) return;
      const known = evidence.getSuspicion(fingerprint) ?? losses;
      const report = Reports.createReport(fingerprint, known, BLOCK_MS);
      sendReport(report, evidence.hasBlockEvidence(fingerprint));
    },
    reportResponse(fingerprint) {
      recordResponse(fingerprint);
      if (evidence.getSuspicion(fingerprint) === undefined) return;
      const isFleetWide = evidence.isBlocked(fingerprint);
      const stamp = evidence.createClearStamp(fingerprint);
      addClear(fingerprint, stamp, isFleetWide);
      sendReport(
        { kind: "answered", fingerprint, stamp, isFleetWide },
        isFleetWide,
      );
    },
    getSize: () => evidence.getSuspicions().size,
  };
}
