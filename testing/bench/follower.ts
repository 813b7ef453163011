/**
 * A caller without retries: it follows lookups, renews them by their age, and
 * reports each request's end, so that a request cut by a stop is not hidden by
 * a second attempt.
 */
import * as Undici from "undici";
import type * as Types from "../../src/types.ts";

const REQUEST_TIMEOUT_MS = 15_000;
/** No connection was made, so the request left no caller. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(["ECONNREFUSED"]);

/** How a request ended: an error code when there was no complete answer. */
export interface Ended {
  readonly kind: "good" | "refused" | "not-sent" | "cut";
  /** Result code of a refusal, or the connection's error code. */
  readonly code: string;
  readonly entry: string;
  readonly latencyMs: number;
}

/** A caller of one service. */
export interface Follower {
  /** Sends a read, or a `once` request with a ticket. */
  send(kind: "read" | "order"): Promise<Ended>;
  close(): Promise<void>;
}

interface Entry {
  readonly id: string;
  readonly address: Types.Address;
  readonly weight: number;
  readonly domain: string;
}

interface Answer {
  readonly instances: readonly Entry[];
  readonly maxAgeMs: number;
  readonly tickets: readonly string[];
}

function draw(entries: readonly Entry[]): Entry | undefined {
  const near = entries.filter((one) => one.domain === entries[0]?.domain);
  const total = near.reduce((sum, one) => sum + one.weight, 0);
  let left = Math.random() * total;
  return near.find((one) => (left -= one.weight) < 0) ?? near[0];
}

/** Creates a caller that starts from the given entry instances. */
export function createFollower(opts: {
  readonly entries: readonly Types.Address[];
  readonly service: string;
  readonly key: string;
}): Follower {
  const agent = new Undici.Agent({ connect: { timeout: 1_000 } });
  const headers = { "anvilroute-key": opts.key };
  let cached: Answer | undefined;
  let validUntilMs = 0;
  let refreshing: Promise<Answer> | undefined;

  async function lookup(count: number): Promise<Answer> {
    const known = cached?.instances.map((one) => one.address) ?? [];
    let last: unknown;
    for (const address of new Set([...known, ...opts.entries])) {
      try {
        const res = await Undici.request(
          `http://${address}/v1/lookup?service=${opts.service}&tickets=${count}`,
          { dispatcher: agent, headers },
        );
        const text = await res.body.text();
        if (res.statusCode !== 200) continue;
        return JSON.parse(text) as Answer;
      } catch (err) {
        last = err;
      }
    }
    throw new Error(`no instance answers lookups: ${String(last)}`);
  }

  async function refresh(): Promise<Answer> {
    const answer = await lookup(0);
    cached = answer;
    validUntilMs = performance.now() + answer.maxAgeMs;
    return answer;
  }

  async function getAnswer(): Promise<Answer> {
    if (cached !== undefined && performance.now() < validUntilMs) return cached;
    refreshing ??= refresh().finally(() => refreshing = undefined);
    return await refreshing;
  }

  async function exchange(
    entry: Entry,
    ticket: string | undefined,
  ): Promise<Omit<Ended, "entry" | "latencyMs">> {
    const isOrder = ticket !== undefined;
    try {
      const path = isOrder ? "/orders" : "/lots/1";
      const res = await Undici.request(
        `http://${entry.address}/s/${opts.service}${path}`,
        {
          dispatcher: agent,
          method: isOrder ? "POST" : "GET",
          headers: isOrder
            ? { ...headers, "idempotency-key": ticket }
            : headers,
          body: isOrder ? "{}" : null,
          signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        },
      );
      await res.body.text();
      if (res.statusCode === 200) return { kind: "good", code: "" };
      const code = String(res.headers["anvilroute-code"] ?? res.statusCode);
      return { kind: "refused", code };
    } catch (err) {
      const { code, name } = err as { code?: unknown; name?: string };
      const text = typeof code === "string" ? code : name ?? String(err);
      validUntilMs = 0;
      return {
        kind: NOT_SENT_CODES.has(text) ? "not-sent" : "cut",
        code: text,
      };
    }
  }

  return {
    async send(kind) {
      const startedAtMs = performance.now();
      const toEnded = (entry: string, ended: Pick<Ended, "kind" | "code">) => {
        const latencyMs = performance.now() - startedAtMs;
        return { ...ended, entry, latencyMs };
      };
      try {
        const { instances } = await getAnswer();
        const answer = kind === "order" ? await lookup(1) : undefined;
        const ticket = answer?.tickets[0];
        const issuer = ticket?.split(".")[1];
        const entry = instances.find((one) => one.id === issuer) ??
          draw(instances);
        if (entry === undefined) throw new Error("no instance in the answer");
        return toEnded(entry.id, await exchange(entry, ticket));
      } catch (err) {
        validUntilMs = 0;
        return toEnded("", { kind: "not-sent", code: String(err) });
      }
    },
    close: () => agent.destroy(),
  };
}
