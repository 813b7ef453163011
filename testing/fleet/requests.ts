/**
 * Sends requests to a fleet and compares what callers got with what the targets
 * recorded. Every request has a marker of its own in its query, so that records
 * and answers are matched without trusting the system's own headers.
 */
import * as Crypto from "node:crypto";
import * as Undici from "undici";
import type * as Records from "../target/records.ts";
import type * as Fleet from "./fleet.ts";

const SEND_LIMIT_MS = 12_000;
const SERVICE = "booking";
/** Paths that some table of the proofs opens to all. */
const OPEN_PATHS = ["/fleet", "/news"];

/** A caller's request; the marker makes it unlike any other. */
export interface Message {
  readonly marker: string;
  readonly account: string;
  readonly method: "GET" | "POST";
  /** Path and query as the target gets them. */
  readonly path: string;
  readonly body: string | undefined;
  readonly ticket: string | undefined;
  readonly headers: Readonly<Record<string, string>>;
}

/** One transmission of a message; `status` is 0 when no whole answer came. */
export interface Sent {
  readonly message: Message;
  readonly via: string;
  readonly status: number;
  readonly outcome: string | undefined;
  readonly code: number;
  readonly isReplay: boolean;
  readonly requestId: string;
  readonly body: Buffer;
  readonly startedWallMs: number;
  readonly endedWallMs: number;
}

/** What may be set of a message. */
export interface MessageOptions {
  readonly account?: string;
  readonly query?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly ticket?: string;
  readonly body?: string;
}

/** What the targets and the callers saw, and where they contradict each other. */
export interface Verdict {
  /** Each one names the promise that it breaks. */
  readonly violations: readonly string[];
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly broken: number;
  readonly executions: number;
}

/** Sends messages and keeps all of them for the verdict. */
export interface Journal {
  /** A read with the account's key. */
  createRead(path: string, opts?: MessageOptions): Message;
  /** An order; its ticket comes from `issuer`. */
  createOrder(
    issuer: Fleet.FleetInstance,
    path: string,
    opts?: MessageOptions,
  ): Promise<Message>;
  send(
    instance: Fleet.FleetInstance,
    message: Message,
    signal?: AbortSignal,
  ): Promise<Sent>;
  getTickets(
    instance: Fleet.FleetInstance,
    account: string,
    count: number,
  ): Promise<readonly string[]>;
  /** Records of all targets, by marker; those of a killed target as streamed or last read. */
  getRecords(): Promise<ReadonlyMap<string, readonly TargetRecord[]>>;
  /** Records of one message, without refusals by the target. */
  getRuns(message: Message): Promise<readonly TargetRecord[]>;
  check(): Promise<Verdict>;
  close(): Promise<void>;
}

/** A record and the target that has it. */
export interface TargetRecord extends Records.ExecutionRecord {
  readonly target: string;
}

/** What a target gets in place of a ticket: a digest of all its fields but the MAC. */
function getIdempotencyKey(ticket: string): string {
  const id = ticket.split(".").slice(0, -1).join(".");
  return Crypto.createHash("sha256").update(id).digest("base64url");
}

/** Runs of a message; several orders may share a marker and differ in their tickets. */
function filterRuns(
  message: Message,
  records: readonly TargetRecord[],
): readonly TargetRecord[] {
  const { ticket } = message;
  const key = ticket === undefined ? undefined : getIdempotencyKey(ticket);
  return records.filter((one) =>
    one.outcome !== "shed" && one.idempotencyKey === key
  );
}

function getMarker(path: string): string | undefined {
  return /[?&]m=([\w-]+)/.exec(path)?.[1];
}

/** The body that a target sends for a record, from the definition of its answers. */
export function getExpectedBody(record: TargetRecord): Buffer {
  const { target, execution, method, path, account, requestId, bodySha256 } =
    record;
  const echo = JSON.stringify(
    { target, execution, method, path, account, requestId, bodySha256 },
  );
  const wanted = /[?&]bytes=(\d+)/.exec(path)?.[1];
  if (wanted === undefined) return Buffer.from(echo);
  const text = `${requestId ?? "none"}.`;
  const start = `${echo.slice(0, -1)},"padding":"`;
  const fill = Number(wanted) - start.length - 2;
  if (fill < 0) {
    return Buffer.from(text.repeat(Number(wanted))).subarray(0, Number(wanted));
  }
  const padding = text.repeat(Math.ceil(fill / text.length)).slice(0, fill);
  return Buffer.from(`${start}${padding}"}`);
}

