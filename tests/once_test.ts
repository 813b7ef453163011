import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Fakes from "../testing/fakes/request_path.ts";
import type * as StandIn from "../testing/target/stand_in.ts";
import * as Requests from "../testing/fakes/requests.ts";
import * as RequestPath from "./support/request_path.ts";

describe("request path of at-most-once routes", () => {
  const rig = RequestPath.createRequestPath();

  describe("at-most-once execution", () => {
    it("rejects a request without a ticket, or with a forged one or one of another account", async () => {
      const withoutTicket = await Requests.sendRequest(rig.instance.address, {
        method: "POST",
        path: "/s/booking/bookings",
        body: "x",
      });
      expect([
        withoutTicket.status,
        withoutTicket.headers["anvilroute-outcome"],
      ]).toEqual([
        428,
        "not-run",
      ]);
      const forged = await Requests.sendBooking(
        rig.instance.address,
        `${rig.instance.issueTicket()}x`,
      );
      expect(forged.status).toBe(400);
      const otherAccount = await Requests.sendBooking(
        rig.instance.address,
        rig.instance.issueTicket("hut"),
      );
      expect(otherAccount.status).toBe(400);
      expect(rig.first.getRecords()).toHaveLength(0);
    });

    it("runs concurrent and later retries of a ticket once, and replays the response", async () => {
      const ticket = rig.instance.issueTicket();
      const slowRequest = { path: "/s/booking/bookings?ms=80" };
      const responses = await Promise.all(
        [1, 2, 3, 4].map(() =>
          Requests.sendBooking(rig.instance.address, ticket, slowRequest)
        ),
      );
      responses.push(
        await Requests.sendBooking(rig.instance.address, ticket, slowRequest),
      );
      expect(new Set(responses.map((res) => res.body.toString())).size).toBe(1);
      expect(
        responses.filter((res) => res.headers["anvilroute-replay"] === "true"),
      ).toHaveLength(4);
      expect(
        Requests.countExecutions(rig.first) +
          Requests.countExecutions(rig.second),
      ).toBe(1);
      const reused = await Requests.sendBooking(rig.instance.address, ticket, {
        ...slowRequest,
        body: "another",
      });
      expect([reused.status, reused.headers["anvilroute-code"]]).toEqual([
        422,
        "114",
      ]);
    });

    it("never runs a request again that may have run before its connection was lost", async () => {
      rig.first.setFaults({ resetAfterExecuting: true });
      const ticket = rig.instance.issueTicket();
      const interrupted = await Requests.sendBooking(
        rig.instance.address,
        ticket,
      );
      expect([interrupted.status, interrupted.headers["anvilroute-outcome"]])
        .toEqual([
          502,
          "unknown",
        ]);
      rig.first.setFaults({ resetAfterExecuting: null });
      const retry = await Requests.sendBooking(rig.instance.address, ticket);
      expect(retry.headers["anvilroute-outcome"]).toBe("unknown");
      expect(
        Requests.countExecutions(rig.first) +
          Requests.countExecutions(rig.second),
      ).toBe(1);
    });

    it("runs the retry of a request that all targets shed", async () => {
      rig.first.setFaults({ shedAll: true });
      rig.second.setFaults({ shedAll: true });
      const ticket = rig.instance.issueTicket();
      const shed = await Requests.sendBooking(rig.instance.address, ticket);
      expect(shed.headers["anvilroute-outcome"]).toBe("not-run");
      rig.first.setFaults({ shedAll: null });
      expect((await Requests.sendBooking(rig.instance.address, ticket)).status)
        .toBe(
          200,
        );
      expect(Requests.countExecutions(rig.first)).toBe(1);
    });

    it("completes a request after its caller disconnects, and returns the response to its retry", async () => {
      const ticket = rig.instance.issueTicket();
      const abort = new AbortController();
      const slowRequest = { path: "/s/booking/bookings?ms=200" };
      const pending = Requests.sendBooking(rig.instance.address, ticket, {
        ...slowRequest,
        signal: abort.signal,
      });
      await expect.poll(() => rig.first.getStats().inUse).toBe(1);
      abort.abort();
      await expect(pending).rejects.toThrow();
      const res = await Requests.sendBooking(
        rig.instance.address,
        ticket,
        slowRequest,
      );
      expect([res.status, Requests.countExecutions(rig.first)]).toEqual([
        200,
        1,
      ]);
    });
  });
});

