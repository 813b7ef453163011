/** A target that sends a second answer, which belongs to no request, after each one. */
import * as Http from "node:http";
import type * as Types from "../../src/types.ts";

/** Starts the target and registers it for `booking` in `north-1`. */
export async function startCrossingTarget(
  platform: Types.Address,
): Promise<{ stop(): Promise<void> }> {
  // Answers twice; the second one arrives when the connection is idle or used again.
  const crossing = Http.createServer((req, res) => {
    if (req.url === "/healthz" || req.url === "/load") {
      return res.end('{"state":"live","inUse":0,"slots":8}');
    }
    const { socket } = req;
    res.end(
      `own ${req.url}`,
      () =>
        setTimeout(() =>
          socket.write(
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ncrossed",
          ), 2),
    );
  });
  await new Promise<void>((resolve) =>
    crossing.listen(0, "127.0.0.1", resolve)
  );
  const { port } = crossing.address() as { port: number };
  const register = async (ttlMs: number) => {
    const url = `http://${platform}/v1/instances/crossing`;
    const body = JSON.stringify({
      ...{ id: "crossing", service: "booking", domain: "north-1" },
      ...{ region: "north", address: `127.0.0.1:${port}`, slots: 8 },
      ...{ state: "live", ttlMs },
    });
    const headers = { "content-type": "application/json" };
    await fetch(url, { method: "PUT", body, headers });
  };
  await register(30_000);
  return {
    async stop() {
      crossing.closeAllConnections();
      crossing.close();
      await register(1);
    },
  };
}
