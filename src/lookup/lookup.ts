/**
 * `GET /v1/lookup?service=S[&tickets=N]`: which entry instances to use, and
 * tickets for `once` routes. Needs the caller's key; without one it answers for
 * open routes only and issues no tickets.
 */
import type * as Http from "node:http";
import type * as Context from "../admission/context.ts";
import * as Account from "../admission/account.ts";
import * as AdmissionContext from "../admission/context.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import type * as Types from "../types.ts";
import * as Order from "./order.ts";

/** What lookups need besides the request path's parts. */
export interface LookupOptions {
  readonly deps: Context.Deps;
  readonly getSelf: () => Types.Heartbeat;
  readonly getAllocatedRate: (
    shards: readonly number[],
    domain: Types.Domain,
    service: Types.Service,
    account: Types.Account,
  ) => number;
  readonly maxAgeMs: number;
}

const MAX_TICKETS = 16;

/** Creates the handler of lookups. */
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
      getAllocatedRate: (one) =>
        opts.getAllocatedRate(one.shards, one.domain, service, account),
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
      const refusal = { failure: caller.error, outcome: "not-run" } as const;
      return Respond.sendRejection(res, refusal, requestId);
    }
    const { account, digest } = caller.value;
    const asked = Number(url.searchParams.get("tickets") ?? 1);
    const count = Math.min(Math.max(Math.trunc(asked) || 0, 0), MAX_TICKETS);
    const mayIssue = digest !== undefined && rules.once.length > 0 &&
      opts.getSelf().state === "live";
    const body = JSON.stringify({
      service,
      instances: getInstances(service, account),
      maxAgeMs: opts.maxAgeMs,
      tickets: mayIssue ? deps.tickets.issue(account, service, count) : [],
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
