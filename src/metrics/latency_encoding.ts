/** Encodes histograms for burn reports. Separate from `latency.ts` because it loads a compression library. */
import type * as Hdr from "hdr-histogram-js";
import "hdr-histogram-js/dist/JsHistogram.encoding.js";

/** Encodes a histogram as compressed base64 text, which `hdr-histogram-js` decodes. */
export function encodeHistogram(histogram: Hdr.Histogram): string {
  return (histogram as Hdr.JsHistogram).encodeIntoCompressedBase64();
}
