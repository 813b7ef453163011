import * as Crypto from "node:crypto";
import { describe, expect, it } from "vitest";
import * as Fakes from "../testing/fakes/request_path.ts";
import * as Requests from "../testing/fakes/requests.ts";
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
  });
});
