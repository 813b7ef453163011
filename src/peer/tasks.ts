/**
 * Groups of short-lived tasks, one per connection and per peer address. They
 * don't run under a supervisor, as it keeps a record of each child until the
 * supervisor stops, and these records would grow without bound.
 */
import type * as Log from "../log.ts";
import type * as Supervisor from "../supervisor.ts";

/** A set of running tasks. */
export interface TaskGroup {
  /**
   * Starts a task. A rejection is logged and ends this task only. Returns the
   * controller that aborts it.
   */
  run(name: string, task: Supervisor.Task): AbortController;
  /** Aborts all tasks and waits until they end; later tasks are not started. */
  stop(): Promise<void>;
}

/** Creates an empty group. */
export function createTaskGroup(log: Log.Logger): TaskGroup {
  const tasks = new Map<AbortController, Promise<void>>();
  let isStopped = false;

  async function execute(
    name: string,
    task: Supervisor.Task,
    controller: AbortController,
  ): Promise<void> {
    try {
      await task(controller.signal);
    } catch (err) {
      log.error("peer-task-failed", { task: name, err: String(err) });
    }
    tasks.delete(controller);
  }

  return {
    run(name, task) {
      const controller = new AbortController();
      if (!isStopped) tasks.set(controller, execute(name, task, controller));
      return controller;
    },
    async stop() {
      isStopped = true;
      for (const controller of tasks.keys()) controller.abort();
      await Promise.all(tasks.values());
    },
  };
}

/** Wakes tasks that wait for a change. */
export interface Notifier {
  /** Resolves at the next `notify`, after `timeoutMs`, or when `signal` aborts. */
  wait(timeoutMs: number, signal?: AbortSignal): Promise<void>;
  /** Wakes all waiting tasks. */
  notify(): void;
}

/** Creates a notifier without waiting tasks. */
export function createNotifier(): Notifier {
  const waiters = new Set<() => void>();
  return {
    wait(timeoutMs, signal) {
      return new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          signal?.removeEventListener("abort", wake);
          resolve();
        };
        const timer = setTimeout(wake, timeoutMs);
        waiters.add(wake);
        signal?.addEventListener("abort", wake, { once: true });
        if (signal?.aborted) wake();
      });
    },
    notify() {
      for (const wake of [...waiters]) wake();
    },
  };
}
