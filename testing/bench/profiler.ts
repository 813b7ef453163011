/** Records CPU profiles of a process that runs with `--inspect`, through its inspector. */
import * as Undici from "undici";
import type * as Profile from "./profile.ts";

/** Time between samples, us. */
const SAMPLE_US = 200;

/** Connection to the inspector of a process. */
export interface Profiler {
  start(): Promise<void>;
  /** Returns what ran since `start`. */
  stop(): Promise<Profile.Profile>;
  close(): void;
}

interface Reply {
  readonly id: number;
  readonly result?: { readonly profile?: Profile.Profile };
  readonly error?: { readonly message: string };
}

/** Connects to the inspector at `address`; rejects if the process has none. */
export async function connectProfiler(address: string): Promise<Profiler> {
  const res = await Undici.request(`http://${address}/json/list`);
  const [target] = await res.body.json() as { webSocketDebuggerUrl: string }[];
  if (target === undefined) throw new Error(`no process at ${address}`);
  const socket = new Undici.WebSocket(target.webSocketDebuggerUrl);
  const pending = new Map<number, (reply: Reply) => void>();
  let lastId = 0;
  socket.addEventListener("message", ({ data }) => {
    const reply = JSON.parse(String(data)) as Reply;
    pending.get(reply.id)?.(reply);
    pending.delete(reply.id);
  });
  await new Promise<void>((resolve, reject) => {
    socket.addEventListener("open", () => resolve());
    socket.addEventListener("error", () => reject(new Error("no inspector")));
  });

  async function call(method: string, params: object = {}): Promise<Reply> {
    const id = ++lastId;
    const reply = await new Promise<Reply>((resolve) => {
      pending.set(id, resolve);
      socket.send(JSON.stringify({ id, method, params }));
    });
    if (reply.error !== undefined) throw new Error(reply.error.message);
    return reply;
  }

  await call("Profiler.enable");
  await call("Profiler.setSamplingInterval", { interval: SAMPLE_US });
  return {
    async start() {
      await call("Profiler.start");
    },
    async stop() {
      const { result } = await call("Profiler.stop");
      if (result?.profile === undefined) throw new Error("no profile");
      return result.profile;
    },
    close: () => socket.close(),
  };
}
