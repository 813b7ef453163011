/** Starts the platform stand-in and a client of it for the tests of a file. */
import { afterAll, beforeAll } from "vitest";
import * as Client from "../../src/platform/client.ts";
import type * as ResultCodes from "../../src/result_codes.ts";
import * as Platform from "../../testing/harness/platform.ts";
import * as Process from "../../testing/harness/process.ts";

/** Timeout of each call of the client. */
export const TIMEOUT_MS = 600;

/** The stand-in and its client, which are set while a test runs. */
export interface PlatformRig {
  platform: Platform.PlatformProcess;
  client: Client.ClosablePlatformClient;
  /** Returns a key that no other test uses. */
  newKey(): string;
}

/** Registers hooks that start the stand-in and its client before all tests and stop them after all tests. */
export function createPlatformRig(): PlatformRig {
  let keyCount = 0;
  const rig = { newKey: () => `test/${++keyCount}` } as PlatformRig;
  beforeAll(async () => {
    rig.platform = await Platform.startPlatform();
    const { address } = rig.platform;
    rig.client = Client.createPlatformClient({
      address,
      timeoutMs: TIMEOUT_MS,
    });
  });
  afterAll(async () => {
    await rig.client.close();
    await Process.killAll();
  });
  return rig;
}

/** Returns the name of a failed result's code, or "ok". */
export function getCode(
  res: { isErr(): boolean; unwrapErr(): ResultCodes.Failure },
): string {
  return res.isErr() ? res.unwrapErr().code.name : "ok";
}
