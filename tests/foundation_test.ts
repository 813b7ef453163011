import { describe, expect, it } from "vitest";
import * as Log from "../src/log.ts";
import * as ResultCodes from "../src/result_codes.ts";
import * as Settings from "../src/settings/settings.ts";
import * as Supervisor from "../src/supervisor.ts";

const VALID_SETTINGS = `
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
  it("accept a complete file and set defaults for absent keys", () => {
    const cfg = Settings.parseSettings(VALID_SETTINGS).unwrap();
    expect(cfg.keys).toEqual({
      stalenessLimitMs: 4000,
      whenIsolated: "refuse",
    });
    expect(cfg.advertise.caller).toBe("127.0.0.1:0");
  });

  it("report all invalid settings in one error, without the secret", () => {
    const invalidSettings = VALID_SETTINGS.replace(
      "127.0.0.1:9000",
      "localhost:9000",
    )
      .replace("0123456789abcdef", "short-secret")
      .replace(
        "[platform]",
        "[lease]\nttl_ms = 5000\nrenew_ms = 4000\n[platform]\nport = 1",
      );
    const err = Settings.parseSettings(invalidSettings).unwrapErr();
    expect(err.code.number).toBe(502);
    expect(err.detail).toContain('platform.address = "localhost:9000"');
    expect(err.detail).toContain("lease.renew_ms = 4000");
    expect(err.detail).toContain("platform.port is not a known setting");
    expect(err.detail).toContain("peers.secret");
    expect(err.detail).not.toContain("short-secret");
  });

  it("report TOML that cannot be parsed", () => {
    const err = Settings.parseSettings("[instance\n").unwrapErr();
    expect(err.code.number).toBe(501);
  });
});

describe("log", () => {
  it("writes one line per event even when values contain line breaks", () => {
    const lines: string[] = [];
    const log = Log.createLogger(
      "info",
      { instance: "a1" },
      (line) => void lines.push(line),
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
  it("have unique numbers and names", () => {
    const codes = Object.values(ResultCodes.codes);
    expect(new Set(codes.map((code) => code.number)).size).toBe(codes.length);
    expect(new Set(codes.map((code) => code.name)).size).toBe(codes.length);
  });
});

describe("supervisor", () => {
  it("restarts a failing task and does not restart it after stop", async () => {
    const log = Log.createLogger("error", {}, () => {});
    const root = Supervisor.createSupervisor("root", log);
    let starts = 0;
    await new Promise<void>((resolve) => {
      root.run("flaky", async (signal) => {
        starts++;
        if (starts < 3) throw new Error("fails at its first two starts");
        resolve();
        await new Promise((onAbort) =>
          signal.addEventListener("abort", onAbort)
        );
      });
    });
    await root.stop();
    expect(starts).toBe(3);
  });
});
