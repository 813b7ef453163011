/**
 * Requests that break targets. Promise: a fingerprint that was in flight when
 * two different targets broke, seen by any instances, is blocked at all
 * reachable instances for 5 minutes. A fingerprint that a target answered is
 * cleared, because popular requests are in flight on every target that fails.
 *
 * Targets of a region that fail together would block a popular request before
 * the next answer. A break is therefore explained by an answer of the same
 * fingerprint in the last seconds when the request had left before the first
 * break since that answer. Explained breaks alone do not block; one that is not
 * explained blocks together with them. So a request that no target answers, or
 * that is sent again after its first break, reaches two targets at most.
 *
 * What breaks it: an instance that is cut off learns of others' reports only
 * when it asks a peer; a poison request whose body changes each time has a new
 * fingerprint; one that was answered and then turns harmful while several
 * copies are in flight breaks the targets of all these copies.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as Reports from "./poison_reports.ts";

const BLOCK_MS = 5 * 60_000;
/** Covers callers that retry every few minutes. */
const SUSPICION_MS = 10 * 60_000;
const TARGETS_TO_BLOCK = 2;
/** How long an answer explains breaks; an older one says little of the request now. */
const ANSWER_EVIDENCE_MS = 2_000;
/** About 3 MB when full. */
const MAX_FINGERPRINTS = 10_000;
/** More targets say nothing more. */
const MAX_TARGETS = 4;
const METHOD = "poison.report";
const PULL_TIMEOUT_MS = 1_000;
/** Longest that a failed request waits for others to know of its block: several times the round trip between regions (110 ms). */
const CONFIRM_TIMEOUT_MS = 400;
/** A full mesh up to this size; beyond it reports are passed on. */
const FULL_MESH_PEERS = 23;

/**
 * Who hears of breaks in a fleet that is no full mesh. In a time of lost answers
 * there are dozens of breaks a second, nearly all of them harmless; told to
 * everybody, as blocks are, they took all of a large fleet's processor time.
 */
export interface ReportRoute {
  /** The instance of the own domain that gathers the reports of a fingerprint. */
  getCollector(fingerprint: string): Types.InstanceId;
  /** A connected instance of each other domain. */
  getOtherDomains(fingerprint: string): readonly Types.InstanceId[];
}

/** What the list of poison requests needs. */
export interface PoisonOptions {
  readonly clock: Clock.Clock;
  readonly peers?: Contracts.PeerNet;
  /** For fleets that are no full mesh; without it everybody is told everything. */
  readonly route?: ReportRoute;
  readonly log: Log.Logger;
}

/** Poison requests, with their number for tests. */
export interface ClearablePoison extends Contracts.Poison {
  getSize(): number;
}

interface Suspicion {
  readonly targets: Set<Types.TargetId>;
  /** First break since the last answer. */
  readonly firstBreakMs: number;
  /** False while answers explain every break. */
  isUnexplained: boolean;
  lastBreakMs: number;
  blockedUntilMs: number;
}

function createSuspicion(nowMs: number): Suspicion {
  return {
    targets: new Set(),
    firstBreakMs: nowMs,
    isUnexplained: false,
    lastBreakMs: nowMs,
    blockedUntilMs: -Infinity,
  };
}

