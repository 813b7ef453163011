/** Targets that only answer probes, many in one process, listed at the platform. */
import * as Http from "node:http";
import type * as Net from "node:net";
import type * as Types from "../../src/types.ts";
import * as Registration from "../target/registration.ts";

/** Probed targets and what their listeners carried. */
export interface ProbeSink {
  readonly count: number;
  getProbes(): number;
  /** Bytes of probes and their answers, both ways. */
  getBytes(): number;
  close(): Promise<void>;
}

const SLOTS = 4;

function answer(res: Http.ServerResponse, value: unknown): void {
  const body = JSON.stringify(value);
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  res.end(body);
}

/** Starts `count` targets of the service, spread over the domains in turn. */
export async function startProbeSink(opts: {
  readonly count: number;
  readonly service: Types.Service;
  readonly domains: readonly {
    readonly domain: Types.Domain;
    readonly region: Types.Region;
  }[];
  readonly platform: Types.Address;
}): Promise<ProbeSink> {
  const sockets = new Set<Net.Socket>();
  let closedBytes = 0;
  let probes = 0;

  const getSocketBytes = (one: Net.Socket) => one.bytesRead + one.bytesWritten;

  function createServer(): Http.Server {
    const server = Http.createServer((req, res) => {
      probes++;
      const state = "live";
      const isLoad = req.url === "/load";
      answer(res, isLoad ? { inUse: 0, slots: SLOTS, state } : { state });
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => {
        sockets.delete(socket);
        closedBytes += getSocketBytes(socket);
      });
    });
    return server;
  }

  const started = await Promise.all(
    Array.from({ length: opts.count }, async (_, i) => {
      const server = createServer();
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as Net.AddressInfo;
      const at = opts.domains[i % opts.domains.length];
      if (at === undefined) throw new Error("probed targets need domains");
      const instance: Types.PlatformInstance = {
        id: `target-${i + 1}`,
        service: opts.service,
        domain: at.domain,
        region: at.region,
        address: `127.0.0.1:${port}`,
        slots: SLOTS,
        state: "live",
      };
      const registration = Registration.startRegistration(
        opts.platform,
        () => instance,
      );
      return { server, registration };
    }),
  );

  return {
    count: opts.count,
    getProbes: () => probes,
    getBytes: () =>
      [...sockets].reduce((sum, one) => sum + getSocketBytes(one), closedBytes),
    async close() {
      await Promise.all(started.map(async ({ server, registration }) => {
        await registration.remove();
        server.close();
        server.closeAllConnections();
      }));
    },
  };
}