/** Creates a journal of a fleet's requests. */
export function createJournal(fleet: Fleet.Fleet): Journal {
  const agent = new Undici.Agent({ keepAliveTimeout: 2_000, connections: 400 });
  const journal: Sent[] = [];
  const snapshots = new Map<string, readonly Records.ExecutionRecord[]>();

  function createMessage(
    method: "GET" | "POST",
    path: string,
    opts: MessageOptions,
  ): Message {
    const marker = Crypto.randomUUID();
    const query = opts.query === undefined ? "" : `&${opts.query}`;
    return {
      marker,
      account: opts.account ?? "club",
      method,
      path: `${path}?m=${marker}${query}`,
      body: method === "GET" ? undefined : opts.body ?? `{"id":"${marker}"}`,
      ticket: opts.ticket,
      headers: opts.headers ?? {},
    };
  }

  function getKeyHeader(account: string): Record<string, string> {
    const key = fleet.keys.get(account);
    return key === undefined ? {} : { "anvilroute-key": key };
  }

  async function getTickets(
    instance: Fleet.FleetInstance,
    account: string,
    count: number,
  ): Promise<readonly string[]> {
    const res = await Undici.request(
      `http://${instance.caller}/v1/lookup?service=${SERVICE}&tickets=${count}`,
      { dispatcher: agent, headers: getKeyHeader(account) },
    );
    const body = await res.body.json() as { tickets?: readonly string[] };
    if (body.tickets?.length !== count) {
      throw new Error(`${instance.id} issued no tickets: ${res.statusCode}`);
    }
    return body.tickets;
  }

  async function send(
    instance: Fleet.FleetInstance,
    message: Message,
    signal?: AbortSignal,
  ): Promise<Sent> {
    const startedWallMs = Date.now();
    const limit = AbortSignal.timeout(SEND_LIMIT_MS);
    const ticket = message.ticket === undefined
      ? {}
      : { "idempotency-key": message.ticket };
    const base = { message, via: instance.id, startedWallMs };
    let sent: Sent;
    try {
      const res = await Undici.request(
        `http://${instance.caller}/s/${SERVICE}${message.path}`,
        {
          dispatcher: agent,
          method: message.method,
          body: message.body ?? null,
          headers: {
            ...getKeyHeader(message.account),
            ...ticket,
            ...message.headers,
          },
          signal: signal === undefined
            ? limit
            : AbortSignal.any([signal, limit]),
        },
      );
      const body = Buffer.from(await res.body.arrayBuffer());
      const text = (name: string) => res.headers[name] as string | undefined;
      sent = {
        ...base,
        status: res.statusCode,
        outcome: text("anvilroute-outcome"),
        code: Number(text("anvilroute-code") ?? 0),
        isReplay: text("anvilroute-replay") === "true",
        requestId: text("anvilroute-request-id") ?? "",
        body,
        endedWallMs: Date.now(),
      };
    } catch {
      sent = {
        ...base,
        status: 0,
        outcome: undefined,
        code: 0,
        isReplay: false,
        requestId: "",
        body: Buffer.alloc(0),
        endedWallMs: Date.now(),
      };
    }
    journal.push(sent);
    return sent;
  }

  async function getRecords() {
    const byMarker = new Map<string, TargetRecord[]>();
    for (const target of fleet.targets) {
      if (target.hasRecords()) {
        snapshots.set(target.id, await target.getRecords());
      }
      for (const record of snapshots.get(target.id) ?? []) {
        const marker = getMarker(record.path) ?? "";
        const list = byMarker.get(marker) ?? [];
        list.push({ ...record, target: target.id });
        byMarker.set(marker, list);
      }
    }
    return byMarker;
  }

  async function getRuns(message: Message) {
    const records = await getRecords();
    return filterRuns(message, records.get(message.marker) ?? []);
  }

  async function check(): Promise<Verdict> {
    const records = await getRecords();
    const ended = new Set(
      fleet.targets.filter((one) => !one.hasRecords())
        .map((one) => one.id),
    );
    const messages = new Map(
      journal.map(({ message }) => [
        `${message.marker} ${message.ticket}`,
        message,
      ]),
    );
    const violations = [
      ...checkTickets([...messages.values()], records),
      ...[...messages.values()].flatMap((message) =>
        checkRuns(message, records.get(message.marker) ?? [])
      ),
      ...journal.flatMap((sent) =>
        checkAnswer(sent, records.get(sent.message.marker) ?? [], ended)
      ),
    ];
    const count = (is: (one: Sent) => boolean) => journal.filter(is).length;
    return {
      violations,
      sent: journal.length,
      answered: count((one) => isAnswer(one)),
      notRun: count((one) => one.outcome === "not-run"),
      unknown: count((one) => one.outcome === "unknown"),
      broken: count((one) => one.status === 0),
      executions: [...records.values()].flat()
        .filter((one) => one.outcome !== "shed").length,
    };
  }

  return {
    createRead: (path, opts = {}) => createMessage("GET", path, opts),
    async createOrder(issuer, path, opts = {}) {
      const account = opts.account ?? "club";
      const ticket = opts.ticket ?? (await getTickets(issuer, account, 1))[0];
      return createMessage("POST", path, {
        ...opts,
        ...ticket === undefined ? {} : { ticket },
      });
    },
    send,
    getTickets,
    getRecords,
    getRuns,
    check,
    close: () => agent.destroy(),
  };
}

