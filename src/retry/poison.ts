/**
 * Requests that break targets. Promise: a fingerprint that was in flight when
 * two different targets broke, seen by any instances, is blocked at all
 * reachable instances for 5 minutes. A fingerprint that a target answered is
 * cleared, because popular requests are in flight on every target that fails.
 *
 * What breaks it: an instance that is cut off learns of others' reports only
 * when it asks a peer; a poison request whose body changes each time has a new
 * fingerprint.
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
/** About 3 MB when full. */
const MAX_FINGERPRINTS = 10_000;
/** More targets say nothing more. */
const MAX_TARGETS = 4;
const METHOD = "poison.report";
const PULL_TIMEOUT_MS = 1_000;
/** A full mesh up to this size; beyond it reports are passed on. */
const FULL_MESH_PEERS = 23;

/** What the list of poison requests needs. */
export interface PoisonOptions {
  readonly clock: Clock.Clock;
  readonly peers?: Contracts.PeerNet;
  readonly log: Log.Logger;
}

/** Poison requests, with their number for tests. */
export interface ClearablePoison extends Contracts.Poison {
  getSize(): number;
}

interface Suspicion {
  readonly targets: Set<Types.TargetId>;
  lastBreakMs: number;
  blockedUntilMs: number;
}

/** Creates an empty list; with `peers` it shares reports and asks the first peer that it hears. */
export function createPoison(opts: PoisonOptions): ClearablePoison {
  const { clock, peers, log } = opts;
  /** In order of the last report, oldest first. */
  const suspicions = new Map<string, Suspicion>();
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
  ): boolean {
    const now = clock.nowMs();
    const found = suspicions.get(fingerprint);
    const isOld = found === undefined || now - found.lastBreakMs > SUSPICION_MS;
    const known: Suspicion = isOld
      ? { targets: new Set(), lastBreakMs: now, blockedUntilMs: -Infinity }
      : found;
    const before = known.targets.size;
    for (const target of targets) {
      if (known.targets.size < MAX_TARGETS) known.targets.add(target);
    }
    known.lastBreakMs = now;
    suspicions.delete(fingerprint);
    suspicions.set(fingerprint, known);
    const isNews = known.targets.size > before;
    evict();
    if (known.targets.size < TARGETS_TO_BLOCK) return isNews;
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

  function clear(fingerprint: string): boolean {
    const wasBlocked = isBlocked(fingerprint);
    const isKnown = suspicions.delete(fingerprint);
    if (wasBlocked) log.info("poison-cleared", { fingerprint });
    return isKnown;
  }

  function send(message: Reports.Message): void {
    peers?.notifyAll(METHOD, message);
  }

  function takeMessage(message: Reports.Message): void {
    const isMesh = (peers?.getMembers().length ?? 0) <= FULL_MESH_PEERS;
    switch (message.kind) {
      case "broke": {
        const { fingerprint, targets, blockMs } = message;
        const isNews = add(fingerprint, targets, blockMs ?? BLOCK_MS);
        if (isNews && !isMesh) send(message);
        return;
      }
      case "answered":
        if (clear(message.fingerprint) && !isMesh) send(message);
        return;
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

  return {
    isBlocked,
    reportBreak(fingerprint, target) {
      const isNews = add(fingerprint, [target], BLOCK_MS);
      if (!isNews) return;
      const targets = [...suspicions.get(fingerprint)?.targets ?? [target]];
      send({ kind: "broke", fingerprint, targets, blockMs: BLOCK_MS });
    },
    reportAnswered(fingerprint) {
      if (clear(fingerprint)) send({ kind: "answered", fingerprint });
    },
    getSize: () => suspicions.size,
  };
}
