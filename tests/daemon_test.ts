import { describe, expect, it } from "vitest";
import * as Program from "../testing/fleet/program.ts";

const MAIN = "src/daemon/main.js";

describe("anvilrouted", () => {
  it("exits with the code of invalid settings when the command line is invalid, so that no supervisor restarts it", async () => {
    for (const args of [[], ["--config"], ["--confg", "x.toml"]]) {
      const result = await Program.runProgram(MAIN, args);
      expect([result.code, result.stdout], args.join(" ")).toEqual([2, ""]);
      expect(result.stderr).toContain("error: ");
    }
  });

  it("prints its help and exits with code 0", async () => {
    const result = await Program.runProgram(MAIN, ["--help"]);
    expect(result.code).toBe(0);
    expect(result.stdout).toContain("--config");
  });
});
