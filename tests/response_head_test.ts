import { describe, expect, it } from "vitest";
import * as ResponseHead from "../src/response_head.ts";
import * as Odd from "./support/odd_status_lines.ts";

const read = (text: string) =>
  ResponseHead.createHeadReader().read(Buffer.from(text, "latin1"));

/** Reads the text one byte at a time; returns the first finding. */
function readBytes(text: string): string | undefined {
  const reader = ResponseHead.createHeadReader();
  for (const byte of Buffer.from(text, "latin1")) {
    const found = reader.read(Buffer.of(byte));
    if (found !== undefined) return found;
  }
  return undefined;
}

describe("reader of response heads", () => {
  // Guards against a response that is passed on although its status or protocol is none.
  it.each([
    ...Odd.ODD_STATUS_LINES,
    ...["HTTP/1.1 100 Continue", "HTTP/1.1 199 OK", "HTTP/1.2 200 OK"],
    ...[
      "HTTP/0.9 200 OK",
      "HTTP/3 200 OK",
      "http/1.1 200 OK",
      "ICE/1.0 200 OK",
    ],
    ...["RTSP/1.0 200 OK", "HTTP/1.1  200 OK", "GET / HTTP/1.1", "200 OK"],
  ])("rejects %j", (line) => {
    const text = `${line}\r\nX-Secret: s\r\n\r\n`;
    expect(read(text)).toBe(line);
    expect(line.startsWith(readBytes(text) ?? "none")).toBe(true);
  });

  it.each([
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.0 599 Odd\r\n\r\n",
    "HTTP/1.1 404\r\n\r\n",
    "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 102\nx: 1\n\nHTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 is a body",
    "HTTP/1.",
  ])("accepts %j", (text) => {
    expect(read(text)).toBeUndefined();
    expect(readBytes(text)).toBeUndefined();
  });

  // Guards against an invalid response that hides behind an interim or an earlier one.
  it("checks the response after an interim one, and the next on the connection", () => {
    const hint = "HTTP/1.1 103 Hint\r\nHTTP/1.1: 000\r\n\r\n";
    expect(read(`${hint}HTTP/1.1 101 Up\r\n`)).toBe("HTTP/1.1 101 Up");
    const reader = ResponseHead.createHeadReader();
    expect(reader.read(Buffer.from("HTTP/1.1 200 OK\r\n\r\n"))).toBeUndefined();
    expect(reader.read(Buffer.from("HTTP/1.1 000 x"))).toBeUndefined();
    reader.start();
    expect(reader.read(Buffer.from("HTTP/1.1 000 x"))).toBe("HTTP/1.1 000 x");
  });

  // Guards against log lines without bound, with control characters, or with header fields.
  it("reports one bounded line in printable characters", () => {
    expect(read("\x00\xff" + "y".repeat(100)))
      .toBe("\\x00\\xff" + "y".repeat(46));
    expect(read("odd\nAuthorization: Bearer k1")).toBe("odd");
  });
});
