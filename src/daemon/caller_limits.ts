/** Limits of the daemon's client connections, over its callers' and probe listeners. */
import * as V8 from "node:v8";
import * as ConnectionGate from "../connection_gate.ts";
import * as ConnectionLimits from "../connection_limits.ts";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";

/** A caller that sends its headers more slowly occupies a connection without use. */
export const HEADERS_TIMEOUT_MS = 10_000;
/** Window over which the rates of bodies and readers are measured; also the time for a connection's first byte. */
const RATE_WINDOW_MS = 10_000;

/** As the settings have them by default. */
const DEFAULTS = { maxConnections: 20_000, maxBodyBytes: 16 * 1024 * 1024 };

/** Limits of the connections of one process. */
export interface CallerLimits {
  readonly gate: ConnectionGate.ConnectionGate;
  readonly callers: ConnectionLimits.ConnectionLimits;
  readonly probes: ConnectionLimits.ConnectionLimits;
}

/** Creates the limits from the settings; events are counted, and logged at a bounded rate. */
export function createCallerLimits(
  cfg: { readonly maxConnections: number; readonly maxBodyBytes: number },
  metrics: Pick<Contracts.Metrics, "count">,
  log: Log.Logger,
): CallerLimits {
  const shared = {
    idleTimeoutMs: RATE_WINDOW_MS,
    headerTimeoutMs: HEADERS_TIMEOUT_MS,
    maxBodyBytes: cfg.maxBodyBytes,
  };
  const { heap_size_limit: heapBytes } = V8.getHeapStatistics();
  return {
    gate: ConnectionGate.createConnectionGate({
      maxConnections: cfg.maxConnections,
      crowdedRequests: ConnectionLimits.getCrowdedRequests(heapBytes),
      count: (limit) => metrics.count(`connections.closed.${limit}`),
      report: (event) => log.warn("client-connection-closed", event),
    }),
    callers: {
      ...shared,
      maxUnanswered: ConnectionLimits.MAX_UNANSWERED,
      sliceBytes: ConnectionLimits.SLICE_BYTES,
    },
    probes: {
      ...shared,
      maxUnanswered: ConnectionLimits.MAX_UNANSWERED_INTERNAL,
      sliceBytes: ConnectionLimits.SLICE_BYTES_INTERNAL,
    },
  };
}

/** Creates the limits of a listener that is started without settings; nothing is counted. */
export function createDefaultLimits(log: Log.Logger): CallerLimits {
  return createCallerLimits(DEFAULTS, { count: () => {} }, log);
}
