/** Provides the files, streams, clock and user of the current process. */
import * as Crypto from "node:crypto";
import * as Fs from "node:fs";
import * as Os from "node:os";
import { Ok } from "ts-results-es";
import * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Context from "./context.ts";
import type * as Output from "./output.ts";

/** Functions that connect to the platform and to peers; `main.ts` provides them. */
export type Connections = Pick<
  Context.Deps,
  "connectPlatform" | "connectPeer"
>;

const files: Context.Files = {
  exists: (path) => Fs.existsSync(path),
  read(path) {
    try {
      return Ok(Fs.readFileSync(path, "utf8"));
    } catch (err) {
      return ResultCodes.fail("toolFile", String(err));
    }
  },
  write(path, text) {
    const temporaryPath = `${path}.${process.pid}.tmp`;
    try {
      // Renaming is atomic: after a crash the path has either the old or the complete new content.
      Fs.writeFileSync(temporaryPath, text);
      Fs.renameSync(temporaryPath, path);
      return Ok(undefined);
    } catch (err) {
      Fs.rmSync(temporaryPath, { force: true });
      // The operator does not know the temporary file, so the message names the requested path.
      const reason = String(err).replaceAll(temporaryPath, path);
      return ResultCodes.fail("toolFile", reason);
    }
  },
};

function createStream(stream: NodeJS.WriteStream): Output.Stream {
  // A reader such as `head` may close the pipe; the command still runs to its end.
  stream.on("error", () => {});
  return {
    write: (text) => void stream.write(text),
    isTerminal: stream.isTTY === true,
  };
}

function getUser(): string {
  try {
    return Os.userInfo().username;
  } catch {
    // In some containers the user id has no entry in the user database.
    return "unknown";
  }
}

/** Creates the dependencies of a run in the current process. */
export function createProcessDeps(connections: Connections): Context.Deps {
  return {
    ...connections,
    clock: Clock.systemClock,
    sleep: Clock.sleep,
    files,
    stdout: createStream(process.stdout),
    stderr: createStream(process.stderr),
    operator: getUser(),
    randomBytes: (count) => Crypto.randomBytes(count),
    defaultConfig: process.env["ANVILROUTECTL_CONFIG"],
  };
}
