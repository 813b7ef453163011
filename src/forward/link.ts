/**
 * Link budgets of forwarded requests. Promise: bytes that cross regions are
 * paid for before they are passed on, in both directions. An answer that has
 * begun is slowed, never refused; it ends with the request's deadline.
 */
import type * as Contracts from "../contracts.ts";

/** Pieces are small against a second's budget, so that answers share the link. */
const PIECE_BYTES = 16 * 1024;
/** Request line and headers, for the account of a request. */
const HEADER_BYTES = 1_024;

/** Pays for the bytes of one exchange. */
export interface LinkMeter {
  /** Pays for a request; false when the link is used up. */
  payRequest(bodyBytes: number, waitMs: number): Promise<boolean>;
  /** Pays for a piece of an answer, waiting for budget; rejects after the wait. */
  payAnswer(bytes: number): Promise<void>;
}

/** Creates the meter for requests from `from` to targets in `to`; undefined within a region. */
export function tryCreateLinkMeter(
  budgets: Contracts.Budgets,
  service: string,
  from: string,
  to: string,
  getRemainingMs: () => number,
): LinkMeter | undefined {
  if (from === to) return undefined;
  const inKey = `link/${service}/${to}/in`;
  const outKey = `link/${service}/${to}/out`;

  async function pay(
    key: string,
    bytes: number,
    getWaitMs: () => number,
  ): Promise<boolean> {
    for (let left = bytes; left > 0; left -= PIECE_BYTES) {
      const piece = Math.min(left, PIECE_BYTES);
      if (budgets.tryTake(key, piece)) continue;
      const taken = await budgets.take(key, piece, getWaitMs());
      if (taken.isErr()) return false;
    }
    return true;
  }

  return {
    payRequest: (bodyBytes, waitMs) =>
      pay(inKey, HEADER_BYTES + bodyBytes, () => waitMs),
    async payAnswer(bytes) {
      if (!await pay(outKey, bytes, getRemainingMs)) {
        throw new Error("link budget used up until the deadline");
      }
    },
  };
}
