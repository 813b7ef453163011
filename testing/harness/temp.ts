/** Temporary files that are removed when the process exits. */
import * as Fs from "node:fs";
import * as Os from "node:os";
import * as Path from "node:path";

let dir: string | undefined;

/** A directory of this process, removed at exit. */
export function getTempDir(): string {
  if (dir !== undefined) return dir;
  const created = Fs.mkdtempSync(Path.join(Os.tmpdir(), "anvilroute-"));
  process.on(
    "exit",
    () => Fs.rmSync(created, { recursive: true, force: true }),
  );
  dir = created;
  return created;
}

let files = 0;

/** Writes a file with a name of its own and returns its path. */
export function writeTempFile(name: string, content: string): string {
  const path = Path.join(getTempDir(), `${++files}-${name}`);
  Fs.writeFileSync(path, content);
  return path;
}

/** Replaces the content of a file that `writeTempFile` made. */
export function replaceFile(path: string, content: string): void {
  Fs.writeFileSync(path, content);
}
