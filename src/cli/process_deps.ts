/** Files, terminal and user of the process that the tool runs in. */
import * as Crypto from "node:crypto";
import * as Fs from "node:fs";
import * as Os from "node:os";
import { Ok } from "ts-results-es";
import * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Context from "./context.ts";
import type * as Output from "./output.ts";

/** Connections that `main.ts` makes with the platform's and the peers' clients. */
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
    const temporary = `${path}.${process.pid}.tmp`;
    try {
      // A rename leaves either the old file or the whole new one.
      Fs.writeFileSync(temporary, text);
      Fs.renameSync(temporary, path);
      return Ok(undefined);
    } catch (err) {
      Fs.rmSync(temporary, { force: true });
      // The name of the temporary file means nothing to the operator.
      const reason = String(err).replaceAll(temporary, path);
      return ResultCodes.fail("toolFile", reason);
    }
  },
};

function createStream(stream: NodeJS.WriteStream): Output.Stream {
  // A reader such as `head` may close the pipe; what was begun is still finished.
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
    // The user id has no entry in the user database, as in some containers.
    return "unknown";
  }
}

/** The dependencies of a real run. */
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
