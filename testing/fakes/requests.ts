/** Sends requests as a caller to the request path of an instance, and starts targets that record them. */
import * as Http from "node:http";
import * as Servers from "../../src/daemon/servers.ts";
import * as Fakes from "./request_path.ts";
import * as StandIn from "../target/stand_in.ts";

/** A response as received by the caller. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: Http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** False if the connection was lost before the end of the body. */
  readonly isComplete: boolean;
}

/** Fields of a request. The default is a GET of /s/booking/bikes with the key of the account `club`. */
export interface RequestOptions {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer | string;
  readonly signal?: AbortSignal;
}

/** Sends a request on a new connection. Rejects if the connection is lost before the response header. */
export function sendRequest(
  address: string,
  opts: RequestOptions = {},
): Promise<ReceivedResponse> {
  const { host, port } = Servers.parseHostPort(address);
  return new Promise((resolve, reject) => {
    const req = Http.request({
      host,
      port,
      method: opts.method ?? "GET",
      path: opts.path ?? "/s/booking/bikes",
      headers: { "anvilroute-key": Fakes.CLUB_KEY, ...opts.headers },
      agent: false,
      ...(opts.signal === undefined ? {} : { signal: opts.signal }),
    }, async (res) => {
      const chunks: Buffer[] = [];
      let isComplete = true;
      try {
        for await (const chunk of res) chunks.push(chunk as Buffer);
      } catch {
        isComplete = false;
      }
      resolve({
        status: res.statusCode ?? 0,
        headers: res.headers,
        body: Buffer.concat(chunks),
        isComplete,
      });
    });
    req.on("error", reject);
    req.end(opts.body);
  });
}

/** Sends a booking with a ticket as its idempotency key. */
export function sendBooking(
  address: string,
  ticket: string,
  overrides: RequestOptions = {},
): Promise<ReceivedResponse> {
  return sendRequest(address, {
    method: "POST",
    path: "/s/booking/bookings",
    body: '{"bike":7}',
    ...overrides,
    headers: { "idempotency-key": ticket, ...overrides.headers },
  });
}

/** Starts a target of service `booking`. */
export function startTarget(id: string): Promise<StandIn.StandIn> {
  return StandIn.createTargetStandIn({
    id,
    service: "booking",
    domain: "uusimaa-1",
    region: "uusimaa",
    slots: 4,
    serviceMs: 5,
  });
}

/** Returns the number of requests that the target executed. */
export function countExecutions(target: StandIn.StandIn): number {
  return target.getRecords().filter((record) => record.outcome === "executed")
    .length;
}
