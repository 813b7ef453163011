/**
 * Supervisor tree of long-running tasks. A supervisor restarts a failed task with
 * backoff, and stops its children in reverse order of their start.
 */
import * as Clock from "./clock.ts";
import * as Log from "./log.ts";

const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 5_000;
/** A task that ran longer than this has recovered; its backoff is reset. */
const STABLE_MS = 10_000;

/** Runs until `signal` aborts; a rejection is a failure and causes a restart. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** Delay between two calls in ms; a function is called before each delay. */
export type Interval = number | (() => number);

/** A supervisor with its tasks and child supervisors. */
export interface Supervisor {
  readonly name: string;
  /** Starts a task; it is restarted with backoff when it rejects. */
  run(name: string, task: Task): void;
  /** Calls `fn` at once, then repeatedly with a delay of `interval`, never concurrently; errors are logged. */
  every(name: string, interval: Interval, fn: () => Promise<void> | void): void;
  /** Creates a child supervisor, which stops together with this one. */
  createChild(name: string): Supervisor;
  /** Stops child supervisors, then tasks, each last started first, and waits for them. */
  stop(): Promise<void>;
}

interface RunningTask {
  readonly abortController: AbortController;
  readonly done: Promise<void>;
}

/** Creates the root of a supervisor tree; `name` is the prefix of the task names in the log. */
export function createSupervisor(name: string, log: Log.Logger): Supervisor {
  const tasks: RunningTask[] = [];
  const children: Supervisor[] = [];
  let isStopped = false;

  async function runWithRestarts(
    taskName: string,
    task: Task,
    signal: AbortSignal,
  ): Promise<void> {
    let backoffMs = BACKOFF_MIN_MS;
    while (!signal.aborted) {
      const startedAtMs = Clock.systemClock.nowMs();
      try {
        await task(signal);
        return;
      } catch (err) {
        if (signal.aborted) return;
        log.error("child-failed", {
          child: `${name}/${taskName}`,
          err: String(err),
          restartInMs: backoffMs,
        });
      }
      const runTimeMs = Clock.systemClock.nowMs() - startedAtMs;
      if (runTimeMs > STABLE_MS) backoffMs = BACKOFF_MIN_MS;
      await Clock.sleep(backoffMs * (0.5 + Math.random()), signal);
      backoffMs = Math.min(backoffMs * 2, BACKOFF_MAX_MS);
    }
  }

  function run(taskName: string, task: Task): void {
    if (isStopped) return;
    const abortController = new AbortController();
    const done = runWithRestarts(taskName, task, abortController.signal);
    tasks.push({ abortController, done });
  }

  function every(
    taskName: string,
    interval: Interval,
    fn: () => Promise<void> | void,
  ): void {
    run(taskName, async (signal) => {
      const sleep = Clock.createSleeper(signal);
      while (!signal.aborted) {
        try {
          await fn();
        } catch (err) {
          log.error("periodic-task-failed", {
            child: `${name}/${taskName}`,
            err: String(err),
          });
        }
        await sleep(typeof interval === "number" ? interval : interval());
      }
    });
  }

  async function stop(): Promise<void> {
    isStopped = true;
    for (const child of children.toReversed()) await child.stop();
    for (const task of tasks.toReversed()) {
      task.abortController.abort();
      await task.done;
    }
  }

  return {
    name,
    run,
    every,
    createChild(childName) {
      const child = createSupervisor(`${name}/${childName}`, log);
      children.push(child);
      return child;
    },
    stop,
  };
}
