import * as Crypto from "node:crypto";
import { describe, expect, it } from "vitest";
import * as Fakes from "../testing/fakes/request_path.ts";
import * as Requests from "../testing/fakes/requests.ts";
import * as RequestPath from "./support/request_path.ts";

describe("request path", () => {
  const rig = RequestPath.createRequestPath();

  describe("forwarding", () => {
    it("hides the key from the target wherever the caller put it", async () => {
      const res = await Requests.ask(rig.instance.address, {
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
      const [record] = rig.first.getRecords();
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
        const res = await Requests.ask(rig.instance.address, {
          path: `/s/booking/bikes${query}`,
        });
        expect(res.status).toBe(400);
        expect(res.headers["anvilroute-outcome"]).toBe("not-run");
      }
      expect(rig.first.getRecords()).toHaveLength(0);
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
        const res = await Requests.ask(rig.instance.address, {
          method: "POST",
          path: `/s/booking${path}`,
          body: "x",
        });
        expect(res.status, path).toBe(400);
      }
      const res = await Requests.ask(rig.instance.address, {
        method: "POST",
        path: "/s/booking/%62ookings",
        body: "x",
      });
      expect(res.status).toBe(428);
      expect(rig.first.getRecords()).toHaveLength(0);
    });

    it("streams large bodies both ways without changing a byte", async () => {
      const body = Crypto.randomBytes(3 * 1024 * 1024);
      const res = await Requests.ask(rig.instance.address, {
        method: "PUT",
        path: "/s/booking/upload?bytes=2000000",
        headers: { "transfer-encoding": "chunked" },
        body,
      });
      expect(res.isWhole).toBe(true);
      expect(res.body.length).toBe(2_000_000);
      expect(rig.first.getRecords()[0]?.bodySha256)
        .toBe(Crypto.createHash("sha256").update(body).digest("hex"));
    });

    it("serves HEAD and answers without a length", async () => {
      const head = await Requests.ask(rig.instance.address, {
        method: "HEAD",
      });
      expect([head.status, head.body.length]).toEqual([200, 0]);
      rig.first.setFaults({ omitContentLength: "chunked" });
      const res = await Requests.ask(rig.instance.address, {
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
          Requests.ask(rig.instance.address, {
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
      rig.first.setFaults({ truncateAfterBytes: 600_000 });
      const res = await Requests.ask(rig.instance.address, {
        path: "/s/booking/bikes?bytes=900000",
      });
      expect(res.isWhole).toBe(false);
    });

    it("passes the caller's cancellation on to the target", async () => {
      const abort = new AbortController();
      const pending = Requests.ask(rig.instance.address, {
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
