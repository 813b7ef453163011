/** Planned stops, and what callers hold of an instance that is about to stop. */
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Wait from "../harness/wait.ts";
import type * as Fleet from "./fleet.ts";
import * as Holders from "./holders.ts";
import * as Traffic from "./traffic.ts";

const SERVICE = "booking";
const ACCOUNT = "hut";
const ORDER = "one tandem";
/** A pause between requests, and the margin before a look-up lapses. */
const PAUSE_MS = 20;
const MARGIN_MS = 60;
const LIVE_LIMIT_MS = 15_000;

interface Answer {
  readonly status: number;
  readonly body: string;
}

/** Two tickets of an issuer: one whose order ran, and one not sent yet. */
export interface HeldTickets {
  /**
   * Sends both elsewhere and gives what is wrong: another answer for the order
   * that ran, none for the other, or not one execution each.
   */
  check(at: Fleet.FleetInstance): Promise<readonly string[]>;
}

function getHeaders(fleet: Fleet.Fleet, account: string) {
  return { "anvilroute-key": fleet.keys.get(account) ?? "" };
}

async function sendOrder(
  fleet: Fleet.Fleet,
  at: Fleet.FleetInstance,
  ticket: string,
): Promise<Answer> {
  const url = `http://${at.caller}/s/${SERVICE}/bookings`;
  const headers = { ...getHeaders(fleet, ACCOUNT), "idempotency-key": ticket };
  const opts = { method: "POST" as const, body: ORDER, headers };
  const res = await Undici.request(url, opts);
  return { status: res.statusCode, body: await res.body.text() };
}

/** Takes two tickets from the issuer and places an order with one of them. */
export async function holdTickets(
  fleet: Fleet.Fleet,
  issuer: Fleet.FleetInstance,
): Promise<HeldTickets> {
  const url = `http://${issuer.caller}/v1/lookup?service=${SERVICE}&tickets=2`;
  const headers = getHeaders(fleet, ACCOUNT);
  const lookup = await Undici.request(url, { headers });
  const { tickets } = await lookup.body.json() as { tickets: string[] };
  const [used = "", unused = ""] = tickets;
  const first = await sendOrder(fleet, issuer, used);

  async function check(at: Fleet.FleetInstance): Promise<readonly string[]> {
    const problems: string[] = [];
    const note = (what: string, { status, body }: Answer) =>
      problems.push(`${issuer.id}'s ${what} at ${at.id}: ${status} ${body}`);
    const again = await sendOrder(fleet, at, used);
    const isSame = first.status === 200 && again.status === 200 &&
      again.body === first.body;
    if (!isSame) note("order that ran", again);
    const other = await sendOrder(fleet, at, unused);
    if (other.status !== 200) note("unused ticket", other);
    const executions = await Traffic.countExecutions(fleet);
    for (const ticket of tickets) {
      const count = executions.get(Traffic.getIdempotencyId(ticket)) ?? 0;
      if (count !== 1) problems.push(`${issuer.id}'s order ran ${count} times`);
    }
    return problems;
  }

  return { check };
}

/** What is wrong with any of them; only a handed-over ledger answers for an issuer that has stopped. */
export async function checkTickets(
  held: readonly HeldTickets[],
  at: Fleet.FleetInstance,
): Promise<readonly string[]> {
  return (await Promise.all(held.map((one) => one.check(at)))).flat();
}

/** Readers and orderers of both accounts; one reads `readPath` and places slow orders. */
export function startTraffic(
  fleet: Fleet.Fleet,
  readPath = "/bikes",
): Traffic.Traffic {
  const base = { readers: 8, orderers: 4, pauseMs: 60 };
  const slow = { readPath, orderPath: "/bookings?ms=600" };
  const all = [
    Traffic.startTraffic(fleet, SERVICE, { ...base, account: "club" }),
    Traffic.startTraffic(fleet, SERVICE, { ...base, ...slow, account: "hut" }),
  ];
  return {
    getCalls: () => all.flatMap((one) => one.getCalls()),
    async end() {
      const calls = (await Promise.all(all.map((one) => one.end()))).flat();
      console.log(`calls by outcome: ${Traffic.summarize(calls)}`);
      return calls;
    },
  };
}

/** Sends on one kept connection while a look-up answer may be used; gives what was not answered. */
export async function sendWithCachedLookup(
  fleet: Fleet.Fleet,
  instance: Fleet.FleetInstance,
  lookupAgeMs: number,
  lastPath: string,
): Promise<readonly string[]> {
  const headers = getHeaders(fleet, "club");
  const agent = new Undici.Agent({ connections: 1 });
  const origin = `http://${instance.caller}`;
  const untilMs = performance.now() + lookupAgeMs;
  const bad: string[] = [];
  const send = async (path: string) => {
    const sentMs = Math.round(untilMs - performance.now());
    try {
      const res = await Undici.request(`${origin}/s/${SERVICE}${path}`, {
        dispatcher: agent,
        headers,
      });
      await res.body.text();
      if (res.statusCode === 200) return;
      bad.push(`${path} ${res.statusCode} ${sentMs} ms before expiry`);
    } catch (err) {
      bad.push(`${path} ${String(err)} ${sentMs} ms before expiry`);
    }
  };
  while (performance.now() < untilMs - MARGIN_MS) {
    await send("/bikes");
    await Clock.sleep(PAUSE_MS);
  }
  // The last request leaves just before the look-up lapses.
  await send(lastPath);
  await agent.close();
  return bad;
}

/**
 * Stops an instance; gives what is wrong: it did not end by itself, or, with the
 * store up, shards that still name it and so stay unused.
 */
export async function stopInstance(
  fleet: Fleet.Fleet,
  id: string,
  limitMs: number,
  isStoreUp: boolean,
): Promise<readonly string[]> {
  const startedMs = performance.now();
  const instance = fleet.getInstance(id);
  const incarnation = await Holders.getIncarnation(fleet, instance);
  const before = await Holders.getHeldBy(fleet, incarnation);
  const exit = await instance.process.stop(limitMs);
  const ms = Math.round(performance.now() - startedMs);
  console.log(`${id} stopped in ${ms} ms with ${before.length} shards`);
  const problems: string[] = [];
  if (exit.code !== 0 || exit.signal !== undefined) {
    const log = instance.process.getLog().slice(-30).join("\n");
    problems.push(`${id} ended with ${JSON.stringify(exit)}:\n${log}`);
  }
  const left = isStoreUp ? await Holders.getHeldBy(fleet, incarnation) : [];
  for (const { domain, shard } of left) {
    problems.push(`${id} did not hand over shard ${shard} of ${domain}`);
  }
  return problems;
}

/** Starts a stopped instance again and waits until it is live. */
export async function restartInstance(
  fleet: Fleet.Fleet,
  id: string,
): Promise<void> {
  const { domain, region } = fleet.getInstance(id);
  const next = await fleet.startInstance(id, domain, region);
  await Wait.waitFor(
    async () => (await fetch(`http://${next.probe}/healthz`)).status === 200,
    LIVE_LIMIT_MS,
    `${id} is live again`,
  );
}
