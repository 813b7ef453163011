/** Request rates that targets in need name in their responses. */
import type * as Types from "../types.ts";

/** The rates that targets named, as far as this instance knows. */
export interface TargetLimits {
  /** Records the rate that a target's response names, in requests per second of all instances together; undefined if it names none. */
  recordResponse(target: Types.TargetId, ratePerS: number | undefined): void;
  removeTarget(target: Types.TargetId): void;
}

/** Creates an empty record; `onChange` receives each change of a target's rate. */
export function createTargetLimits(opts: {
  readonly onChange: (
    target: Types.TargetId,
    ratePerS: number | undefined,
  ) => void;
}): TargetLimits {
  const rates = new Map<Types.TargetId, number>();
  return {
    recordResponse(target, ratePerS) {
      if (rates.get(target) === ratePerS) return;
      if (ratePerS === undefined) rates.delete(target);
      else rates.set(target, ratePerS);
      opts.onChange(target, ratePerS);
    },
    removeTarget: (target) => void rates.delete(target),
  };
}