function isAnswer(sent: Sent): boolean {
  return sent.status === 200 &&
    (sent.outcome === undefined || sent.isReplay);
}

/** Promise 9: every run of an order's route belongs to a ticket that was sent. */
function checkTickets(
  messages: readonly Message[],
  records: ReadonlyMap<string, readonly TargetRecord[]>,
): readonly string[] {
  const sent = new Set(
    messages.flatMap(({ ticket }) =>
      ticket === undefined ? [] : getIdempotencyKey(ticket)
    ),
  );
  return [...records.values()].flat()
    .filter((one) =>
      one.path.startsWith("/bookings") && one.method === "POST" &&
      !sent.has(one.idempotencyKey ?? "")
    )
    .map((one) => `P9: ${one.target} got ${one.path} without a known ticket`);
}

/** Promises 3 and 9: the account that sent it, and at most once. */
function checkRuns(
  message: Message,
  records: readonly TargetRecord[],
): readonly string[] {
  const runs = filterRuns(message, records);
  const found: string[] = [];
  if (message.ticket !== undefined && runs.length > 1) {
    const where = runs.map((one) => `${one.target}#${one.execution}`).join(" ");
    found.push(`P9: ${message.path} ran ${runs.length} times: ${where}`);
  }
  const allowed = OPEN_PATHS.some((open) => message.path.startsWith(open))
    ? "public"
    : message.account;
  for (const run of records) {
    if (run.account === allowed) continue;
    found.push(`P3: ${message.path} of ${allowed} ran for ${run.account}`);
  }
  return found;
}

/** True for a whole answer to this message from a target whose records ended with it. */
function isFromEnded(sent: Sent, ended: ReadonlySet<string>): boolean {
  const { account, body, method, path } = sent.message;
  try {
    const echo = JSON.parse(sent.body.toString()) as TargetRecord;
    const bodySha256 = Crypto.createHash("sha256").update(body ?? "")
      .digest("hex");
    const own = { ...echo, account, bodySha256, method, path };
    return ended.has(echo.target) && getExpectedBody(own).equals(sent.body);
  } catch {
    return false;
  }
}

/** Promises 7 and 8: the own answer byte for byte, and true refusals. */
function checkAnswer(
  sent: Sent,
  records: readonly TargetRecord[],
  ended: ReadonlySet<string>,
): readonly string[] {
  const { message } = sent;
  const runs = filterRuns(message, records);
  if (sent.outcome === "not-run") {
    // A read may be sent again under its marker; its request id tells the transmissions apart.
    const before = runs.filter((one) =>
      one.startedWallMs < sent.endedWallMs &&
      (message.ticket !== undefined || one.requestId === sent.requestId)
    );
    return before.length === 0 ? [] : [
      `P8: ${message.path} via ${sent.via}: not-run (code ${sent.code}), ` +
      `but ${before.map((one) => `${one.target} ${one.outcome}`).join(", ")}`,
    ];
  }
  if (!isAnswer(sent)) return [];
  const isOwn = runs.some((one) => getExpectedBody(one).equals(sent.body)) ||
    isFromEnded(sent, ended);
  return isOwn ? [] : [
    `P7: ${message.path} via ${sent.via}: ${sent.body.length} bytes that no ` +
    `target sent for it: ${sent.body.subarray(0, 80).toString("latin1")}`,
  ];
}
