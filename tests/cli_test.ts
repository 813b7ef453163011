import * as Fs from "node:fs";
import { beforeEach, describe, expect, it } from "vitest";
import * as Baseline from "./support/baseline.ts";
import * as Fake from "../testing/fakes/tool_fleet.ts";
import * as KeyCommands from "../src/cli/key_commands.ts";
import * as LatencyEncoding from "../src/metrics/latency_encoding.ts";
import * as Metrics from "../src/metrics/metrics.ts";

const CSV = Fs.readFileSync("examples/kaksin/table.csv", "utf8");
const EDITED = CSV
  .replace(
    "booking,pirkanmaa,pirkanmaa-1 pirkanmaa-2,90,900",
    "booking,pirkanmaa,pirkanmaa-1 pirkanmaa-2,40,950",
  )
  .replace(",160,150,300,", ",160,150,250,");
let world: Fake.ToolFixture;
beforeEach(() => {
  world = Fake.createToolFixture(CSV, EDITED);
});

/** Pulls, then replaces the file by the edited table. */
async function pullAndEdit() {
  expect((await world.run("table pull p.csv")).exit).toBe(0);
  world.files.set("p.csv", EDITED);
}

describe("table", () => {
  it("says what an edit would change before it is applied", async () => {
    const { exit, out } = await world.run("table plan t.csv");
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_plan.txt", out);
  });

  it("applies nothing of a table with errors", async () => {
    world.files.set("t.csv", EDITED.replace(",40,950,", ",400,950,"));
    const checked = await world.run("table check t.csv");
    expect(checked.exit).toBe(3);
    Baseline.expectBaseline("cli_check.txt", checked.out);
    expect((await world.run("table apply --revision 1 t.csv")).exit).toBe(3);
    expect(world.store.entries.get("table")?.version).toBe(1);
  });

  it("follows an applied table to each instance and says when it is in force", async () => {
    await pullAndEdit();
    world.instances[1]!.staleStatusCalls = 7;
    const { exit, out } = await world.run("table apply p.csv");
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_apply.txt", out);
    expect(JSON.parse(world.store.entries.get("table")!.value))
      .toMatchObject({ by: "matti", csv: EDITED });
    const again = await world.run("table apply p.csv");
    expect(again.out).toContain("already stored as revision 2");
  });

  it("shows both changes on a conflict and applies nothing: the first edit would be lost", async () => {
    await pullAndEdit();
    const theirs = CSV.replace(",100,1200,", ",70,1200,");
    world.store.put("table", { writeId: "w2", by: "leena", csv: theirs });
    const { exit, out } = await world.run("table apply p.csv");
    expect(exit).toBe(4);
    Baseline.expectBaseline("cli_conflict.txt", out);
    expect(world.store.entries.get("table")?.version).toBe(2);
  });

  it("notices an edit that comes between its read and its write", async () => {
    await pullAndEdit();
    world.store.faults.push("other-write-first");
    const { exit, out } = await world.run("table apply p.csv");
    expect(exit).toBe(4);
    expect(out).toContain("the store is at revision 2 by leena");
  });

  it("resolves a lost answer, whether the write was stored or not", async () => {
    for (const fault of ["lost-after-write", "lost-before-write"] as const) {
      world = Fake.createToolFixture(CSV, EDITED);
      await pullAndEdit();
      world.store.faults.push(fault);
      const { exit, out } = await world.run("table apply p.csv");
      expect(exit).toBe(0);
      expect(out).toContain("stored as revision 2");
      expect(world.store.entries.get("table")?.version).toBe(2);
    }
  });

  it("does not claim that nothing was applied when a later write hides a lost answer", async () => {
    await pullAndEdit();
    world.store.faults.push("lost-then-other-write");
    const { exit, out, err } = await world.run("table apply p.csv");
    expect(exit).toBe(5);
    expect(err).toContain("E306");
    expect(out).not.toContain("nothing was applied");
  });

  it("reports an instance that did not confirm as partial, by name", async () => {
    await pullAndEdit();
    world.instances[2]!.isDown = true;
    const { exit, out } = await world.run("table apply --wait-s 1 p.csv");
    expect(exit).toBe(6);
    expect(out).toContain("a1: in force after 0.0 s");
    expect(out).toContain("c1: NOT CONFIRMED: E201");
  });

  it("does not overwrite an edit with a pull", async () => {
    await pullAndEdit();
    expect((await world.run("table pull p.csv")).exit).toBe(2);
    expect(world.files.get("p.csv")).toBe(EDITED);
    expect((await world.run("table pull --force p.csv")).exit).toBe(0);
  });

  it("asks for a base revision instead of guessing one", async () => {
    const { exit, err } = await world.run("table apply t.csv");
    expect(exit).toBe(2);
    expect(err).toContain("--revision 0 for a first table");
  });
});