/** Creates an empty list; with `peers` it shares reports and asks the first peer that it hears. */
export function createPoison(opts: PoisonOptions): ClearablePoison {
  const { clock, peers, log } = opts;
  /** In order of the last report, oldest first. */
  const suspicions = new Map<string, Suspicion>();
  /** Monotonic ms of the last answer here, oldest first. */
  const answers = new Map<string, number>();
  let isPulled = false;

  function evict(): void {
    for (const [fingerprint, each] of suspicions) {
      const now = clock.nowMs();
      const isOver = now - each.lastBreakMs > SUSPICION_MS;
      if (!isOver && suspicions.size <= MAX_FINGERPRINTS) return;
      suspicions.delete(fingerprint);
    }
  }

  /** Takes evidence in; returns false when it says nothing new. */
  function add(
    fingerprint: string,
    targets: readonly Types.TargetId[],
    blockMs: number,
    isExplained: boolean,
  ): boolean {
    const now = clock.nowMs();
    const found = suspicions.get(fingerprint);
    const isOld = found === undefined || now - found.lastBreakMs > SUSPICION_MS;
    const known: Suspicion = isOld ? createSuspicion(now) : found;
    const before = known.targets.size;
    const wasUnexplained = known.isUnexplained;
    if (!isExplained) known.isUnexplained = true;
    for (const target of targets) {
      if (known.targets.size < MAX_TARGETS) known.targets.add(target);
    }
    known.lastBreakMs = now;
    suspicions.delete(fingerprint);
    suspicions.set(fingerprint, known);
    const isNews = known.targets.size > before ||
      known.isUnexplained !== wasUnexplained;
    evict();
    const isEnough = known.targets.size >= TARGETS_TO_BLOCK;
    if (!isEnough || !known.isUnexplained) return isNews;
    const wasBlocked = known.blockedUntilMs > now;
    known.blockedUntilMs = Math.max(known.blockedUntilMs, now + blockMs);
    if (wasBlocked || blockMs === 0) return isNews;
    const names = [...known.targets].join(",");
    log.warn("poison-blocked", { fingerprint, targets: names });
    return true;
  }

  function isBlocked(fingerprint: string): boolean {
    const known = suspicions.get(fingerprint);
    return known !== undefined && clock.nowMs() < known.blockedUntilMs;
  }

  function noteAnswer(fingerprint: string): void {
    answers.delete(fingerprint);
    answers.set(fingerprint, clock.nowMs());
    if (answers.size <= MAX_FINGERPRINTS) return;
    for (const oldest of answers.keys()) {
      answers.delete(oldest);
      return;
    }
  }

  /** The last outcome known when the request left was a recent answer. */
  function isExplained(fingerprint: string, sentAtMs: number): boolean {
    const answeredAtMs = answers.get(fingerprint) ?? -Infinity;
    if (clock.nowMs() - answeredAtMs > ANSWER_EVIDENCE_MS) return false;
    const known = suspicions.get(fingerprint);
    return known === undefined || sentAtMs <= known.firstBreakMs;
  }

  function clear(fingerprint: string): boolean {
    const wasBlocked = isBlocked(fingerprint);
    const isKnown = suspicions.delete(fingerprint);
    if (wasBlocked) log.info("poison-cleared", { fingerprint });
    return isKnown;
  }

  function isMesh(): boolean {
    return (peers?.getMembers().length ?? 0) <= FULL_MESH_PEERS;
  }

  function sendAll(message: Reports.Message): void {
    peers?.notifyAll(METHOD, message);
  }

  /** What everybody has to know, or what only the gatherer of the fingerprint does. */
  function send(message: Reports.Message, isForAll: boolean): void {
    const { route } = opts;
    if (route === undefined || isForAll || isMesh()) return sendAll(message);
    if (message.kind === "pull") return;
    const gatherer = route.getCollector(message.fingerprint);
    if (gatherer !== peers?.self) {
      return peers?.notify([gatherer], METHOD, message);
    }
    tellOutside(message);
  }

  /** The gatherers of the domains tell each other, by way of whoever is connected. */
  function tellOutside(message: Reports.Message): void {
    const isOwn = message.kind === "broke" && message.isFromOutside !== true;
    if (!isOwn || opts.route === undefined) return;
    const outside = { ...message, isFromOutside: true };
    const ids = opts.route.getOtherDomains(message.fingerprint);
    peers?.notify(ids, METHOD, outside);
  }

  function isKnownBlocked(fingerprint: string): boolean {
    const known = suspicions.get(fingerprint);
    return known !== undefined && known.isUnexplained &&
      known.targets.size >= TARGETS_TO_BLOCK;
  }

  function takeBroke(message: Reports.Broke): void {
    const { fingerprint, targets, isExplained } = message;
    const blockMs = message.blockMs ?? BLOCK_MS;
    const isNews = add(fingerprint, targets, blockMs, isExplained === true);
    if (!isNews || isMesh()) return;
    if (opts.route === undefined) return sendAll(message);
    if (!isKnownBlocked(fingerprint)) return send(message, false);
    const known = suspicions.get(fingerprint);
    sendAll({ ...message, targets: [...known?.targets ?? targets] });
  }

  function takeMessage(message: Reports.Message): void {
    switch (message.kind) {
      case "broke":
        return takeBroke(message);
      case "answered": {
        const wasBlocked = isBlocked(message.fingerprint);
        const isKnown = clear(message.fingerprint);
        if (isKnown && !isMesh()) send(message, wasBlocked);
        return;
      }
      case "pull":
        return;
      default:
        Debug.assertNever(message);
    }
  }

  /** Blocks and suspicions for a peer that has just started. */
  function getReports(): readonly Reports.Broke[] {
    const now = clock.nowMs();
    return [...suspicions].map(([fingerprint, each]) => ({
      kind: "broke",
      fingerprint,
      targets: [...each.targets],
      blockMs: Math.max(0, each.blockedUntilMs - now),
      isExplained: !each.isUnexplained,
    }));
  }

  async function pull(from: Types.InstanceId): Promise<void> {
    if (isPulled || peers === undefined) return;
    isPulled = true;
    const params = { kind: "pull" };
    const answer = await peers.call<unknown>(
      from,
      METHOD,
      params,
      PULL_TIMEOUT_MS,
    );
    if (answer.isErr() || !Array.isArray(answer.value)) {
      isPulled = false;
      return;
    }
    for (const item of answer.value.slice(0, MAX_FINGERPRINTS)) {
      const message = Reports.tryParse(item);
      if (message?.kind === "broke") takeMessage(message);
    }
  }

  peers?.handle(METHOD, (params) => {
    const message = Reports.tryParse(params);
    if (message === undefined) throw new TypeError("malformed poison.report");
    if (message.kind === "pull") return getReports();
    takeMessage(message);
    return true;
  });
  peers?.onHeartbeat((heartbeat) => void pull(heartbeat.id));

  async function confirmBlock(fingerprint: string): Promise<void> {
    const known = suspicions.get(fingerprint);
    if (peers === undefined || known === undefined) return;
    if (!isBlocked(fingerprint) || !isMesh()) return;
    const report: Reports.Broke = {
      kind: "broke",
      fingerprint,
      targets: [...known.targets],
      blockMs: known.blockedUntilMs - clock.nowMs(),
    };
    const reachable = peers.getMembers().filter((one) => one.isReachable);
    await Promise.all(
      reachable.map(({ heartbeat }) =>
        peers.call(heartbeat.id, METHOD, report, CONFIRM_TIMEOUT_MS)
      ),
    );
  }

  return {
    isBlocked,
    confirmBlock,
    reportConnectionLoss(fingerprint, target, sentAtMs = clock.nowMs()) {
      const explained = isExplained(fingerprint, sentAtMs);
      const isNews = add(fingerprint, [target], BLOCK_MS, explained);
      if (!isNews) return;
      const known = suspicions.get(fingerprint);
      const report: Reports.Broke = {
        kind: "broke",
        fingerprint,
        targets: [...known?.targets ?? [target]],
        blockMs: BLOCK_MS,
        isExplained: known?.isUnexplained !== true,
      };
      send(report, isKnownBlocked(fingerprint));
    },
    reportResponse(fingerprint) {
      noteAnswer(fingerprint);
      const wasBlocked = isBlocked(fingerprint);
      if (!clear(fingerprint)) return;
      send({ kind: "answered", fingerprint }, wasBlocked);
    },
    getSize: () => suspicions.size,
  };
}
