import { Ok } from "ts-results-es";
import { describe, expect, it } from "vitest";
import type * as Context from "../../src/cli/context.ts";
import * as ExplainDifferences from "../../src/cli/explain_differences.ts";
import * as Run from "../../src/cli/run.ts";
import type * as ExplainTypes from "../../src/gateway/explain_types.ts";
import * as Client from "../../src/peer/client.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import * as ToolFleet from "../../testing/fakes/tool_fleet.ts";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const addCleanup = Cleanups.createCleanups();
const QUERY = "explain --host shop.example --path /read/17 --account hut " +
  "--key-object 17";

/** Runs the tool against `connectPeer`; returns its exit code and output. */
async function run(
  line: string,
  peers: readonly string[],
  connectPeer: Context.Deps["connectPeer"],
  secret = "0123456789abcdef",
) {
  const settings =
    `[platform]\naddress = "10.0.0.9:7000"\n[peers]\naddresses = ${
      JSON.stringify(peers)
    }\n` +
    `secret = "${secret}"\n`;
  const { deps, printed } = ToolFleet.createFakeDeps(
    ToolFleet.createFakeStore(),
    [],
    new Map([["tool.toml", settings]]),
  );
  const exit = await Run.run(line.split(" "), { ...deps, connectPeer });
  return { exit, ...printed };
}

/** Starts instances of the gateway and returns a function that runs the tool against them. */
async function startFleet(instances: number) {
  const fleet = await Rig.startFleet(addCleanup, { targets: 3, instances });
  const peers = fleet.instances.map(({ address }) =>
    address.replace(/:\d+$/, ":7220")
  );
  const secret = fleet.kv.get("anvilroute/peer-secret")!;
  const connect: Context.Deps["connectPeer"] = (address) =>
    Client.createPeerClient({ address, secret, id: "anvilroutectl" });
  return { runTool: (line: string) => run(line, peers, connect, secret) };
}

/** Answers of fake instances by id; undefined for one of a build without the method. */
function createFakePeers(
  answers: Readonly<Record<string, ExplainTypes.Answer | undefined>>,
): Context.Deps["connectPeer"] {
  const ids = Object.keys(answers);
  const getAddress = (id: string) => `10.0.0.1:${1 + ids.indexOf(id)}`;
  return (address) => ({
    call<T>(method: string) {
      const id = ids.find((known) => getAddress(known) === address)!;
      const members = ids.map((listed) => ({
        heartbeat: {
          id: listed,
          region: "north",
          state: "live",
          peerAddress: getAddress(listed),
        },
        isReachable: true,
      }));
      if (method === "members.list") return Promise.resolve(Ok(members as T));
      const answer = answers[id];
      return Promise.resolve(
        answer === undefined
          ? ResultCodes.fail("peerError", "Method not found")
          : Ok(answer as T),
      );
    },
    close: () => {},
  });
}

function createExplanation(
  instance: string,
  overrides: Partial<ExplainTypes.Explanation> = {},
): ExplainTypes.Explanation {
  return {
    kind: "explanation",
    instance,
    instanceState: "live",
    configVersion: 1,
    method: "GET",
    host: "shop.example",
    path: "/read/17",
    route: {
      name: "r-read",
      pathPrefix: "/read/",
      isRepeatable: true,
      timeoutMs: 1_500,
      maxTargets: 2,
    },
    homeRegions: "all",
    account: undefined,
    affinityKey: "17",
    isSpread: false,
    canOpenConnections: true,
    admission: { kind: "admit", rule: "within-limit" },
    services: [{
      service: "orders",
      share: 1,
      eligibleTargets: 3,
      profile: {
        priority: 1,
        deadlineMs: 1_480,
        targetLatencyMs: 400,
        cacheHitMs: 133,
        cacheMissMs: 133,
      },
      admittedShare: 1,
      candidates: [],
      decision: { kind: "send", target: "i-0", rule: "lowest-cost" },
    }],
    ...overrides,
  };
}

