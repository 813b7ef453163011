/**
 * Tasks that come and go, one per connection and per peer address. A
 * supervisor keeps a record of each child until it stops, which would grow
 * without bound here.
 */
import type * as Log from "../log.ts";
import type * as Supervisor from "../supervisor.ts";

/** A set of running tasks. */
export interface TaskGroup {
  /** Starts a task; a rejection is logged and ends this task only. Returns the way to stop it. */
  run(name: string, task: Supervisor.Task): AbortController;
  /** Aborts all tasks and waits for them. */
  stop(): Promise<void>;
}

/** Creates an empty group. */
export function createTaskGroup(log: Log.Logger): TaskGroup {
  const running = new Map<AbortController, Promise<void>>();
  let isStopped = false;

  async function execute(
    name: string,
    task: Supervisor.Task,
    abort: AbortController,
  ): Promise<void> {
    try {
      await task(abort.signal);
    } catch (err) {
      log.error("peer-task-failed", { task: name, err: String(err) });
    }
    running.delete(abort);
  }

  return {
    run(name, task) {
      const abort = new AbortController();
      if (!isStopped) running.set(abort, execute(name, task, abort));
      return abort;
    },
    async stop() {
      isStopped = true;
      for (const abort of running.keys()) abort.abort();
      await Promise.all(running.values());
    },
  };
}

/** Wakes waiting tasks. */
export interface Notifier {
  /** Resolves at the next `notify`, after `timeoutMs`, or when `signal` aborts. */
  wait(timeoutMs: number, signal?: AbortSignal): Promise<void>;
  notify(): void;
}

/** Creates a notifier. */
export function createNotifier(): Notifier {
  const waiting = new Set<() => void>();
  return {
    wait(timeoutMs, signal) {
      return new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          waiting.delete(done);
          signal?.removeEventListener("abort", done);
          resolve();
        };
        const timer = setTimeout(done, timeoutMs);
        waiting.add(done);
        signal?.addEventListener("abort", done, { once: true });
        if (signal?.aborted) done();
      });
    },
    notify() {
      for (const done of [...waiting]) done();
    },
  };
}
