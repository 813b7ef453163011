/** Requests of a caller to an instance's request path, and targets that count them. */
import * as Http from "node:http";
import * as Servers from "../../src/daemon/servers.ts";
import * as Fakes from "./request_path.ts";
import * as StandIn from "../target/stand_in.ts";

/** A response as the caller received it. */
export interface Answer {
  readonly status: number;
  readonly headers: Http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** False when the connection broke before the answer was whole. */
  readonly isWhole: boolean;
}

/** A request to send; a browsing GET with the key of `club` unless it says otherwise. */
export interface Ask {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer | string;
  readonly signal?: AbortSignal;
}

/** Sends a request on a connection of its own. */
export function ask(address: string, opts: Ask = {}): Promise<Answer> {
  const { host, port } = Servers.parseHostPort(address);
  return new Promise((resolve, reject) => {
    const req = Http.request({
      host,
      port,
      method: opts.method ?? "GET",
      path: opts.path ?? "/s/booking/bikes",
      headers: { "anvilroute-key": Fakes.KEY, ...opts.headers },
      agent: false,
      ...(opts.signal === undefined ? {} : { signal: opts.signal }),
    }, async (res) => {
      const chunks: Buffer[] = [];
      let isWhole = true;
      try {
        for await (const chunk of res) chunks.push(chunk as Buffer);
      } catch {
        isWhole = false;
      }
      resolve({
        status: res.statusCode ?? 0,
        headers: res.headers,
        body: Buffer.concat(chunks),
        isWhole,
      });
    });
    req.on("error", reject);
    req.end(opts.body);
  });
}

/** Places an order with a ticket. */
export function book(
  address: string,
  ticket: string,
  more: Ask = {},
): Promise<Answer> {
  return ask(address, {
    method: "POST",
    path: "/s/booking/bookings",
    body: '{"bike":7}',
    ...more,
    headers: { "idempotency-key": ticket, ...more.headers },
  });
}

/** Starts a target of service `booking`. */
export function createTarget(id: string): Promise<StandIn.StandIn> {
  return StandIn.createTargetStandIn({
    id,
    service: "booking",
    domain: "uusimaa-1",
    region: "uusimaa",
    slots: 4,
    serviceMs: 5,
  });
}

/** How many requests the target executed. */
export function getExecutions(target: StandIn.StandIn): number {
  return target.getRecords().filter((one) => one.outcome === "executed").length;
}
