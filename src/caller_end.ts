/**
 * Tells when a caller ends its connection before it has the response to a request.
 * The response itself is no substitute as a source of this event: it closes an
 * iteration of the event loop after the end of the connection was read, and in a
 * pipeline only the first response closes at all.
 */
import type * as Http from "node:http";
import type * as Net from "node:net";

/** Listeners of the requests without a complete response, by connection. */
const listenersBySocket = new WeakMap<Net.Socket, Set<() => void>>();

function watchSocket(socket: Net.Socket): Set<() => void> {
  const listeners = new Set<() => void>();
  const notifyAll = () => {
    for (const listener of listeners) listener();
  };
  socket.once("end", notifyAll);
  // A reset connection closes without an end.
  socket.once("close", notifyAll);
  listenersBySocket.set(socket, listeners);
  return listeners;
}

/** Calls `listener`, possibly more than once, if the caller ends the connection before the response is complete. */
export function onCallerEnd(
  { socket }: Http.IncomingMessage,
  res: Http.ServerResponse,
  listener: () => void,
): void {
  const listeners = listenersBySocket.get(socket) ?? watchSocket(socket);
  listeners.add(listener);
  res.once("close", () => {
    listeners.delete(listener);
    if (!res.writableFinished) listener();
  });
}
