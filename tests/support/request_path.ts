/** Starts targets and an instance's request path for the tests of a file. */
import { afterEach, beforeEach } from "vitest";
import * as Fakes from "../../testing/fakes/request_path.ts";
import * as Requests from "../../testing/fakes/requests.ts";
import type * as StandIn from "../../testing/target/stand_in.ts";

/** Two targets and an instance that is configured with them, started for each test. */
export interface RequestPath {
  first: StandIn.StandIn;
  second: StandIn.StandIn;
  instance: Fakes.TestInstance;
}

/** Registers hooks that start and stop the parts with each test; the fields are set while a test runs. */
export function createRequestPath(): RequestPath {
  const path = {} as RequestPath;
  beforeEach(async () => {
    path.first = await Requests.startTarget("t1");
    path.second = await Requests.startTarget("t2");
    path.instance = await Fakes.startTestInstance("a1", [
      path.first.listen,
      path.second.listen,
    ]);
  });
  afterEach(async () => {
    await path.instance.close();
    await Promise.all([path.first.close(), path.second.close()]);
  });
  return path;
}
