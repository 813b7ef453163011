/** The method by which the operators' tool asks an instance to explain a request. */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Log from "../log.ts";
import * as Explain from "./explain.ts";

/** Name of the method on the peer listener. */
export const METHOD = "gateway.explain";
/** Malformed queries are logged at most once in this time. */
const LOG_INTERVAL_MS = 10_000;

/** Starts to answer queries; counts them, and logs malformed ones. */
export function register(
  opts: Explain.ExplainOptions & {
    readonly peers: Pick<Contracts.PeerNet, "handle">;
    readonly metrics: Pick<Contracts.Metrics, "count">;
    readonly clock: Clock.Clock;
    readonly log: Log.Logger;
  },
): void {
  const { clock, log, metrics } = opts;
  const explain = Explain.createExplain(opts);
  const limitLines = Log.createRepeatLimit(LOG_INTERVAL_MS, clock.nowMs);
  opts.peers.handle(METHOD, (params, sender) => {
    const answer = explain(params);
    metrics.count("explanations");
    if (answer.kind === "error" && answer.code === "badRequest") {
      const repeat = limitLines(METHOD);
      if (repeat !== undefined) {
        const { suppressed } = repeat;
        log.warn("explain-malformed", { from: sender, suppressed });
      }
    }
    return answer;
  });
}
