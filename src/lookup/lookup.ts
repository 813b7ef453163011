/**
 * `GET /v1/lookup?service=S[&tickets=N]`: returns the entry instances to use,
 * and tickets for `once` routes. Requires the caller's key; without a key the
 * response covers open routes only and contains no tickets.
 */
import type * as Http from "node:http";
import type * as Context from "../admission/context.ts";
import * as Account from "../admission/account.ts";
import * as AdmissionContext from "../admission/context.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import type * as Types from "../types.ts";
import * as Order from "./order.ts";

/** Dependencies of the lookup handler. */
export interface LookupOptions {
  readonly deps: Context.Deps;
  readonly getSelf: () => Types.Heartbeat;
  /** Requests per second of the account's budget that are allocated to the shards. */
  readonly getAllocatedRate: (
    shards: readonly number[],
    domain: Types.Domain,
    service: Types.Service,
    account: Types.Account,
  ) => number;
  /** Time for which callers may cache a response, ms. */
  readonly maxAgeMs: number;
}

const MAX_TICKETS = 16;

/** Creates the HTTP handler of lookups. */
export function createLookup(
  opts: LookupOptions,
): (req: Http.IncomingMessage, res: Http.ServerResponse) => void {
  const { deps } = opts;

  function getCandidates(): readonly Types.Heartbeat[] {
    const peers = deps.peers.getMembers()
      .filter((member) => member.isReachable)
      .map((member) => member.heartbeat);
    return [opts.getSelf(), ...peers];
  }

  function getInstances(service: string, account: string) {
    const self = opts.getSelf();
    return Order.orderInstances({
      domain: self.domain,
      region: self.region,
      candidates: getCandidates(),
      getAllocatedRate: (candidate) =>
        opts.getAllocatedRate(
          candidate.shards,
          candidate.domain,
          service,
          account,
        ),
    });
  }

  return (req, res) => {
    const requestId = AdmissionContext.createRequestId();
    deps.metrics.count("lookups_total");
    const url = new URL(req.url ?? "/", "http://instance");
    const service = url.searchParams.get("service") ?? "";
    const rules = deps.config.getTable()?.services.get(service);
    if (rules === undefined) {
      return Respond.sendRejection(
        res,
        Respond.createRejection("noSuchService", "not-run"),
        requestId,
      );
    }
    const pairs = Headers.toPairs(req.rawHeaders);
    const key = Account.tryGetKey(pairs);
    const caller = Account.authenticateCaller(
      deps,
      req,
      pairs,
      key,
      key === undefined,
    );
    if (caller.isErr()) {
      const rejection = { failure: caller.error, outcome: "not-run" } as const;
      return Respond.sendRejection(res, rejection, requestId);
    }
    const { account, digest } = caller.value;
    const requestedCount = Number(url.searchParams.get("tickets") ?? 1);
    const count = Math.min(
      Math.max(Math.trunc(requestedCount) || 0, 0),
      MAX_TICKETS,
    );
    const canIssue = digest !== undefined && rules.once.length > 0 &&
      opts.getSelf().state === "live";
    const body = JSON.stringify({
      service,
      instances: getInstances(service, account),
      maxAgeMs: opts.maxAgeMs,
      tickets: canIssue ? deps.tickets.issue(account, service, count) : [],
    });
    res.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      "cache-control": `private, max-age=${Math.floor(opts.maxAgeMs / 1000)}`,
      "anvilroute-request-id": requestId,
    });
    res.end(body);
  };
}