describe("the explanation of a request to the gateway", () => {
  it("is printed as text and as JSON, without a key", async () => {
    const { runTool } = await startFleet(1);
    const text = await runTool(QUERY);
    expect(text.exit).toBe(0);
    expect(text.out).toContain("as seen by instance front-0 (live");
    expect(text.out).toContain("route r-read (/read/), may run twice");
    expect(text.out).toContain("account hut: no limit");
    expect(text.out).toMatch(/sent to i-\d \(lowest-cost: /);
    const json = await runTool(`--json ${QUERY}`);
    const { explanation, instance } = JSON.parse(json.out);
    expect(instance).toBe("front-0");
    const { candidates, decision } = explanation.services[0];
    expect(candidates).toHaveLength(3);
    expect(text.out).toContain(`sent to ${decision.target}`);
    expect(text.out + json.out).not.toContain("k1");
  });

  it("is refused with a numbered error for what does not exist, which never repeats a key given as a name", async () => {
    const { runTool } = await startFleet(1);
    const cases = [
      ["--host nowhere --path /read/17", "E134"],
      ["--host shop.example --path /none", "E134"],
      ["--host shop.example --path /read/17 --account k1", "E605"],
      ["--host shop.example --path /read/17 --from front-9", "E606"],
    ] as const;
    for (const [options, code] of cases) {
      const { err, exit, out } = await runTool(`--json explain ${options}`);
      expect(exit, options).toBe(1);
      expect(err).toContain(code);
      expect(JSON.parse(out).error.code).toBe(Number(code.slice(1)));
      expect(err + out).not.toContain("k1");
    }
  });

  it("shows with --all that instances which know the same agree", async () => {
    const { runTool } = await startFleet(2);
    await Rig.until("both instances are listed", async () => {
      const { out } = await runTool(`${QUERY} --all`);
      return out.includes("2 of 2 instances answered and agree");
    });
  });

  it("shows with --all where instances differ, and which one has no explanation", async () => {
    const peers = createFakePeers({
      a1: createExplanation("a1"),
      b1: createExplanation("b1", {
        configVersion: 2,
        admission: {
          kind: "reject",
          code: 120,
          name: "account-limit",
          status: 429,
          retryAfterMs: 300,
          rule: "account-limit",
        },
      }),
      c1: undefined,
      // Guards against a crash on the answer of a build whose fields differ.
      d1: { kind: "explanation" } as ExplainTypes.Explanation,
    });
    const line = `${QUERY} --all`;
    const { exit, out } = await run(line, ["10.0.0.1:1"], peers);
    expect(exit).toBe(6);
    expect(out).toContain("2 of 4 instances answered and differ:");
    expect(out).toContain("  configuration:\n    1: a1\n    2: b1\n");
    expect(out).toContain("    rejected with E120 account-limit: b1\n");
    expect(out).toContain("c1: NO EXPLANATION: E203 peer-error");
    expect(out).toContain("d1: NO EXPLANATION: E205 peer-message");
    const json = await run(`--json ${line}`, ["10.0.0.1:1"], peers);
    const { differences, explanations, missing } = JSON.parse(json.out);
    expect(explanations).toHaveLength(2);
    expect(differences[0]).toEqual({
      what: "configuration",
      values: [{ value: "1", instances: ["a1"] }, {
        value: "2",
        instances: ["b1"],
      }],
    });
    expect(missing.map(({ id }: { id: string }) => id)).toEqual(["c1", "d1"]);
  });

  it("does not count loads, ages and delays as differences, which change at any moment", () => {
    const first = createExplanation("a1");
    const [service] = first.services;
    const profile = { ...service!.profile, cacheHitMs: 150 };
    const second = createExplanation("b1", {
      services: [{ ...service!, profile }],
    });
    expect(ExplainDifferences.getDifferences([first, second])).toEqual([]);
  });

  it("prints an explanation whose rule and decision are of a newer build", async () => {
    const newer = { kind: "defer", rule: "tide" } as unknown;
    const peers = createFakePeers({
      a1: createExplanation("a1", {
        admission: newer as ExplainTypes.Decision,
      }),
    });
    const { exit, out } = await run(QUERY, ["10.0.0.1:1"], peers);
    expect(exit).toBe(0);
    expect(out).toContain("defer (tide: unknown rule)");
  });

  it("needs a consistent set of options", async () => {
    const lines = [
      "explain",
      "explain --service booking --account hut",
      "explain --host shop.example",
      "explain --host shop.example --path read",
      "explain --path /read/17",
      "explain --host shop.example --path /read/ --service booking",
      "explain --host shop.example --path /read/ --all --from a1",
      "explain --service a --account b --from c --all",
    ];
    for (const line of lines) {
      const { err, exit } = await run(
        line,
        ["10.0.0.1:1"],
        createFakePeers({}),
      );
      expect(exit, line).toBe(2);
      expect(err, line).toContain("E601");
    }
  });
});