describe("tickets across instances", () => {
  let target: StandIn.StandIn;
  beforeAll(async () => {
    target = await Requests.startTarget("t1");
  });
  afterAll(() => target.close());

  async function startPair() {
    const net = Fakes.createFakeNet();
    const issuer = await Fakes.startTestInstance("a1", [target.listen], net);
    const peer = await Fakes.startTestInstance("a2", [target.listen], net);
    return {
      net,
      issuer,
      peer,
      close: () => Promise.all([issuer.close(), peer.close()]),
    };
  }

  it("run at the issuer only, whichever instance receives the request", async () => {
    const { issuer, peer, close } = await startPair();
    const previousExecutions = Requests.countExecutions(target);
    const ticket = issuer.issueTicket();
    const relayed = await Requests.sendBooking(peer.address, ticket);
    const direct = await Requests.sendBooking(issuer.address, ticket);
    expect([relayed.status, direct.status]).toEqual([200, 200]);
    expect(direct.body.toString()).toBe(relayed.body.toString());
    expect(Requests.countExecutions(target) - previousExecutions).toBe(1);
    expect(JSON.stringify(target.getRecords())).not.toContain(Fakes.CLUB_KEY);
    const replayed = await Requests.sendBooking(peer.address, ticket);
    expect(replayed.headers["anvilroute-outcome"]).toBe("ran");
    await close();
  });

  it("are not accepted from a caller that forges the relay header", async () => {
    const { issuer, close } = await startPair();
    const res = await Requests.sendRequest(issuer.address, {
      headers: {
        "anvilroute-key": "",
        "anvilroute-relay": `v1.club.${Fakes.computeDigest(Fakes.CLUB_KEY)}.${
          Date.now().toString(36)
        }.mac`,
      },
    });
    expect(res.status).toBe(401);
    await close();
  });

  it("get the outcome unknown, and run nothing, if the issuer is unreachable", async () => {
    const { net, issuer, peer, close } = await startPair();
    const previousExecutions = Requests.countExecutions(target);
    net.cutInstances.add("a1");
    const res = await Requests.sendBooking(peer.address, issuer.issueTicket());
    expect([res.status, res.headers["anvilroute-outcome"]]).toEqual([
      503,
      "unknown",
    ]);
    expect(Requests.countExecutions(target)).toBe(previousExecutions);
    await close();
  });

  it("are transferred to a peer on a planned stop, whether used or unused", async () => {
    const { issuer, peer, close } = await startPair();
    const previousExecutions = Requests.countExecutions(target);
    const [used, unused] = [issuer.issueTicket(), issuer.issueTicket()];
    const ran = await Requests.sendBooking(issuer.address, used);
    (await issuer.deps.ledger.transferTo("a2")).unwrap();
    const replay = await Requests.sendBooking(peer.address, used);
    expect(replay.body.toString()).toBe(ran.body.toString());
    expect(replay.headers["anvilroute-replay"]).toBe("true");
    const unusedResponse = await Requests.sendBooking(issuer.address, unused);
    expect(unusedResponse.status).toBe(200);
    expect(
      (await Requests.sendBooking(peer.address, unused))
        .headers["anvilroute-replay"],
    )
      .toBe("true");
    expect(Requests.countExecutions(target) - previousExecutions).toBe(2);
    await close();
  });

  it("run at neither instance if the final message of a ledger transfer is lost", async () => {
    const { net, issuer, peer, close } = await startPair();
    const previousExecutions = Requests.countExecutions(target);
    const ticket = issuer.issueTicket();
    net.cutInstances.add("a2");
    expect((await issuer.deps.ledger.transferTo("a2")).isErr()).toBe(true);
    net.cutInstances.delete("a2");
    const atIssuer = await Requests.sendBooking(issuer.address, ticket);
    expect(atIssuer.headers["anvilroute-outcome"]).toBe("unknown");
    const atPeer = await Requests.sendBooking(peer.address, ticket);
    expect(atPeer.headers["anvilroute-outcome"]).toBe("unknown");
    expect((await issuer.deps.ledger.transferTo("a2")).isErr()).toBe(true);
    expect(Requests.countExecutions(target)).toBe(previousExecutions);
    await close();
  });
});
