/** Histograms as text, for programs that report them; loads a compression library. */
import type * as Hdr from "hdr-histogram-js";
import "hdr-histogram-js/dist/JsHistogram.encoding.js";

/** Compressed and in base64, as `hdr-histogram-js` reads it. */
export function encodeHistogram(histogram: Hdr.Histogram): string {
  return (histogram as Hdr.JsHistogram).encodeIntoCompressedBase64();
}
