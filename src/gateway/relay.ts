/**
 * Passes requests on to another instance while this one can't reach targets. Load
 * pattern: an instance, a failure domain or most of a fleet is partitioned from the
 * targets, and callers keep sending to it until they have asked the directory again.
 *
 * The other instance handles a relayed request like one of its own callers, account
 * limits and at-most-once included; it never relays it further. What it responds is
 * passed to the caller as it is.
 */
import type * as Clock from "../clock.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";
import * as Attempt from "./attempt.ts";
import type * as Cancellation from "./cancellation.ts";
import * as Connections from "./connections.ts";
import * as Directory from "./directory.ts";
import * as Exchange from "./exchange.ts";
import * as Rejection from "./rejection.ts";
import type * as MemoryBudget from "../memory_budget.ts";
import type * as GatewayTypes from "./types.ts";

/** Instances to which one request may be passed on. */
const MAX_INSTANCES = 2;
/** Time for which no request goes to an instance to which a connection failed, or that sent an invalid response. */
const FAILED_PAUSE_MS = 1_000;
/** Longest idle time after which a connection is reused; short for requests that can't be sent again if it is closed meanwhile. */
const MAX_IDLE_MS = 3_000;
const MAX_IDLE_NON_REPEATABLE_MS = 1_000;
/** Part of the remaining time that is kept for the way back, besides half of a round trip. */
const DEADLINE_MARGIN_MS = 10;

/** A request to pass on. */
export interface RelayRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly isRepeatable: boolean;
  /** Regions that may handle the request; undefined means all. */
  readonly homeRegions: readonly Types.Region[] | undefined;
  readonly affinityKey: string;
  /** Monotonic ms by which the response must leave this instance. */
  readonly deadlineAtMs: number;
  readonly cancellation: Cancellation.Cancellation;
}

/** Outcome of a relayed request. */
export type RelayResult =
  | {
    readonly kind: "response";
    readonly instance: Types.InstanceId;
    readonly response: Exchange.TargetResponse;
  }
  /** No instance received the request. */
  | { readonly kind: "unavailable" }
  /** The exchange failed and the request may have run. */
  | {
    readonly kind: "broke";
    readonly instance: Types.InstanceId;
    readonly reason: string;
  }
  /** The request was cancelled. `isSent`: an instance may have received it. */
  | { readonly kind: "aborted"; readonly isSent: boolean };

/** Passes requests on to other instances. */
export interface Relay {
  /** Passes the request on; never rejects for a failure of the other instance. */
  send(req: RelayRequest): Promise<RelayResult>;
}

type IsNear = (
  instance: Pick<Directory.DirectoryInstance, "domain" | "region">,
  self: Pick<Directory.DirectoryInstance, "domain" | "region">,
) => boolean;

function rankByKey(
  affinityKey: string,
  instances: readonly Directory.DirectoryInstance[],
): readonly Directory.DirectoryInstance[] {
  const byId = new Map(instances.map((instance) => [instance.id, instance]));
  return Rendezvous.rank(affinityKey, [...byId.keys()])
    .map((id) => byId.get(id)!);
}

/** Groups of instances around this one, the smallest first. */
const NEAREST_FIRST: readonly IsNear[] = [
  (instance, self) => instance.domain === self.domain,
  (instance, self) => instance.region === self.region,
];

type SendResult =
  | RelayResult
  /** The instance reaches no target either, and did not run the request. */
  | { readonly kind: "rejected" };

