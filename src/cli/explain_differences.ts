/** Compares the explanations of several instances for one request. */
import type * as ExplainTypes from "../gateway/explain_types.ts";
import type * as Types from "../types.ts";
import * as ExplainText from "./explain_text.ts";

/** A point in which instances differ, and which ones have which value. */
export interface Difference {
  readonly what: string;
  readonly values: readonly {
    readonly value: string;
    readonly instances: readonly Types.InstanceId[];
  }[];
}

/**
 * What is compared. Loads, ages and delays are left out: they differ at any moment
 * and matter only as far as they change a decision.
 */
function getPoints(
  explanation: ExplainTypes.Explanation,
): readonly (readonly [string, string])[] {
  const { account, admission, configVersion, route, services } = explanation;
  return [
    ["configuration", String(configVersion)],
    ["route", route.name],
    ["limit", account === undefined ? "none" : `${account.ratePerS}/s`],
    ["admission", ExplainText.formatDecision(admission)],
    ...services.flatMap(({ candidates, decision, service }) => {
      const paused = candidates.filter(({ pause }) => pause !== undefined);
      return [
        [
          `candidates of ${service}`,
          formatIds(candidates.map(({ target }) => target)),
        ],
        [
          `paused targets of ${service}`,
          formatIds(paused.map(({ target }) => target)),
        ],
        [`decision for ${service}`, ExplainText.formatDecision(decision)],
      ] as const;
    }),
  ];
}

function formatIds(ids: readonly string[]): string {
  return ids.length === 0 ? "none" : ids.join(" ");
}

/** Returns the points in which the explanations differ; a point that an instance lacks counts as `none`. */
export function getDifferences(
  explanations: readonly ExplainTypes.Explanation[],
): readonly Difference[] {
  const points = explanations.map((explanation) => ({
    id: explanation.instance,
    values: new Map(getPoints(explanation)),
  }));
  const names = new Set(points.flatMap(({ values }) => [...values.keys()]));
  return [...names].flatMap((what) => {
    const instances = new Map<string, Types.InstanceId[]>();
    for (const { id, values } of points) {
      const value = values.get(what) ?? "none";
      const ids = instances.get(value) ?? [];
      ids.push(id);
      instances.set(value, ids);
    }
    if (instances.size < 2) return [];
    const values = [...instances]
      .map(([value, ids]) => ({ value, instances: ids }));
    return [{ what, values }];
  });
}
