/** Bad input for every door of an instance. */
import * as Crypto from "node:crypto";
import * as Settings from "../harness/settings.ts";

const nonce = "0".repeat(32);
const identity = { id: "x", incarnation: "x", role: "peer", seq: 1 };
const hello = (more: object) =>
  JSON.stringify({ hello: { version: 1, identity, nonce, ...more } });
/** What an unauthenticated connection to the peer port sends. */
export const peerMessages: readonly (readonly (string | Buffer)[])[] = [
  ["\n\n\n"],
  ["not json\n"],
  ["null\n[]\n{}\n"],
  [Crypto.randomBytes(100_000)],
  ["x".repeat(5_000_000)],
  ["GET / HTTP/1.1\r\nhost: x\r\n\r\n"],
  [`${hello({ version: 99 })}\n`],
  [`${hello({ nonce: "short" })}\n`],
  [`${hello({ identity: { id: 7 } })}\n`],
  [`${hello({})}\n{"proof":"${"0".repeat(64)}"}\n`],
  [
    `${hello({})}\n{"proof":"${"0".repeat(64)}"}\n`,
    '{"jsonrpc":"2.0","id":1,"method":"members.list","params":{}}\n',
  ],
  [
    `${hello({})}\n`,
    '{"jsonrpc":"2.0","id":1,"method":"config.push","params":{}}\n',
  ],
  [`${hello({ identity: { ...identity, id: "__proto__" } })}\n`, "{\n"],
];

/** Methods with parameters of the wrong shape. */
export const peerCalls: readonly (readonly [string, unknown])[] = [
  "heartbeat",
  "config.get",
  "config.push",
  "lease.relay",
  "shards.confirm",
  "shards.handover",
  "budget.borrow",
  "once.adopt",
  "once.owner",
  "once.who",
  "poison.report",
  "status",
  "explain",
  "report.burn",
  "members.list",
  "no.such.method",
].flatMap((method) =>
  [
    undefined,
    null,
    7,
    "text",
    [],
    {},
    { key: 1, entries: 7, revision: "x", transferId: {} },
    { key: "keys", revision: 1e9, record: { accounts: 7 } },
    { key: "table", revision: 1e9, record: { csv: "x\u0000y" } },
    { filler: "x".repeat(200_000) },
  ].map((params) => [method, params] as const)
);

/** Records that must not come into force, by their key. */
export function getStoreValues(
  csv: string,
): readonly (readonly [string, string])[] {
  const long = "x".repeat(1_000_000);
  return [
    ["table", "not json"],
    ["table", JSON.stringify({ writeId: "w", by: "x", csv: "a,b\n1" })],
    ["table", JSON.stringify({ writeId: "w", by: "x", csv: `${csv}"` })],
    [
      "table",
      JSON.stringify({
        writeId: "w",
        by: "x",
        csv: csv.replace("100", "-1"),
      }),
    ],
    ["table", JSON.stringify({ writeId: "w", by: "x", csv: long })],
    [
      "table",
      JSON.stringify({ writeId: "w", by: "x", csv: ",".repeat(900_000) }),
    ],
    ["keys", "[]"],
    ["keys", JSON.stringify({ writeId: "w", accounts: 7, withdrawn: [] })],
    [
      "keys",
      JSON.stringify({ writeId: "w", accounts: {}, withdrawn: ["x"] }),
    ],
    ["shards/north-1/0", '{"owner":7}'],
    ["members/north-1/ghost", "{"],
  ];
}

/** Request heads that are answered 4xx. */
export const requestHeads: readonly string[] = [
  "\u0000\u0001\u0002\r\n\r\n",
  "GET /s/booking/bikes HTTP/9.9\r\n\r\n",
  `GET /s/booking/${"x".repeat(10_000)} HTTP/1.1\r\nhost: x\r\n\r\n`,
  `GET / HTTP/1.1\r\nhost: x\r\nx: ${"y".repeat(40_000)}\r\n\r\n`,
  "POST /s/booking/x HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
  "POST /s/booking/x HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n" +
  "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
];

/** Wrong settings made of right ones, and what must be said of them. */
export function getSettings(
  text: string,
): readonly (readonly [string, RegExp])[] {
  return [
    ["= [", /settings-syntax/],
    [text.replace('"north-1"', "7"), /instance\.domain/],
    [`${text}\n[lease]\nttl_ms = 1\n`, /lease\.ttl_ms.*1.*2000/],
    [`${text}\n[surprise]\nx = 1\n`, /surprise/],
    [text.replace(Settings.TEST_SECRET, "short"), /peers\.secret/],
  ];
}
