/** A network with cuts, losses, delays and repeated messages, driven by one seed. */
import type * as ManualTime from "./manual_time.ts";
import * as Node from "./budget_node.ts";

/** Share of messages that are lost, delayed for seconds, or delivered twice. */
export interface Noise {
  readonly loss: number;
  readonly late: number;
  readonly twice: number;
}

/** Creates a network without cuts. */
export function createNetwork(
  time: ManualTime.Time,
  random: () => number,
  firstNoise: Noise,
) {
  const cuts = new Set<string>();
  let noise = firstNoise;

  /** One way of a message; never resolves when it is lost. */
  async function travel(from: string, to: string, ms: number): Promise<void> {
    const isCut = () =>
      cuts.has(`${from}>${to}`) || cuts.has(`${from}>*`) || cuts.has(`*>${to}`);
    if (isCut() || random() < noise.loss) return Node.NEVER;
    const lateMs = random() < noise.late ? random() * 4_000 : 0;
    await time.sleep(ms * (0.5 + random()) + lateMs);
    if (isCut() && lateMs === 0) return Node.NEVER;
  }

  return {
    travel,
    /** Draws whether a request is delivered twice. */
    isTwice: () => random() < noise.twice,
    setNoise: (next: Noise) => void (noise = next),
    /** Cuts one way; "store" and "*" are names too. */
    cut: (from: string, to: string) => void cuts.add(`${from}>${to}`),
    heal: () => cuts.clear(),
  };
}

/** Messages between instances and the store. */
export type Network = ReturnType<typeof createNetwork>;
