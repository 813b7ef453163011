/** What callers and operators do with keys. */
import * as Crypto from "node:crypto";
import * as Http from "node:http";
import * as Settings from "../harness/settings.ts";
import * as Temp from "../harness/temp.ts";
import * as Wait from "../harness/wait.ts";
import * as Fleet from "./fleet.ts";
import * as Program from "./program.ts";
import type * as Proof from "./proof.ts";
import type * as Requests from "./requests.ts";

/** A new key is in force everywhere after this time. */
const ISSUE_BOUND_MS = 6_000;

/** Headers in which a caller may put its key, or a second one. */
export function getKeyPlaces(
  key: string,
  second: string,
): readonly Readonly<Record<string, string>>[] {
  const basic = (text: string) =>
    `Basic ${Buffer.from(text).toString("base64")}`;
  return [
    { authorization: `Bearer ${key}`, cookie: `k=${key}` },
    { "x-note": `see ${key}`, referer: `http://x/?key=${key}` },
    { "x-encoded": encodeURIComponent(key).replace("_", "%5F") },
    { connection: "x-hop", "x-hop": key },
    // A caller with two accounts, or one that changes keys, sends both.
    { authorization: `Bearer ${second}` },
    { cookie: `a=b; key=${second}` },
    { authorization: basic(`club:${key}`) },
    { authorization: basic(`hut:${second}`) },
  ];
}

/** Adds a key to an account in the store and waits until all instances take it. */
export async function issueKey(fleet: Proof.ProofFleet): Promise<string> {
  const key = `club_${Crypto.randomBytes(24).toString("base64url")}`;
  const digest = Fleet.getDigest(key);
  const stored = (await fleet.store.get("keys")).unwrap();
  const record = JSON.parse(stored?.value ?? "");
  record.writeId = Crypto.randomUUID();
  record.accounts.club.push({ id: digest.slice(0, 8), digest });
  await Fleet.writeRecord(fleet.store, "keys", record);
  for (const one of fleet.getRunning()) {
    await Wait.waitFor(
      async () => (await sendWith(fleet, one, key)).status === 200,
      ISSUE_BOUND_MS,
      `${one.id} takes the new key`,
    );
  }
  return key;
}

/** A read with a key that the fleet does not list for an account. */
export function sendWith(
  fleet: Proof.ProofFleet,
  instance: Fleet.FleetInstance,
  key: string,
  query?: string,
): Promise<Requests.Sent> {
  const opts = { headers: { "anvilroute-key": key } };
  return fleet.journal.send(
    instance,
    fleet.journal.createRead(
      "/bikes",
      query === undefined ? opts : { ...opts, query },
    ),
  );
}

/** Runs the operators' tool; it is given the peers of all running instances. */
export function withdraw(
  fleet: Proof.ProofFleet,
  key: string,
): Promise<Program.ProgramResult> {
  const secret = Temp.writeTempFile("secret", Settings.TEST_SECRET);
  return Program.runProgram("src/cli/main.js", [
    ...["--platform", fleet.platform.address, "--secret-file", secret],
    ...fleet.getRunning().flatMap((one) => ["--peer", one.peer]),
    ...["key", "withdraw", "--digest", Fleet.getDigest(key)],
  ]);
}

/** Requests on one kept-alive connection; resolves with the codes and the time of the last 200. */
export function keepSending(instance: Fleet.FleetInstance, key: string) {
  const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 });
  const sockets = new Set<unknown>();
  let lastGoodMs = 0;
  let isOver = false;
  const [host, port] = instance.caller.split(":");
  const one = () =>
    new Promise<void>((resolve) => {
      const req = Http.get({
        agent,
        host,
        port,
        path: "/s/booking/bikes?m=kept-alive",
        headers: { "anvilroute-key": key },
      }, (res) => {
        sockets.add(req.socket);
        if (res.statusCode === 200) lastGoodMs = performance.now();
        res.resume().on("end", resolve);
      });
      req.on("error", () => resolve());
    });
  const done = (async () => {
    while (!isOver) {
      await one();
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    agent.destroy();
  })();
  return {
    async stop() {
      isOver = true;
      await done;
      return { lastGoodMs, connections: sockets.size };
    },
  };
}
