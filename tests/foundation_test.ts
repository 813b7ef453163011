import { describe, expect, it } from "vitest";
import * as Log from "../src/log.ts";
import * as ResultCodes from "../src/result_codes.ts";
import * as Settings from "../src/settings/settings.ts";
import * as Supervisor from "../src/supervisor.ts";

const GOOD = `
[instance]
id = "a1"
domain = "uusimaa-1"
region = "uusimaa"
[listen]
caller = "127.0.0.1:0"
probe = "127.0.0.1:0"
peer = "127.0.0.1:0"
[platform]
address = "127.0.0.1:9000"
[peers]
seeds = ["127.0.0.1:9100"]
secret = "0123456789abcdef"
`;

describe("settings", () => {
  it("accepts a complete file and fills in defaults", () => {
    const cfg = Settings.parseSettings(GOOD).unwrap();
    expect(cfg.keys).toEqual({
      stalenessLimitMs: 4000,
      whenIsolated: "refuse",
    });
    expect(cfg.advertise.caller).toBe("127.0.0.1:0");
  });

  it("names every wrong setting at once, and hides the secret", () => {
    const bad = GOOD.replace("127.0.0.1:9000", "localhost:9000")
      .replace("0123456789abcdef", "short-secret")
      .replace(
        "[platform]",
        "[lease]\nttl_ms = 5000\nrenew_ms = 4000\n[platform]\nport = 1",
      );
    const err = Settings.parseSettings(bad).unwrapErr();
    expect(err.code.number).toBe(502);
    expect(err.detail).toContain('platform.address = "localhost:9000"');
    expect(err.detail).toContain("lease.renew_ms = 4000");
    expect(err.detail).toContain("platform.port is not a known setting");
    expect(err.detail).toContain("peers.secret");
    expect(err.detail).not.toContain("short-secret");
  });

  it("reports TOML that cannot be parsed", () => {
    const err = Settings.parseSettings("[instance\n").unwrapErr();
    expect(err.code.number).toBe(501);
  });
});

describe("log", () => {
  it("writes one line of pairs even for values with line breaks", () => {
    const lines: string[] = [];
    const log = Log.createLogger(
      "info",
      { instance: "a1" },
      (l) => void lines.push(l),
    );
    log.info("started", { note: 'two "words"\nand a line', n: 3 });
    log.debug("hidden");
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /^time=\S+ level=info event=started instance=a1 note="two \\"words\\"\\nand a line" n=3\n$/,
    );
  });
});

describe("result codes", () => {
  it("uses no number and no name twice", () => {
    const all = Object.values(ResultCodes.codes);
    expect(new Set(all.map((c) => c.number)).size).toBe(all.length);
    expect(new Set(all.map((c) => c.name)).size).toBe(all.length);
  });
});

describe("supervisor", () => {
  it("restarts a failing child and stops it for good", async () => {
    const log = Log.createLogger("error", {}, () => {});
    const root = Supervisor.createSupervisor("root", log);
    let starts = 0;
    await new Promise<void>((resolve) => {
      root.run("flaky", async (signal) => {
        starts++;
        if (starts < 3) throw new Error("fails twice");
        resolve();
        await new Promise((done) => signal.addEventListener("abort", done));
      });
    });
    await root.stop();
    expect(starts).toBe(3);
  });
});
