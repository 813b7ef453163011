/** Instances that distribute table and keys among themselves, stopped after each test. */
import * as Fakes from "../../testing/fakes/config_net.ts";
import * as Cleanups from "./cleanups.ts";

/** Returns a function that starts an instance, which is stopped after the current test. */
export function createInstanceStarter(): typeof Fakes.startInstance {
  const addCleanup = Cleanups.createCleanups();
  return async (...args) => {
    const started = await Fakes.startInstance(...args);
    addCleanup(started.stop);
    return started;
  };
}
