/**
 * Plays scenarios on the model and prints a table of all policies and a plot of
 * the `product` policy: `npm run experiment -- NAME [--seed N]`. Without a name it
 * plays all scenarios of `scenarios.ts`; `overload-q` prints the overload of
 * deployment Q by kind of request and account.
 */
import { Command } from "commander";
import * as FleetModel from "../model/fleet_model.ts";
import * as OverloadReport from "../model/overload_report.ts";
import * as Scenarios from "../model/scenarios.ts";

const DEFAULT_SEED = 1;
const POLICIES = [
  "product",
  "own-reports",
  "all-objects",
  "own-place",
  "random",
] as const;
const PLOT_WIDTH = 40;
const OVERLOAD_NAME = "overload-q";

function formatShare(count: number, total: number): string {
  return (total === 0 ? 0 : count / total).toFixed(3).padStart(8);
}

function formatRow(policy: string, outcome: FleetModel.Outcome): string {
  const { requested, withinTarget, late, rejected } = outcome.total;
  const shares = [withinTarget, late, rejected].map((count) =>
    formatShare(count, requested)
  );
  const cacheMisses = String(outcome.cacheMisses).padStart(11);
  const { avoidableWaits, queueSpread, sheds, spread } = outcome;
  const load = [spread.toFixed(2), queueSpread.toFixed(2), String(sheds)]
    .map((text) => text.padStart(8)).join("");
  const waits = formatShare(Math.round(avoidableWaits * 1e6), 1e6);
  return `${policy.padEnd(12)}${shares.join("")}${cacheMisses}${load}${waits}`;
}

function formatPlot(outcome: FleetModel.Outcome): string {
  return outcome.seconds.map(({ requested, withinTarget, late }, second) => {
    const width = (count: number) =>
      requested === 0 ? 0 : Math.round(count / requested * PLOT_WIDTH);
    const bar = "#".repeat(width(withinTarget)) + "-".repeat(width(late));
    return `${String(second).padStart(4)} s |${bar.padEnd(PLOT_WIDTH)}|`;
  }).join("\n");
}

function playAllPolicies(scenario: FleetModel.Scenario, seed: number): void {
  console.log(`${scenario.name}: ${scenario.pattern} (seed ${seed})`);
  console.log(
    "policy       in time    late refused first runs  spread  queues   sheds avoidable",
  );
  for (const policy of POLICIES) {
    const outcome = FleetModel.playScenario(scenario, policy, seed);
    console.log(formatRow(policy, outcome));
    if (policy === "product") console.log(formatPlot(outcome));
  }
  console.log("");
}

const program = new Command("experiment")
  .argument("[name]", "name of a scenario; all scenarios by default")
  .option(
    "--seed <number>",
    "integer seed of the random numbers",
    String(DEFAULT_SEED),
  )
  .action((name: string | undefined, opts: { readonly seed: string }) => {
    const seed = Number(opts.seed);
    const scenarios: readonly FleetModel.Scenario[] = Object.values(
      Scenarios.scenarios,
    );
    const selected = scenarios.filter((scenario) =>
      name === undefined || scenario.name === name
    );
    if (name === OVERLOAD_NAME && Number.isInteger(seed)) {
      return OverloadReport.print(seed);
    }
    if (selected.length === 0 || !Number.isInteger(seed)) {
      const names = [
        ...scenarios.map((scenario) => scenario.name),
        OVERLOAD_NAME,
      ]
        .join(", ");
      program.error(`allowed: ${names}; the seed is an integer`);
    }
    selected.forEach((scenario) => playAllPolicies(scenario, seed));
  });

program.parse();
