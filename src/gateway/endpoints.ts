/** Responds to queries of the directory and of this instance's readiness. */
import type * as Http from "node:http";
import type * as Types from "../types.ts";
import * as Directory from "./directory.ts";
import * as Servers from "./servers.ts";

/** Time for which callers cache a directory response; after three times this, no caller uses a leaving instance. */
const DIRECTORY_TTL_S = 1;
/**
 * Cache time of a directory response in a large fleet. With 87 instances and the
 * shorter time, lookups were a third of all responses (27,159 beside 48,837
 * requests). A response names so many instances there that one that has stopped
 * makes few callers retry.
 */
const LARGE_FLEET_TTL_S = 2;
/** A fleet with more instances is large. */
const LARGE_FLEET_INSTANCES = 24;
/** The platform's URL and response format of the directory. */
export interface DirectoryDialect {
  /** Returns the region and domain of the caller; undefined if the URL is not a directory query. */
  tryParseQuery(url: string): {
    readonly region: Types.Region;
    readonly domain: Types.Domain;
  } | undefined;
  /** Returns the value of the JSON response; callers may cache it for `ttlS` seconds. */
  formatResponse(addresses: readonly Types.Address[], ttlS: number): unknown;
  /** True if the URL queries whether this instance is ready. */
  isReadinessQuery(url: string): boolean;
}

/** Handlers of queries that are no callers' requests. */
export interface Endpoints {
  handleDirectory(req: Http.IncomingMessage, res: Http.ServerResponse): void;
  handleReadiness(req: Http.IncomingMessage, res: Http.ServerResponse): void;
}

/** Creates the handlers. */
export function createEndpoints(opts: {
  readonly dialect: DirectoryDialect;
  /** Live instances, this one included. */
  readonly getInstances: () => readonly Directory.DirectoryInstance[];
  /** True when the configuration has a route with long responses. */
  readonly hasDownloads: () => boolean;
  readonly getFleetCount: () => number;
  readonly getMemberState: () => Types.MemberState;
  /** Longest time for which callers may cache a directory response, ms. */
  readonly maxTtlMs: number;
}): Endpoints {
  const { dialect } = opts;

  return {
    handleDirectory(req, res) {
      const query = dialect.tryParseQuery(req.url ?? "");
      if (query === undefined) return Servers.sendJson(res, 404, {});
      const { domain, region } = query;
      const instances = opts.getInstances();
      const addresses = Directory.chooseAddresses(
        instances,
        region,
        domain,
        opts.hasDownloads(),
      );
      if (addresses.length === 0) return Servers.sendJson(res, 503, {});
      const isLarge = opts.getFleetCount() > LARGE_FLEET_INSTANCES;
      const ttlS = Math.min(
        isLarge ? LARGE_FLEET_TTL_S : DIRECTORY_TTL_S,
        opts.maxTtlMs / 1_000,
      );
      Servers.sendJson(res, 200, dialect.formatResponse(addresses, ttlS));
    },
    handleReadiness(req, res) {
      if (!dialect.isReadinessQuery(req.url ?? "")) {
        return Servers.sendJson(res, 404, {});
      }
      const state = opts.getMemberState();
      Servers.sendJson(res, state === "live" ? 200 : 503, { state });
    },
  };
}
