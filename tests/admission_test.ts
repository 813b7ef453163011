import { once } from "node:events";
import * as Http from "node:http";
import * as Net from "node:net";
import { describe, expect, it } from "vitest";
import * as Servers from "../src/daemon/servers.ts";
import * as Fakes from "../testing/fakes/request_path.ts";
import * as Wait from "../testing/harness/wait.ts";
import * as Clock from "../src/clock.ts";
import * as Requests from "../testing/fakes/requests.ts";
import * as RequestPath from "./support/request_path.ts";

describe("request path", () => {
  const rig = RequestPath.createRequestPath();

  describe("retries and outcomes", () => {
    it("repeats a read whose target broke, and nothing else", async () => {
      rig.first.setFaults({ resetAfterExecuting: true });
      const read = await Requests.ask(rig.instance.address);
      expect(read.status).toBe(200);
      expect(Requests.getExecutions(rig.second)).toBe(1);
      const write = await Requests.ask(rig.instance.address, {
        method: "PUT",
        body: "x",
      });
      expect([write.status, write.headers["anvilroute-outcome"]]).toEqual([
        502,
        "unknown",
      ]);
      expect(Requests.getExecutions(rig.second)).toBe(1);
      expect(rig.instance.broken).toEqual(["t1", "t1"]);
    });

    it("guards against a refusal because all targets shed within the same milliseconds", async () => {
      for (const one of [rig.first, rig.second]) {
        one.setFaults({ shedAll: true });
      }
      const asked = Requests.ask(rig.instance.address, {
        method: "PUT",
        body: "x",
      });
      // Less than the pauses after the second and third target, 37 ms at least.
      setTimeout(() => rig.first.setFaults({ shedAll: false }), 20);
      expect((await asked).status).toBe(200);
    });

    it("says not run only when every target refused, and gives the tokens back", async () => {
      rig.first.setFaults({ shedAll: true });
      expect(
        (await Requests.ask(rig.instance.address, {
          method: "PUT",
          body: "x",
        })).status,
      )
        .toBe(200);
      rig.second.setFaults({ shedAll: true });
      const res = await Requests.ask(rig.instance.address, {
        method: "PUT",
        body: "x",
      });
      expect([res.status, res.headers["anvilroute-outcome"]]).toEqual([
        503,
        "not-run",
      ]);
      expect(res.headers["retry-after"]).toBeDefined();
      expect(rig.instance.budgets.taken.get("acct/booking/club")).toBe(1);
      expect(rig.instance.budgets.taken.get("cap/booking/uusimaa")).toBe(1);
    });

    it("answers unknown at the deadline, and not run for a refused account", async () => {
      const late = await Requests.ask(rig.instance.address, {
        method: "PUT",
        path: "/s/booking/bikes?ms=5000",
        headers: { "anvilroute-deadline-ms": "200" },
        body: "x",
      });
      expect([late.status, late.headers["anvilroute-outcome"]]).toEqual([
        504,
        "unknown",
      ]);
      rig.instance.budgets.limit = 1;
      const refused = await Requests.ask(rig.instance.address);
      expect([refused.status, refused.headers["anvilroute-outcome"]]).toEqual([
        429,
        "not-run",
      ]);
    });

    it("refuses a blocked request before it reaches a target", async () => {
      rig.instance.deps.poison.reportConnectionLoss = () => {};
      const isBlocked = rig.instance.deps.poison.isBlocked;
      Object.assign(rig.instance.deps.poison, { isBlocked: () => true });
      const res = await Requests.ask(rig.instance.address);
      Object.assign(rig.instance.deps.poison, { isBlocked });
      expect([res.status, rig.first.getRecords().length]).toEqual([422, 0]);
    });

    it("guards against a caller that repeats a blocked request before other instances know of it", async () => {
      rig.first.setFaults({ resetAfterExecuting: true });
      let confirm = () => {};
      const { poison } = rig.instance.deps;
      const { confirmBlock } = poison;
      Object.assign(poison, {
        confirmBlock: () =>
          new Promise<void>((resolve) => {
            confirm = resolve;
          }),
      });
      let isAnswered = false;
      const asked = Requests.ask(rig.instance.address, {
        method: "PUT",
        body: "x",
      }).finally(() => isAnswered = true);
      await Wait.waitFor(
        () => rig.instance.broken.length > 0,
        2_000,
        "the target broke",
      );
      await Clock.sleep(50);
      expect(isAnswered).toBe(false);
      confirm();
      expect((await asked).status).toBe(502);
      Object.assign(poison, { confirmBlock });
    });

    it("reports answered requests, so that failed targets block no popular one", async () => {
      const answered: string[] = [];
      const { poison } = rig.instance.deps;
      const { reportResponse } = poison;
      Object.assign(poison, {
        reportResponse: (fingerprint: string) => answered.push(fingerprint),
      });
      await Requests.ask(rig.instance.address);
      await Requests.ask(rig.instance.address, {
        path: "/s/booking/bikes?bytes=600000",
      });
      Object.assign(poison, { reportResponse });
      expect(new Set(answered).size).toBe(2);
    });
  });

  describe("keys", () => {
    it("needs a known key except on open routes", async () => {
      const none = await Requests.ask(rig.instance.address, {
        headers: { "anvilroute-key": "" },
      });
      expect([none.status, none.headers["anvilroute-outcome"]]).toEqual([
        401,
        "not-run",
      ]);
      const open = await Requests.ask(rig.instance.address, {
        path: "/s/booking/fleet",
        headers: { "anvilroute-key": "" },
      });
      expect(open.status).toBe(200);
    });

    it("stops a withdrawn key on a kept-alive connection", async () => {
      const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 });
      const { host, port } = Servers.parseHostPort(rig.instance.address);
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
      rig.instance.keys.withdrawn.add(Fakes.getDigest(Fakes.KEY));
      expect(await send()).toBe(401);
      agent.destroy();
    });
  });

  describe("bad input", () => {
    it("answers malformed and oversized HTTP, and serves others on", async () => {
      const { host, port } = Servers.parseHostPort(rig.instance.address);
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
      const big = await Requests.ask(rig.instance.address, {
        method: "PUT",
        headers: { "content-length": "900000000" },
      });
      expect(big.status).toBe(413);
      expect((await Requests.ask(rig.instance.address)).status).toBe(200);
    });

    it("refuses a body that arrives too slowly as not run", async () => {
      const { host, port } = Servers.parseHostPort(rig.instance.address);
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
      expect(rig.first.getRecords()).toHaveLength(0);
    });
  });
});
