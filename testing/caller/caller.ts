/**
 * A well-behaved caller: looks entry instances up, caches the answer for its
 * time, spreads requests by weight, and resends an order with the same ticket
 * until it has an answer or is told that nobody knows.
 */
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const LOOKUP_TIMEOUT_MS = 2_000;
const MAX_RESENDS = 12;
const RESEND_PAUSE_MS = 200;
const TICKETS_PER_LOOKUP = 8;

/** How a request ended for its caller. */
export interface CallResult {
  readonly kind: "answered" | "not-run" | "unknown" | "failed";
  readonly status: number;
  readonly codeNumber: number;
  readonly latencyMs: number;
  readonly body: string;
  /** Entry instance that gave the last answer. */
  readonly entry: string;
}

interface Entry {
  readonly id: string;
  readonly address: Types.Address;
  readonly weight: number;
  readonly domain: string;
}

interface LookupAnswer {
  readonly instances: readonly Entry[];
  readonly maxAgeMs: number;
  readonly tickets: readonly string[];
}

/** Who calls, and where it starts. */
export interface CallerOptions {
  /** Entry instances that the caller knows of from its settings. */
  readonly entries: readonly Types.Address[];
  readonly service: string;
  readonly key: string | undefined;
  /** Only the first group of a lookup answer is used unless it fails. */
  readonly random?: () => number;
}

/** A caller of one service with one key. */
export interface Caller {
  /** One request to an entry instance, tried at a second one when it does not connect. */
  read(path: string): Promise<CallResult>;
  /** An order: a ticket, and resends until its outcome is known. */
  order(
    path: string,
    body: string,
  ): Promise<CallResult & { readonly ticket: string }>;
  close(): Promise<void>;
}

interface Reply {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly codeNumber: number;
  readonly body: string;
}

/** How sending an order went. */
type Sent =
  | { readonly kind: "reply"; readonly reply: Reply }
  /** The connection was not made, so no byte left. */
  | { readonly kind: "not-sent" }
  | { readonly kind: "broke" };

const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isConnectError(err: unknown): boolean {
  return CONNECT_ERRORS.has(String((err as { code?: unknown }).code));
}