describe("key", () => {
  it("shows a new key once; the record holds its digest only", async () => {
    const { exit, out } = await world.run("key issue --account lakeland");
    expect(exit).toBe(0);
    const key = /^ar_a5a5a5a5_[A-Za-z0-9_-]{43}$/m.exec(out)?.[0] ?? "";
    const stored = world.store.entries.get("keys")!.value;
    expect(stored).toContain(KeyCommands.computeDigest(key));
    expect(stored).not.toContain(key.slice(12));
    const listed = await world.run("key list");
    expect(listed.out).toContain("lakeland  a5a5a5a5  digest");
    expect(listed.out + listed.err).not.toContain(key.slice(12));
  });

  it("keeps a withdrawal that another operator writes at the same time", async () => {
    world.store.put("keys", { writeId: "k", accounts: {}, withdrawn: ["d1"] });
    world.store.faults.push("other-write-first", "lost-after-write");
    expect((await world.run("key issue --account lakeland")).exit).toBe(0);
    const record = JSON.parse(world.store.entries.get("keys")!.value);
    expect(record.withdrawn).toEqual(["d1"]);
    expect(record.accounts.lakeland.length).toBe(1);
  });

  it("withdraws in the store and at every instance", async () => {
    await world.run("key issue --account lakeland");
    const { exit, out } = await world.run("key withdraw a5a5a5a5");
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_withdraw.txt", out);
    const record = JSON.parse(world.store.entries.get("keys")!.value);
    expect(record.accounts).toEqual({ lakeland: [] });
    for (const { withdrawn } of world.instances) {
      expect([...withdrawn]).toEqual(record.withdrawn);
    }
  });

  it("pushes while the store is down, and says that the store is still to be written", async () => {
    await world.run("key issue --account lakeland");
    const record = JSON.parse(world.store.entries.get("keys")!.value);
    world.instances[1]!.keysRecord = record;
    world.store.setDown(true);
    world.instances[0]!.isDown = true;
    const { exit, out } = await world.run("key withdraw a5a5a5a5");
    expect(exit).toBe(6);
    const { digest } = record.accounts.lakeland[0];
    expect([...world.instances[1]!.withdrawn]).toEqual([digest]);
    expect(out).toContain("a1: NOT CONFIRMED");
    expect(out).toContain(`key withdraw --digest ${digest}`);
    world.store.setDown(false);
    world.instances[0]!.isDown = false;
    const later = await world.run(`key withdraw --digest ${digest}`);
    expect(later.exit).toBe(0);
  });

  it("reaches the instances while the store hangs: the key must stop within seconds", async () => {
    await world.run("key issue --account lakeland");
    const record = JSON.parse(world.store.entries.get("keys")!.value);
    world.instances.forEach((one) => (one.keysRecord = record));
    let release = () => {};
    world.store.blockReads(new Promise((resolve) => (release = resolve)));
    const done = world.run("key withdraw a5a5a5a5");
    const { digest } = record.accounts.lakeland[0];
    await expect.poll(() => world.instances.map((one) => [...one.withdrawn]))
      .toEqual([[digest], [digest], [digest]]);
    release();
    expect((await done).exit).toBe(0);
  });

  it("ends with 5 when neither store nor instances can be told", async () => {
    world.store.setDown(true);
    world.instances.forEach((one) => (one.isDown = true));
    const line = `key withdraw --digest ${"0".repeat(64)}`;
    expect((await world.run(line)).exit).toBe(5);
  });
});

