/**
 * Decides whether the bytes that a server sends begin a valid response: a status
 * from 200 to 599 in HTTP/1.0 or HTTP/1.1, after any number of interim responses.
 * No request asks for a switch of protocols or for `100 Continue`, so neither is
 * valid.
 *
 * The status line is read from the bytes, because undici's parser (7.30.2) accepts
 * HTTP/2.0, RTSP and statuses from 600 to 999, and fails an assertion on statuses
 * below 100 and on 101. In a bundled program, Node then parses the whole bundle to
 * word the error, which stopped a process for 5 to 8 s.
 */

/** Interim responses that may precede a response: Processing, Early Hints and Upload Resumption Supported. */
const INTERIM_STATUSES: ReadonlySet<string> = new Set(["102", "103", "104"]);
/** Characters of a status line at the positions after `HTTP/1.`; the last ends the status. */
const LINE_PATTERNS = [/[01]/, / /, /[1-5]/, /\d/, /\d/, /[ \r\n]/] as const;
const LINE_START = "HTTP/1.";
const STATUS_INDEX = LINE_START.length + 2;
const LINE_LENGTH = LINE_START.length + LINE_PATTERNS.length;
/** Bytes of an invalid response that are reported, at most. */
const MAX_REPORTED_BYTES = 48;
const LF = 0x0a;
const CR = 0x0d;

/** Reads the beginning of the responses on one connection. */
export interface HeadReader {
  /** Expects a new response. */
  start(): void;
  /** Reads the next bytes. Returns the first bytes of a response that is not valid, in printable form; undefined if there is nothing wrong with it so far. */
  read(chunk: Buffer): string | undefined;
}

/** Formats the first line of the bytes. Later lines hold header fields, which are not to be logged. */
function formatLine(bytes: Buffer): string {
  const text = bytes.subarray(0, MAX_REPORTED_BYTES).toString("latin1");
  const [line = ""] = text.split(/[\r\n]/, 1);
  return line.replace(
    /[^\x20-\x7e]/g,
    (char) => `\\x${char.charCodeAt(0).toString(16).padStart(2, "0")}`,
  );
}

/** True if the text is a valid status line, or may become one. */
function isPossible(text: string): boolean {
  if (!LINE_START.startsWith(text.slice(0, LINE_START.length))) return false;
  return LINE_PATTERNS.every((pattern, i) => {
    const char = text[LINE_START.length + i];
    return char === undefined || pattern.test(char);
  });
}

/** Creates a reader that expects a response. */
export function createHeadReader(): HeadReader {
  let state: "status-line" | "interim-head" | "valid" = "status-line";
  let line = "";
  /** Line feeds in a row at the end of what was read of an interim response. */
  let lineFeeds = 0;

  function expectStatusLine(): void {
    state = "status-line";
    line = "";
  }

  /** Reads one byte; returns false if the response is not valid. */
  function readByte(byte: number): boolean {
    if (state === "interim-head") {
      if (byte === LF) lineFeeds++;
      else if (byte !== CR) lineFeeds = 0;
      if (lineFeeds === 2) expectStatusLine();
      return true;
    }
    // Servers may send empty lines before a response.
    if (line === "" && (byte === CR || byte === LF)) return true;
    line += String.fromCharCode(byte);
    if (!isPossible(line)) return false;
    if (line.length < LINE_LENGTH) return true;
    const status = line.slice(STATUS_INDEX, STATUS_INDEX + 3);
    if (!status.startsWith("1")) {
      state = "valid";
      return true;
    }
    state = "interim-head";
    lineFeeds = line.endsWith("\n") ? 1 : 0;
    return INTERIM_STATUSES.has(status);
  }

  return {
    start: expectStatusLine,
    read(chunk) {
      for (let i = 0; i < chunk.length && state !== "valid"; i++) {
        const earlier = line.length;
        if (readByte(chunk[i]!)) continue;
        const start = Buffer.from(line, "latin1").subarray(0, earlier);
        return formatLine(Buffer.concat([start, chunk.subarray(i)]));
      }
      return undefined;
    },
  };
}