/** Creates a caller. */
export function createCaller(opts: CallerOptions): Caller {
  const random = opts.random ?? Math.random;
  const agent = new Undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: 2_000,
  });
  const keyHeaders: Record<string, string> = opts.key === undefined
    ? {}
    : { "anvilroute-key": opts.key };
  let cached: LookupAnswer | undefined;
  let cachedUntilMs = 0;
  const tickets: string[] = [];
  let known: readonly Types.Address[] = opts.entries;

  /** Number of tickets that came; undefined when there is no usable answer. */
  async function lookupAt(
    address: Types.Address,
  ): Promise<number | undefined> {
    const url = `http://${address}/v1/lookup?service=${opts.service}` +
      `&tickets=${TICKETS_PER_LOOKUP}`;
    try {
      const res = await Undici.request(url, {
        dispatcher: agent,
        headers: keyHeaders,
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      const text = await res.body.text();
      if (res.statusCode !== 200) return undefined;
      const answer = JSON.parse(text) as LookupAnswer;
      if (answer.instances.length === 0) return undefined;
      cached = answer;
      cachedUntilMs = performance.now() + answer.maxAgeMs;
      tickets.splice(0, tickets.length, ...answer.tickets);
      known = [
        ...new Set([
          ...answer.instances.map((one) => one.address),
          ...opts.entries,
        ]),
      ];
      return answer.tickets.length;
    } catch {
      return undefined;
    }
  }

  async function refresh(needsTicket: boolean): Promise<void> {
    // A random start keeps callers that share a list from asking one instance only.
    const offset = Math.floor(random() * opts.entries.length);
    const own = opts.entries.map((_, i) =>
      opts.entries[(i + offset) % opts.entries.length] ?? ""
    );
    for (const address of new Set([...own, ...known])) {
      const count = await lookupAt(address);
      // A leaving instance answers lookups and issues no tickets.
      if (count !== undefined && (count > 0 || !needsTicket)) return;
    }
  }

  async function getEntries(): Promise<readonly Entry[]> {
    if (cached === undefined || performance.now() > cachedUntilMs) {
      await refresh(false);
    }
    return cached?.instances ?? [];
  }

  /** Entries of the first group in weighted random order, then the others as they came. */
  async function getOrder(): Promise<readonly Entry[]> {
    const all = await getEntries();
    const near = all.filter((one) => one.domain === all[0]?.domain);
    const far = all.filter((one) => one.domain !== all[0]?.domain);
    const drawn = near
      .map((one) => ({ one, draw: -Math.log(random()) / one.weight }))
      .toSorted((a, b) => a.draw - b.draw).map(({ one }) => one);
    return [...drawn, ...far];
  }

  async function send(
    address: Types.Address,
    method: "GET" | "POST",
    path: string,
    body: string | undefined,
    headers: Record<string, string>,
  ): Promise<Reply> {
    const res = await Undici.request(
      `http://${address}/s/${opts.service}${path}`,
      {
        dispatcher: agent,
        method,
        body: body ?? null,
        headers: { ...keyHeaders, ...headers },
      },
    );
    const text = await res.body.text();
    return {
      status: res.statusCode,
      outcome: res.headers["anvilroute-outcome"] as string | undefined,
      codeNumber: Number(res.headers["anvilroute-code"] ?? 0),
      body: text,
    };
  }

  function toResult(
    reply: Reply | undefined,
    entry: string,
    startedAtMs: number,
  ): CallResult {
    const latencyMs = performance.now() - startedAtMs;
    if (reply === undefined) {
      return {
        kind: "failed",
        status: 0,
        codeNumber: 0,
        latencyMs,
        body: "",
        entry,
      };
    }
    return { kind: getKind(reply), latencyMs, entry, ...reply };
  }

  async function read(path: string): Promise<CallResult> {
    const startedAtMs = performance.now();
    const order = await getOrder();
    let reply: Reply | undefined;
    let entry = "";
    for (const one of order.slice(0, 3)) {
      entry = one.id;
      try {
        reply = await send(one.address, "GET", path, undefined, {});
        break;
      } catch {
        // A read may be repeated; the lookup is renewed for the next one.
        cachedUntilMs = 0;
      }
    }
    return toResult(reply, entry, startedAtMs);
  }

  async function takeTicket(): Promise<string | undefined> {
    if (tickets.length === 0 || performance.now() > cachedUntilMs) {
      await refresh(true);
    }
    return tickets.shift();
  }

  async function order(path: string, body: string) {
    const startedAtMs = performance.now();
    let last = toResult(undefined, "", startedAtMs);
    let ticket = "";
    for (let attempt = 0; attempt < MAX_RESENDS; attempt++) {
      // Only a ticket that never left may be replaced: another one is another order.
      if (ticket === "") ticket = await takeTicket() ?? "";
      if (ticket !== "") {
        const entry = await chooseEntry(ticket, attempt);
        const sent = entry && await trySend(entry, path, body, ticket);
        if (sent?.kind === "not-sent" && attempt === 0) ticket = "";
        const reply = sent?.kind === "reply" ? sent.reply : undefined;
        last = toResult(reply, entry?.id ?? "", startedAtMs);
        if (isSettled(last)) break;
      }
      await Clock.sleep(RESEND_PAUSE_MS * (1 + random()));
    }
    return { ...last, ticket };
  }

  /** The issuer first, which saves a hop; then the others in turn. */
  async function chooseEntry(
    ticket: string,
    attempt: number,
  ): Promise<Entry | undefined> {
    const entries = await getOrder();
    const issuer = ticket.split(".")[1];
    const first = entries.find((one) => one.id === issuer);
    if (attempt === 0 && first !== undefined) return first;
    return entries[attempt % Math.max(1, entries.length)];
  }

  async function trySend(
    entry: Entry,
    path: string,
    body: string,
    ticket: string,
  ): Promise<Sent> {
    try {
      const headers = { "idempotency-key": ticket };
      const reply = await send(entry.address, "POST", path, body, headers);
      return { kind: "reply", reply };
    } catch (err) {
      cachedUntilMs = 0;
      return { kind: isConnectError(err) ? "not-sent" : "broke" };
    }
  }

  return { read, order, close: () => agent.destroy() };
}

function getKind(reply: Reply): CallResult["kind"] {
  switch (reply.outcome) {
    case undefined:
    case "ran":
      return "answered";
    case "not-run":
      return "not-run";
    default:
      return "unknown";
  }
}

/** True when a resend would change nothing. */
function isSettled(result: CallResult): boolean {
  if (result.kind === "answered" || result.kind === "unknown") return true;
  const mayChange = result.status === 503 || result.status === 429;
  return result.kind === "not-run" && !mayChange;
}
