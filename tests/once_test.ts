import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Fakes from "../testing/fakes/request_path.ts";
import type * as StandIn from "../testing/target/stand_in.ts";
import * as Requests from "../testing/fakes/requests.ts";
import * as RequestPath from "./support/request_path.ts";

describe("request path", () => {
  const rig = RequestPath.createRequestPath();

  describe("at most once", () => {
    it("needs a ticket of the same account and service", async () => {
      const none = await Requests.ask(rig.instance.address, {
        method: "POST",
        path: "/s/booking/bookings",
        body: "x",
      });
      expect([none.status, none.headers["anvilroute-outcome"]]).toEqual([
        428,
        "not-run",
      ]);
      const forged = await Requests.book(
        rig.instance.address,
        `${rig.instance.issueTicket()}x`,
      );
      expect(forged.status).toBe(400);
      const foreign = await Requests.book(
        rig.instance.address,
        rig.instance.issueTicket("hut"),
      );
      expect(foreign.status).toBe(400);
      expect(rig.first.getRecords()).toHaveLength(0);
    });

    it("runs concurrent and later resends once, and replays the answer", async () => {
      const ticket = rig.instance.issueTicket();
      const slow = { path: "/s/booking/bookings?ms=80" };
      const answers = await Promise.all(
        [1, 2, 3, 4].map(() =>
          Requests.book(rig.instance.address, ticket, slow)
        ),
      );
      answers.push(await Requests.book(rig.instance.address, ticket, slow));
      expect(new Set(answers.map((one) => one.body.toString())).size).toBe(1);
      expect(
        answers.filter((one) => one.headers["anvilroute-replay"] === "true"),
      ).toHaveLength(4);
      expect(
        Requests.getExecutions(rig.first) +
          Requests.getExecutions(rig.second),
      ).toBe(1);
      const reused = await Requests.book(rig.instance.address, ticket, {
        ...slow,
        body: "another",
      });
      expect([reused.status, reused.headers["anvilroute-code"]]).toEqual([
        422,
        "114",
      ]);
    });

    it("never runs again what may have run", async () => {
      rig.first.setFaults({ resetAfterExecuting: true });
      const ticket = rig.instance.issueTicket();
      const broke = await Requests.book(rig.instance.address, ticket);
      expect([broke.status, broke.headers["anvilroute-outcome"]]).toEqual([
        502,
        "unknown",
      ]);
      rig.first.setFaults({ resetAfterExecuting: null });
      const again = await Requests.book(rig.instance.address, ticket);
      expect(again.headers["anvilroute-outcome"]).toBe("unknown");
      expect(
        Requests.getExecutions(rig.first) +
          Requests.getExecutions(rig.second),
      ).toBe(1);
    });

    it("runs a resend of what did not run", async () => {
      rig.first.setFaults({ shedAll: true });
      rig.second.setFaults({ shedAll: true });
      const ticket = rig.instance.issueTicket();
      const shed = await Requests.book(rig.instance.address, ticket);
      expect(shed.headers["anvilroute-outcome"]).toBe("not-run");
      rig.first.setFaults({ shedAll: null });
      expect((await Requests.book(rig.instance.address, ticket)).status).toBe(
        200,
      );
      expect(Requests.getExecutions(rig.first)).toBe(1);
    });

    it("finishes for a caller that went away, and answers its resend", async () => {
      const ticket = rig.instance.issueTicket();
      const abort = new AbortController();
      const slow = { path: "/s/booking/bookings?ms=200" };
      const pending = Requests.book(rig.instance.address, ticket, {
        ...slow,
        signal: abort.signal,
      });
      await expect.poll(() => rig.first.getStats().inUse).toBe(1);
      abort.abort();
      await expect(pending).rejects.toThrow();
      const res = await Requests.book(rig.instance.address, ticket, slow);
      expect([res.status, Requests.getExecutions(rig.first)]).toEqual([
        200,
        1,
      ]);
    });
  });
});

describe("tickets across instances", () => {
  let target: StandIn.StandIn;
  beforeAll(async () => {
    target = await Requests.createTarget("t1");
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
    const before = Requests.getExecutions(target);
    const ticket = issuer.issueTicket();
    const relayed = await Requests.book(other.address, ticket);
    const direct = await Requests.book(issuer.address, ticket);
    expect([relayed.status, direct.status]).toEqual([200, 200]);
    expect(direct.body.toString()).toBe(relayed.body.toString());
    expect(Requests.getExecutions(target) - before).toBe(1);
    expect(JSON.stringify(target.getRecords())).not.toContain(Fakes.KEY);
    const replayed = await Requests.book(other.address, ticket);
    expect(replayed.headers["anvilroute-outcome"]).toBe("ran");
    await close();
  });

  it("does not take a caller's word for a relayed request", async () => {
    const { issuer, close } = await startPair();
    const res = await Requests.ask(issuer.address, {
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
    const before = Requests.getExecutions(target);
    net.cut.add("a1");
    const res = await Requests.book(other.address, issuer.issueTicket());
    expect([res.status, res.headers["anvilroute-outcome"]]).toEqual([
      503,
      "unknown",
    ]);
    expect(Requests.getExecutions(target)).toBe(before);
    await close();
  });

  it("moves used and unused tickets to a peer on a planned stop", async () => {
    const { issuer, other, close } = await startPair();
    const before = Requests.getExecutions(target);
    const [used, unused] = [issuer.issueTicket(), issuer.issueTicket()];
    const ran = await Requests.book(issuer.address, used);
    (await issuer.deps.ledger.transferTo("a2")).unwrap();
    const replay = await Requests.book(other.address, used);
    expect(replay.body.toString()).toBe(ran.body.toString());
    expect(replay.headers["anvilroute-replay"]).toBe("true");
    const late = await Requests.book(issuer.address, unused);
    expect(late.status).toBe(200);
    expect(
      (await Requests.book(other.address, unused)).headers["anvilroute-replay"],
    )
      .toBe("true");
    expect(Requests.getExecutions(target) - before).toBe(2);
    await close();
  });

  it("runs nothing on either side when the last message of a hand-over is lost", async () => {
    const { net, issuer, other, close } = await startPair();
    const before = Requests.getExecutions(target);
    const ticket = issuer.issueTicket();
    net.cut.add("a2");
    expect((await issuer.deps.ledger.transferTo("a2")).isErr()).toBe(true);
    net.cut.delete("a2");
    const here = await Requests.book(issuer.address, ticket);
    expect(here.headers["anvilroute-outcome"]).toBe("unknown");
    const there = await Requests.book(other.address, ticket);
    expect(there.headers["anvilroute-outcome"]).toBe("unknown");
    expect((await issuer.deps.ledger.transferTo("a2")).isErr()).toBe(true);
    expect(Requests.getExecutions(target)).toBe(before);
    await close();
  });
});
