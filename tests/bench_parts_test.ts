import { describe, expect, it } from "vitest";
import * as PartsTable from "../testing/bench/parts_table.ts";
import * as Profile from "../testing/bench/profile.ts";

function createNode(
  id: number,
  functionName: string,
  url: string,
  children: readonly number[] = [],
) {
  return { id, callFrame: { functionName, url }, children };
}

describe("processor time by part", () => {
  const profile: Profile.Profile = {
    nodes: [
      createNode(1, "(root)", "", [2, 3, 4, 7, 8, 9]),
      createNode(2, "(idle)", ""),
      createNode(3, "(garbage collector)", ""),
      createNode(4, "processTimers", "node:internal/timers", [5]),
      createNode(5, "check", "file:///a/dist/src/gateway/feed.js", [6]),
      createNode(6, "write", "node:net"),
      createNode(7, "onread", "node:net"),
      createNode(8, "choose", "file:///a/dist/src/gateway/choice.js"),
      createNode(9, "parse", "file:///a/dist/src/connection_gate.js", [10]),
      createNode(10, "execute", "", [11]),
      createNode(11, "emit", "node:events"),
    ],
    samples: [2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
    timeDeltas: [1_000, 1, 2, 4, 8, 16, 32, 64, 128, 256],
  };

  it("counts a function of the runtime to the module that called it, and no idle time", () => {
    const times = Profile.getPartTimes(profile);
    const used = [...times].filter(([, us]) => us > 0);
    expect(Object.fromEntries(used)).toEqual({
      "garbage collector": 1,
      "timers": 2,
      "store reader": 12,
      "runtime": 16,
      "choice of targets": 32,
      "client connections": 64,
      "HTTP server": 384,
    });
    expect([...times.keys()]).toEqual(Profile.partNames);
  });
});

describe("the table and the plot of two commits", () => {
  const before: PartsTable.Figures = {
    commit: "aaaa",
    parts: [{ name: "admission", requestUs: 10, idleUsPerS: 1 }],
  };
  const after: PartsTable.Figures = {
    commit: "bbbb",
    parts: [
      { name: "admission", requestUs: 20, idleUsPerS: 2 },
      { name: "peers", requestUs: 5, idleUsPerS: 30 },
    ],
  };

  it("have both, with sums, and 0 for a part that one does not have", () => {
    const lines = PartsTable.formatTable(after, before).split("\n");
    expect(lines).toContain("| admission | 10.0 | 20.0 | 1.0 | 2.0 |");
    expect(lines).toContain("| peers | 0.0 | 5.0 | 0.0 | 30.0 |");
    expect(lines).toContain("| all | 10.0 | 25.0 | 1.0 | 32.0 |");
    const plot = PartsTable.formatPlot(after, before);
    expect(plot.match(/<rect /g)).toHaveLength(4);
    expect(plot).toContain(`width="420.0"`);
  });

  it("are refused for a file of something else", () => {
    expect(() => PartsTable.parseFigures("{}")).toThrow("no figures");
    expect(PartsTable.parseFigures(JSON.stringify(after))).toEqual(after);
  });

  it("take their options from the command line", () => {
    const args = ["node", "main.js", "parts", "--against", "x.json"];
    expect(PartsTable.tryGetOption(args, "against")).toBe("x.json");
    expect(PartsTable.tryGetOption(args, "program")).toBeUndefined();
  });
});
