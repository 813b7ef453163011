/** Records sessions as text in which only what differs between runs is masked. */
import * as Net from "node:net";
import type * as Types from "../../src/types.ts";

const MASKS: readonly (readonly [RegExp, string])[] = [
  [/\b127\.\d+\.\d+\.\d+:\d+/g, "ADDR"],
  [
    /\bv1\.([\w-]+)\.[0-9a-f]{32}\.(\w+)\.(\w+)\.[^"\s,]+/g,
    "v1.$1.RUN.$2.$3.EXPIRY.NONCE.MAC",
  ],
  [/\bar_[0-9a-f]{8}_[\w-]+/g, "ar_ID_SECRET"],
  [/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, "UUID"],
  [/\b[0-9a-f]{64}\b/g, "SHA256"],
  [/\b[0-9a-f]{16,40}\b/g, "HEX"],
  [/\b\d{4}-\d\d-\d\d[T ]\d\d:\d\d(:\d\d(\.\d+)?)?Z?/g, "TIME"],
];

/** Replaces addresses, ids, MACs, digests and times of day. */
export function mask(text: string): string {
  return MASKS.reduce((out, [pattern, by]) => out.replace(pattern, by), text);
}

/** An answer of an entry instance without what differs between runs. */
export function maskAnswer(raw: string): string {
  return mask(raw)
    .replace(/"target":"booking-\d"/g, '"target":"TARGET"')
    .replace(/"(weight|execution)":[\d.]+/g, '"$1":N')
    .replace(/"requestId":"[^"]+"/g, '"requestId":"REQUEST"')
    .replace(/(anvilroute-request-id): \S+/gi, "$1: REQUEST")
    .replace(/(date): [^\r]+/gi, "$1: DATE")
    .replace(/(retry-after|content-length): \d+/gi, "$1: N")
    .replaceAll("\r", "");
}

/** Output of one command; lines of instances that confirm in turn are sorted. */
export function maskCommand(
  line: string,
  output: string,
  exit: number,
): string {
  const masked = mask(`$ anvilroutectl ${line}\n${output}[exit ${exit}]\n`)
    .replace(/digest [0-9a-f]{12}/g, "digest HEX")
    .replace(/\b[0-9a-f]{8}\b/g, "ID")
    .replace(/ *\d+\.\d s ago/g, "  T s ago")
    .replace(/after \d+\.\d s\b/g, "after T s")
    .replace(/(tokens|rate|burst): [\d.]+/g, "$1: N")
    .replace(/revision \d+/g, "revision N")
    .replace(/(live +)\d+( +)\d+/g, "$1N$2N")
    // Latencies and what follows from them.
    .replace(/^(booking +\w+) .*$/gm, "$1 COUNTS");
  const lines = masked.split("\n");
  // Accounts that are served alike are ordered by latency, which a busy machine
  // changes; the worst-served one stays first.
  const worst = lines.findIndex((text) => text.endsWith(" COUNTS"));
  const rows = lines.filter((text) => text.endsWith(" COUNTS"));
  if (worst >= 0) {
    lines.splice(worst + 1, rows.length - 1, ...rows.slice(1).toSorted());
  }
  const isArrival = (text: string | undefined) =>
    text !== undefined && /^[\w-]+: (in force|refuses)/.test(text);
  const from = lines.findIndex(isArrival);
  const count = lines.filter(isArrival).length;
  if (from >= 0) {
    lines.splice(from, count, ...lines.slice(from, from + count).toSorted());
  }
  return lines.join("\n");
}

/** Masks every number of a JSON value too, and joins equal parts of a list. */
export function maskJson(value: unknown): unknown {
  if (typeof value === "number") return "N";
  if (typeof value === "string") {
    return mask(value).replace(/^[\w+/=-]{22,}$/, "OPAQUE");
  }
  if (Array.isArray(value)) {
    const parts = new Map(
      value.map(maskJson).map((one) => [JSON.stringify(one), one]),
    );
    return [...parts.values()];
  }
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, child]) => [key, maskJson(child)]),
  );
}

/** Sends one HTTP/1.1 request as bytes; resolves with the bytes of the answer. */
export function sendRaw(
  address: Types.Address,
  request: string,
): Promise<string> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = Net.connect(Number(port), host);
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => void chunks.push(chunk));
    socket.on("error", reject);
    socket.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    socket.setTimeout(10_000, () => socket.destroy(new Error("no answer")));
    socket.write(request);
  });
}

/** One line between two peers. */
export interface TappedLine {
  /** Number of the connection. */
  readonly connection: number;
  readonly from: "initiator" | "acceptor";
  readonly value: Readonly<Record<string, unknown>>;
}

/** A TCP relay that keeps the JSON lines that pass. */
export interface Tap {
  readonly address: Types.Address;
  setTarget(target: Types.Address): void;
  getLines(): readonly TappedLine[];
  /** True when a call of this method has passed. */
  has(method: string): boolean;
  close(): void;
}

let connections = 0;

/** Starts a relay; connections before `setTarget` are reset. */
export async function startTap(): Promise<Tap> {
  const lines: TappedLine[] = [];
  let target: Types.Address | undefined;

  function keep(
    socket: Net.Socket,
    connection: number,
    from: TappedLine["from"],
  ): void {
    let rest = "";
    socket.on("data", (chunk: Buffer) => {
      const parts = (rest + chunk.toString("utf8")).split("\n");
      rest = parts.pop() ?? "";
      for (const part of parts) {
        lines.push({ connection, from, value: JSON.parse(part) });
      }
    });
  }

  const server = Net.createServer((client) => {
    client.on("error", () => {});
    if (target === undefined) return void client.resetAndDestroy();
    const [host = "", port = ""] = target.split(":");
    const onward = Net.connect(Number(port), host);
    onward.on("error", () => client.destroy());
    const connection = ++connections;
    keep(client, connection, "initiator");
    keep(onward, connection, "acceptor");
    client.pipe(onward).pipe(client);
    client.on("close", () => onward.destroy());
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  return {
    address: `127.0.0.1:${(server.address() as Net.AddressInfo).port}`,
    setTarget: (next) => void (target = next),
    getLines: () => [...lines],
    has: (method) => lines.some(({ value }) => value["method"] === method),
    close: () => void server.close(),
  };
}

/** The handshake, and the first call of each method with its answer. */
export function formatExchange(
  lines: readonly TappedLine[],
  methods: readonly string[],
): string {
  const show = ({ from, value }: TappedLine) =>
    `${from}: ${JSON.stringify(maskJson(value), undefined, 2)}`;
  const connection = lines.find(({ value }) => "hello" in value)?.connection;
  const handshake = lines.filter((one) => one.connection === connection)
    .slice(0, 4);
  const calls = methods.map((method) => {
    const sent = lines.filter(({ value }) => value["method"] === method);
    // Both sides send heartbeats; which one is first differs.
    const call = sent.find(({ from }) => from === "initiator") ?? sent[0];
    if (call === undefined) return `## ${method}\nnone`;
    const id = call.value["id"];
    const answer = lines.find((one) =>
      id !== undefined && one.connection === call.connection &&
      one.from !== call.from && one.value["id"] === id &&
      !("method" in one.value)
    );
    const parts = [call, answer].filter((one) => one !== undefined).map(show);
    return `## ${method}\n${parts.join("\n")}`;
  });
  return `## handshake\n${handshake.map(show).join("\n")}\n${
    calls.join("\n")
  }\n`;
}
