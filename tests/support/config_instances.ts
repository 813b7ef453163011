/** Instances with distribution of table and keys, stopped after each test. */
import * as Fakes from "../../testing/fakes/config_net.ts";
import * as Cleanups from "./cleanups.ts";

/** Registers the stop with vitest; gives a function that starts an instance. */
export function createStart(): typeof Fakes.startInstance {
  const addCleanup = Cleanups.createCleanups();
  return async (...args) => {
    const started = await Fakes.startInstance(...args);
    addCleanup(started.stop);
    return started;
  };
}
