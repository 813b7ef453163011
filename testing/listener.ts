/** A TCP listener that can be closed, so that connections are refused, and opened again at its address. */
import type * as Net from "node:net";
import * as Clock from "../src/clock.ts";
import type * as Types from "../src/types.ts";
import * as HttpJson from "./http_json.ts";
import * as Loopback from "./loopback.ts";

const ANY_PORT = "127.0.0.1:0";
/** The port may be in use for a moment by an outgoing connection. */
const REOPEN_ATTEMPTS = 100;
const REOPEN_INTERVAL_MS = 50;

/** A listener and the connections that it accepted. */
export interface Listener {
  readonly address: Types.Address;
  /** Listens or refuses connections; open ones stay. Rejects when the port stays in use. */
  setOpen(isOpen: boolean): Promise<void>;
  /** Resets all open connections. */
  resetConnections(): void;
}

/** Starts listening; a port of the system's choice is one of an address of this process. */
export async function createListener(
  server: Net.Server,
  listen: Types.Address,
): Promise<Listener> {
  const sockets = new Set<Net.Socket>();
  server.on("connection", (socket: Net.Socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  const address = await HttpJson.listen(
    server,
    listen === ANY_PORT ? `${Loopback.getOwnIp(1)}:0` : listen,
  );
  let isWantedOpen = true;
  /** Changes run one after another: a server can't be opened twice at a time. */
  let lastChange = Promise.resolve();

  async function applyWanted(): Promise<void> {
    if (!isWantedOpen && server.listening) server.close();
    for (let attempt = 1; isWantedOpen && !server.listening; attempt++) {
      try {
        await HttpJson.listen(server, address);
      } catch (err) {
        if (attempt === REOPEN_ATTEMPTS) throw err;
        await Clock.sleep(REOPEN_INTERVAL_MS);
      }
    }
  }

  return {
    address,
    setOpen(isOpen) {
      isWantedOpen = isOpen;
      lastChange = lastChange.catch(() => {}).then(applyWanted);
      return lastChange;
    },
    resetConnections() {
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}
