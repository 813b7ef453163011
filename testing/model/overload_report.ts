/** Prints the overload of deployment Q per 2 s, without and with `overload.ts`. */
import * as OverloadModel from "./overload_model.ts";
import * as Scenarios from "./overload_scenarios.ts";

const POLICIES = {
  before: OverloadModel.BEFORE,
  product: OverloadModel.PRODUCT,
} as const;

function formatCounts(counts: OverloadModel.Counts): string {
  const { inTime, late, limited, rejected } = counts;
  return [inTime, late, rejected, limited].map((count) =>
    String(count).padStart(5)
  ).join(" ");
}

/** Plays both policies; columns: in time, late, rejected for lack of room, rejected for the account's limit. */
export function print(seed: number): void {
  const scenario = Scenarios.DEPLOYMENT_Q;
  const names = scenario.kinds.map(({ name }) => name);
  for (const [policyName, policy] of Object.entries(POLICIES)) {
    const { intervals, misses, secondSends } = OverloadModel.playOverload(
      scenario,
      policy,
      seed,
    );
    console.log(
      `${policyName}: in time, late, rejected, limited (seed ${seed})`,
    );
    const titles = [...names, "hot account", "other accounts"];
    console.log(
      `   s ${titles.map((title) => title.padStart(24)).join(" ")}`,
    );
    intervals.forEach(({ byKind, hotAccount, otherAccounts }, index) => {
      const columns = [
        ...names.map((name) => byKind.get(name)!),
        hotAccount,
        otherAccounts,
      ].map(formatCounts);
      const second = String(index * OverloadModel.INTERVAL_MS / 1_000);
      console.log(`${second.padStart(4)}  ${columns.join("  ")}`);
    });
    console.log(`first runs ${misses}, second sends ${secondSends}\n`);
  }
}