/** Creates the relay of the instance `self`. */
export function createRelay(opts: {
  readonly self: Omit<Directory.DirectoryInstance, "isStranded">;
  /** Live instances, without this one. */
  readonly getInstances: () => readonly Directory.DirectoryInstance[];
  readonly connections: Connections.Connections;
  readonly responseMemory: MemoryBudget.MemoryBudget;
  readonly dialect: GatewayTypes.HeaderDialect;
  readonly getRoundTripMs: (region: Types.Region) => number;
  readonly clock: Clock.Clock;
}): Relay {
  const { clock, connections, dialect, self } = opts;
  const pausedUntilMs = new Map<Types.InstanceId, number>();

  function isAllowed(
    instance: Directory.DirectoryInstance,
    { homeRegions }: RelayRequest,
  ): boolean {
    if (instance.isStranded) return false;
    if ((pausedUntilMs.get(instance.id) ?? -Infinity) > clock.nowMs()) {
      return false;
    }
    // Callers connect to instances of their own region, so this region is theirs.
    return instance.region === self.region || homeRegions === undefined ||
      homeRegions.includes(instance.region);
  }

  /**
   * Lists the instances to try: of the nearest group in which enough reach targets, so
   * that one of them doesn't get the requests of a whole domain. Those of a group get
   * different affinity keys.
   */
  function rankInstances(
    req: RelayRequest,
  ): readonly Directory.DirectoryInstance[] {
    const instances = opts.getInstances();
    const allowed = instances.filter((instance) => isAllowed(instance, req));
    const group = NEAREST_FIRST.map((isNear) => ({
      all: instances.filter((instance) => isNear(instance, self)),
      usable: allowed.filter((instance) => isNear(instance, self)),
    })).find(({ all, usable }) =>
      // This instance is one of the group.
      usable.length > 0 && Directory.isEnough(usable.length, all.length + 1)
    );
    const preferred = group?.usable ?? allowed;
    const others = allowed.filter((instance) => !preferred.includes(instance));
    const local = others.filter(({ region }) => region === self.region);
    const remote = others.filter(({ region }) => region !== self.region);
    return [preferred, local, remote]
      .flatMap((instances) => rankByKey(req.affinityKey, instances))
      .slice(0, MAX_INSTANCES);
  }

  function pause({ id }: Directory.DirectoryInstance): void {
    pausedUntilMs.set(id, clock.nowMs() + FAILED_PAUSE_MS);
  }

  async function connect(
    { callerAddress, region }: Directory.DirectoryInstance,
    req: RelayRequest,
  ): Promise<Connections.TargetConnection | Connections.ConnectFailure> {
    const maxIdleMs = req.isRepeatable
      ? MAX_IDLE_MS
      : MAX_IDLE_NON_REPEATABLE_MS;
    // Unlike targets, instances write each response once, so that any idle connection will do.
    const idle = connections.tryAcquireIdle(
      callerAddress,
      maxIdleMs,
      undefined,
    );
    if (idle !== undefined) return idle;
    const timeoutMs = Attempt.getConnectTimeoutMs(opts.getRoundTripMs(region));
    return await connections.open(callerAddress, timeoutMs, req.cancellation);
  }

  async function sendTo(
    instance: Directory.DirectoryInstance,
    req: RelayRequest,
  ): Promise<SendResult> {
    const conn = await connect(instance, req);
    if (Connections.isConnectFailure(conn)) {
      if (req.cancellation.isCancelled()) {
        return { kind: "aborted", isSent: false };
      }
      pause(instance);
      return { kind: "unavailable" };
    }
    const remainingMs = req.deadlineAtMs - clock.nowMs() -
      opts.getRoundTripMs(instance.region) / 2 - DEADLINE_MARGIN_MS;
    const result = await Exchange.exchange(
      conn,
      {
        method: req.method,
        path: req.path,
        headers: dialect.formatForInstance(req.rawHeaders, {
          relayedBy: self.id,
          deadlineMs: Math.max(1, Math.floor(remainingMs)),
        }),
        body: req.body,
      },
      req.cancellation,
      opts.responseMemory,
    );
    if (result.kind === "aborted") {
      connections.destroy(conn);
      return { kind: "aborted", isSent: true };
    }
    if (result.kind === "broke") {
      connections.destroy(conn);
      if (result.isInvalid === true) pause(instance);
      return { kind: "broke", instance: instance.id, reason: result.reason };
    }
    const { response } = result;
    const fields = dialect.readResponse(response.status, response.headers);
    if (fields.isClosing) connections.destroy(conn);
    else connections.release(conn);
    if (Rejection.isNoTarget(response.status, response.headers)) {
      return { kind: "rejected" };
    }
    return { kind: "response", instance: instance.id, response };
  }

  return {
    async send(req) {
      let lastResult: RelayResult = { kind: "unavailable" };
      for (const instance of rankInstances(req)) {
        const result = await sendTo(instance, req);
        const isLast = result.kind === "response" ||
          result.kind === "aborted" ||
          (result.kind === "broke" && !req.isRepeatable);
        if (isLast) return result;
        if (result.kind === "broke") lastResult = result;
      }
      return lastResult;
    },
  };
}
