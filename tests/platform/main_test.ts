import * as ChildProcess from "node:child_process";
import * as Fs from "node:fs/promises";
import * as Module from "node:module";
import * as Net from "node:net";
import * as Os from "node:os";
import * as Path from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import * as KvStore from "../../testing/kv/kv_store.ts";

const MAIN = "target/anvilroute.cjs";
const PLAIN_ASSERT = "../../dist/platform/plain_assert.cjs";

/** Runs the program until it exits. */
async function run(
  settings: string,
): Promise<{ readonly code: number | null; readonly output: string }> {
  const dir = await Fs.mkdtemp(Path.join(Os.tmpdir(), "anvilroute-"));
  const path = Path.join(dir, "node.json");
  await Fs.writeFile(path, settings);
  const child = ChildProcess.spawn(process.execPath, [MAIN], {
    env: { ...process.env, ANVILROUTE_CONFIG: path },
    stdio: ["ignore", "pipe", "pipe"],
  });
  let output = "";
  child.stdout.on("data", (chunk) => output += String(chunk));
  child.stderr.on("data", (chunk) => output += String(chunk));
  const code = await new Promise<number | null>((resolve) =>
    child.once("exit", resolve)
  );
  await Fs.rm(dir, { recursive: true });
  return { code, output };
}

describe("gateway process", () => {
  const closers: (() => Promise<unknown> | void)[] = [];
  afterEach(async () => {
    for (const close of closers.splice(0)) await close();
  });

  // Guards against a failed assertion that stops the process for seconds: Node's
  // module parses the bundle, one long file, to word its message.
  it("fails assertions without reading its own source", async () => {
    const bundle = await Fs.readFile(MAIN, "utf8");
    const assert = Module.createRequire(import.meta.url)(PLAIN_ASSERT);
    expect(bundle).not.toContain('require("node:assert")');
    expect(() => assert(false)).toThrow("assertion failed");
    expect(() => assert(false, "no socket")).toThrow("no socket");
    expect(() => assert(1)).not.toThrow();
  });

  it("exits with code 2 and logs one line that names the wrong settings", async () => {
    const { code, output } = await run('{"self": {"zone": 7}}');
    expect(code).toBe(2);
    expect(output.trim().split("\n")).toHaveLength(1);
    expect(output).toContain("self.zone = 7");
  });

  // Guards against a process that keeps running without a listener and is never restarted.
  it("exits with code 1 when a listen address is in use", async () => {
    const kv = await KvStore.startKvStore();
    const occupant = Net.createServer();
    await new Promise<void>((resolve) =>
      occupant.listen(0, "127.0.0.1", resolve)
    );
    closers.push(kv.close, () => void occupant.close());
    const { port } = occupant.address() as Net.AddressInfo;
    const address = `127.0.0.1:${port}`;
    const { code, output } = await run(JSON.stringify({
      self: {
        nodeName: "front-a-1",
        bindIp: "127.0.0.1",
        zone: "north-a",
        region: "north",
      },
      network: {
        listen: { front: address, ready: address, directory: address },
        internalPorts: [0, 0],
        zones: { "north-a": "north" },
      },
      platform: { platform: { address: kv.address } },
      terms: { bounds: {} },
    }));
    expect(output).toContain("event=start-failed");
    expect(code).toBe(1);
  });
});
