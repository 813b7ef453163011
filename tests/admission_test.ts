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
    it("the instance sends a read again after a lost connection, but never a write that may have run", async () => {
      rig.first.setFaults({ resetAfterExecuting: true });
      const readResponse = await Requests.sendRequest(rig.instance.address);
      expect(readResponse.status).toBe(200);
      expect(Requests.countExecutions(rig.second)).toBe(1);
      const writeResponse = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        body: "x",
      });
      expect([
        writeResponse.status,
        writeResponse.headers["anvilroute-outcome"],
      ]).toEqual([
        502,
        "unknown",
      ]);
      expect(Requests.countExecutions(rig.second)).toBe(1);
      expect(rig.instance.connectionLosses).toEqual(["t1", "t1"]);
    });

    it("the instance waits between attempts, so that a request is not rejected when all targets shed load in the same milliseconds", async () => {
      for (const target of [rig.first, rig.second]) {
        target.setFaults({ shedAll: true });
      }
      const response = Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        body: "x",
      });
      // Shorter than the sum of the backoffs after the second and third attempt, which is at least 37 ms.
      setTimeout(() => rig.first.setFaults({ shedAll: false }), 20);
      expect((await response).status).toBe(200);
    });

    it("the instance reports not-run only when every target shed the request, and then refunds its tokens", async () => {
      rig.first.setFaults({ shedAll: true });
      expect(
        (await Requests.sendRequest(rig.instance.address, {
          method: "PUT",
          body: "x",
        })).status,
      )
        .toBe(200);
      rig.second.setFaults({ shedAll: true });
      const res = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        body: "x",
      });
      expect([res.status, res.headers["anvilroute-outcome"]]).toEqual([
        503,
        "not-run",
      ]);
      expect(res.headers["retry-after"]).toBeDefined();
      expect(rig.instance.budgets.acquiredTokens.get("acct/booking/club")).toBe(
        1,
      );
      expect(rig.instance.budgets.acquiredTokens.get("cap/booking/uusimaa"))
        .toBe(1);
    });

    it("the instance reports unknown at the deadline, and not-run for an account at its limit", async () => {
      const timedOut = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        path: "/s/booking/bikes?ms=5000",
        headers: { "anvilroute-deadline-ms": "200" },
        body: "x",
      });
      expect([timedOut.status, timedOut.headers["anvilroute-outcome"]]).toEqual(
        [
          504,
          "unknown",
        ],
      );
      rig.instance.budgets.limit = 1;
      const rejected = await Requests.sendRequest(rig.instance.address);
      expect([rejected.status, rejected.headers["anvilroute-outcome"]]).toEqual(
        [
          429,
          "not-run",
        ],
      );
    });

    // Guards against a target's own 504 that overtakes the instance's deadline, so that
    // the caller learns no outcome: the timer of a busy instance was started late.
    it("the instance reports unknown at the deadline when it was busy as the request arrived", async () => {
      const { config } = rig.instance.deps;
      const { getTable } = config;
      let isBusy = true;
      Object.assign(config, {
        getTable() {
          const untilMs = performance.now() + 25;
          while (isBusy && performance.now() < untilMs);
          isBusy = false;
          return getTable();
        },
      });
      const res = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        path: "/s/booking/bikes?ms=5000",
        headers: { "anvilroute-deadline-ms": "200" },
        body: "x",
      });
      Object.assign(config, { getTable });
      expect([res.status, res.headers["anvilroute-outcome"]])
        .toEqual([504, "unknown"]);
    });

    it("the instance rejects a blocked request before it reaches a target", async () => {
      rig.instance.deps.poison.reportConnectionLoss = () => {};
      const isBlocked = rig.instance.deps.poison.isBlocked;
      Object.assign(rig.instance.deps.poison, { isBlocked: () => true });
      const res = await Requests.sendRequest(rig.instance.address);
      Object.assign(rig.instance.deps.poison, { isBlocked });
      expect([res.status, rig.first.getRecords().length]).toEqual([422, 0]);
    });

    it("the instance responds only after a block is confirmed, so that a retry at another instance cannot crash a further target", async () => {
      rig.first.setFaults({ resetAfterExecuting: true });
      let resolveConfirmation = () => {};
      const { poison } = rig.instance.deps;
      const { confirmBlock } = poison;
      Object.assign(poison, {
        confirmBlock: () =>
          new Promise<void>((resolve) => {
            resolveConfirmation = resolve;
          }),
      });
      let isResponseReceived = false;
      const response = Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        body: "x",
      }).finally(() => isResponseReceived = true);
      await Wait.waitFor(
        () => rig.instance.connectionLosses.length > 0,
        2_000,
        "connection to the target lost",
      );
      await Clock.sleep(50);
      expect(isResponseReceived).toBe(false);
      resolveConfirmation();
      expect((await response).status).toBe(502);
      Object.assign(poison, { confirmBlock });
    });

    it("the instance reports responses, so that failing targets do not get a popular request blocked", async () => {
      const respondedFingerprints: string[] = [];
      const { poison } = rig.instance.deps;
      const { reportResponse } = poison;
      Object.assign(poison, {
        reportResponse: (fingerprint: string) =>
          respondedFingerprints.push(fingerprint),
      });
      await Requests.sendRequest(rig.instance.address);
      await Requests.sendRequest(rig.instance.address, {
        path: "/s/booking/bikes?bytes=600000",
      });
      Object.assign(poison, { reportResponse });
      expect(new Set(respondedFingerprints).size).toBe(2);
    });
  });

  describe("keys", () => {
    it("the instance requires a known key except on open routes", async () => {
      const withoutKey = await Requests.sendRequest(rig.instance.address, {
        headers: { "anvilroute-key": "" },
      });
      expect([withoutKey.status, withoutKey.headers["anvilroute-outcome"]])
        .toEqual([
          401,
          "not-run",
        ]);
      const openRoute = await Requests.sendRequest(rig.instance.address, {
        path: "/s/booking/fleet",
        headers: { "anvilroute-key": "" },
      });
      expect(openRoute.status).toBe(200);
    });

    it("the instance rejects a withdrawn key on a kept-alive connection", async () => {
      const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 });
      const { host, port } = Servers.parseHostPort(rig.instance.address);
      const send = async () => {
        const req = Http.get({
          host,
          port,
          agent,
          path: "/s/booking/bikes",
          headers: { "anvilroute-key": Fakes.CLUB_KEY },
        });
        const [res] = await once(req, "response") as [Http.IncomingMessage];
        res.resume();
        await once(res, "end");
        return res.statusCode;
      };
      expect(await send()).toBe(200);
      rig.instance.keys.withdrawn.add(Fakes.computeDigest(Fakes.CLUB_KEY));
      expect(await send()).toBe(401);
      agent.destroy();
    });
  });

  describe("invalid input", () => {
    it("the instance rejects malformed and oversized HTTP and continues to serve other callers", async () => {
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
        const rawResponse = Buffer.concat(chunks).toString();
        expect(rawResponse).toMatch(/^HTTP\/1.1 4\d\d/);
        expect(rawResponse).toContain("anvilroute-outcome: not-run");
      }
      const oversized = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        headers: { "content-length": "900000000" },
      });
      expect(oversized.status).toBe(413);
      expect((await Requests.sendRequest(rig.instance.address)).status).toBe(
        200,
      );
    });

    it("the instance rejects a body that arrives too slowly as not-run", async () => {
      const { host, port } = Servers.parseHostPort(rig.instance.address);
      const socket = Net.connect(port, host);
      socket.write(
        `PUT /s/booking/x HTTP/1.1\r\nhost: x\r\nanvilroute-key: ${Fakes.CLUB_KEY}\r\n` +
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
