/** The stand-in for the platform: HTTP, faults and call counters. */
import * as Http from "node:http";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";
import * as Json from "../../src/json.ts";
import * as HttpJson from "../http_json.ts";
import * as Listener from "../listener.ts";
import * as Faults from "./faults.ts";
import * as Instances from "./instances.ts";
import * as Operation from "./operation.ts";
import * as Operations from "./operations.ts";
import * as Store from "./store.ts";

/** A value of 1 MB can take six times its size as JSON. */
const BODY_LIMIT_BYTES = 7_000_000;
const EXPIRY_INTERVAL_MS = 20;
/** Longer than clients keep idle connections, so that the client closes first. */
const KEEP_ALIVE_MS = 60_000;
/** Options of the stand-in. */
export interface PlatformOptions {
  readonly listen: Types.Address;
  readonly control: Types.Address;
  readonly listLagMs: number;
  readonly clock?: Clock.Clock;
}

/** A running stand-in. */
export interface Platform {
  readonly address: Types.Address;
  readonly control: Types.Address;
  stop(): Promise<void>;
}

interface Counters {
  readonly total: number;
  readonly byOp: Readonly<Record<string, number>>;
  readonly pendingWatches: number;
}

/** Starts the stand-in. */
export async function startPlatform(opts: PlatformOptions): Promise<Platform> {
  const clock = opts.clock ?? Clock.systemClock;
  const store = Store.createStore(clock);
  const instances = Instances.createInstanceList(clock, opts.listLagMs);
  const services = { store, instances };
  const byOp = new Map<string, number>();
  let faults = Faults.createFaults(opts.listLagMs);
  let pendingWatches = 0;

  function count(op: string): void {
    byOp.set(op, (byOp.get(op) ?? 0) + 1);
  }

  /** Takes one of the answers to lose when the operation is among them. */
  function takeLostAnswer(
    op: Operation.Operation,
    answer: HttpJson.JsonAnswer,
  ): boolean {
    const isLost = faults.loseWrites > 0 && answer.status === 200 &&
      faults.loseOps.includes(op.name) &&
      op.key.startsWith(faults.loseKeyPrefix);
    if (isLost) faults = { ...faults, loseWrites: faults.loseWrites - 1 };
    return isLost;
  }

  async function readCall(
    req: Http.IncomingMessage,
  ): Promise<Operation.Parsed> {
    const text = await HttpJson.readBody(req, BODY_LIMIT_BYTES);
    if (text === undefined) {
      return HttpJson.refuse(413, "value-too-large", "body");
    }
    const body = text === "" ? {} : Json.tryParseObject(text);
    if (body === undefined) return HttpJson.malformed("not a JSON object");
    const url = new URL(req.url ?? "/", "http://platform");
    const { pathname: path, searchParams: query } = url;
    const method = req.method ?? "GET";
    return Operations.parseCall(services, { method, path, query, body });
  }

  async function runCounted(
    op: Operation.Operation,
    res: Http.ServerResponse,
  ): Promise<HttpJson.JsonAnswer> {
    const abort = new AbortController();
    res.once("close", () => abort.abort());
    if (op.name === "watch") pendingWatches++;
    const answer = await op.run(abort.signal);
    if (op.name === "watch") pendingWatches--;
    return answer;
  }

  async function handle(
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ): Promise<void> {
    const parsed = await readCall(req);
    if (faults.slowMs > 0) await Clock.sleep(faults.slowMs);
    // A call that finds the platform down is neither carried out nor answered.
    if (faults.availability !== "up") return;
    if (Operation.isRefused(parsed)) {
      count("malformed");
      return HttpJson.sendJson(res, parsed);
    }
    count(parsed.name);
    const answer = await runCounted(parsed, res);
    if (faults.availability !== "up") return;
    if (takeLostAnswer(parsed, answer)) {
      if (faults.loseBy === "reset") req.socket.resetAndDestroy();
      return;
    }
    HttpJson.sendJson(res, answer);
  }

  const server = Http.createServer((req, res) => {
    handle(req, res).catch(() => req.socket.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  const listener = await Listener.createListener(server, opts.listen);

  async function setAvailability(next: Faults.Availability): Promise<void> {
    // Connections that wait for an answer can't be used after the outage.
    if (next !== "hang") listener.resetConnections();
    await listener.setOpen(next !== "refuse");
    // The platform heard no heartbeats during its outage.
    if (next === "up") instances.renewAll();
  }

  async function setFaults(
    patch: Json.JsonObject,
  ): Promise<HttpJson.JsonAnswer> {
    const next = Faults.patchFaults(faults, patch);
    if (typeof next === "string") return HttpJson.malformed(next);
    const before = faults.availability;
    faults = next;
    instances.setLagMs(next.listLagMs);
    if (next.availability !== before) await setAvailability(next.availability);
    return { status: 200, body: faults };
  }

  function getCounters(): Counters {
    let total = 0;
    for (const calls of byOp.values()) total += calls;
    return { total, byOp: Object.fromEntries(byOp), pendingWatches };
  }

  const controlServer = HttpJson.createControlServer((method, path, body) => {
    switch (`${method} ${path}`) {
      case "GET /faults":
        return { status: 200, body: faults };
      case "PUT /faults":
        return setFaults(body);
      case "GET /counters":
        return { status: 200, body: getCounters() };
      case "DELETE /counters":
        byOp.clear();
        return { status: 200, body: getCounters() };
      case "GET /entries":
        return { status: 200, body: { entries: store.list("") } };
      default:
        return HttpJson.refuse(404, "malformed", "path");
    }
  });
  const control = await HttpJson.listen(controlServer, opts.control);

  const expiry = setInterval(() => {
    store.expireLeases();
    instances.expire();
  }, EXPIRY_INTERVAL_MS);

  return {
    address: listener.address,
    control,
    async stop() {
      clearInterval(expiry);
      listener.resetConnections();
      controlServer.closeAllConnections();
      const closing = [server, controlServer].filter((one) => one.listening);
      await Promise.all(
        closing.map((one) => new Promise((done) => one.close(done))),
      );
    },
  };
}
