import { describe, expect, it } from "vitest";
import * as Program from "../testing/fleet/program.ts";

const MAIN = "src/daemon/main.js";

describe("command line of anvilrouted", () => {
  it("ends a wrong one with the code of a wrong setting: a supervisor must not restart it", async () => {
    for (const args of [[], ["--config"], ["--confg", "x.toml"]]) {
      const ended = await Program.runProgram(MAIN, args);
      expect([ended.code, ended.stdout], args.join(" ")).toEqual([2, ""]);
      expect(ended.stderr).toContain("error: ");
    }
  });

  it("shows its help with code 0", async () => {
    const ended = await Program.runProgram(MAIN, ["--help"]);
    expect(ended.code).toBe(0);
    expect(ended.stdout).toContain("--config");
  });
});
