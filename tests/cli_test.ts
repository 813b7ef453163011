import * as Fs from "node:fs";
import { beforeEach, describe, expect, it } from "vitest";
import * as Baseline from "./support/baseline.ts";
import * as Fake from "../testing/fakes/tool_fleet.ts";
import * as KeyCommands from "../src/cli/key_commands.ts";
import * as LatencyEncoding from "../src/metrics/latency_encoding.ts";
import * as Metrics from "../src/metrics/metrics.ts";

const EXAMPLE_CSV = Fs.readFileSync("examples/kaksin/table.csv", "utf8");
const EDITED_CSV = EXAMPLE_CSV
  .replace(
    "booking,pirkanmaa,pirkanmaa-1 pirkanmaa-2,90,900",
    "booking,pirkanmaa,pirkanmaa-1 pirkanmaa-2,40,950",
  )
  .replace(",160,150,300,", ",160,150,250,");
let fixture: Fake.ToolFixture;
beforeEach(() => {
  fixture = Fake.createToolFixture(EXAMPLE_CSV, EDITED_CSV);
});

/** Pulls the table to p.csv, then replaces the file by the edited table. */
async function pullAndEdit() {
  expect((await fixture.run("table pull p.csv")).exit).toBe(0);
  fixture.files.set("p.csv", EDITED_CSV);
}

describe("the table command", () => {
  it("prints what an edited table would change before it is applied", async () => {
    const { exit, out } = await fixture.run("table plan t.csv");
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_plan.txt", out);
  });

  it("applies nothing from a table with errors; otherwise valid rows would take effect without the invalid ones", async () => {
    fixture.files.set("t.csv", EDITED_CSV.replace(",40,950,", ",400,950,"));
    const checked = await fixture.run("table check t.csv");
    expect(checked.exit).toBe(3);
    Baseline.expectBaseline("cli_check.txt", checked.out);
    expect((await fixture.run("table apply --revision 1 t.csv")).exit).toBe(3);
    expect(fixture.store.entries.get("table")?.version).toBe(1);
  });

  it("pushes an applied table to each instance and prints when it is in force there", async () => {
    await pullAndEdit();
    fixture.instances[1]!.staleStatusCalls = 7;
    const { exit, out } = await fixture.run("table apply p.csv");
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_apply.txt", out);
    expect(JSON.parse(fixture.store.entries.get("table")!.value))
      .toMatchObject({ by: "matti", csv: EDITED_CSV });
    const secondApply = await fixture.run("table apply p.csv");
    expect(secondApply.out).toContain("already stored as revision 2");
  });

  it("prints both changes on a conflict and applies nothing; otherwise the first operator's edit would be lost", async () => {
    await pullAndEdit();
    const concurrentCsv = EXAMPLE_CSV.replace(",100,1200,", ",70,1200,");
    fixture.store.put("table", {
      writeId: "w2",
      by: "leena",
      csv: concurrentCsv,
    });
    const { exit, out } = await fixture.run("table apply p.csv");
    expect(exit).toBe(4);
    Baseline.expectBaseline("cli_conflict.txt", out);
    expect(fixture.store.entries.get("table")?.version).toBe(2);
  });

  it("detects a write by another operator between its read and its write; otherwise that edit would be lost", async () => {
    await pullAndEdit();
    fixture.store.faults.push("other-write-first");
    const { exit, out } = await fixture.run("table apply p.csv");
    expect(exit).toBe(4);
    expect(out).toContain("the store is at revision 2 by leena");
  });

  it("succeeds when the response of a write is lost, whether the write was stored or not", async () => {
    for (const fault of ["lost-after-write", "lost-before-write"] as const) {
      fixture = Fake.createToolFixture(EXAMPLE_CSV, EDITED_CSV);
      await pullAndEdit();
      fixture.store.faults.push(fault);
      const { exit, out } = await fixture.run("table apply p.csv");
      expect(exit).toBe(0);
      expect(out).toContain("stored as revision 2");
      expect(fixture.store.entries.get("table")?.version).toBe(2);
    }
  });

  it("reports an unknown outcome when a later write replaces one whose response was lost; it must not claim that nothing was applied", async () => {
    await pullAndEdit();
    fixture.store.faults.push("lost-then-other-write");
    const { exit, out, err } = await fixture.run("table apply p.csv");
    expect(exit).toBe(5);
    expect(err).toContain("E306");
    expect(out).not.toContain("nothing was applied");
  });

  it("names an instance that did not confirm and exits with the code for partial success", async () => {
    await pullAndEdit();
    fixture.instances[2]!.isDown = true;
    const { exit, out } = await fixture.run("table apply --wait-s 1 p.csv");
    expect(exit).toBe(6);
    expect(out).toContain("a1: in force after 0.0 s");
    expect(out).toContain("c1: NOT CONFIRMED: E201");
  });

  it("rejects a pull over an edited file unless it is forced; otherwise the edit would be lost", async () => {
    await pullAndEdit();
    expect((await fixture.run("table pull p.csv")).exit).toBe(2);
    expect(fixture.files.get("p.csv")).toBe(EDITED_CSV);
    expect((await fixture.run("table pull --force p.csv")).exit).toBe(0);
  });

  it("requires a base revision when there is no base file; a guess could overwrite another operator's edit", async () => {
    const { exit, err } = await fixture.run("table apply t.csv");
    expect(exit).toBe(2);
    expect(err).toContain("--revision 0 for a first table");
  });
});

