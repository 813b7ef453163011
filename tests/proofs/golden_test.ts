import * as Fs from "node:fs";
import * as Path from "node:path";
import { afterAll, beforeAll, describe, it } from "vitest";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Session from "../../testing/fleet/session.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Tool from "../../testing/fleet/tool.ts";
import * as Temp from "../../testing/harness/temp.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as Baseline from "../support/baseline.ts";

/** One instance in each of three domains, so that the order of instances by locality is the same in each run. */
const layout = {
  ...Small.smallLayout,
  domains: Small.smallLayout.domains.slice(0, 3),
  services: Small.smallLayout.services.map((service) => ({
    ...service,
    workers: 3,
  })),
};

describe("recorded sessions", () => {
  let fleet: Fleet.Fleet;
  beforeAll(async () => {
    fleet = await Fleet.startFleet({
      layout,
      tableCsv: Small.formatSmallTable({ hutRate: 1, hutBurst: 3 }),
    });
    const key = { "anvilroute-key": fleet.keys.get("club") ?? "" };
    const url = `http://${getInstance("north-1-a").caller}/v1/lookup`;
    await Wait.waitFor(
      async () => {
        const res = await fetch(`${url}?service=booking`, { headers: key });
        const { instances } = await res.json() as { instances: unknown[] };
        return instances.length === layout.domains.length;
      },
      10_000,
      "the instances know each other",
    );
  });
  afterAll(() => fleet.stop());

  const getInstance = (id: string) => fleet.getInstance(id);

  it("keep a caller's requests, headers and outcomes equal to the baseline", async () => {
    const entry = getInstance("north-1-a");
    const log: string[] = [];
    const send = async (
      title: string,
      requestLine: string,
      headers: Readonly<Record<string, string>>,
      body = "",
    ) => {
      const allHeaders = {
        host: "entry.example",
        connection: "close",
        ...headers,
        ...body === "" ? {} : { "content-length": String(body.length) },
      };
      const head = Object.entries(allHeaders).map(([k, v]) => `${k}: ${v}`);
      const lines = [`${requestLine} HTTP/1.1`, ...head, "", body];
      const raw = await Session.sendRaw(entry.caller, lines.join("\r\n"));
      const maskedRequest = Session.mask([`${requestLine}`, ...head].join("\n"))
        .replace(/(club|hut)_[\w-]{32}/g, "$1_KEY");
      log.push(`## ${title}\n${maskedRequest}\n\n${Session.maskAnswer(raw)}\n`);
      return raw;
    };
    const key = { "anvilroute-key": fleet.keys.get("club") ?? "" };
    const lookupResponse = await send(
      "look-up",
      "GET /v1/lookup?service=booking&tickets=2",
      key,
    );
    const ticket = /"tickets":\["([^"]+)"/.exec(lookupResponse)?.[1] ?? "";
    const orderHeaders = { ...key, "idempotency-key": ticket };
    await send("browse", "GET /s/booking/bikes", key);
    await send("browse without a key", "GET /s/booking/bikes", {});
    await send("open route", "GET /s/booking/fleet", {});
    const order = "POST /s/booking/bookings";
    await send("order", order, orderHeaders, "one tandem");
    await send("the same order again", order, orderHeaders, "one tandem");
    await send(
      "another order, same ticket",
      order,
      orderHeaders,
      "two tandems",
    );
    await send("order without a ticket", order, key, "one tandem");
    await send("wrong key", "GET /s/booking/bikes", {
      "anvilroute-key": "club_wrong",
    });
    const hut = { "anvilroute-key": fleet.keys.get("hut") ?? "" };
    for (let i = 0; i < 40; i++) {
      const raw = await send("over the limit", "GET /s/booking/bikes", hut);
      if (raw.startsWith("HTTP/1.1 429")) break;
      log.pop();
    }
    const digest = Fleet.getDigest(key["anvilroute-key"]);
    const record = Fleet.createKeysRecord(fleet.keys, [digest]);
    await Fleet.writeRecord(fleet.store, "keys", record);
    await Wait.waitFor(
      async () => {
        const raw = await send("withdrawn key", "GET /s/booking/bikes", key);
        if (raw.startsWith("HTTP/1.1 401")) return true;
        log.pop();
        return false;
      },
      6_000,
      "the key is rejected",
    );
    Baseline.expectBaseline("session_caller.txt", log.join("\n"));
  });

  it("keep the output and exit codes of an operator's commands equal to the baseline", async () => {
    const log: string[] = [];
    const aino = Tool.createOperator(fleet, "aino");
    const matti = Tool.createOperator(fleet, "matti");
    const writeFile = (name: string, text: string) =>
      Fs.writeFileSync(Path.join(Temp.getTempDir(), name), text);
    const runCommand = async (operator: Tool.Operator, line: string) => {
      const { exit, out, err } = await operator.run(...line.split(" "));
      log.push(Session.maskCommand(line, out + err, exit));
      return out;
    };
    const csv = Small.formatSmallTable({ hutRate: 1, hutBurst: 3 });
    writeFile("bad.csv", csv.replace(",100,1000,", ",120,none,"));
    await runCommand(aino, "table check bad.csv");
    await runCommand(aino, "table pull table.csv");
    await runCommand(matti, "table pull theirs.csv");
    writeFile("table.csv", csv.replace("north-2,100,", "north-2,60,"));
    writeFile("theirs.csv", csv.replace("south-2,100,", "south-2,80,"));
    await runCommand(aino, "table plan table.csv");
    await runCommand(aino, "table apply table.csv");
    await runCommand(matti, "table apply theirs.csv");
    await runCommand(aino, "key issue --account hut");
    const listed = await runCommand(aino, "key list --account hut");
    const id = /\b[0-9a-f]{8}\b/g.exec(listed)?.[0] ?? "";
    await runCommand(aino, `key withdraw ${id}`);
    await runCommand(aino, "key list --account hut");
    await runCommand(aino, "status");
    await runCommand(
      aino,
      "explain --service booking --account hut --from south",
    );
    await runCommand(
      aino,
      "explain --service nothing --account hut --from south",
    );
    await runCommand(aino, "report burn");
    Baseline.expectBaseline("session_operator.txt", log.join("\n"));
  });
});

