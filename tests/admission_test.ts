import * as Crypto from "node:crypto";
import * as Http from "node:http";
import * as Net from "node:net";
import { once } from "node:events";
import {
  afterAll,
  afterEach,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
} from "vitest";
import * as Servers from "../src/daemon/servers.ts";
import * as StandIn from "../testing/target/stand_in.ts";
import * as Fakes from "../testing/fakes/request_path.ts";

interface Answer {
  readonly status: number;
  readonly headers: Http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** False when the connection broke before the answer was whole. */
  readonly isWhole: boolean;
}

interface Ask {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer | string;
  readonly signal?: AbortSignal;
}

function ask(address: string, opts: Ask = {}): Promise<Answer> {
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

function book(
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

function createTarget(id: string): Promise<StandIn.StandIn> {
  return StandIn.createTargetStandIn({
    id,
    service: "booking",
    domain: "uusimaa-1",
    region: "uusimaa",
    slots: 4,
    serviceMs: 5,
  });
}

function getExecutions(target: StandIn.StandIn): number {
  return target.getRecords().filter((one) => one.outcome === "executed").length;
}

describe("request path", () => {
  let first: StandIn.StandIn;
  let second: StandIn.StandIn;
  let instance: Fakes.TestInstance;

  beforeEach(async () => {
    first = await createTarget("t1");
    second = await createTarget("t2");
    instance = await Fakes.startTestInstance("a1", [
      first.listen,
      second.listen,
    ]);
  });
  afterEach(async () => {
    await instance.close();
    await Promise.all([first.close(), second.close()]);
  });

  describe("forwarding", () => {
    it("hides the key from the target wherever the caller put it", async () => {
      const res = await ask(instance.address, {
        method: "PUT",
        headers: {
          authorization: `Bearer ${Fakes.KEY}`,
          cookie: `session=${Fakes.KEY}`,
          connection: "x-hop, close",
          "x-hop": "dropped",
          "x-kept": "yes",
          "anvilroute-account": "forged",
        },
        body: "hello",
      });
      expect(res.status).toBe(200);
      const [record] = first.getRecords();
      const seen = JSON.stringify(record);
      expect(seen).not.toContain(Fakes.KEY);
      expect(seen).not.toContain("x-hop");
      expect(seen).not.toContain("forged");
      expect(seen).toContain('["x-kept","yes"]');
      expect(record?.account).toBe("club");
    });

    it("refuses keys in the URL, encoded or not, before a target sees them", async () => {
      const encoded = [...Fakes.KEY].map((c) =>
        `%${c.charCodeAt(0).toString(16)}`
      ).join("");
      for (
        const query of [
          `?k=${Fakes.KEY}`,
          `?k=${encoded}`,
          `?a=${Fakes.OTHER_KEY}`,
        ]
      ) {
        const res = await ask(instance.address, {
          path: `/s/booking/bikes${query}`,
        });
        expect(res.status).toBe(400);
        expect(res.headers["anvilroute-outcome"]).toBe("not-run");
      }
      expect(first.getRecords()).toHaveLength(0);
    });

    it("refuses other spellings of a path, which would get around a once route", async () => {
      for (
        const path of [
          "//bookings",
          "/./bookings",
          "/x/../bookings",
          "/x%2f..%2fbookings",
          "/%",
        ]
      ) {
        const res = await ask(instance.address, {
          method: "POST",
          path: `/s/booking${path}`,
          body: "x",
        });
        expect(res.status, path).toBe(400);
      }
      const res = await ask(instance.address, {
        method: "POST",
        path: "/s/booking/%62ookings",
        body: "x",
      });
      expect(res.status).toBe(428);
      expect(first.getRecords()).toHaveLength(0);
    });

    it("streams large bodies both ways without changing a byte", async () => {
      const body = Crypto.randomBytes(3 * 1024 * 1024);
      const res = await ask(instance.address, {
        method: "PUT",
        path: "/s/booking/upload?bytes=2000000",
        headers: { "transfer-encoding": "chunked" },
        body,
      });
      expect(res.isWhole).toBe(true);
      expect(res.body.length).toBe(2_000_000);
      expect(first.getRecords()[0]?.bodySha256)
        .toBe(Crypto.createHash("sha256").update(body).digest("hex"));
    });

    it("serves HEAD and answers without a length", async () => {
      const head = await ask(instance.address, { method: "HEAD" });
      expect([head.status, head.body.length]).toEqual([200, 0]);
      first.setFaults({ omitContentLength: "chunked" });
      const res = await ask(instance.address, {
        path: "/s/booking/bikes?bytes=1000",
      });
      expect([res.status, res.body.length, res.isWhole]).toEqual([
        200,
        1000,
        true,
      ]);
    });

    it("gives each caller the answer to its own request when answers cross", async () => {
      const ids = Array.from({ length: 40 }, (_, i) => i);
      const answers = await Promise.all(
        ids.map((i) =>
          ask(instance.address, {
            path: `/s/booking/item-${i}?ms=${(i * 7) % 40}`,
          })
        ),
      );
      answers.forEach((res, i) => {
        if (res.status === 200) {
          expect(res.body.toString()).toContain(`item-${i}?`);
        } else expect(res.headers["anvilroute-outcome"]).toBe("not-run");
      });
      expect(answers.some((res) => res.status === 200)).toBe(true);
    });

    it("cuts the caller's connection when a long answer breaks off", async () => {
      first.setFaults({ truncateAfterBytes: 600_000 });
      const res = await ask(instance.address, {
        path: "/s/booking/bikes?bytes=900000",
      });
      expect(res.isWhole).toBe(false);
    });

    it("passes the caller's cancellation on to the target", async () => {
      const abort = new AbortController();
      const pending = ask(instance.address, {
        path: "/s/booking/bikes?ms=1000",
        signal: abort.signal,
      });
      await expect.poll(() => first.getStats().inUse).toBe(1);
      abort.abort();
      await expect(pending).rejects.toThrow();
      await expect.poll(() => first.getRecords()[0]?.outcome).toBe("cancelled");
    });
  });

  describe("retries and outcomes", () => {
    it("repeats a read whose target broke, and nothing else", async () => {
      first.setFaults({ resetAfterExecuting: true });
      const read = await ask(instance.address);
      expect(read.status).toBe(200);
      expect(getExecutions(second)).toBe(1);
      const write = await ask(instance.address, { method: "PUT", body: "x" });
      expect([write.status, write.headers["anvilroute-outcome"]]).toEqual([
        502,
        "unknown",
      ]);
      expect(getExecutions(second)).toBe(1);
      expect(instance.broken).toEqual(["t1", "t1"]);
    });

    it("says not run only when every target refused, and gives the tokens back", async () => {
      first.setFaults({ shedAll: true });
      expect((await ask(instance.address, { method: "PUT", body: "x" })).status)
        .toBe(200);
      second.setFaults({ shedAll: true });
      const res = await ask(instance.address, { method: "PUT", body: "x" });
      expect([res.status, res.headers["anvilroute-outcome"]]).toEqual([
        503,
        "not-run",
      ]);
      expect(res.headers["retry-after"]).toBeDefined();
      expect(instance.budgets.taken.get("acct/booking/club")).toBe(1);
      expect(instance.budgets.taken.get("cap/booking/uusimaa")).toBe(1);
    });

    it("answers unknown at the deadline, and not run for a refused account", async () => {
      const late = await ask(instance.address, {
        method: "PUT",
        path: "/s/booking/bikes?ms=5000",
        headers: { "anvilroute-deadline-ms": "200" },
        body: "x",
      });
      expect([late.status, late.headers["anvilroute-outcome"]]).toEqual([
        504,
        "unknown",
      ]);
      instance.budgets.limit = 1;
      const refused = await ask(instance.address);
      expect([refused.status, refused.headers["anvilroute-outcome"]]).toEqual([
        429,
        "not-run",
      ]);
    });

    it("refuses a blocked request before it reaches a target", async () => {
      instance.deps.poison.reportBreak = () => {};
      const isBlocked = instance.deps.poison.isBlocked;
      Object.assign(instance.deps.poison, { isBlocked: () => true });
      const res = await ask(instance.address);
      Object.assign(instance.deps.poison, { isBlocked });
      expect([res.status, first.getRecords().length]).toEqual([422, 0]);
    });

    it("reports answered requests, so that failed targets block no popular one", async () => {
      const answered: string[] = [];
      const { poison } = instance.deps;
      const { reportAnswered } = poison;
      Object.assign(poison, {
        reportAnswered: (fingerprint: string) => answered.push(fingerprint),
      });
      await ask(instance.address);
      await ask(instance.address, { path: "/s/booking/bikes?bytes=600000" });
      Object.assign(poison, { reportAnswered });
      expect(new Set(answered).size).toBe(2);
    });
  });

  describe("keys", () => {
    it("needs a known key except on open routes", async () => {
      const none = await ask(instance.address, {
        headers: { "anvilroute-key": "" },
      });
      expect([none.status, none.headers["anvilroute-outcome"]]).toEqual([
        401,
        "not-run",
      ]);
      const open = await ask(instance.address, {
        path: "/s/booking/fleet",
        headers: { "anvilroute-key": "" },
      });
      expect(open.status).toBe(200);
    });

    it("stops a withdrawn key on a kept-alive connection", async () => {
      const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 });
      const { host, port } = Servers.parseHostPort(instance.address);
      const send = async () => {
        const req = Http.get({
          host,
          port,
          agent,
          path: "/s/booking/bikes",
          headers: { "anvilroute-key": Fakes.KEY },
        });
        const [res] = await once(req, "response") as [Http.IncomingMessage];
        res.resume();
        await once(res, "end");
        return res.statusCode;
      };
      expect(await send()).toBe(200);
      instance.keys.withdrawn.add(Fakes.getDigest(Fakes.KEY));
      expect(await send()).toBe(401);
      agent.destroy();
    });
  });

  describe("bad input", () => {
    it("answers malformed and oversized HTTP, and serves others on", async () => {
      const { host, port } = Servers.parseHostPort(instance.address);
      const inputs = [
        "NOT HTTP\r\n\r\n",
        `GET /s/booking/bikes HTTP/1.1\r\nhost: x\r\nx: ${
          "y".repeat(40_000)
        }\r\n\r\n`,
        "POST /s/booking/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
      ];
      for (const input of inputs) {
        const socket = Net.connect(port, host);
        socket.end(input);
        const chunks: Buffer[] = [];
        for await (const chunk of socket) chunks.push(chunk as Buffer);
        const text = Buffer.concat(chunks).toString();
        expect(text).toMatch(/^HTTP\/1.1 4\d\d/);
        expect(text).toContain("anvilroute-outcome: not-run");
      }
      const big = await ask(instance.address, {
        method: "PUT",
        headers: { "content-length": "900000000" },
      });
      expect(big.status).toBe(413);
      expect((await ask(instance.address)).status).toBe(200);
    });

    it("refuses a body that arrives too slowly as not run", async () => {
      const { host, port } = Servers.parseHostPort(instance.address);
      const socket = Net.connect(port, host);
      socket.write(
        `PUT /s/booking/x HTTP/1.1\r\nhost: x\r\nanvilroute-key: ${Fakes.KEY}\r\n` +
          "anvilroute-deadline-ms: 150\r\ncontent-length: 10\r\n\r\nabc",
      );
      const [data] = await once(socket, "data") as [Buffer];
      socket.destroy();
      expect(data.toString()).toMatch(
        /^HTTP\/1.1 503[\s\S]*anvilroute-outcome: not-run/,
      );
      expect(first.getRecords()).toHaveLength(0);
    });
  });

  describe("at most once", () => {
    it("needs a ticket of the same account and service", async () => {
      const none = await ask(instance.address, {
        method: "POST",
        path: "/s/booking/bookings",
        body: "x",
      });
      expect([none.status, none.headers["anvilroute-outcome"]]).toEqual([
        428,
        "not-run",
      ]);
      const forged = await book(instance.address, `${instance.issueTicket()}x`);
      expect(forged.status).toBe(400);
      const foreign = await book(instance.address, instance.issueTicket("hut"));
      expect(foreign.status).toBe(400);
      expect(first.getRecords()).toHaveLength(0);
    });

    it("runs concurrent and later resends once, and replays the answer", async () => {
      const ticket = instance.issueTicket();
      const slow = { path: "/s/booking/bookings?ms=80" };
      const answers = await Promise.all(
        [1, 2, 3, 4].map(() => book(instance.address, ticket, slow)),
      );
      answers.push(await book(instance.address, ticket, slow));
      expect(new Set(answers.map((one) => one.body.toString())).size).toBe(1);
      expect(
        answers.filter((one) => one.headers["anvilroute-replay"] === "true"),
      ).toHaveLength(4);
      expect(getExecutions(first) + getExecutions(second)).toBe(1);
      const reused = await book(instance.address, ticket, {
        ...slow,
        body: "another",
      });
      expect([reused.status, reused.headers["anvilroute-code"]]).toEqual([
        422,
        "114",
      ]);
    });

    it("never runs again what may have run", async () => {
      first.setFaults({ resetAfterExecuting: true });
      const ticket = instance.issueTicket();
      const broke = await book(instance.address, ticket);
      expect([broke.status, broke.headers["anvilroute-outcome"]]).toEqual([
        502,
        "unknown",
      ]);
      first.setFaults({ resetAfterExecuting: null });
      const again = await book(instance.address, ticket);
      expect(again.headers["anvilroute-outcome"]).toBe("unknown");
      expect(getExecutions(first) + getExecutions(second)).toBe(1);
    });

    it("runs a resend of what did not run", async () => {
      first.setFaults({ shedAll: true });
      second.setFaults({ shedAll: true });
      const ticket = instance.issueTicket();
      const shed = await book(instance.address, ticket);
      expect(shed.headers["anvilroute-outcome"]).toBe("not-run");
      first.setFaults({ shedAll: null });
      expect((await book(instance.address, ticket)).status).toBe(200);
      expect(getExecutions(first)).toBe(1);
    });

    it("finishes for a caller that went away, and answers its resend", async () => {
      const ticket = instance.issueTicket();
      const abort = new AbortController();
      const slow = { path: "/s/booking/bookings?ms=200" };
      const pending = book(instance.address, ticket, {
        ...slow,
        signal: abort.signal,
      });
      await expect.poll(() => first.getStats().inUse).toBe(1);
      abort.abort();
      await expect(pending).rejects.toThrow();
      const res = await book(instance.address, ticket, slow);
      expect([res.status, getExecutions(first)]).toEqual([200, 1]);
    });
  });
});