describe("the key command", () => {
  it("prints a new key once and stores only its digest; otherwise anyone who reads the store could use the key", async () => {
    const { exit, out } = await fixture.run("key issue --account lakeland");
    expect(exit).toBe(0);
    const key = /^ar_a5a5a5a5_[A-Za-z0-9_-]{43}$/m.exec(out)?.[0] ?? "";
    const stored = fixture.store.entries.get("keys")!.value;
    expect(stored).toContain(KeyCommands.computeDigest(key));
    expect(stored).not.toContain(key.slice(12));
    const listed = await fixture.run("key list");
    expect(listed.out).toContain("lakeland  a5a5a5a5  digest");
    expect(listed.out + listed.err).not.toContain(key.slice(12));
  });

  it("keeps a withdrawal that another operator writes concurrently; otherwise a withdrawn key would be accepted again", async () => {
    fixture.store.put("keys", {
      writeId: "k",
      accounts: {},
      withdrawn: ["d1"],
    });
    fixture.store.faults.push("other-write-first", "lost-after-write");
    expect((await fixture.run("key issue --account lakeland")).exit).toBe(0);
    const record = JSON.parse(fixture.store.entries.get("keys")!.value);
    expect(record.withdrawn).toEqual(["d1"]);
    expect(record.accounts.lakeland.length).toBe(1);
  });

  it("withdraws a key in the store and at every instance", async () => {
    await fixture.run("key issue --account lakeland");
    const { exit, out } = await fixture.run("key withdraw a5a5a5a5");
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_withdraw.txt", out);
    const record = JSON.parse(fixture.store.entries.get("keys")!.value);
    expect(record.accounts).toEqual({ lakeland: [] });
    for (const { withdrawn } of fixture.instances) {
      expect([...withdrawn]).toEqual(record.withdrawn);
    }
  });

  it("pushes a withdrawal while the store is unreachable and prints the command that stores it later", async () => {
    await fixture.run("key issue --account lakeland");
    const record = JSON.parse(fixture.store.entries.get("keys")!.value);
    fixture.instances[1]!.keysRecord = record;
    fixture.store.setDown(true);
    fixture.instances[0]!.isDown = true;
    const { exit, out } = await fixture.run("key withdraw a5a5a5a5");
    expect(exit).toBe(6);
    const { digest } = record.accounts.lakeland[0];
    expect([...fixture.instances[1]!.withdrawn]).toEqual([digest]);
    expect(out).toContain("a1: NOT CONFIRMED");
    expect(out).toContain(`key withdraw --digest ${digest}`);
    fixture.store.setDown(false);
    fixture.instances[0]!.isDown = false;
    const secondRun = await fixture.run(`key withdraw --digest ${digest}`);
    expect(secondRun.exit).toBe(0);
  });

  it("pushes a withdrawal while the store does not respond; otherwise a leaked key would stay valid for that time", async () => {
    await fixture.run("key issue --account lakeland");
    const record = JSON.parse(fixture.store.entries.get("keys")!.value);
    fixture.instances.forEach((instance) => (instance.keysRecord = record));
    let releaseReads = () => {};
    fixture.store.blockReads(
      new Promise((resolve) => (releaseReads = resolve)),
    );
    const withdrawal = fixture.run("key withdraw a5a5a5a5");
    const { digest } = record.accounts.lakeland[0];
    await expect.poll(() =>
      fixture.instances.map((instance) => [...instance.withdrawn])
    )
      .toEqual([[digest], [digest], [digest]]);
    releaseReads();
    expect((await withdrawal).exit).toBe(0);
  });

  it("exits with 5 when neither the store nor an instance is reachable", async () => {
    fixture.store.setDown(true);
    fixture.instances.forEach((instance) => (instance.isDown = true));
    const line = `key withdraw --digest ${"0".repeat(64)}`;
    expect((await fixture.run(line)).exit).toBe(5);
  });
});

