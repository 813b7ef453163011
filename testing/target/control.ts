/**
 * Control listener of a target stand-in: `GET /records?after=SEQ`, `GET /stats`,
 * `GET /faults`, `POST /faults`. Promise: a bad request changes nothing and is
 * answered 400 with the reason.
 */
import type * as Http from "node:http";
import type * as Faults from "./faults.ts";
import type * as Records from "./records.ts";
import type * as StandIn from "./stand_in.ts";

/** What the control listener reads and changes. */
export interface Controlled {
  setFaults(change: unknown): Faults.Faults;
  getFaults(): Faults.Faults;
  getRecords(after?: number): readonly Records.ExecutionRecord[];
  getStats(): StandIn.StandInStats;
}

function send(res: Http.ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { "Content-Type": "application/json" });
  res.end(JSON.stringify(value));
}

async function readJson(req: Http.IncomingMessage): Promise<unknown> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of req) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

async function answer(
  controlled: Controlled,
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? "/", "http://target.invalid");
  switch (`${req.method} ${url.pathname}`) {
    case "GET /records": {
      const after = Number(url.searchParams.get("after") ?? 0);
      return send(res, 200, { records: controlled.getRecords(after) });
    }
    case "GET /stats":
      return send(res, 200, controlled.getStats());
    case "GET /faults":
      return send(res, 200, controlled.getFaults());
    case "POST /faults":
      return send(res, 200, controlled.setFaults(await readJson(req)));
    default:
      return send(res, 404, { error: "no such control path" });
  }
}

/** Creates the listener's handler. */
export function createHandler(controlled: Controlled): Http.RequestListener {
  return (req, res) => {
    answer(controlled, req, res).catch((err) => {
      send(res, 400, { error: String(err) });
    });
  };
}
