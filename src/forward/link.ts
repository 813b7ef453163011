/**
 * Link budgets of forwarded requests. Promise: bytes that cross regions are
 * paid for before they cross, in both directions. An answer's size is known
 * only when it has crossed, so its mean is paid before the request is sent, and
 * the difference while it arrives. An answer that has begun is slowed, never
 * refused; it ends with the request's deadline.
 *
 * What breaks it: answers that grow together far above the mean; each may
 * cross as far as the buffers of its connection reach.
 */
import type * as Contracts from "../contracts.ts";

/** Pieces are small against a second's budget, so that answers share the link. */
const PIECE_BYTES = 16 * 1024;
const MIN_PIECE_BYTES = 256;
/** Request line and headers, for the account of a request. */
const HEADER_BYTES = 1_024;
/** Weight of the newest answer in the mean. */
const MEAN_WEIGHT = 0.1;
/** Mean before the first answer; a small JSON body. */
const FIRST_MEAN_BYTES = 2_048;

/** Mean sizes of the answers that came over each link. */
export interface ResponseSizes {
  record(key: Contracts.BudgetKey, bytes: number): void;
  getMean(key: Contracts.BudgetKey): number;
}

/** Creates sizes without history. */
export function createResponseSizes(): ResponseSizes {
  const means = new Map<Contracts.BudgetKey, number>();
  const getMean = (key: Contracts.BudgetKey) =>
    means.get(key) ?? FIRST_MEAN_BYTES;
  return {
    getMean,
    record(key, bytes) {
      const mean = getMean(key);
      means.set(key, mean + (bytes - mean) * MEAN_WEIGHT);
    },
  };
}

/** Pays for the bytes of one exchange. */
export interface LinkMeter {
  /** Pays for a request and the mean answer; false when the link is used up. */
  acquireForRequest(bodyBytes: number, waitMs: number): Promise<boolean>;
  /** Pays for a piece of an answer, waiting for budget; rejects after the wait. */
  acquireForResponse(bytes: number): Promise<void>;
  /** Ends the exchange: returns what was paid for bytes that did not cross. */
  settle(): void;
}

/** Creates the meter for requests from `from` to targets in `to`; undefined within a region. */
export function tryCreateLinkMeter(
  budgets: Contracts.Budgets,
  sizes: ResponseSizes,
  service: string,
  from: string,
  to: string,
  getRemainingMs: () => number,
): LinkMeter | undefined {
  if (from === to) return undefined;
  const inKey = `link/${service}/${to}/in`;
  const outKey = `link/${service}/${to}/out`;
  let prepaid = 0;
  let answered = 0;

  /** A piece above the own burst could never be paid without a loan. */
  function getPieceBytes(key: Contracts.BudgetKey): number {
    const half = Math.floor(budgets.getAllocation(key).burst / 2);
    return Math.max(MIN_PIECE_BYTES, Math.min(PIECE_BYTES, half));
  }

  async function pay(
    key: string,
    bytes: number,
    getWaitMs: () => number,
    onPaid: (piece: number) => void = () => {},
  ): Promise<boolean> {
    let left = bytes;
    while (left > 0) {
      const piece = Math.min(left, getPieceBytes(key));
      left -= piece;
      const isTaken = budgets.tryAcquire(key, piece) ||
        (await budgets.acquire(key, piece, getWaitMs())).isOk();
      if (!isTaken) return false;
      onPaid(piece);
    }
    return true;
  }

  function prepay(waitMs: number): Promise<boolean> {
    const bytes = sizes.getMean(outKey);
    return pay(outKey, bytes, () => waitMs, (piece) => prepaid += piece);
  }

  return {
    async acquireForRequest(bodyBytes, waitMs) {
      const isPaid = await prepay(waitMs) &&
        await pay(inKey, HEADER_BYTES + bodyBytes, () => waitMs);
      if (!isPaid) this.settle();
      return isPaid;
    },
    async acquireForResponse(bytes) {
      answered += bytes;
      const covered = Math.min(prepaid, bytes);
      prepaid -= covered;
      if (!await pay(outKey, bytes - covered, getRemainingMs)) {
        throw new Error("link budget used up until the deadline");
      }
    },
    settle() {
      if (prepaid > 0) budgets.refund(outKey, prepaid);
      prepaid = 0;
      if (answered > 0) sizes.record(outKey, answered);
      answered = 0;
    },
  };
}