describe("tickets across instances", () => {
  let target: StandIn.StandIn;
  beforeAll(async () => {
    target = await createTarget("t1");
  });
  afterAll(() => target.close());

  async function startPair() {
    const net = Fakes.createFakeNet();
    const issuer = await Fakes.startTestInstance("a1", [target.listen], net);
    const other = await Fakes.startTestInstance("a2", [target.listen], net);
    return {
      net,
      issuer,
      other,
      close: () => Promise.all([issuer.close(), other.close()]),
    };
  }

  it("runs a resend through any entry at the issuer only", async () => {
    const { issuer, other, close } = await startPair();
    const before = getExecutions(target);
    const ticket = issuer.issueTicket();
    const relayed = await book(other.address, ticket);
    const direct = await book(issuer.address, ticket);
    expect([relayed.status, direct.status]).toEqual([200, 200]);
    expect(direct.body.toString()).toBe(relayed.body.toString());
    expect(getExecutions(target) - before).toBe(1);
    expect(JSON.stringify(target.getRecords())).not.toContain(Fakes.KEY);
    const replayed = await book(other.address, ticket);
    expect(replayed.headers["anvilroute-outcome"]).toBe("ran");
    await close();
  });

  it("does not take a caller's word for a relayed request", async () => {
    const { issuer, close } = await startPair();
    const res = await ask(issuer.address, {
      headers: {
        "anvilroute-key": "",
        "anvilroute-relay": `v1.club.${Fakes.getDigest(Fakes.KEY)}.${
          Date.now().toString(36)
        }.mac`,
      },
    });
    expect(res.status).toBe(401);
    await close();
  });

  it("answers unknown when the issuer is gone, and runs nothing", async () => {
    const { net, issuer, other, close } = await startPair();
    const before = getExecutions(target);
    net.cut.add("a1");
    const res = await book(other.address, issuer.issueTicket());
    expect([res.status, res.headers["anvilroute-outcome"]]).toEqual([
      503,
      "unknown",
    ]);
    expect(getExecutions(target)).toBe(before);
    await close();
  });

  it("moves used and unused tickets to a peer on a planned stop", async () => {
    const { issuer, other, close } = await startPair();
    const before = getExecutions(target);
    const [used, unused] = [issuer.issueTicket(), issuer.issueTicket()];
    const ran = await book(issuer.address, used);
    (await issuer.deps.ledger.handOver("a2")).unwrap();
    const replay = await book(other.address, used);
    expect(replay.body.toString()).toBe(ran.body.toString());
    expect(replay.headers["anvilroute-replay"]).toBe("true");
    const late = await book(issuer.address, unused);
    expect(late.status).toBe(200);
    expect((await book(other.address, unused)).headers["anvilroute-replay"])
      .toBe("true");
    expect(getExecutions(target) - before).toBe(2);
    await close();
  });

  it("runs nothing on either side when the last message of a hand-over is lost", async () => {
    const { net, issuer, other, close } = await startPair();
    const before = getExecutions(target);
    const ticket = issuer.issueTicket();
    net.cut.add("a2");
    expect((await issuer.deps.ledger.handOver("a2")).isErr()).toBe(true);
    net.cut.delete("a2");
    const here = await book(issuer.address, ticket);
    expect(here.headers["anvilroute-outcome"]).toBe("unknown");
    const there = await book(other.address, ticket);
    expect(there.headers["anvilroute-outcome"]).toBe("unknown");
    expect((await issuer.deps.ledger.handOver("a2")).isErr()).toBe(true);
    expect(getExecutions(target)).toBe(before);
    await close();
  });
});
