/** Calls the control listeners of the stand-ins. */
import { request } from "undici";
import type * as Types from "../../src/types.ts";

/** Sends a control request and resolves with the parsed body; rejects on any status but 200. */
export type ControlCall = (
  method: "GET" | "PUT" | "POST" | "DELETE",
  path: string,
  body?: unknown,
) => Promise<unknown>;

/** Creates the calls to one control listener. */
export function createControlClient(address: Types.Address): ControlCall {
  return async (method, path, body) => {
    const res = await request(`http://${address}${path}`, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) {
      throw new Error(`${method} ${path}: ${res.statusCode} ${text}`);
    }
    return JSON.parse(text);
  };
}
