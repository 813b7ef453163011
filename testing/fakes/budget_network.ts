/** A network with cut links and with lost, delayed and duplicated messages. */
import type * as ManualTime from "./manual_time.ts";
import * as BudgetInstance from "./budget_instance.ts";

/** Shares of messages (0 to 1) that are lost, delayed by up to 4 s, or delivered twice. */
export interface Noise {
  readonly loss: number;
  readonly delayed: number;
  readonly duplicated: number;
}

/** Creates a network without cut links. */
export function createNetwork(
  time: ManualTime.Time,
  random: () => number,
  initialNoise: Noise,
) {
  const cuts = new Set<string>();
  let noise = initialNoise;

  /** Transmits a message in one direction. `ms` is the mean latency; never resolves if the message is lost. */
  async function transmit(from: string, to: string, ms: number): Promise<void> {
    const isCut = () =>
      cuts.has(`${from}>${to}`) || cuts.has(`${from}>*`) || cuts.has(`*>${to}`);
    if (isCut() || random() < noise.loss) return BudgetInstance.NEVER;
    const delayMs = random() < noise.delayed ? random() * 4_000 : 0;
    await time.sleep(ms * (0.5 + random()) + delayMs);
    if (isCut() && delayMs === 0) return BudgetInstance.NEVER;
  }

  return {
    transmit,
    /** Decides at random whether a request is delivered twice. */
    drawDuplicate: () => random() < noise.duplicated,
    setNoise: (newNoise: Noise) => void (noise = newNoise),
    /** Cuts one direction of a link. An end is an instance, "store", or "*" for all. */
    cut: (from: string, to: string) => void cuts.add(`${from}>${to}`),
    heal: () => cuts.clear(),
  };
}

/** Network that connects instances and the store. */
export type Network = ReturnType<typeof createNetwork>;
