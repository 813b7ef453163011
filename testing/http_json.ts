/** JSON over HTTP for the stand-ins and their control listeners. */
import * as Http from "node:http";
import type * as Net from "node:net";
import * as Json from "../src/json.ts";
import type * as Types from "../src/types.ts";

/** What a JSON handler returns: a status and a JSON-safe body. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Makes the answer of a refused request. */
export function refuse(
  status: number,
  code: string,
  message: string,
  more: Json.JsonObject = {},
): JsonAnswer {
  return { status, body: { error: { code, message, ...more } } };
}

/** Makes the answer of a request whose content is not as documented. */
export function malformed(message: string): JsonAnswer {
  return refuse(400, "malformed", message);
}

/** Reads a body to its end; undefined when it is longer than `limitBytes`. */
export async function readBody(
  req: Http.IncomingMessage,
  limitBytes: number,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    length += chunk.length;
    // The rest is read and dropped, so that the refusal reaches the sender.
    if (length <= limitBytes) chunks.push(chunk);
  }
  return length > limitBytes
    ? undefined
    : Buffer.concat(chunks).toString("utf8");
}

/** Sends an answer, unless the connection has gone. */
export function sendJson(res: Http.ServerResponse, answer: JsonAnswer): void {
  if (res.destroyed || res.writableEnded) return;
  const body = Buffer.from(JSON.stringify(answer.body));
  res.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  res.end(body);
}

/** Splits `host:port`; throws on anything else. */
export function parseAddress(
  address: Types.Address,
): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at).replace(/^\[|\]$/g, "");
  const port = Number(address.slice(at + 1));
  const isGood = at > 0 && Number.isInteger(port) && port >= 0 &&
    port <= 65_535;
  if (!isGood) throw new Error(`not an address: ${address}`);
  return { host, port };
}

/** Starts a server and resolves with the address that it got. */
export function listen(
  server: Net.Server,
  address: Types.Address,
): Promise<Types.Address> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host);
    server.once("listening", () => {
      server.off("error", reject);
      const got = server.address() as Net.AddressInfo;
      resolve(`${host}:${got.port}`);
    });
  });
}

/** Handles one control request; `path` is without the query. */
export type ControlHandler = (
  method: string,
  path: string,
  body: Json.JsonObject,
) => JsonAnswer | Promise<JsonAnswer>;

const CONTROL_BODY_LIMIT_BYTES = 64 * 1024;

/** Creates the server of a control listener. */
export function createControlServer(handler: ControlHandler): Http.Server {
  return Http.createServer(async (req, res) => {
    const text = await readBody(req, CONTROL_BODY_LIMIT_BYTES);
    const body = text === "" ? {} : Json.tryParseObject(text ?? "");
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    if (body === undefined) return sendJson(res, malformed("not an object"));
    try {
      sendJson(res, await handler(req.method ?? "GET", path, body));
    } catch (err) {
      sendJson(res, refuse(500, "internal", String(err)));
    }
  });
}

/** Prints the one line by which a program says that it is ready. */
export function printReady(fields: Json.JsonObject): void {
  process.stdout.write(`${JSON.stringify({ ready: true, ...fields })}\n`);
}
