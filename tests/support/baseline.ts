/** Compares text with a file under tests/baselines/. The environment variable ACCEPT=1 rewrites the file. */
import * as Fs from "node:fs";
import * as Path from "node:path";
import { expect } from "vitest";

const DIR = "tests/baselines";

/** Fails unless the baseline file `name` contains exactly this text. */
export function expectBaseline(name: string, text: string): void {
  const path = Path.join(DIR, name);
  if (process.env["ACCEPT"] === "1") Fs.writeFileSync(path, text);
  const expected = Fs.existsSync(path) ? Fs.readFileSync(path, "utf8") : "";
  expect(text).toBe(expected);
}
