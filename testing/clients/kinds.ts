/** Kinds of crowds that misbehave: what each client sends. */
import type * as Crowd from "./crowd.ts";

/** Where a crowd sends its requests. */
export interface CrowdTarget {
  readonly address: string;
  /** Method and path of its requests. */
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Header lines that the path needs, for example a key. */
  readonly fields: readonly string[];
  /** Longest body that the listener accepts, bytes. */
  readonly maxBodyBytes: number;
  /** Longest head that the listener accepts, bytes. */
  readonly maxHeaderBytes: number;
}

/** A kind of crowd. */
export interface CrowdKind {
  readonly name: string;
  readonly create: (
    target: CrowdTarget,
    scale: CrowdScale,
  ) => Omit<Crowd.CrowdOptions, "address">;
}

/** Sizes of a crowd. */
export interface CrowdScale {
  /** Clients that each occupy a connection; more than the process has descriptors for. */
  readonly many: number;
  /** Clients that each send much. */
  readonly few: number;
}

const PIECE_BYTES = 1_000;
const MISSING_BYTES = 10;
const PIPELINED_REQUESTS = 8_000;
const REQUESTS_PER_PART = 200;
const ONE_BYTE_CHUNKS = 400_000;
const CHUNKS_PER_PART = 10_000;
const EXCESS_BYTES = 900_000_000;
const EXCESS_PART = Buffer.alloc(64 * 1_024, "x");
const EXCESS_PARTS = 300;

function formatHead(target: CrowdTarget, lines: readonly string[]): string {
  const { fields, method, path } = target;
  return [`${method} ${path} HTTP/1.1`, "host: shop.example", ...fields]
    .concat(lines, "", "").join("\r\n");
}

/** A POST, for kinds that send a body. */
const post = (target: CrowdTarget): CrowdTarget => ({
  ...target,
  method: "POST",
});

const formatChunk = (data: string) =>
  `${data.length.toString(16)}\r\n${data}\r\n`;

function* repeat<T>(part: T, count: number): Generator<T> {
  for (let i = 0; i < count; i++) yield part;
}

/** Fields of three bytes each. */
function formatShortFields(target: CrowdTarget): string {
  const bytes = target.maxHeaderBytes * 0.7;
  return "a:\r\n".repeat(Math.floor(bytes / 4));
}

/** All kinds. */
export const crowdKinds: readonly CrowdKind[] = [
  {
    name: "pipelines requests and reads nothing",
    create: (target, { few }) => {
      const part = formatHead(target, []).repeat(REQUESTS_PER_PART);
      return {
        count: few,
        isReading: false,
        createParts: () => repeat(part, PIPELINED_REQUESTS / REQUESTS_PER_PART),
      };
    },
  },
  {
    name: "sends bodies in chunks of one byte",
    create: (target, { few }) => ({
      count: few * 3,
      isReading: true,
      *createParts() {
        yield formatHead(post(target), ["transfer-encoding: chunked"]);
        const part = "1\r\nx\r\n".repeat(CHUNKS_PER_PART);
        yield* repeat(part, ONE_BYTE_CHUNKS / CHUNKS_PER_PART);
      },
    }),
  },
  {
    name: "sends chunk extensions without end",
    create: (target, { few }) => ({
      count: few,
      isReading: true,
      *createParts() {
        yield formatHead(post(target), ["transfer-encoding: chunked"]);
        const part = `1;${"e".repeat(PIECE_BYTES)}\r\nx\r\n`.repeat(50);
        yield* repeat(part, 200);
      },
    }),
  },
  {
    name: "sends bodies that stop short of their end, in one piece",
    create: (target, { many }) => ({
      count: many,
      isReading: true,
      *createParts() {
        const { maxBodyBytes } = target;
        yield formatHead(post(target), [`content-length: ${maxBodyBytes}`]);
        yield Buffer.alloc(maxBodyBytes - MISSING_BYTES, "x");
      },
    }),
  },
  {
    name: "sends bodies that stop short of their end, in small pieces",
    create: (target, { many }) => ({
      count: many,
      isReading: true,
      *createParts() {
        const { maxBodyBytes } = target;
        yield formatHead(post(target), [`content-length: ${maxBodyBytes}`]);
        const count = Math.floor((maxBodyBytes - 1) / PIECE_BYTES);
        yield* repeat(Buffer.alloc(PIECE_BYTES, "x"), count);
      },
    }),
  },
  {
    name: "sends bodies that stop short of their end, in chunks",
    create: (target, { many }) => ({
      count: many,
      isReading: true,
      *createParts() {
        yield formatHead(post(target), ["transfer-encoding: chunked"]);
        const count = Math.floor((target.maxBodyBytes - 1) / PIECE_BYTES);
        yield* repeat(formatChunk("x".repeat(PIECE_BYTES)), count);
      },
    }),
  },
  {
    name: "sends bodies far over the limit",
    create: (target, { few }) => ({
      count: few,
      isReading: true,
      *createParts(index) {
        const isChunked = index % 2 === 0;
        yield formatHead(post(target), [
          isChunked
            ? "transfer-encoding: chunked"
            : `content-length: ${EXCESS_BYTES}`,
        ]);
        const part = isChunked
          ? formatChunk(EXCESS_PART.toString())
          : EXCESS_PART;
        yield* repeat(part, EXCESS_PARTS);
      },
    }),
  },
  {
    name: "sends heads of many short fields",
    create: (target, { few }) => ({
      count: few,
      isReading: false,
      createParts: () =>
        repeat(
          formatHead(target, [formatShortFields(target) + "a: b"]),
          40,
        ),
    }),
  },
  {
    name: "sends heads of many short fields that stop halfway",
    create: (target, { many }) => ({
      count: many,
      isReading: true,
      *createParts() {
        yield formatHead(target, []).slice(0, -2) + formatShortFields(target);
      },
    }),
  },
  {
    name: "sends heads that stop halfway",
    create: (target, { many }) => ({
      count: many,
      isReading: true,
      *createParts() {
        yield formatHead(target, []).slice(0, -4);
      },
    }),
  },
  {
    name: "sends one byte at a time",
    create: (target, { many }) => ({
      count: many,
      isReading: true,
      pauseMs: 100,
      createParts: () => [
        ...formatHead(target, ["content-length: 100"]),
        ..."x".repeat(99),
      ],
    }),
  },
  {
    name: "sends a request on each connection and never reads",
    create: (target, { many }) => ({
      count: many,
      isReading: false,
      createParts: () => repeat(formatHead(target, []), 200),
    }),
  },
];
