import { describe, expect, it } from "vitest";
import * as Limits from "../../src/connection_limits.ts";

const limits: Limits.ConnectionLimits = {
  maxUnanswered: Limits.MAX_UNANSWERED,
  sliceBytes: Limits.SLICE_BYTES,
  idleTimeoutMs: 2_000,
  headerTimeoutMs: 1_000,
  maxBodyBytes: 1_000_000,
};
const idle: Limits.Progress = {
  receivedBytes: 0,
  sentBytes: 0,
  isSending: false,
  isHeldBack: false,
};

describe("limits of a connection", () => {
  // Guards against a limit that a well-behaved pipelining client reaches.
  it("let 16 requests of one connection run side by side", () => {
    const conn = Limits.createConnectionState(0);
    conn.unanswered = 16;
    expect(Limits.mayParse(conn, false, limits)).toBe(true);
  });

  it("hold back further requests of a connection that takes no response, and of all but one beside many", () => {
    const conn = Limits.createConnectionState(0);
    conn.unanswered = Limits.MAX_UNANSWERED;
    expect(Limits.mayParse(conn, false, limits)).toBe(false);
    conn.unanswered = 1;
    expect(Limits.mayParse(conn, true, limits)).toBe(false);
    conn.unanswered = 0;
    expect(Limits.mayParse(conn, true, limits)).toBe(true);
  });

  // Guards against pipelines that are held back on a machine that is only busy.
  it("allow more requests at once on machines with more memory", () => {
    expect(Limits.getCrowdedRequests(100_000_000)).toBe(128);
    expect(Limits.getCrowdedRequests(250_000_000)).toBe(250);
    expect(Limits.getCrowdedRequests(602_000_000)).toBe(602);
  });

  it("allow any framing of a short body and chunks of a few bytes in a long one, but not of one byte", () => {
    expect(Limits.isOverheadExcessive(3_000 * 6, 3_000)).toBe(false);
    expect(Limits.isOverheadExcessive(1_000_000 / 3 * 8, 1_000_000))
      .toBe(false);
    expect(Limits.isOverheadExcessive(400_000 * 6, 400_000)).toBe(true);
  });

  it("end a body that brings too little in a window, not one that is held back", () => {
    const conn = Limits.createConnectionState(0);
    conn.hasRequest = true;
    conn.isReadingBody = true;
    const check = (receivedBytes: number, nowMs: number, isHeldBack = false) =>
      Limits.findExceeded(
        conn,
        { ...idle, receivedBytes, isHeldBack },
        nowMs,
        limits,
      );
    expect(check(0, 0)).toBe(undefined);
    expect(check(2_100, 2_000)).toBe(undefined);
    expect(check(2_100, 3_000, true)).toBe(undefined);
    expect(check(2_100, 3_500)).toBe(undefined);
    expect(check(2_200, 5_600)).toBe("body-rate");
  });

  it("end a reader that takes too little, and a connection without a request", () => {
    const conn = Limits.createConnectionState(0);
    expect(Limits.findExceeded(conn, idle, 1_900, limits)).toBe(undefined);
    expect(Limits.findExceeded(conn, idle, 2_100, limits)).toBe(
      "first-request",
    );
    conn.hasRequest = true;
    const sending = { ...idle, isSending: true, sentBytes: 500 };
    expect(Limits.findExceeded(conn, sending, 3_000, limits)).toBe(undefined);
    expect(Limits.findExceeded(conn, sending, 5_100, limits)).toBe(
      "reader-rate",
    );
  });

  // Guards against a crowd of new connections that displaces the clients of before.
  it("close the newest useless connection first, then the longest idle one, and none with a request in progress", () => {
    const create = (atMs: number, change: Partial<Limits.ConnectionState>) => ({
      ...Limits.createConnectionState(atMs),
      ...change,
    });
    const running = create(9, { unanswered: 1 });
    const idleLong = create(1, { isUseful: true, idleSinceMs: 2 });
    const idleShort = create(0, { isUseful: true, idleSinceMs: 8 });
    const useless = create(3, {});
    const newest = create(5, { unanswered: 1, isReadingBody: true });
    const all = [running, idleLong, newest, useless, idleShort];
    const without = (...gone: Limits.ConnectionState[]) =>
      all.filter((conn) => !gone.includes(conn));
    expect(Limits.tryChooseEvicted(all)).toBe(newest);
    expect(Limits.tryChooseEvicted(without(newest))).toBe(useless);
    expect(Limits.tryChooseEvicted(without(newest, useless))).toBe(idleLong);
    expect(Limits.tryChooseEvicted([running])).toBe(undefined);
  });

  it("stay below the descriptors and the memory of the machine", () => {
    expect(Limits.getMaxConnections(4_100, 250_000_000)).toBe(2_460);
    expect(Limits.getMaxConnections(300, 150_000_000)).toBe(180);
    expect(Limits.getMaxConnections(100_000, 150_000_000)).toBe(1_500);
  });
});