describe("the messages between two peers", () => {
  it("equal the baseline for handshake, heartbeat, loan, lease relay and ledger transfer", async () => {
    const taps = [await Session.startTap(), await Session.startTap()] as const;
    const network = Network.createNetwork(["north-1", "north-2"]);
    const fleet = await Fleet.startFleet({
      layout: {
        ...layout,
        domains: ["north-1", "north-2"]
          .map((domain) => ({ domain, region: "north", instances: 0 })),
      },
      tableCsv: Small.formatSmallTable({ clubRate: 20, clubBurst: 20 }),
      network,
    });
    const start = async (n: 0 | 1) => {
      const domain = `north-${n + 1}`;
      const advertise = { peer: taps[n].address };
      const seeds = n === 0 ? [] : [taps[0].address];
      const opts = { advertise, seeds };
      const started = fleet.startInstance(`${domain}-a`, domain, "north", opts);
      taps[n].setTarget((await started).process.getText("peer"));
      return await started;
    };
    await start(0);
    const second = await start(1);
    const hasMessage = (method: string) => taps.some((tap) => tap.has(method));
    const key = { "anvilroute-key": fleet.keys.get("club") ?? "" };
    const browse = async () => {
      const url = `http://${second.caller}/s/booking/bikes`;
      await (await fetch(url, { headers: key })).arrayBuffer();
    };
    await Wait.waitFor(
      async () => {
        await Promise.all(Array.from({ length: 4 }, browse));
        return hasMessage("budget.borrow");
      },
      10_000,
      "a loan",
    );
    await network.cut("north-2", Network.PLATFORM);
    await Wait.waitFor(
      () => hasMessage("lease.relay"),
      15_000,
      "a relayed lease",
    );
    await network.heal();
    await second.process.stop();
    const text = Session.formatExchange(
      taps.flatMap((tap) => tap.getLines()),
      [
        "heartbeat",
        "budget.borrow",
        "lease.relay",
        "once.adopt",
      ],
    );
    taps.forEach((tap) => tap.close());
    await fleet.stop();
    Baseline.expectBaseline("session_peers.txt", text);
  });
});
