import * as Crypto from "node:crypto";
import * as Net from "node:net";
import { describe, expect, it } from "vitest";
import * as Fakes from "../testing/fakes/request_path.ts";
import * as Requests from "../testing/fakes/requests.ts";
import * as Callers from "../testing/harness/leaving_callers.ts";
import * as RequestPath from "./support/request_path.ts";

describe("request path", () => {
  const rig = RequestPath.createRequestPath();

  describe("forwarding", () => {
    it("removes the key from every header before a target receives the request", async () => {
      const res = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        headers: {
          authorization: `Bearer ${Fakes.CLUB_KEY}`,
          cookie: `session=${Fakes.CLUB_KEY}`,
          connection: "x-hop, close",
          "x-hop": "dropped",
          "x-kept": "yes",
          "anvilroute-account": "forged",
        },
        body: "hello",
      });
      expect(res.status).toBe(200);
      const [record] = rig.first.getRecords();
      const recordJson = JSON.stringify(record);
      expect(recordJson).not.toContain(Fakes.CLUB_KEY);
      expect(recordJson).not.toContain("x-hop");
      expect(recordJson).not.toContain("forged");
      expect(recordJson).toContain('["x-kept","yes"]');
      expect(record?.account).toBe("club");
    });

    it("rejects a URL that contains a key, encoded or not, before a target receives it", async () => {
      const encoded = [...Fakes.CLUB_KEY].map((char) =>
        `%${char.charCodeAt(0).toString(16)}`
      ).join("");
      for (
        const query of [
          `?k=${Fakes.CLUB_KEY}`,
          `?k=${encoded}`,
          `?a=${Fakes.HUT_KEY}`,
        ]
      ) {
        const res = await Requests.sendRequest(rig.instance.address, {
          path: `/s/booking/bikes${query}`,
        });
        expect(res.status).toBe(400);
        expect(res.headers["anvilroute-outcome"]).toBe("not-run");
      }
      expect(rig.first.getRecords()).toHaveLength(0);
    });

    it("rejects other spellings of a path, which would evade a once route", async () => {
      for (
        const path of [
          "//bookings",
          "/./bookings",
          "/x/../bookings",
          "/x%2f..%2fbookings",
          "/%",
        ]
      ) {
        const res = await Requests.sendRequest(rig.instance.address, {
          method: "POST",
          path: `/s/booking${path}`,
          body: "x",
        });
        expect(res.status, path).toBe(400);
      }
      const res = await Requests.sendRequest(rig.instance.address, {
        method: "POST",
        path: "/s/booking/%62ookings",
        body: "x",
      });
      expect(res.status).toBe(428);
      expect(rig.first.getRecords()).toHaveLength(0);
    });

    it("streams large request and response bodies without changing a byte", async () => {
      const body = Crypto.randomBytes(3 * 1024 * 1024);
      const res = await Requests.sendRequest(rig.instance.address, {
        method: "PUT",
        path: "/s/booking/upload?bytes=2000000",
        headers: { "transfer-encoding": "chunked" },
        body,
      });
      expect(res.isComplete).toBe(true);
      expect(res.body.length).toBe(2_000_000);
      expect(rig.first.getRecords()[0]?.bodySha256)
        .toBe(Crypto.createHash("sha256").update(body).digest("hex"));
    });

    it("forwards responses to HEAD requests and responses without a content-length", async () => {
      const head = await Requests.sendRequest(rig.instance.address, {
        method: "HEAD",
      });
      expect([head.status, head.body.length]).toEqual([200, 0]);
      rig.first.setFaults({ omitContentLength: "chunked" });
      const res = await Requests.sendRequest(rig.instance.address, {
        path: "/s/booking/bikes?bytes=1000",
      });
      expect([res.status, res.body.length, res.isComplete]).toEqual([
        200,
        1000,
        true,
      ]);
    });

    it("sends each caller the response to its own request when responses arrive out of order", async () => {
      const ids = Array.from({ length: 40 }, (_, i) => i);
      const responses = await Promise.all(
        ids.map((i) =>
          Requests.sendRequest(rig.instance.address, {
            path: `/s/booking/item-${i}?ms=${(i * 7) % 40}`,
          })
        ),
      );
      responses.forEach((res, i) => {
        if (res.status === 200) {
          expect(res.body.toString()).toContain(`item-${i}?`);
        } else expect(res.headers["anvilroute-outcome"]).toBe("not-run");
      });
      expect(responses.some((res) => res.status === 200)).toBe(true);
    });

    it("closes the caller's connection when a long response is cut off, so that it can't pass as complete", async () => {
      rig.first.setFaults({ truncateAfterBytes: 600_000 });
      const res = await Requests.sendRequest(rig.instance.address, {
        path: "/s/booking/bikes?bytes=900000",
      });
      expect(res.isComplete).toBe(false);
    });

    it("cancels the request at the target when the caller disconnects", async () => {
      const abort = new AbortController();
      const pending = Requests.sendRequest(rig.instance.address, {
        path: "/s/booking/bikes?ms=1000",
        signal: abort.signal,
      });
      await expect.poll(() => rig.first.getStats().inUse).toBe(1);
      abort.abort();
      await expect(pending).rejects.toThrow();
      await expect.poll(() => rig.first.getRecords()[0]?.outcome).toBe(
        "cancelled",
      );
    });

    // The end of a connection is read an iteration of the event loop after its request.
    it("does not send requests of callers that left 700 ms before they were read", async () => {
      // Leaves idle connections to the targets, on which a request is sent without delay.
      await Promise.all(
        Array.from(
          { length: 40 },
          () => Requests.sendRequest(rig.instance.address),
        ),
      );
      const callers = await Callers.prepareLeavingCallers({
        address: rig.instance.address,
        head: [
          "GET /s/booking/bikes HTTP/1.1",
          "host: any",
          `anvilroute-key: ${Fakes.CLUB_KEY}`,
        ],
        count: 40,
        disconnectAfterMs: 50,
        isKept: false,
      });
      const countReceived = () =>
        [rig.first, rig.second].flatMap((target) => target.getRecords()).length;
      const receivedBefore = countReceived();
      await callers.send();
      Callers.blockProcessor(800);
      await callers.exited;
      await expect.poll(() => rig.instance.records.length).toBe(80);
      expect(countReceived() - receivedBefore).toBe(0);
    });

    // Only the first response of a pipeline is attached to the connection and closes with it.
    it("cancels each request of a pipeline at the target when the caller disconnects", async () => {
      const { hostname, port } = new URL(`http://${rig.instance.address}`);
      const socket = Net.connect({ host: hostname, port: Number(port) });
      const request = "GET /s/booking/bikes?ms=1000 HTTP/1.1\r\n" +
        `host: ${hostname}\r\nanvilroute-key: ${Fakes.CLUB_KEY}\r\n\r\n`;
      socket.write(request + request);
      await expect.poll(() => rig.first.getStats().inUse).toBe(2);
      socket.destroy();
      await expect.poll(() =>
        rig.first.getRecords().map((record) => record.outcome)
      ).toEqual(["cancelled", "cancelled"]);
    });
  });
});