describe("views", () => {
  it("shows instances, and names the ones that do not answer", async () => {
    world.instances[2]!.isDown = true;
    world.instances[1]!.tableRevision = 3;
    const { exit, out } = await world.run("status");
    expect(exit).toBe(6);
    Baseline.expectBaseline("cli_status.txt", out);
  });

  it("prints one JSON document with --json, also for failures: scripts parse it", async () => {
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
      const { out } = await world.run(line);
      expect(() => JSON.parse(out), line).not.toThrow();
    }
  });

  it("explains by the first instance that answers", async () => {
    world.instances[0]!.isDown = true;
    const { exit, out } = await world.run(
      "explain --service booking --account lakeland --from uusimaa",
    );
    expect(exit).toBe(0);
    Baseline.expectBaseline("cli_explain.txt", out);
  });

  it("explains by an instance of the caller's region, or says that it does not", async () => {
    const command = "explain --service booking --account lakeland --from";
    const near = await world.run(`${command} pirkanmaa`);
    expect(near.out).toContain("as seen by instance c1 in pirkanmaa:");
    expect(near.err).toBe("");
    world.instances[2]!.isDown = true;
    const far = await world.run(`${command} pirkanmaa`);
    expect(far.out).toContain("as seen by instance a1 in uusimaa:");
    expect(far.err).toContain(
      "answers for callers of uusimaa, not of pirkanmaa",
    );
  });

  it("reports the burn of instances that answer and names the others", async () => {
    const clock = { nowMs: () => 0, wallMs: () => 1_800_000_000_000 };
    const metrics = Metrics.createMetrics({
      clock,
      instance: "a1",
      encodeLatency: LatencyEncoding.encodeHistogram,
    });
    world.instances[0]!.burn = metrics.getBurnSnapshot();
    const { exit, out } = await world.run("report burn --html b.html");
    expect(exit).toBe(6);
    expect(out).toContain("instance b1 is MISSING from this report");
    expect(world.files.get("b.html")).toContain("<h1>Burn report</h1>");
  });
});

describe("command line", () => {
  it("gives each kind of failure its exit code", async () => {
    world.files.set("bad.toml", "[platform]\nadress = 1\n");
    world.files.set("daemon.toml", "[instance]\n");
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
      expect((await world.run(line)).exit, line).toBe(exit);
    }
    world.store.setDown(true);
    expect((await world.run("table pull x.csv")).exit).toBe(5);
  });

  it("names the secrets when every instance refuses them: the network would be a wrong trail", async () => {
    for (const one of world.instances) one.hasDifferentSecret = true;
    const { exit, err } = await world.run("status");
    expect(exit).toBe(5);
    expect(err).toContain("E204 peer-auth");
    expect(err).toContain("Compare the secrets in the settings");
    const absent = await world.run("--peer 10.0.0.1:99 status");
    expect(absent.err.match(/E201/g)).toHaveLength(1);
  });

  it("has examples in the help of each command", async () => {
    for (
      const name of ["table", "table apply", "key withdraw", "report burn"]
    ) {
      expect((await world.run(`${name} --help`)).out).toContain("Examples:");
    }
  });

  it("completes the commands and options that exist", async () => {
    const { out } = await world.run("completion bash");
    expect(out).toContain('"key withdraw") words="--digest --key-file"');
    expect(out).toContain('"table") words="pull check plan apply"');
  });

  it("never prints the secret", async () => {
    world.files.set("tool.toml", Fake.TOOL_SETTINGS + "[other]\nx = 1\n");
    world.files.set("short", "too-short\n");
    for (const line of ["status", "--secret-file short status"]) {
      const { out, err } = await world.run(line);
      expect(out + err).not.toMatch(/0123456789abcdef|too-short/);
    }
  });
});