describe("the tool", () => {
  it("prints the status of the instances and names those that do not respond", async () => {
    fixture.instances[2]!.isDown = true;
    fixture.instances[1]!.tableRevision = 3;
    const { exit, out } = await fixture.run("status");
    expect(exit).toBe(6);
    Baseline.expectBaseline("cli_status.txt", out);
  });

  it("prints one JSON document with --json, also for failures, because scripts parse it", async () => {
    const lines = [
      "--json status",
      "--json table check t.csv",
      "--json table plan t.csv",
      "--json table apply --revision 1 t.csv",
      "--json key list",
      "--json explain --service booking --account lakeland --from uusimaa",
      "--json table pull /t.csv",
      "--json key withdraw nothing",
    ];
    for (const line of lines) {
      const { out } = await fixture.run(line);
      expect(() => JSON.parse(out), line).not.toThrow();
    }
  });

  it("prints the explanation of the first instance that responds", async () => {
    fixture.instances[0]!.isDown = true;
    const { exit, out } = await fixture.run(
      "explain --service booking --account lakeland --from uusimaa",
    );
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_explain.txt", out);
  });

  it("prefers the explanation of an instance in the caller's region and prints a notice when it comes from another region", async () => {
    const command = "explain --service booking --account lakeland --from";
    const local = await fixture.run(`${command} pirkanmaa`);
    expect(local.out).toContain("as seen by instance c1 in pirkanmaa:");
    expect(local.err).toBe("");
    fixture.instances[2]!.isDown = true;
    const remote = await fixture.run(`${command} pirkanmaa`);
    expect(remote.out).toContain("as seen by instance a1 in uusimaa:");
    expect(remote.err).toContain(
      "answers for callers of uusimaa, not of pirkanmaa",
    );
  });

  it("reports the burn of the instances that respond and names the others", async () => {
    const clock = { nowMs: () => 0, wallMs: () => 1_800_000_000_000 };
    const metrics = Metrics.createMetrics({
      clock,
      instance: "a1",
      encodeLatency: LatencyEncoding.encodeHistogram,
    });
    fixture.instances[0]!.burn = metrics.getBurnSnapshot();
    const { exit, out } = await fixture.run("report burn --html b.html");
    expect(exit).toBe(6);
    expect(out).toContain("instance b1 is MISSING from this report");
    expect(fixture.files.get("b.html")).toContain("<h1>Burn report</h1>");
  });
});

describe("a run of the tool", () => {
  it("exits with the code of each kind of failure", async () => {
    fixture.files.set("bad.toml", "[platform]\nadress = 1\n");
    fixture.files.set("daemon.toml", "[instance]\n");
    const cases: readonly (readonly [string, number])[] = [
      ["table nonsense", 2],
      ["--timeout-ms x status", 2],
      ["--peer nowhere status", 2],
      ["--config bad.toml status", 2],
      ["settings check daemon.toml", 2],
      ["settings check missing.toml", 2],
      ["key issue --account public", 2],
      ["--peer 10.0.0.1:99 status", 5],
      ["--help", 0],
      ["--version", 0],
      ["completion bash", 0],
    ];
    for (const [line, exit] of cases) {
      expect((await fixture.run(line)).exit, line).toBe(exit);
    }
    fixture.store.setDown(true);
    expect((await fixture.run("table pull x.csv")).exit).toBe(5);
  });

  it("reports a wrong secret when every instance rejects it; a network error would mislead the operator", async () => {
    for (const instance of fixture.instances) instance.hasOtherSecret = true;
    const { exit, err } = await fixture.run("status");
    expect(exit).toBe(5);
    expect(err).toContain("E204 peer-auth");
    expect(err).toContain("Compare the secrets in the settings");
    const unreachable = await fixture.run("--peer 10.0.0.1:99 status");
    expect(unreachable.err.match(/E201/g)).toHaveLength(1);
  });

  it("prints examples in the help of each command", async () => {
    for (
      const name of ["table", "table apply", "key withdraw", "report burn"]
    ) {
      expect((await fixture.run(`${name} --help`)).out).toContain("Examples:");
    }
  });

  it("generates completions for the existing commands and options", async () => {
    const { out } = await fixture.run("completion bash");
    expect(out).toContain('"key withdraw") words="--digest --key-file"');
    expect(out).toContain('"table") words="pull check plan apply"');
  });

  it("never prints the secret, also when settings are invalid", async () => {
    fixture.files.set("tool.toml", Fake.TOOL_SETTINGS + "[other]\nx = 1\n");
    fixture.files.set("short", "too-short\n");
    for (const line of ["status", "--secret-file short status"]) {
      const { out, err } = await fixture.run(line);
      expect(out + err).not.toMatch(/0123456789abcdef|too-short/);
    }
  });
});
